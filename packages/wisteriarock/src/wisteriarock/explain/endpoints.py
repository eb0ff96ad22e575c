"""What is known of an endpoint, what it adds to the estimate, and what excludes it."""

import math
from collections.abc import Callable
from typing import Any

from wisteriarock.balancing.const import CONNECT_PENALTY_MS
from wisteriarock.balancing.decide import estimate_cost_ms, silence_ms
from wisteriarock.balancing.diagnostics import choice_source, describe_load
from wisteriarock.balancing.load import expected_load
from wisteriarock.balancing.models import Endpoint
from wisteriarock.dispatch.limits import limit_sharers
from wisteriarock.dispatch.state import DispatchState
from wisteriarock.limits.endpoint_limit import EndpointLimit, may_send, try_acquire
from wisteriarock.limits.pause import allows_request

from .dry_run import copy_endpoint, copy_limit


def estimate_ms(
    state: DispatchState, endpoint: Endpoint, expected_ms: float, now_ms: float
) -> float:
    """Return the estimate by which an endpoint is compared, without jitter on a dry run."""
    cost_ms = _cost_ms(state, endpoint, expected_ms, now_ms)
    if not state.pool_of(endpoint).has_idle_connection(now_ms):
        cost_ms += CONNECT_PENALTY_MS
    return cost_ms


def _cost_ms(state: DispatchState, endpoint: Endpoint, expected_ms: float, now_ms: float) -> float:
    return estimate_cost_ms(
        endpoint, state.zone, expected_ms, now_ms, state.rng, is_even=state.is_load_even
    )


def _figure(value: float, digits: int = 0) -> float | None:
    """Return a rounded figure, None for one that is not finite."""
    if not math.isfinite(value):
        return None
    return round(value, digits) if digits else round(value)


def describe_endpoint(
    state: DispatchState, endpoint: Endpoint, expected_ms: float, now_ms: float
) -> dict[str, Any]:
    """Return the estimate of an endpoint with the figures that it is made from."""
    has_idle = state.pool_of(endpoint).has_idle_connection(now_ms)
    return {
        "endpoint": endpoint.endpoint_id,
        "zone": endpoint.zone,
        "cost_ms": _figure(estimate_ms(state, endpoint, expected_ms, now_ms), 1),
        "adds_ms": {
            **_additions_ms(state, endpoint, expected_ms, now_ms),
            "connection": 0.0 if has_idle else CONNECT_PENALTY_MS,
        },
        "load_source": choice_source(endpoint, now_ms),
        "load_per_slot": _figure(expected_load(endpoint, expected_ms, now_ms), 2),
        "report": describe_load(endpoint, now_ms),
        "in_flight": len(endpoint.in_flight),
        "slots": endpoint.slots,
        "speed_ratio": _figure(endpoint.speed_ratio, 2),
        "slow_ratio": _figure(endpoint.slow_ratio, 2),
        "error_rate": _figure(endpoint.error_rate, 2),
        "observed_ms_ago": _age_ms(endpoint.observed_at_ms, now_ms),
        "last_reply_ms_ago": _age_ms(endpoint.last_reply_at_ms, now_ms),
        "silent_for_ms": _figure(silence_ms(endpoint, now_ms)),
        "cold_for_ms": _figure(max(0.0, endpoint.cold_until_ms - now_ms)),
        "pause_left_ms": _figure(max(0.0, endpoint.pause.until_ms - now_ms)),
        "has_idle_connection": has_idle,
        "limits": describe_limits(state, endpoint, now_ms),
    }


def _age_ms(at_ms: float, now_ms: float) -> float | None:
    """Return the age of an observation, None if there was none since the process started."""
    return _figure(now_ms - at_ms) if at_ms else None


def _additions_ms(
    state: DispatchState, endpoint: Endpoint, expected_ms: float, now_ms: float
) -> dict[str, float | None]:
    """Return by how much the estimate would be lower without each fact about an endpoint.

    Facts multiply, so that the differences do not add up to the estimate.
    """
    cost_ms = _cost_ms(state, endpoint, expected_ms, now_ms)
    without: dict[str, Callable[[Endpoint], None]] = {
        "zone": lambda each: setattr(each, "zone", state.zone),
        "load": _remove_load,
        "pace": _remove_pace,
        "speed": lambda each: setattr(each, "speed_ratio", 1.0),
        "trouble": lambda each: setattr(each, "slow_ratio", 1.0),
        "errors": lambda each: setattr(each, "error_rate", 0.0),
        "silence": lambda each: _remove_silence(each, now_ms),
        "cold": lambda each: setattr(each, "cold_until_ms", 0.0),
    }
    additions_ms = {}
    for name, remove in without.items():
        other = copy_endpoint(endpoint)
        remove(other)
        additions_ms[name] = _figure(cost_ms - _cost_ms(state, other, expected_ms, now_ms), 1)
    return additions_ms


def _remove_load(endpoint: Endpoint) -> None:
    if endpoint.silent_since_ms is None:
        endpoint.silent_since_ms = next(iter(endpoint.in_flight.values()), None)
    endpoint.in_flight = {}
    endpoint.usual_load = 0.0
    endpoint.service_load = None
    if endpoint.load is not None:
        endpoint.load = endpoint.load._replace(running=0, waiting=0)


def _remove_pace(endpoint: Endpoint) -> None:
    endpoint.usual_pace = 1.0
    if endpoint.load is not None:
        endpoint.load = endpoint.load._replace(pace=1.0)


def _remove_silence(endpoint: Endpoint, now_ms: float) -> None:
    endpoint.silent_since_ms = None
    oldest = next(iter(endpoint.in_flight), None)
    if oldest is not None:
        endpoint.in_flight = {**endpoint.in_flight, oldest: now_ms}


def describe_limits(
    state: DispatchState, endpoint: Endpoint, now_ms: float
) -> list[dict[str, Any]]:
    """Return the limits of an endpoint, and what is left of the share of this instance."""
    return [
        _describe_limit(state, endpoint, limit, sharers, now_ms)
        for limit, sharers in limit_sharers(state, endpoint, now_ms)
    ]


def _describe_limit(
    state: DispatchState,
    endpoint: Endpoint,
    limit: EndpointLimit,
    sharers: float | None,
    now_ms: float,
) -> dict[str, Any]:
    tried, refilled = copy_limit(limit), copy_limit(limit)
    assert tried is not None and refilled is not None
    allows = sharers is not None and try_acquire(tried, sharers, now_ms, state.rng)
    if sharers is not None:
        may_send(refilled, sharers, now_ms)
    return {
        "kind": "cold" if limit is endpoint.cold_limit else "rate",
        "per_s": _figure(limit.per_s, 2),
        "sharers": None if sharers is None else _figure(sharers, 1),
        "share_left": _figure(refilled.bucket.tokens, 2),
        "share_max": _figure(refilled.bucket.burst, 2),
        "allows": allows,
    }


def find_exclusions(state: DispatchState, endpoint: Endpoint, now_ms: float) -> list[str]:
    """Return what keeps an endpoint from being chosen; empty if nothing does.

    The names do not decide: `choose_endpoint` and the limits do.
    """
    reasons = []
    if endpoint.is_draining:
        reasons.append("says that it leaves" if endpoint.has_said_leaving else "draining")
    if endpoint.is_evacuated:
        reasons.append("zone evacuated")
    if endpoint.is_unreachable:
        reasons.append("zone lost" if endpoint.is_zone_lost else "unreachable")
    if not allows_request(endpoint.pause, len(endpoint.in_flight), now_ms):
        is_over = now_ms >= endpoint.pause.until_ms
        reasons.append("probed after a pause" if is_over else "paused")
    for limit in describe_limits(state, endpoint, now_ms):
        if not limit["allows"]:
            known = "spent" if limit["sharers"] is not None else "of unknown share"
            reasons.append(f"{limit['kind']} limit {known}")
    return reasons
