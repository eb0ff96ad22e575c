"""Budget for extra legs: hedges and retries of a request to a service that it was already sent to.

Each instance gains a ratio of the requests that it sends itself. Its share of the fixed budget is
held partly as a burst and refilled evenly over the published window. All instances together
therefore stay within the published budget without coordinating per request.

The services of the shards of fan-outs are queried by few instances, the gatherers. Their fixed
budget is divided among these for the most part.
"""

from wisteriarock.gathering.decide import BudgetShare
from wisteriarock.limits.token_bucket import (
    TokenBucket,
    add_tokens,
    create_bucket,
    refill,
    try_consume,
)

from .const import BUDGET_BURST_SHARE, BUDGET_RATIO_SHARE, BUDGET_STEADY_SHARE


class ExtraLegBudget:
    """Extra-leg budget of this instance, with a token bucket per service.

    Attributes
    ----------
    gathered : frozenset of str
        Services whose buckets hold `gathered_burst` and gain `gathered_rate_per_s` instead.
    """

    __slots__ = (
        "buckets",
        "burst",
        "gathered",
        "gathered_burst",
        "gathered_rate_per_s",
        "rate_per_s",
        "refused_total",
        "tokens_per_request",
    )

    def __init__(self, ratio: float, extra: float, window_s: float, instances: int) -> None:
        self.tokens_per_request = 0.0
        self.burst = 0.0
        self.rate_per_s = 0.0
        self.gathered: frozenset[str] = frozenset()
        self.gathered_burst = 0.0
        self.gathered_rate_per_s = 0.0
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
    _update_buckets(budget)


def set_gathered_share(
    budget: ExtraLegBudget,
    services: frozenset[str],
    share: BudgetShare | None,
    window_s: float,
) -> None:
    """Set the share of this instance for the services of shards; None for an equal share."""
    budget.gathered = frozenset() if share is None else services
    if share is not None:
        budget.gathered_burst = share.burst
        budget.gathered_rate_per_s = share.steady / window_s
    _update_buckets(budget)


def _update_buckets(budget: ExtraLegBudget) -> None:
    for service, bucket in budget.buckets.items():
        bucket.rate_per_s, bucket.burst = _limits_of(budget, service)
        bucket.tokens = min(bucket.tokens, bucket.burst)


def _limits_of(budget: ExtraLegBudget, service: str) -> tuple[float, float]:
    if service in budget.gathered:
        return budget.gathered_rate_per_s, budget.gathered_burst
    return budget.rate_per_s, budget.burst


def _get_bucket(budget: ExtraLegBudget, service: str) -> TokenBucket:
    bucket = budget.buckets.get(service)
    if bucket is None:
        bucket = create_bucket(*_limits_of(budget, service), 0.0)
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


def get_level(budget: ExtraLegBudget, service: str) -> tuple[float, float]:
    """Return the tokens of a service and the most that it can have, as of the last check."""
    bucket = _get_bucket(budget, service)
    return bucket.tokens, bucket.burst


def has_budget(budget: ExtraLegBudget, service: str, now_ms: float) -> bool:
    """Return whether there is budget for one extra leg."""
    bucket = _get_bucket(budget, service)
    refill(bucket, now_ms)
    return bucket.tokens >= 1.0
