"""Readiness: whether the load balancer should send callers to an instance."""

import enum
from collections.abc import Sequence
from typing import NamedTuple

from wisteriarock.balancing.decide import has_reachable
from wisteriarock.catalog.models import Catalog
from wisteriarock.discovery.models import Directory
from wisteriarock.dispatch.decide import needed_parts

from .const import ISOLATED_AFTER_MS


class Phase(enum.Enum):
    """Life cycle phase of a process."""

    STARTING = "starting"
    RUNNING = "running"
    DRAINING = "draining"


class ReadinessInput(NamedTuple):
    """Inputs of the readiness decision.

    Attributes
    ----------
    is_store_silent : bool
        Whether the store did not answer the last check.
    reachable_shards, needed_shards : int
        Numbers of shards of the fan-out route with the smallest margin.
    """

    phase: Phase
    is_loaded: bool
    store_age_ms: float
    is_store_silent: bool
    reachable_shards: int
    needed_shards: int


def count_reachable_shards(catalog: Catalog, directory: Directory) -> tuple[int, int]:
    """Return the reachable and needed shards of the fan-out route with the smallest margin."""
    worst = (0, 0)
    seen = set()
    for route in catalog.configuration.routes if catalog.configuration else ():
        if not route.shards or (route.shards, route.min_coverage) in seen:
            continue
        seen.add((route.shards, route.min_coverage))
        needed = needed_parts(route)
        reachable = sum(
            1 for shard in route.shards if has_reachable(directory.by_service.get(shard, []))
        )
        if worst == (0, 0) or reachable - needed < worst[0] - worst[1]:
            worst = (reachable, needed)
    return worst


def is_ready(inputs: ReadinessInput) -> bool:
    """Return whether an instance should be in rotation.

    An isolated instance is not ready, so that callers are sent to a zone that can serve them.
    Shards that are down for every instance do not affect readiness: the store still answers then.
    """
    if inputs.phase is not Phase.RUNNING or not inputs.is_loaded:
        return False
    return not is_isolated(inputs)


def is_isolated(inputs: ReadinessInput) -> bool:
    """Return whether an instance is cut off from the store and from too many shards."""
    is_store_lost = inputs.is_store_silent or inputs.store_age_ms > ISOLATED_AFTER_MS
    return is_store_lost and lacks_shards(inputs)


def lacks_shards(inputs: ReadinessInput) -> bool:
    """Return whether an instance reaches too few shards for some fan-out route."""
    return inputs.reachable_shards < inputs.needed_shards


def zones_to_report(
    inputs: ReadinessInput, unreachable_zones: Sequence[str], reported_zones: Sequence[str]
) -> tuple[str, ...]:
    """Return the zones that this instance should have reported to the others of its zone.

    They are reported before this instance knows whether the store is silent as well: the others
    check that themselves meanwhile, and callers stay in the zone until the last one has noticed.

    Parameters
    ----------
    unreachable_zones, reported_zones : sequence of str
        Other zones that this instance does not reach, and those that it has reported so far.
    """
    if not inputs.is_loaded or not lacks_shards(inputs):
        return ()
    return tuple(sorted({*unreachable_zones, *reported_zones}))


def is_report_due(
    zones: Sequence[str], reported_zones: Sequence[str], *, was_isolated: bool, is_isolated: bool
) -> bool:
    """Return whether lost zones are to be reported now.

    A first report is ignored by instances that the store still answers, so that another one follows
    when this instance has become isolated.
    """
    has_become_isolated = is_isolated and not was_isolated
    return bool(zones) and (has_become_isolated or set(zones) > set(reported_zones))
