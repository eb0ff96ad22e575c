"""Order the replicas of a partition by own observations, with reports as hints."""

import math
from collections.abc import Iterable
from random import Random

from wisteriarock.bundle.models import BundleContent
from wisteriarock.membership.models import EndpointState, EndpointView
from wisteriarock.query.models import LegOutcome

from .const import (
    DRAIN_MEMORY_MS,
    HINT_LIFETIME_MS,
    HOLDER_MEMORY_MS,
    LATENCY_LIFETIME_MS,
    LATENCY_WEIGHT,
    NO_HEDGE_OVERDUE_SHARE,
    OVERDUE_WEIGHT,
    OVERLOAD_PER_SLOT,
    SHED_MEMORY_MS,
    SLOW_MEMORY_MS,
    SLOW_OVERDUE_SHARE,
    SLOW_START_SHARE,
)
from .models import NEVER_MS, EndpointRoute, EndpointStats, Routes, RoutingState

# Position in the order before zone, load and latency count.
TIER_READY = 0
TIER_SLOW = 1
TIER_HOLDER_SUSPECT = 2
TIER_SHEDDING = 3
TIER_COLD = 4
TIER_EJECTED = 5

FAILURES = frozenset({LegOutcome.LOST, LegOutcome.REFUSED})
Score = tuple[int, int, float, int]
PLAIN_STATES = frozenset({EndpointState.READY, EndpointState.UNKNOWN})


def build_routes(content: BundleContent) -> Routes:
    """Return the endpoints of a bundle by name."""
    endpoints: dict[str, EndpointRoute] = {}
    sizes: dict[str, int] = {}
    for service, spec in content["services"].items():
        shards = frozenset(spec["shards"])
        sizes[service] = len(spec["endpoints"])
        for name, endpoint in spec["endpoints"].items():
            endpoints[name] = EndpointRoute(
                service, endpoint["zone"], max(1, endpoint["slots"]), shards
            )
    return Routes(endpoints, sizes)


def stats_of(state: RoutingState, endpoint: str) -> EndpointStats:
    """Return the statistics of an endpoint, created at first use."""
    stats = state.endpoints.get(endpoint)
    if stats is None:
        stats = state.endpoints[endpoint] = EndpointStats()
    return stats


def _set_plain_from(state: RoutingState, stats: EndpointStats) -> None:
    if stats.state in PLAIN_STATES:
        stats.plain_from_ms = max(
            stats.ejected_until_ms,
            stats.shed_at_ms + SHED_MEMORY_MS,
            stats.drained_at_ms + DRAIN_MEMORY_MS,
            stats.ready_since_ms + state.slow_start_ms,
            stats.slow_until_ms,
        )
    else:
        stats.plain_from_ms = float("inf")


def apply_view(state: RoutingState, view: EndpointView, now_ms: float) -> None:
    """Take over what a new view of an endpoint says."""
    stats = stats_of(state, view["endpoint"])
    known = bool(stats.incarnation)
    restarted = known and view["incarnation"] != stats.incarnation
    if restarted:
        # Nothing that was seen of the former process holds for the new one.
        stats.failures = 0
        stats.ejected_until_ms = stats.shed_at_ms = stats.drained_at_ms = NEVER_MS
        stats.latency_rank = 0
        stats.overdue_share = 0.0
        stats.slow_until_ms = NEVER_MS
    was_cold = stats.state is EndpointState.COLD
    if view["state"] == EndpointState.READY and (restarted or was_cold):
        stats.ready_since_ms = now_ms
    stats.incarnation = view["incarnation"]
    stats.state = EndpointState(view["state"])
    stats.holder = view["holder"]
    _set_plain_from(state, stats)
    # The holder counts legs from here too, which are known better here.
    stats.others = max(0, view["busy"] + view["queued"] - stats.outstanding)
    stats.hint_at_ms = now_ms


def forget_endpoints(state: RoutingState, known: Iterable[str]) -> None:
    """Drop the statistics of endpoints that have no view any more and no leg in flight."""
    keep = set(known)
    for name in [n for n, s in state.endpoints.items() if n not in keep and not s.outstanding]:
        del state.endpoints[name]


def load_per_slot(state: RoutingState, stats: EndpointStats, slots: int, now_ms: float) -> float:
    """Return the legs per slot that an endpoint would have with one more.

    In its slow start an endpoint counts as having fewer slots.
    """
    legs = stats.outstanding + 1.0
    if stats.others:
        legs += stats.others * max(0.0, 1.0 - (now_ms - stats.hint_at_ms) / HINT_LIFETIME_MS)
    since_ms = now_ms - stats.ready_since_ms
    if since_ms < state.slow_start_ms:
        return legs / (slots * max(SLOW_START_SHARE, since_ms / state.slow_start_ms))
    return legs / slots


def _tier(state: RoutingState, stats: EndpointStats, now_ms: float) -> int:
    if now_ms < stats.ejected_until_ms or stats.state is EndpointState.EJECTED:
        return TIER_EJECTED
    if stats.state is EndpointState.COLD:
        return TIER_COLD
    if now_ms - stats.shed_at_ms < SHED_MEMORY_MS:
        return TIER_SHEDDING
    lost = state.holder_lost_at_ms
    if lost and now_ms - lost.get(stats.holder, NEVER_MS) < HOLDER_MEMORY_MS:
        return TIER_HOLDER_SUSPECT
    if now_ms < stats.slow_until_ms:
        return TIER_SLOW
    return TIER_READY


def _takes_no_work(stats: EndpointStats, now_ms: float) -> bool:
    return (
        stats.state is EndpointState.DRAINING
        or stats.state is EndpointState.GONE
        or now_ms - stats.drained_at_ms < DRAIN_MEMORY_MS
    )


def _score(
    state: RoutingState, route: EndpointRoute, stats: EndpointStats, now_ms: float
) -> Score | None:
    """Return the place of an endpoint in the order, lowest first; None if it takes no work.

    The order is: trouble seen, own zone while not overloaded, load per slot, latency.
    """
    tier = TIER_READY
    if now_ms < stats.plain_from_ms or state.holder_lost_at_ms:
        if _takes_no_work(stats, now_ms):
            return None
        tier = _tier(state, stats, now_ms)
        load = load_per_slot(state, stats, route.slots, now_ms)
    elif stats.others:
        load = load_per_slot(state, stats, route.slots, now_ms)
    else:
        load = (stats.outstanding + 1.0) / route.slots
    near = load <= OVERLOAD_PER_SLOT and route.zone == state.own_zone
    fresh = now_ms - stats.latency_at_ms < LATENCY_LIFETIME_MS
    return tier, 0 if near else 1, load, stats.latency_rank if fresh else 0


def rank(
    state: RoutingState, routes: Routes, endpoints: Iterable[str], now_ms: float, rng: Random
) -> list[str]:
    """Return the endpoints that may take a leg, the best first, equal ones in random order."""
    places: list[tuple[Score, float, str]] = []
    for name in endpoints:
        route = routes.endpoints.get(name)
        if route is None:
            continue
        place = _score(state, route, stats_of(state, name), now_ms)
        if place is not None:
            places.append((place, rng.random(), name))
    return [name for _, _, name in sorted(places)]


def choose(
    state: RoutingState, routes: Routes, endpoints: Iterable[str], now_ms: float, rng: Random
) -> str | None:
    """Return the first of `rank`, or None. This is the form for the hot path."""
    best: Score | None = None
    chosen: str | None = None
    ties = 1
    routes_of = routes.endpoints
    known = state.endpoints
    for name in endpoints:
        route = routes_of.get(name)
        if route is None:
            continue
        place = _score(state, route, known.get(name) or stats_of(state, name), now_ms)
        if place is None:
            continue
        if best is None or place < best:
            best, chosen, ties = place, name, 1
        elif place == best:
            ties += 1
            if rng.random() * ties < 1.0:
                chosen = name
    return chosen


def may_take_extra(state: RoutingState, routes: Routes, endpoint: str, now_ms: float) -> bool:
    """Tell whether an endpoint looks able to take a leg that is not strictly needed."""
    route = routes.endpoints.get(endpoint)
    if route is None:
        return False
    stats = stats_of(state, endpoint)
    if _takes_no_work(stats, now_ms) or _tier(state, stats, now_ms) != TIER_READY:
        return False
    if stats.overdue_share > NO_HEDGE_OVERDUE_SHARE:
        return False
    return load_per_slot(state, stats, route.slots, now_ms) <= OVERLOAD_PER_SLOT


def note_sent(state: RoutingState, endpoint: str) -> None:
    """Count a leg as outstanding."""
    stats_of(state, endpoint).outstanding += 1


def note_cancelled(state: RoutingState, endpoint: str) -> None:
    """Count a leg as no longer outstanding, without an observation."""
    stats = stats_of(state, endpoint)
    stats.outstanding = max(0, stats.outstanding - 1)


def _may_eject(state: RoutingState, routes: Routes, endpoint: str, now_ms: float) -> bool:
    """Tell whether the ejected share of the endpoint's service stays within its limit."""
    route = routes.endpoints.get(endpoint)
    if route is None:
        return False
    ejected = sum(
        1
        for name, stats in state.endpoints.items()
        if now_ms < stats.ejected_until_ms
        and name != endpoint
        and (other := routes.endpoints.get(name)) is not None
        and other.service == route.service
    )
    size = routes.service_sizes[route.service]
    return size > 1 and ejected + 1 <= size * state.eject_max_share


def note_reply(
    state: RoutingState,
    routes: Routes,
    endpoint: str,
    outcome: LegOutcome,
    elapsed_ms: float,
    now_ms: float,
) -> None:
    """Record the end of a leg.

    Parameters
    ----------
    state : RoutingState
        Changed in place.
    routes : Routes
        The endpoints of the bundle, for the limit on ejections.
    endpoint : str
        Endpoint of the leg.
    outcome : LegOutcome
        What became of the leg.
    elapsed_ms : float
        Time from sending the leg to its end.
    now_ms : float
        Monotonic time in milliseconds.
    """
    stats = state.endpoints.get(endpoint) or stats_of(state, endpoint)
    if stats.outstanding > 0:
        stats.outstanding -= 1
    if outcome == LegOutcome.OK:
        stats.failures = 0
        if stats.ejected_until_ms > now_ms:
            stats.ejected_until_ms = NEVER_MS
            _set_plain_from(state, stats)
        known = stats.latency_ms
        latency_ms = known + LATENCY_WEIGHT * (elapsed_ms - known) if known else elapsed_ms
        stats.latency_ms = latency_ms
        stats.latency_rank = int(2 * math.log2(latency_ms)) if latency_ms > 1 else 0
        stats.latency_at_ms = now_ms
        if state.holder_lost_at_ms:
            state.holder_lost_at_ms.pop(stats.holder, None)
    elif outcome == LegOutcome.SHEDDING:
        stats.shed_at_ms = now_ms
        _set_plain_from(state, stats)
    elif outcome == LegOutcome.DRAINING:
        stats.drained_at_ms = now_ms
        _set_plain_from(state, stats)
    elif outcome == LegOutcome.PEER_LOST:
        # The holder failed and not the endpoint, so the endpoint is not ejected.
        state.holder_lost_at_ms[stats.holder] = now_ms
    elif outcome in FAILURES:
        _note_failure(state, routes, endpoint, now_ms)


def _note_failure(state: RoutingState, routes: Routes, endpoint: str, now_ms: float) -> None:
    stats = stats_of(state, endpoint)
    stats.failures += 1
    if stats.failures < state.eject_after_failures or now_ms < stats.ejected_until_ms:
        return
    if _may_eject(state, routes, endpoint, now_ms):
        stats.ejected_until_ms = now_ms + state.eject_ms
        _set_plain_from(state, stats)


def note_lost_race(state: RoutingState, routes: Routes, endpoint: str, now_ms: float) -> None:
    """Record a late leg that was cancelled because a hedge answered first.

    It counts as a failure: an endpoint that has gone silent would otherwise never be ejected,
    because each of its legs is cancelled before it fails.
    """
    note_cancelled(state, endpoint)
    _note_failure(state, routes, endpoint, now_ms)


def note_overdue(state: RoutingState, endpoint: str, overdue: bool, now_ms: float) -> None:
    """Record whether a primary leg was answered within the hedge delay."""
    stats = state.endpoints.get(endpoint) or stats_of(state, endpoint)
    stats.overdue_share += OVERDUE_WEIGHT * (overdue - stats.overdue_share)
    if overdue and stats.overdue_share > SLOW_OVERDUE_SHARE:
        stats.slow_until_ms = now_ms + SLOW_MEMORY_MS
        _set_plain_from(state, stats)


def shed_recently(state: RoutingState, endpoint: str, now_ms: float) -> bool:
    """Tell whether an endpoint refused a leg because of its load a short time ago."""
    return now_ms - stats_of(state, endpoint).shed_at_ms < SHED_MEMORY_MS
