"""Budget of second arrivals at a service, kept within bounds that hold for all instances together.

Each instance earns a share of the requests that it sends itself. Of its share of the fixed part it
holds some as a burst and gains the rest evenly over the published window. The sum over all
instances then stays inside the published budget without a call per request.
"""

from wisteriarock.limits.token_bucket import (
    TokenBucket,
    add_tokens,
    create_bucket,
    refill,
    try_consume,
)

from .const import BUDGET_BURST_SHARE, BUDGET_RATIO_SHARE, BUDGET_STEADY_SHARE


class ArrivalBudget:
    """Token bucket for each service."""

    __slots__ = ("buckets", "burst", "earned_per_request", "rate_per_s", "refused_total")

    def __init__(self, ratio: float, extra: float, window_s: float, instances: int) -> None:
        self.earned_per_request = 0.0
        self.burst = 0.0
        self.rate_per_s = 0.0
        self.buckets: dict[str, TokenBucket] = {}
        self.refused_total = 0
        set_instances(self, ratio, extra, window_s, instances)


def set_instances(
    budget: ArrivalBudget, ratio: float, extra: float, window_s: float, instances: int
) -> None:
    """Divide the budget among another number of instances.

    Parameters
    ----------
    ratio : float
        Second arrivals that each request allows.
    extra : float
        Second arrivals that are allowed besides, in `window_s` seconds.
    """
    share = extra / max(1, instances)
    budget.earned_per_request = ratio * BUDGET_RATIO_SHARE
    budget.burst = max(1.0, share * BUDGET_BURST_SHARE)
    budget.rate_per_s = share * BUDGET_STEADY_SHARE / window_s
    for bucket in budget.buckets.values():
        bucket.burst = budget.burst
        bucket.rate_per_s = budget.rate_per_s
        bucket.tokens = min(bucket.tokens, budget.burst)


def _bucket(budget: ArrivalBudget, service: str) -> TokenBucket:
    bucket = budget.buckets.get(service)
    if bucket is None:
        bucket = create_bucket(budget.rate_per_s, budget.burst, 0.0)
        budget.buckets[service] = bucket
    return bucket


def earn(budget: ArrivalBudget, service: str) -> None:
    """Count a request to a service."""
    add_tokens(_bucket(budget, service), budget.earned_per_request)


def spend(budget: ArrivalBudget, service: str, now_ms: float) -> bool:
    """Take the budget for one more arrival of a request at a service, if there is enough."""
    if try_consume(_bucket(budget, service), 1.0, now_ms):
        return True
    budget.refused_total += 1
    return False


def available(budget: ArrivalBudget, service: str, now_ms: float) -> bool:
    """Tell whether there is budget for one more arrival."""
    bucket = _bucket(budget, service)
    refill(bucket, now_ms)
    return bucket.tokens >= 1.0
