"""Token bucket: a data class and functions that update it."""

from dataclasses import dataclass


@dataclass
class TokenBucket:
    """A bucket that holds at most `burst` tokens and gains `rate_per_s` tokens per second."""

    rate_per_s: float
    burst: float
    tokens: float
    refilled_at_ms: float


def create_bucket(rate_per_s: float, burst: float, now_ms: float) -> TokenBucket:
    """Return a full bucket."""
    return TokenBucket(rate_per_s, burst, burst, now_ms)


def refill(bucket: TokenBucket, now_ms: float) -> None:
    """Add the tokens that have accrued since the last refill."""
    elapsed_ms = max(0.0, now_ms - bucket.refilled_at_ms)
    bucket.tokens = min(bucket.burst, bucket.tokens + bucket.rate_per_s * elapsed_ms / 1000)
    bucket.refilled_at_ms = max(now_ms, bucket.refilled_at_ms)


def try_consume(bucket: TokenBucket, amount: float, now_ms: float) -> bool:
    """Consume `amount` tokens and return True, or return False if there are not enough."""
    refill(bucket, now_ms)
    if bucket.tokens + 1e-9 < amount:
        return False
    bucket.tokens -= amount
    return True


def add_tokens(bucket: TokenBucket, amount: float) -> None:
    """Add tokens up to the burst, for budgets that grow with completed work instead of time."""
    bucket.tokens = min(bucket.burst, bucket.tokens + amount)


def time_until_available_ms(bucket: TokenBucket, amount: float, now_ms: float) -> float:
    """Return the time until `amount` tokens are available; infinite if they never will be."""
    refill(bucket, now_ms)
    if bucket.tokens >= amount:
        return 0.0
    if amount > bucket.burst or bucket.rate_per_s <= 0:
        return float("inf")
    return (amount - bucket.tokens) / bucket.rate_per_s * 1000
