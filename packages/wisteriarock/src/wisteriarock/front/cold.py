"""Number of instances that share the limits of cold endpoints, and which endpoints may be cold."""

import time
from typing import TYPE_CHECKING

from wisteriarock.balancing.models import Endpoint
from wisteriarock.gathering.decide import count_limit_sharers, is_assigned

from .const import COUNT_SETTLE_MS

if TYPE_CHECKING:
    from .instance import Instance


class ColdSharers:
    """What is known of the number of instances.

    Attributes
    ----------
    instances : int or None
        Largest number of instances that was counted since the process started: instances that are
        no longer counted may be cut off and still send requests. None until they are counted.
    counted_at_ms : float
        Time at which they were first counted.
    zone_factor : float
        Number of availability zones for each one whose instances were counted.
    """

    __slots__ = ("counted_at_ms", "instances", "zone_factor")

    def __init__(self) -> None:
        self.instances: int | None = None
        self.counted_at_ms = 0.0
        self.zone_factor = 1.0


def record_instance_count(instance: "Instance", instances: int) -> None:
    """Record the number of instances that the relays report."""
    sharers = instance.cold_sharers
    if sharers.instances is None:
        sharers.counted_at_ms = instance.loop.time() * 1000
    sharers.instances = max(instances, sharers.instances or 0)
    zones = {endpoint.zone for endpoint in instance.directory.by_id.values()}
    counted = len(instance.feed_state.instance_counts)
    sharers.zone_factor = max(1.0, len(zones) / max(1, counted))


def cold_limit_sharers(instance: "Instance", service: str) -> float | None:
    """Return the number of instances that share the limit of a cold endpoint, None if unknown.

    What is not known makes the shares smaller. The first counts after a start may lack instances
    that have started, or were paused, at the same time.
    """
    known = instance.cold_sharers
    now_ms = instance.loop.time() * 1000
    if known.instances is None or now_ms - known.counted_at_ms < COUNT_SETTLE_MS:
        return None
    sharers = float(known.instances)
    has_gatherers = instance.gatherer_count < instance.instance_count
    if service in instance.gathered_services and has_gatherers:
        own = instance.settings.instance
        sharers = count_limit_sharers(
            known.instances,
            _count_assigned(instance),
            is_assigned=is_assigned(instance.dispatch.gatherers, service, own, now_ms),
        )
    return sharers * known.zone_factor


def _count_assigned(instance: "Instance") -> int:
    """Return the number of instances that usually query a shard, in all zones ever counted."""
    feed = instance.feed_state
    return sum(
        1 if feed.gatherer_counts.get(zone) else count
        for zone, (count, _) in feed.instance_counts.items()
    )


def uptime_ms() -> float:
    """Return the time of a clock that also counts while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


def suspect_cold(instance: "Instance", endpoint: Endpoint) -> None:
    """Take an endpoint as cold that may have started again, until its warm-up time has passed."""
    service = instance.catalog.services.get(endpoint.service)
    if service is not None and service.warmup_ms:
        cold_until_ms = instance.loop.time() * 1000 + service.warmup_ms
        endpoint.cold_until_ms = max(endpoint.cold_until_ms, cold_until_ms)


def suspect_restart(instance: "Instance", endpoint: Endpoint) -> None:
    """Take an endpoint as cold that could not be reached for a while, if that limits it."""
    service = instance.catalog.services.get(endpoint.service)
    if service is not None and service.cold_rate_per_s:
        suspect_cold(instance, endpoint)
