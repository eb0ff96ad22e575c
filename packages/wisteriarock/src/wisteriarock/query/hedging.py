"""Delay and budget of hedges and retries."""

import math
from dataclasses import dataclass, field

from wisteriarock.bundle.models import BudgetSpec
from wisteriarock.limits.token_bucket import TokenBucket, add_tokens, create_bucket, try_consume

from .const import (
    BUCKET_COUNT,
    BUCKET_GROWTH,
    BUCKET_LOW_MS,
    HEDGE_MIN_SAMPLES,
    HISTOGRAM_MAX_WEIGHT,
    QUANTILE_ERRORS,
    QUANTILE_EVERY,
)

_LOG_GROWTH = math.log(BUCKET_GROWTH)
_LOG_LOW = math.log(BUCKET_LOW_MS)


@dataclass(slots=True)
class ServiceLatency:
    """Latency of the primary legs of one service.

    Attributes
    ----------
    counts : list of float
        Decaying histogram with logarithmic buckets.
    samples : int
        Samples seen since the start.
    highest : int
        Highest bucket that was ever used.
    delay_ms : float
        How long a leg may take before it is hedged, as of the last calculation.
    """

    delay_ms: float
    counts: list[float] = field(default_factory=lambda: [0.0] * BUCKET_COUNT)
    weight: float = 0.0
    samples: int = 0
    highest: int = 0


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


def latency_of(state: HedgeState, service: str) -> ServiceLatency:
    """Return the latency of a service, created at first use."""
    found = state.services.get(service)
    if found is None:
        found = state.services[service] = ServiceLatency(max(state.min_ms, state.initial_ms))
    return found


def _quantile_ms(latency: ServiceLatency, quantile: float) -> float:
    """Return the upper end of the bucket in which the quantile lies, estimated low.

    With as many stragglers as the quantile leaves out, the quantile may be found anywhere between
    the usual legs and the stragglers. The lower end is the useful one: a delay that is too short
    is made up for by the budget.
    """
    above = 1.0 - quantile
    above += QUANTILE_ERRORS * math.sqrt(above * quantile / latency.weight)
    remaining = latency.weight * above
    for position in range(latency.highest, -1, -1):
        remaining -= latency.counts[position]
        if remaining < 0:
            return BUCKET_LOW_MS * BUCKET_GROWTH ** (position + 1)
    return 0.0


def record_latency(state: HedgeState, latency: ServiceLatency, elapsed_ms: float) -> None:
    """Add the time that a primary leg took, or had taken when it was cancelled as the loser.

    A loser counts with its time so far: leaving it out would hide exactly the stragglers.
    """
    position = 0
    if elapsed_ms > BUCKET_LOW_MS:
        position = min(BUCKET_COUNT - 1, int((math.log(elapsed_ms) - _LOG_LOW) / _LOG_GROWTH))
    if position > latency.highest:
        latency.highest = position
    latency.counts[position] += 1.0
    latency.weight += 1.0
    latency.samples += 1
    if latency.weight >= HISTOGRAM_MAX_WEIGHT:
        latency.counts = [count / 2 for count in latency.counts]
        latency.weight /= 2
    seen = latency.samples
    if seen == HEDGE_MIN_SAMPLES or (seen > HEDGE_MIN_SAMPLES and seen % QUANTILE_EVERY == 0):
        latency.delay_ms = max(state.min_ms, _quantile_ms(latency, state.quantile))


def earn_budget(state: HedgeState, spec: BudgetSpec, primary_legs: int) -> None:
    """Add the extra legs that primary legs allow, within the bundle's rates."""
    state.budget.burst = spec["extra_legs_burst"]
    add_tokens(state.budget, primary_legs * spec["extra_legs_per_100"] / 100)


def take_extra(state: HedgeState, now_ms: float, reserve: float = 0.0) -> bool:
    """Take the budget of one extra leg and tell whether there was enough.

    `reserve` is the share of the burst that has to be left.
    """
    kept = state.budget.burst * reserve
    return state.budget.tokens >= 1.0 + kept and try_consume(state.budget, 1.0, now_ms)
