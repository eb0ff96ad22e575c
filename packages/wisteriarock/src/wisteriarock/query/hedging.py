"""Hedge delay, and the budget of hedges and retries."""

import math
from dataclasses import dataclass, field

from wisteriarock.bundle.models import BudgetSpec
from wisteriarock.limits.token_bucket import TokenBucket, add_tokens, create_bucket, try_consume

from .const import (
    BUCKET_COUNT,
    BUCKET_GROWTH,
    BUCKET_MIN_MS,
    HEDGE_MIN_SAMPLES,
    HISTOGRAM_MAX_WEIGHT,
    QUANTILE_INTERVAL_SAMPLES,
    QUANTILE_STANDARD_ERRORS,
)

_LOG_GROWTH = math.log(BUCKET_GROWTH)
_LOG_MIN = math.log(BUCKET_MIN_MS)


@dataclass(slots=True)
class ServiceLatency:
    """Latency of the primary legs of one service.

    Attributes
    ----------
    counts : list of float
        Decaying histogram with logarithmic buckets.
    samples : int
        Number of samples recorded since the start.
    highest_bucket : int
        Index of the highest bucket used so far.
    hedge_delay_ms : float
        Time without a reply after which a leg is hedged, as last calculated.
    """

    hedge_delay_ms: float
    counts: list[float] = field(default_factory=lambda: [0.0] * BUCKET_COUNT)
    weight: float = 0.0
    samples: int = 0
    highest_bucket: int = 0


@dataclass
class HedgeState:
    """Latency by service, and the budget that hedges and retries share."""

    quantile: float
    min_ms: float
    initial_ms: float
    budget: TokenBucket
    services: dict[str, ServiceLatency] = field(default_factory=dict)


def create_hedge_state(quantile: float, min_ms: float, initial_ms: float) -> HedgeState:
    """Return a state without samples; its budget is empty until primary legs are sent."""
    return HedgeState(quantile, min_ms, initial_ms, create_bucket(0.0, 0.0, 0.0))


def get_service_latency(state: HedgeState, service: str) -> ServiceLatency:
    """Return the latency record of a service, creating it on first use."""
    latency = state.services.get(service)
    if latency is None:
        latency = state.services[service] = ServiceLatency(max(state.min_ms, state.initial_ms))
    return latency


def _quantile_ms(latency: ServiceLatency, quantile: float) -> float:
    """Return the upper bound of the bucket that contains the quantile, estimated low.

    If stragglers are as frequent as the tail above the quantile, the plain estimate may lie
    anywhere between the usual legs and the stragglers. The estimate is lowered because the budget
    limits the cost of a delay that is too short.
    """
    tail_share = 1.0 - quantile
    tail_share += QUANTILE_STANDARD_ERRORS * math.sqrt(tail_share * quantile / latency.weight)
    remaining = latency.weight * tail_share
    for bucket_index in range(latency.highest_bucket, -1, -1):
        remaining -= latency.counts[bucket_index]
        if remaining < 0:
            return BUCKET_MIN_MS * BUCKET_GROWTH ** (bucket_index + 1)
    return 0.0


def record_latency(state: HedgeState, latency: ServiceLatency, elapsed_ms: float) -> None:
    """Record the latency of a primary leg until its reply or its cancellation.

    A cancelled leg counts with its time so far: leaving it out would hide exactly the stragglers.
    """
    bucket_index = 0
    if elapsed_ms > BUCKET_MIN_MS:
        bucket_index = min(BUCKET_COUNT - 1, int((math.log(elapsed_ms) - _LOG_MIN) / _LOG_GROWTH))
    if bucket_index > latency.highest_bucket:
        latency.highest_bucket = bucket_index
    latency.counts[bucket_index] += 1.0
    latency.weight += 1.0
    latency.samples += 1
    if latency.weight >= HISTOGRAM_MAX_WEIGHT:
        latency.counts = [count / 2 for count in latency.counts]
        latency.weight /= 2
    sample_count = latency.samples
    if sample_count == HEDGE_MIN_SAMPLES or (
        sample_count > HEDGE_MIN_SAMPLES and sample_count % QUANTILE_INTERVAL_SAMPLES == 0
    ):
        latency.hedge_delay_ms = max(state.min_ms, _quantile_ms(latency, state.quantile))


def deposit_budget(state: HedgeState, spec: BudgetSpec, primary_legs: int) -> None:
    """Add the budget that primary legs earn for extra legs, as set by the bundle's limits."""
    state.budget.burst = spec["extra_legs_burst"]
    add_tokens(state.budget, primary_legs * spec["extra_legs_per_100"] / 100)


def withdraw_budget(state: HedgeState, now_ms: float, reserve: float = 0.0) -> bool:
    """Withdraw the budget of one extra leg and return whether there was enough.

    `reserve` is the share of the burst that must remain.
    """
    reserved_tokens = state.budget.burst * reserve
    return state.budget.tokens >= 1.0 + reserved_tokens and try_consume(state.budget, 1.0, now_ms)
