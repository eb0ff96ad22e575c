"""Select endpoints by expected latency and track which endpoints and zones are reachable."""

import math
import random
from collections.abc import Callable, Collection, Sequence

from wisteriarock.limits.pause import allows_request

from .const import (
    COLD_FACTOR,
    CONNECT_PENALTY_MS,
    CONTRADICTED_DECAY_MS,
    CROSS_ZONE_PENALTY_MS,
    ERROR_PENALTY_FACTOR,
    EVEN_CANDIDATES_MAX,
    EVEN_JITTER_SHARE,
    EVEN_STALL_LATENCY_FACTOR,
    EVEN_STALL_MIN_MS,
    JITTER_SHARE,
    LOST_ZONE_UNREACHABLE_SHARE,
    OBSERVATION_DECAY_MS,
    OBSERVATION_WEIGHT,
    STALL_LATENCY_FACTOR,
    STALL_MIN_MS,
    STALL_PENALTY_FACTOR,
    UNREACHABLE_AFTER_MS,
    UNREACHABLE_CONNECT_FAILURES,
    ZONE_SILENCE_MS,
    ZONE_SILENT_ENDPOINTS_MIN,
)
from .load import (
    expected_load,
    expected_pace,
    explain_ms,
    observe_unexplained,
    record_report,
    share_service_load,
    trouble_ratio,
)
from .models import Endpoint, LoadReport


def silence_ms(endpoint: Endpoint, now_ms: float) -> float:
    """Return the age of the oldest unanswered leg, 0 if there is none."""
    since_ms = endpoint.silent_since_ms
    for sent_at_ms in endpoint.in_flight.values():
        if since_ms is None or sent_at_ms < since_ms:
            since_ms = sent_at_ms
        break
    return 0.0 if since_ms is None else now_ms - since_ms


def estimate_cost_ms(
    endpoint: Endpoint,
    zone: str,
    expected_ms: float,
    now_ms: float,
    rng: random.Random,
    *,
    is_even: bool = False,
) -> float:
    """Estimate the latency of the next leg on an endpoint, including penalties.

    With `is_even`, or if the endpoint reports its load, lasting speed, pace and trouble are kept
    apart; otherwise the observed ratio of latencies stands for all of them.
    """
    decay_ms = CONTRADICTED_DECAY_MS if endpoint.is_contradicted else OBSERVATION_DECAY_MS
    weight = math.exp((endpoint.observed_at_ms - now_ms) / decay_ms)
    ratio = 1.0 + (endpoint.slow_ratio - 1.0) * weight
    jitter_share = JITTER_SHARE
    knows_load = is_even or endpoint.load is not None
    if knows_load:
        ratio = trouble_ratio(endpoint, ratio)
        ratio *= endpoint.speed_ratio * expected_pace(endpoint, now_ms)
        jitter_share = EVEN_JITTER_SHARE
    if endpoint.cold_until_ms > now_ms:
        ratio *= COLD_FACTOR
    cost = expected_ms * ratio * (1.0 + expected_load(endpoint, expected_ms, now_ms))
    if endpoint.zone != zone:
        cost += CROSS_ZONE_PENALTY_MS
    if endpoint.error_rate:
        cost += expected_ms * ERROR_PENALTY_FACTOR * endpoint.error_rate * weight
    silent_ms = silence_ms(endpoint, now_ms)
    if silent_ms > STALL_MIN_MS and silent_ms > STALL_LATENCY_FACTOR * expected_ms * ratio:
        cost += expected_ms * STALL_PENALTY_FACTOR
    elif knows_load and silent_ms > EVEN_STALL_MIN_MS:
        # Large requests do not stall an endpoint that has replied to others meanwhile.
        has_replied = endpoint.last_reply_at_ms > now_ms - silent_ms
        if not has_replied and silent_ms > EVEN_STALL_LATENCY_FACTOR * expected_ms * ratio:
            cost += expected_ms * STALL_PENALTY_FACTOR
    return cost + expected_ms * jitter_share * rng.random()


def choose_endpoint(
    endpoints: Sequence[Endpoint],
    excluded: Collection[str],
    zone: str,
    expected_ms: float,
    now_ms: float,
    rng: random.Random,
    has_idle_connection: Callable[[Endpoint], bool] = lambda _: True,
    *,
    is_even: bool = False,
) -> Endpoint | None:
    """Return the endpoint with the lowest estimated cost, None if there is no candidate.

    Unreachable and paused endpoints and those whose ids are in `excluded` are skipped. An idle
    connection makes an endpoint preferable, so that connections stay in use where there are few
    queries. `is_even` asks for an estimate that spreads the load evenly.
    """
    best = None
    best_cost = math.inf
    candidates = endpoints
    if is_even and len(endpoints) > EVEN_CANDIDATES_MAX:
        usable = [each for each in endpoints if _is_usable(each, excluded, now_ms)]
        candidates = rng.sample(usable, min(EVEN_CANDIDATES_MAX, len(usable)))
    for endpoint in candidates:
        if not _is_usable(endpoint, excluded, now_ms):
            continue
        if endpoint.service_load is None:
            share_service_load(endpoints)
        cost = estimate_cost_ms(endpoint, zone, expected_ms, now_ms, rng, is_even=is_even)
        if not has_idle_connection(endpoint):
            cost += CONNECT_PENALTY_MS
        if cost < best_cost:
            best, best_cost = endpoint, cost
    return best


def _is_usable(endpoint: Endpoint, excluded: Collection[str], now_ms: float) -> bool:
    if endpoint.is_unreachable or endpoint.endpoint_id in excluded:
        return False
    return allows_request(endpoint.pause, len(endpoint.in_flight), now_ms)


def has_reachable(endpoints: Sequence[Endpoint]) -> bool:
    """Return whether any of the endpoints is not marked as unreachable."""
    return any(not endpoint.is_unreachable for endpoint in endpoints)


def _decay_observations(endpoint: Endpoint, now_ms: float) -> None:
    decay_ms = CONTRADICTED_DECAY_MS if endpoint.is_contradicted else OBSERVATION_DECAY_MS
    weight = math.exp((endpoint.observed_at_ms - now_ms) / decay_ms)
    endpoint.slow_ratio = 1.0 + (endpoint.slow_ratio - 1.0) * weight
    endpoint.error_rate *= weight
    endpoint.observed_at_ms = now_ms


def observe_reply(
    endpoint: Endpoint,
    elapsed_ms: float,
    expected_ms: float,
    *,
    is_error: bool,
    now_ms: float,
    report: LoadReport | None = None,
    has_run: bool = True,
    is_even: bool = False,
) -> None:
    """Record a reply and its load report; an error does not count towards the latency."""
    if report is not None:
        record_report(endpoint, report, now_ms, counts_replied=has_run)
    observed_at_ms = endpoint.observed_at_ms
    _decay_observations(endpoint, now_ms)
    endpoint.last_reply_at_ms = now_ms
    mark_reachable(endpoint)
    endpoint.error_rate += OBSERVATION_WEIGHT * ((1.0 if is_error else 0.0) - endpoint.error_rate)
    if is_error or expected_ms <= 0:
        return
    if is_even or endpoint.load is not None:
        explained_ms = explain_ms(endpoint, expected_ms, report)
        gap_ms = now_ms - observed_at_ms
        observe_unexplained(endpoint, elapsed_ms, explained_ms, gap_ms, now_ms)
    else:
        ratio = elapsed_ms / expected_ms
        endpoint.slow_ratio += OBSERVATION_WEIGHT * (ratio - endpoint.slow_ratio)


def observe_incomplete_reply(endpoint: Endpoint, now_ms: float) -> None:
    """Record a leg that ended without a complete reply."""
    _decay_observations(endpoint, now_ms)
    endpoint.error_rate += OBSERVATION_WEIGHT * (1.0 - endpoint.error_rate)


def observe_abandoned_leg(
    endpoint: Endpoint, sent_at_ms: float, expected_ms: float, now_ms: float
) -> None:
    """Record a leg that was abandoned without a reply."""
    _decay_observations(endpoint, now_ms)
    if endpoint.silent_since_ms is None:
        endpoint.silent_since_ms = sent_at_ms
    ratio = (now_ms - sent_at_ms) / max(1.0, expected_ms)
    if ratio > endpoint.slow_ratio:
        endpoint.slow_ratio += OBSERVATION_WEIGHT * (ratio - endpoint.slow_ratio)


def observe_connect_failure(endpoint: Endpoint) -> None:
    """Record a failed connection attempt."""
    endpoint.connect_failures += 1


def mark_if_unreachable(endpoint: Endpoint, now_ms: float) -> bool:
    """Mark an endpoint as unreachable if it has failed to connect or reply for too long.

    Returns
    -------
    bool
        Whether the endpoint has become unreachable with this call.
    """
    if endpoint.is_unreachable:
        return False
    endpoint.is_unreachable = (
        endpoint.connect_failures >= UNREACHABLE_CONNECT_FAILURES
        or silence_ms(endpoint, now_ms) > UNREACHABLE_AFTER_MS
    )
    return endpoint.is_unreachable


def mark_reachable(endpoint: Endpoint) -> None:
    """Mark an endpoint as reachable and reset its connection failures."""
    endpoint.connect_failures = 0
    endpoint.is_unreachable = False
    endpoint.is_zone_lost = False
    endpoint.silent_since_ms = None


def mark_lost_zones(endpoints: Collection[Endpoint], now_ms: float) -> list[str]:
    """Mark the endpoints of zones that no longer reply as unreachable; return these zones.

    A zone is lost when several of its endpoints have unanswered legs and none of its endpoints has
    replied for `ZONE_SILENCE_MS`.
    """
    zone_reply_at_ms: dict[str, float] = {}
    for endpoint in endpoints:
        zone_reply_at_ms[endpoint.zone] = max(
            zone_reply_at_ms.get(endpoint.zone, 0.0), endpoint.last_reply_at_ms
        )
    silent_counts: dict[str, int] = {}
    for endpoint in endpoints:
        if endpoint.is_unreachable or now_ms - zone_reply_at_ms[endpoint.zone] < ZONE_SILENCE_MS:
            continue
        if silence_ms(endpoint, now_ms) >= ZONE_SILENCE_MS:
            silent_counts[endpoint.zone] = silent_counts.get(endpoint.zone, 0) + 1
    lost = [zone for zone, count in silent_counts.items() if count >= ZONE_SILENT_ENDPOINTS_MIN]
    for endpoint in endpoints:
        if endpoint.zone in lost and not endpoint.is_unreachable:
            endpoint.is_unreachable = True
            endpoint.is_zone_lost = True
    return lost


def find_unreachable_zones(endpoints: Collection[Endpoint], own_zone: str) -> list[str]:
    """Return the other zones in which at least half of the endpoints are unreachable.

    A partition that resets connections makes endpoints unreachable one by one, so that
    `mark_lost_zones` does not detect it.
    """
    total: dict[str, int] = {}
    unreachable: dict[str, int] = {}
    for endpoint in endpoints:
        total[endpoint.zone] = total.get(endpoint.zone, 0) + 1
        unreachable[endpoint.zone] = unreachable.get(endpoint.zone, 0) + endpoint.is_unreachable
    return sorted(
        zone
        for zone, count in total.items()
        if zone != own_zone and unreachable[zone] >= LOST_ZONE_UNREACHABLE_SHARE * count
    )


def apply_reported_zone_loss(
    endpoints: Collection[Endpoint], zones: Collection[str], reply_since_ms: float
) -> list[str]:
    """Mark the endpoints of zones that a peer reported as lost; return these zones.

    Zones from which this instance has received a reply since `reply_since_ms` are skipped.
    """
    replying_zones = {
        endpoint.zone for endpoint in endpoints if endpoint.last_reply_at_ms >= reply_since_ms
    }
    lost = [zone for zone in zones if zone not in replying_zones]
    for endpoint in endpoints:
        if endpoint.zone in lost and not endpoint.is_unreachable:
            endpoint.is_unreachable = True
            endpoint.is_zone_lost = True
    return lost


def restore_zone(endpoints: Collection[Endpoint], zone: str) -> int:
    """Mark the endpoints of a lost zone as reachable; return how many there were."""
    restored_count = 0
    for endpoint in endpoints:
        if endpoint.zone == zone and endpoint.is_zone_lost:
            mark_reachable(endpoint)
            restored_count += 1
    return restored_count
