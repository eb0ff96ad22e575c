"""Budget for extra legs: hedges and retries of a request to a service that it was already sent to.

Each instance gains a ratio of the requests that it sends itself. Its share of the fixed budget is
held partly as a burst and refilled evenly over the published window. All instances together
therefore stay within the published budget without coordinating per request.
"""

from wisteriarock.limits.token_bucket import (
    TokenBucket,
    add_tokens,
    create_bucket,
    refill,
    try_consume,
)

from .const import BUDGET_BURST_SHARE, BUDGET_RATIO_SHARE, BUDGET_STEADY_SHARE


class ExtraLegBudget:
    """Extra-leg budget of this instance, with a token bucket per service."""

    __slots__ = ("buckets", "burst", "rate_per_s", "refused_total", "tokens_per_request")

    def __init__(self, ratio: float, extra: float, window_s: float, instances: int) -> None:
        self.tokens_per_request = 0.0
        self.burst = 0.0
        self.rate_per_s = 0.0
        self.buckets: dict[str, TokenBucket] = {}
        self.refused_total = 0
        set_instance_count(self, ratio, extra, window_s, instances)


def set_instance_count(
    budget: ExtraLegBudget, ratio: float, extra: float, window_s: float, instances: int
) -> None:
    """Set the share of this instance from the published budget and the number of instances.

    Parameters
    ----------
    ratio : float
        Extra legs allowed per request.
    extra : float
        Extra legs allowed in addition per `window_s` seconds, for all instances together.
    """
    share = extra / max(1, instances)
    budget.tokens_per_request = ratio * BUDGET_RATIO_SHARE
    budget.burst = max(1.0, share * BUDGET_BURST_SHARE)
    budget.rate_per_s = share * BUDGET_STEADY_SHARE / window_s
    for bucket in budget.buckets.values():
        bucket.burst = budget.burst
        bucket.rate_per_s = budget.rate_per_s
        bucket.tokens = min(bucket.tokens, budget.burst)


def _get_bucket(budget: ExtraLegBudget, service: str) -> TokenBucket:
    bucket = budget.buckets.get(service)
    if bucket is None:
        bucket = create_bucket(budget.rate_per_s, budget.burst, 0.0)
        budget.buckets[service] = bucket
    return bucket


def credit_request(budget: ExtraLegBudget, service: str) -> None:
    """Credit the budget of a service for a request."""
    add_tokens(_get_bucket(budget, service), budget.tokens_per_request)


def try_spend(budget: ExtraLegBudget, service: str, now_ms: float) -> bool:
    """Spend the budget for one extra leg and return whether there was enough."""
    if try_consume(_get_bucket(budget, service), 1.0, now_ms):
        return True
    budget.refused_total += 1
    return False


def has_budget(budget: ExtraLegBudget, service: str, now_ms: float) -> bool:
    """Return whether there is budget for one extra leg."""
    bucket = _get_bucket(budget, service)
    refill(bucket, now_ms)
    return bucket.tokens >= 1.0
