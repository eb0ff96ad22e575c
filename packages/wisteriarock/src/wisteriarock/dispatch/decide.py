"""Decisions on timing, hedges and retries of queries."""

import random
from collections.abc import Collection, Mapping

from wisteriarock.catalog.models import Customer, Route
from wisteriarock.quarantine.const import ENDS_MAX
from wisteriarock.quarantine.decide import may_send_more

from .const import (
    ANSWER_COST_MS,
    ANSWER_MARGIN_MS,
    ANSWER_SLACK_MS,
    BALANCER_REMOVAL_MS,
    CALLER_RETRY_MIN_WAIT_MS,
    CALLER_ROUND_TRIPS,
    DEADLINE_MARGIN_MS,
    EARLY_ANSWER_MIN_HEDGE_DELAYS,
    EXPECTED_TARGETS,
    EXPECTED_TARGETS_NOT_IDEMPOTENT,
    FULL_TIME_PERIOD_MS,
    HEDGE_DELAY_MIN_MS,
    HEDGE_QUANTILE,
    HEDGE_QUANTILE_STEP,
    HEDGE_RELATIVE_FACTOR,
    HEDGE_WAVE_LEGS,
    INITIAL_EXPECTED_SHARE_FAN_OUT,
    INITIAL_EXPECTED_SHARE_PLAIN,
    INITIAL_HEDGE_SHARE_FAN_OUT,
    INITIAL_HEDGE_SHARE_PLAIN,
    LATENCY_SAMPLE_WEIGHT,
    RETRY_AFTER_MAX_SHARE,
    RETRY_AFTER_MIN_MS,
    RETRY_AFTER_MS,
    RETRY_AFTER_SPREAD_MS,
    SHED_BACKOFF_MS,
    STRAGGLER_CLIP_FACTOR,
    TIMER_DELAY_MAX_MS,
    TIMER_DELAY_WEIGHT,
)
from .models import FullTime, Query, RouteLatency, Shard


def create_latency(route: Route) -> RouteLatency:
    """Return the initial latency estimates of a route, before the first reply."""
    target_ms = route.latency_target_ms
    if route.shards:
        return RouteLatency(
            target_ms * INITIAL_EXPECTED_SHARE_FAN_OUT, target_ms * INITIAL_HEDGE_SHARE_FAN_OUT
        )
    return RouteLatency(
        target_ms * INITIAL_EXPECTED_SHARE_PLAIN, target_ms * INITIAL_HEDGE_SHARE_PLAIN
    )


def record_latency(latency: RouteLatency, elapsed_ms: float) -> None:
    """Update the latency estimates of a route with the latency of a leg."""
    latency.samples += 1
    clipped_ms = min(elapsed_ms, STRAGGLER_CLIP_FACTOR * latency.expected_ms)
    latency.expected_ms += LATENCY_SAMPLE_WEIGHT * (clipped_ms - latency.expected_ms)
    step_ms = HEDGE_QUANTILE_STEP * latency.hedge_delay_ms
    if elapsed_ms > latency.hedge_delay_ms:
        latency.hedge_delay_ms += step_ms * HEDGE_QUANTILE
    else:
        latency.hedge_delay_ms -= step_ms * (1.0 - HEDGE_QUANTILE)
    latency.hedge_delay_ms = max(HEDGE_DELAY_MIN_MS, latency.hedge_delay_ms)


def caller_waited_ms(latency: RouteLatency, time_left_ms: float | None) -> float:
    """Estimate how long a caller has spent on earlier attempts of the same request.

    A retry carries the remainder of the time that the first attempt had.
    """
    if time_left_ms is None:
        return 0.0
    latency.max_time_left_ms = max(latency.max_time_left_ms, time_left_ms)
    waited = latency.max_time_left_ms - time_left_ms
    return waited if waited >= CALLER_RETRY_MIN_WAIT_MS else 0.0


def is_later_attempt(
    full_times: dict[tuple[str, str], FullTime],
    customer: Customer,
    route: Route,
    time_left_ms: float | None,
    now_ms: float,
) -> bool:
    """Return whether a customer's caller has probably come back after an earlier attempt.

    Only requests of the same customer to the route are compared, and those of the last two periods;
    time beyond the timeout of the route says nothing. A customer without a limit leaves no state.
    """
    if time_left_ms is None or customer.rate_per_s <= 0:
        return False
    full = full_times.setdefault((customer.name, route.name), FullTime(now_ms))
    elapsed_ms = now_ms - full.since_ms
    if elapsed_ms >= FULL_TIME_PERIOD_MS:
        full.earlier_ms = full.recent_ms if elapsed_ms < 2 * FULL_TIME_PERIOD_MS else 0.0
        full.since_ms, full.recent_ms = now_ms, 0.0
    left_ms = min(time_left_ms, route.timeout_ms)
    full.recent_ms = max(full.recent_ms, left_ms)
    return max(full.earlier_ms, full.recent_ms) - left_ms >= CALLER_RETRY_MIN_WAIT_MS


def forget_full_times(
    full_times: dict[tuple[str, str], FullTime],
    customers: Mapping[str, Customer],
    routes: Collection[str],
) -> None:
    """Forget what the configuration names no longer, and customers without a limit."""
    for name, route in list(full_times):
        customer = customers.get(name)
        if customer is None or customer.rate_per_s <= 0 or route not in routes:
            del full_times[name, route]


def answer_margin_ms(
    capacity_cores: float, timer_delay_ms: float, round_trip_ms: float | None = None
) -> float:
    """Return the time before the latency target at which a fan-out is answered.

    Parameters
    ----------
    capacity_cores : float
        Processing capacity of this instance.
    timer_delay_ms : float
        Average delay of early answers behind their time, when the processor is busy.
    round_trip_ms : float or None
        Round trip of the caller's connection; None if it is not known.
    """
    slow_ms = ANSWER_COST_MS * max(0.0, 1.0 / capacity_cores - 1.0)
    margin_ms = ANSWER_MARGIN_MS
    if round_trip_ms is not None:
        transit_ms = CALLER_ROUND_TRIPS * round_trip_ms + ANSWER_SLACK_MS
        margin_ms = min(margin_ms, transit_ms)
    return margin_ms + slow_ms + timer_delay_ms


def average_timer_delay_ms(average_ms: float, delay_ms: float) -> float:
    """Return the moving average of the delay of timers after a further sample."""
    sample_ms = min(max(0.0, delay_ms), TIMER_DELAY_MAX_MS)
    return average_ms + TIMER_DELAY_WEIGHT * (sample_ms - average_ms)


def set_query_times(query: Query, time_left_ms: float | None, margin_ms: float) -> None:
    """Set the early answer time, the expiry time and the expiry time of the legs of a query.

    `margin_ms` is the time before the latency target at which a fan-out is answered.
    """
    route = query.route
    allowed_ms = route.timeout_ms
    if time_left_ms is not None:
        allowed_ms = min(allowed_ms, time_left_ms - DEADLINE_MARGIN_MS)
    query.expires_at_ms = query.started_at_ms + max(0.0, allowed_ms)
    query.legs_expire_at_ms = query.expires_at_ms
    early_ms = max(0.0, route.latency_target_ms - margin_ms)
    waited = caller_waited_ms(query.latency, time_left_ms)
    query.is_caller_back = waited > 0
    if waited < early_ms:
        min_ms = min(early_ms, EARLY_ANSWER_MIN_HEDGE_DELAYS * query.latency.hedge_delay_ms)
        early_ms = max(early_ms - waited, min_ms)
    query.early_answer_at_ms = min(query.started_at_ms + early_ms, query.expires_at_ms)
    if route.shards:
        # Under overload, endpoints drop queued legs whose query has been answered early.
        query.legs_expire_at_ms = query.early_answer_at_ms


def can_end_before(query: Query, stops_at_ms: float) -> bool:
    """Return whether a query can be expected to end before the process stops."""
    route = query.route
    targets = EXPECTED_TARGETS if route.idempotent else EXPECTED_TARGETS_NOT_IDEMPOTENT
    expected_at_ms = query.started_at_ms + targets * route.latency_target_ms
    return min(expected_at_ms, query.expires_at_ms) <= stops_at_ms


def needed_parts(route: Route) -> int:
    """Return the minimum number of parts for a successful answer."""
    if not route.shards:
        return 1
    count = len(route.shards)
    needed = int(route.min_coverage * count)
    # The share is a decimal fraction: 0.89 of 100 shards is 89, whatever the float product is.
    while needed / count < route.min_coverage - 1e-9:
        needed += 1
    return max(1, needed)


def count_ends(query: Query) -> int:
    """Return the number of endpoints that ended under a query, here and at gatherers."""
    return len(query.ended_endpoint_ids) + query.ended_elsewhere


def has_attempt_left(query: Query, shard: Shard) -> bool:
    """Return whether the route allows another leg for a shard, however other shards fare.

    A gatherer that withheld a leg is the instance with the share in the rate limits for it.
    """
    if shard.part is not None or shard.possible_runs >= query.route.max_attempts:
        return False
    if shard.is_withheld_by_gatherer or shard.is_held or shard.is_waiting:
        return False
    return query.route.idempotent or shard.possible_runs == 0


def may_send_another_leg(query: Query, shard: Shard) -> bool:
    """Return whether another leg may be sent for a shard now."""
    return has_attempt_left(query, shard) and may_send_more(
        count_ends(query), query.survivors, is_fan_out=bool(query.route.shards)
    )


def awaits_survivor(query: Query) -> bool:
    """Return whether further legs wait for the outcome of those under way, as an endpoint ended."""
    if query.survivors or not 0 < count_ends(query) < ENDS_MAX:
        return False
    return any(shard.legs or shard.fragment is not None for shard in query.shards)


def is_hedge_due(query: Query, shard: Shard, now_ms: float) -> bool:
    """Return whether a shard's only outstanding leg is slow.

    In a larger fan-out, a leg is slow in comparison with the other legs; none is while more than
    half of them are missing.
    """
    if not query.route.idempotent or not may_send_another_leg(query, shard) or len(shard.legs) != 1:
        return False
    delay_ms = hedge_delay_ms(query)
    return delay_ms is not None and now_ms - shard.legs[0].sent_at_ms >= delay_ms


def hedge_delay_ms(query: Query) -> float | None:
    """Return the age at which a leg of a query is hedged, None while no leg may be."""
    if query.own_legs <= HEDGE_WAVE_LEGS:
        return query.latency.hedge_delay_ms
    if query.half_time_ms is None:
        return None
    relative_ms = max(HEDGE_DELAY_MIN_MS, HEDGE_RELATIVE_FACTOR * query.half_time_ms)
    return min(query.latency.hedge_delay_ms, relative_ms)


def record_own_part(query: Query, now_ms: float) -> bool:
    """Count a part of a leg sent from here; return whether half of these parts are in now."""
    query.own_parts += 1
    if query.half_time_ms is not None or 2 * query.own_parts < query.own_legs:
        return False
    query.half_time_ms = now_ms - query.started_at_ms
    return True


def record_shed(shard: Shard, now_ms: float) -> None:
    """Back off exponentially before the endpoints of a shard that shed a leg are tried again."""
    shard.retry_at_ms = now_ms + SHED_BACKOFF_MS * 2**shard.shed_count
    shard.shed_count += 1


def retry_after_ms(
    rng: random.Random, time_left_ms: float | None, isolated_ms: float | None
) -> float:
    """Return the Retry-After time for a refused caller, randomised to spread the retries.

    Parameters
    ----------
    time_left_ms : float or None
        The caller's remaining time; Retry-After is at most a third of it.
    isolated_ms : float or None
        How long this instance has been isolated and reported as not ready. A retry only succeeds
        once the load balancer routes it to another zone.
    """
    wait_ms = RETRY_AFTER_MS + RETRY_AFTER_SPREAD_MS * rng.random()
    if isolated_ms is not None:
        wait_ms = BALANCER_REMOVAL_MS - isolated_ms + RETRY_AFTER_SPREAD_MS * rng.random()
    if time_left_ms is not None:
        wait_ms = min(wait_ms, time_left_ms * RETRY_AFTER_MAX_SHARE)
    return max(RETRY_AFTER_MIN_MS, wait_ms)
