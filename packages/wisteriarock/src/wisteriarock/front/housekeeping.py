"""Work that an instance repeats for the life of the process."""

from collections.abc import Coroutine
from typing import Any

from wisteriarock.balancing.const import PROBE_EVERY_MS, ZONE_PROBES, ZONE_SILENCE_MS
from wisteriarock.balancing.decide import (
    find_lost_zones,
    find_unreachable,
    take_reported_loss,
    zones_out_of_reach,
)
from wisteriarock.balancing.models import Endpoint
from wisteriarock.discovery import controller as discovery
from wisteriarock.dispatch.legs import close_abandoned
from wisteriarock.feed import controller as feed
from wisteriarock.http.const import SWEEP_EVERY_MS

from .const import (
    FLUSH_EVERY_MS,
    HOUSEKEEPING_EVERY_MS,
    STORE_CHECK_EVERY_MS,
    STORE_CHECK_TIMEOUT_MS,
)
from .instance import (
    Instance,
    pool_of,
    readiness_input,
    release_held,
    update_instances,
    update_ready,
)


def start(instance: Instance) -> None:
    """Start all repeated work."""
    instance.feed.on_lost_zones = lambda zones: _on_lost_zones(instance, zones)
    _look_after_endpoints(instance)
    _sweep(instance)
    _flush(instance)


def _look_after_endpoints(instance: Instance) -> None:
    now_ms = instance.loop.time() * 1000
    close_abandoned(instance.dispatch, now_ms)
    release_held(instance)
    discovery.drop_lapsed_endpoints(instance.discovery)
    endpoints = instance.directory.by_id.values()
    for zone in find_lost_zones(endpoints, now_ms):
        instance.log.record("zone_unreachable", zone=zone)
    probes: dict[str, int] = {}
    for endpoint in endpoints:
        if find_unreachable(endpoint, now_ms):
            instance.log.record("endpoint_unreachable", endpoint=endpoint.endpoint_id)
            _close_idle(instance, endpoint)
        if not endpoint.is_unreachable or now_ms < endpoint.next_probe_ms or endpoint.is_draining:
            continue
        if endpoint.is_zone_lost:
            probes[endpoint.zone] = probes.get(endpoint.zone, 0) + 1
            if probes[endpoint.zone] > ZONE_PROBES:
                continue
        endpoint.next_probe_ms = now_ms + PROBE_EVERY_MS
        pool_of(instance, endpoint).probe()
    _check_store(instance, now_ms)
    _report_isolation(instance)
    instance.loop.call_later(HOUSEKEEPING_EVERY_MS / 1000, _look_after_endpoints, instance)


async def verify_lost_zones(instance: Instance, zones: list[str]) -> None:
    """Take over that zones are lost if the store does not answer this instance either."""
    heard_since_ms = instance.loop.time() * 1000 - ZONE_SILENCE_MS
    if await discovery.check_store(instance.discovery, STORE_CHECK_TIMEOUT_MS):
        return
    if not instance.discovery.is_store_silent:
        return
    endpoints = instance.directory.by_id.values()
    for zone in take_reported_loss(endpoints, zones, heard_since_ms):
        instance.log.record("zone_unreachable", zone=zone, reported=True)
    update_ready(instance)


def _on_lost_zones(instance: Instance, zones: list[str]) -> None:
    others = [zone for zone in zones if zone != instance.settings.zone]
    if not others or instance.dispatch.isolated_since_ms is not None:
        return
    _spawn(instance, verify_lost_zones(instance, others))


def _report_isolation(instance: Instance) -> None:
    """Tell the own zone when this instance finds itself cut off."""
    is_isolated = instance.dispatch.isolated_since_ms is not None
    if is_isolated and not instance.was_isolated:
        endpoints = instance.directory.by_id.values()
        zones = zones_out_of_reach(endpoints, instance.settings.zone)
        if zones:
            _spawn(instance, feed.report_lost_zones(instance.feed, zones))
    instance.was_isolated = is_isolated


def _spawn(instance: Instance, work: Coroutine[Any, Any, None]) -> None:
    task = instance.loop.create_task(work)
    instance.tasks.add(task)
    task.add_done_callback(instance.tasks.discard)


def _close_idle(instance: Instance, endpoint: Endpoint) -> None:
    pool = instance.pools.get(endpoint.endpoint_id)
    for link in pool.idle[:] if pool is not None else ():
        link.close("unreachable")


def _check_store(instance: Instance, now_ms: float) -> None:
    """Ask the store whether it is this instance that is cut off when too few shards are reached."""
    state = instance.discovery
    given = readiness_input(instance)
    if not given.is_loaded or given.reachable >= given.needed:
        return
    if now_ms - state.store_checked_at_ms < STORE_CHECK_EVERY_MS:
        return
    _spawn(instance, _check_and_update(instance))


async def _check_and_update(instance: Instance) -> None:
    await discovery.check_store(instance.discovery, STORE_CHECK_TIMEOUT_MS)
    update_ready(instance)


def _sweep(instance: Instance) -> None:
    """Close connections that have timed out."""
    now_ms = instance.loop.time() * 1000
    callers, checks = instance.front, instance.ready_front
    for front in (callers, checks, instance.peer_front, instance.metrics_front):
        for connection in list(front.connections):
            connection.expire(now_ms)
    for pool in instance.pools.values():
        pool.expire_idle(now_ms)
    update_instances(instance)
    update_ready(instance)
    instance.loop.call_later(SWEEP_EVERY_MS / 1000, _sweep, instance)


def _flush(instance: Instance) -> None:
    instance.log.flush()
    instance.loop.call_later(FLUSH_EVERY_MS / 1000, _flush, instance)
