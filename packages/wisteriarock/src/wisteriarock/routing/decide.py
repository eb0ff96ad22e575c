"""Rank the replicas of a partition by local observations and reported load."""

import math
from collections.abc import Iterable
from random import Random

from wisteriarock.bundle.models import BundleContent
from wisteriarock.membership.models import EndpointState, EndpointView
from wisteriarock.query.models import LegOutcome

from .const import (
    DRAIN_EXCLUSION_MS,
    LATENCY_EWMA_WEIGHT,
    LATENCY_LIFETIME_MS,
    LOST_HOLDER_PENALTY_MS,
    NO_HEDGE_OVERDUE_SHARE,
    OVERDUE_EWMA_WEIGHT,
    OVERLOAD_PER_SLOT,
    REPORTED_LOAD_LIFETIME_MS,
    SHED_PENALTY_MS,
    SLOW_OVERDUE_SHARE,
    SLOW_PENALTY_MS,
    SLOW_START_SHARE,
)
from .models import LONG_AGO_MS, EndpointRoute, EndpointStats, Routes, RoutingState

# Preference tiers. Zone, load and latency are compared only within a tier.
TIER_READY = 0
TIER_SLOW = 1
TIER_HOLDER_SUSPECT = 2
TIER_SHEDDING = 3
TIER_COLD = 4
TIER_EJECTED = 5

FAILURE_OUTCOMES = frozenset({LegOutcome.LOST, LegOutcome.REFUSED})
Score = tuple[int, int, float, int]
FAST_PATH_STATES = frozenset({EndpointState.READY, EndpointState.UNKNOWN})


def build_routes(content: BundleContent) -> Routes:
    """Return the routes of a bundle."""
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


def get_endpoint_stats(state: RoutingState, endpoint: str) -> EndpointStats:
    """Return the statistics of an endpoint, creating them on first use."""
    stats = state.endpoints.get(endpoint)
    if stats is None:
        stats = state.endpoints[endpoint] = EndpointStats()
    return stats


def _update_fast_path(state: RoutingState, stats: EndpointStats) -> None:
    if stats.state in FAST_PATH_STATES:
        stats.fast_path_from_ms = max(
            stats.ejected_until_ms,
            stats.shed_at_ms + SHED_PENALTY_MS,
            stats.drained_at_ms + DRAIN_EXCLUSION_MS,
            stats.ready_since_ms + state.slow_start_ms,
            stats.slow_until_ms,
        )
    else:
        stats.fast_path_from_ms = float("inf")


def apply_view(state: RoutingState, view: EndpointView, now_ms: float) -> None:
    """Update the statistics of an endpoint from its new view."""
    stats = get_endpoint_stats(state, view["endpoint"])
    known = bool(stats.incarnation)
    restarted = known and view["incarnation"] != stats.incarnation
    if restarted:
        # Observations of the previous process do not apply to the new one.
        stats.failures = 0
        stats.ejected_until_ms = stats.shed_at_ms = stats.drained_at_ms = LONG_AGO_MS
        stats.latency_rank = 0
        stats.overdue_share = 0.0
        stats.slow_until_ms = LONG_AGO_MS
    was_cold = stats.state is EndpointState.COLD
    if view["state"] == EndpointState.READY and (restarted or was_cold):
        stats.ready_since_ms = now_ms
    stats.incarnation = view["incarnation"]
    stats.state = EndpointState(view["state"])
    stats.holder = view["holder"]
    _update_fast_path(state, stats)
    # The holder's counts include the legs of this instance, which has its own, more recent count.
    stats.other_legs = max(0, view["busy"] + view["queued"] - stats.outstanding)
    stats.load_reported_at_ms = now_ms


def remove_stale_endpoints(state: RoutingState, known: Iterable[str]) -> None:
    """Remove the statistics of endpoints that have neither a view nor a leg in flight."""
    known_names = set(known)
    for name in [
        n for n, s in state.endpoints.items() if n not in known_names and not s.outstanding
    ]:
        del state.endpoints[name]


def load_per_slot(state: RoutingState, stats: EndpointStats, slots: int, now_ms: float) -> float:
    """Return the legs per slot that an endpoint would have with one more leg.

    During its slow start, an endpoint counts as having fewer slots.
    """
    legs = stats.outstanding + 1.0
    if stats.other_legs:
        legs += stats.other_legs * max(
            0.0, 1.0 - (now_ms - stats.load_reported_at_ms) / REPORTED_LOAD_LIFETIME_MS
        )
    since_ms = now_ms - stats.ready_since_ms
    if since_ms < state.slow_start_ms:
        return legs / (slots * max(SLOW_START_SHARE, since_ms / state.slow_start_ms))
    return legs / slots


def _preference_tier(state: RoutingState, stats: EndpointStats, now_ms: float) -> int:
    if now_ms < stats.ejected_until_ms or stats.state is EndpointState.EJECTED:
        return TIER_EJECTED
    if stats.state is EndpointState.COLD:
        return TIER_COLD
    if now_ms - stats.shed_at_ms < SHED_PENALTY_MS:
        return TIER_SHEDDING
    holder_lost_at_ms = state.holder_lost_at_ms
    if (
        holder_lost_at_ms
        and now_ms - holder_lost_at_ms.get(stats.holder, LONG_AGO_MS) < LOST_HOLDER_PENALTY_MS
    ):
        return TIER_HOLDER_SUSPECT
    if now_ms < stats.slow_until_ms:
        return TIER_SLOW
    return TIER_READY


def _accepts_no_legs(stats: EndpointStats, now_ms: float) -> bool:
    return (
        stats.state is EndpointState.DRAINING
        or stats.state is EndpointState.GONE
        or now_ms - stats.drained_at_ms < DRAIN_EXCLUSION_MS
    )


def _score(
    state: RoutingState, route: EndpointRoute, stats: EndpointStats, now_ms: float
) -> Score | None:
    """Return the sort key of an endpoint, best first, or None if it accepts no legs.

    The criteria are, in this order: preference tier, local zone unless overloaded, load per slot
    and latency.
    """
    tier = TIER_READY
    if now_ms < stats.fast_path_from_ms or state.holder_lost_at_ms:
        if _accepts_no_legs(stats, now_ms):
            return None
        tier = _preference_tier(state, stats, now_ms)
        load = load_per_slot(state, stats, route.slots, now_ms)
    elif stats.other_legs:
        load = load_per_slot(state, stats, route.slots, now_ms)
    else:
        load = (stats.outstanding + 1.0) / route.slots
    prefer_local = load <= OVERLOAD_PER_SLOT and route.zone == state.own_zone
    latency_is_fresh = now_ms - stats.latency_at_ms < LATENCY_LIFETIME_MS
    return tier, 0 if prefer_local else 1, load, stats.latency_rank if latency_is_fresh else 0


def rank_replicas(
    state: RoutingState, routes: Routes, endpoints: Iterable[str], now_ms: float, rng: Random
) -> list[str]:
    """Return the endpoints that accept legs, best first, with ties in random order."""
    scored: list[tuple[Score, float, str]] = []
    for name in endpoints:
        route = routes.endpoints.get(name)
        if route is None:
            continue
        score = _score(state, route, get_endpoint_stats(state, name), now_ms)
        if score is not None:
            scored.append((score, rng.random(), name))
    return [name for _, _, name in sorted(scored)]


def choose_replica(
    state: RoutingState, routes: Routes, endpoints: Iterable[str], now_ms: float, rng: Random
) -> str | None:
    """Return the best endpoint or None, as `rank_replicas` does, but without sorting."""
    best: Score | None = None
    chosen: str | None = None
    ties = 1
    routes_of = routes.endpoints
    known = state.endpoints
    for name in endpoints:
        route = routes_of.get(name)
        if route is None:
            continue
        score = _score(state, route, known.get(name) or get_endpoint_stats(state, name), now_ms)
        if score is None:
            continue
        if best is None or score < best:
            best, chosen, ties = score, name, 1
        elif score == best:
            ties += 1
            if rng.random() * ties < 1.0:
                chosen = name
    return chosen


def can_accept_extra_leg(state: RoutingState, routes: Routes, endpoint: str, now_ms: float) -> bool:
    """Return whether an endpoint has capacity for a hedge or for a retry after load shedding."""
    route = routes.endpoints.get(endpoint)
    if route is None:
        return False
    stats = get_endpoint_stats(state, endpoint)
    if _accepts_no_legs(stats, now_ms) or _preference_tier(state, stats, now_ms) != TIER_READY:
        return False
    if stats.overdue_share > NO_HEDGE_OVERDUE_SHARE:
        return False
    return load_per_slot(state, stats, route.slots, now_ms) <= OVERLOAD_PER_SLOT


def record_leg_sent(state: RoutingState, endpoint: str) -> None:
    """Count a leg as outstanding."""
    get_endpoint_stats(state, endpoint).outstanding += 1


def record_leg_cancelled(state: RoutingState, endpoint: str) -> None:
    """Count a leg as no longer outstanding, without recording an outcome."""
    stats = get_endpoint_stats(state, endpoint)
    stats.outstanding = max(0, stats.outstanding - 1)


def _may_eject(state: RoutingState, routes: Routes, endpoint: str, now_ms: float) -> bool:
    """Return whether the ejected share of the endpoint's service stays within its limit."""
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


def record_leg_reply(
    state: RoutingState,
    routes: Routes,
    endpoint: str,
    outcome: LegOutcome,
    elapsed_ms: float,
    now_ms: float,
) -> None:
    """Record the outcome of a leg.

    Parameters
    ----------
    state : RoutingState
        Modified in place.
    routes : Routes
        The endpoints of the bundle, for the limit on ejections.
    endpoint : str
        Endpoint of the leg.
    outcome : LegOutcome
        Result of the leg.
    elapsed_ms : float
        Time from sending the leg to its end.
    now_ms : float
        Monotonic time in milliseconds.
    """
    stats = state.endpoints.get(endpoint) or get_endpoint_stats(state, endpoint)
    if stats.outstanding > 0:
        stats.outstanding -= 1
    if outcome == LegOutcome.OK:
        stats.failures = 0
        if stats.ejected_until_ms > now_ms:
            stats.ejected_until_ms = LONG_AGO_MS
            _update_fast_path(state, stats)
        known = stats.latency_ms
        latency_ms = known + LATENCY_EWMA_WEIGHT * (elapsed_ms - known) if known else elapsed_ms
        stats.latency_ms = latency_ms
        stats.latency_rank = int(2 * math.log2(latency_ms)) if latency_ms > 1 else 0
        stats.latency_at_ms = now_ms
        if state.holder_lost_at_ms:
            state.holder_lost_at_ms.pop(stats.holder, None)
    elif outcome == LegOutcome.SHEDDING:
        stats.shed_at_ms = now_ms
        _update_fast_path(state, stats)
    elif outcome == LegOutcome.DRAINING:
        stats.drained_at_ms = now_ms
        _update_fast_path(state, stats)
    elif outcome == LegOutcome.PEER_LOST:
        # The holder failed, not the endpoint, so the endpoint is not ejected.
        state.holder_lost_at_ms[stats.holder] = now_ms
    elif outcome in FAILURE_OUTCOMES:
        _record_failure(state, routes, endpoint, now_ms)


def _record_failure(state: RoutingState, routes: Routes, endpoint: str, now_ms: float) -> None:
    stats = get_endpoint_stats(state, endpoint)
    stats.failures += 1
    if stats.failures < state.eject_after_failures or now_ms < stats.ejected_until_ms:
        return
    if _may_eject(state, routes, endpoint, now_ms):
        stats.ejected_until_ms = now_ms + state.eject_ms
        _update_fast_path(state, stats)


def record_lost_race(state: RoutingState, routes: Routes, endpoint: str, now_ms: float) -> None:
    """Record a primary leg that was cancelled because a hedge answered first.

    It counts as a failure: a silent endpoint would otherwise never be ejected, because each of its
    legs is cancelled before it fails.
    """
    record_leg_cancelled(state, endpoint)
    _record_failure(state, routes, endpoint, now_ms)


def record_overdue(state: RoutingState, endpoint: str, overdue: bool, now_ms: float) -> None:
    """Record whether a primary leg exceeded the hedge delay."""
    stats = state.endpoints.get(endpoint) or get_endpoint_stats(state, endpoint)
    stats.overdue_share += OVERDUE_EWMA_WEIGHT * (overdue - stats.overdue_share)
    if overdue and stats.overdue_share > SLOW_OVERDUE_SHARE:
        stats.slow_until_ms = now_ms + SLOW_PENALTY_MS
        _update_fast_path(state, stats)


def shed_recently(state: RoutingState, endpoint: str, now_ms: float) -> bool:
    """Return whether an endpoint recently refused a leg because of its load."""
    return now_ms - get_endpoint_stats(state, endpoint).shed_at_ms < SHED_PENALTY_MS
