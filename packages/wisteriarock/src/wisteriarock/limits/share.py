"""Equal share of one instance in a limit that holds over all instances together."""

import random

from .token_bucket import TokenBucket, refill, try_consume


def refill_share(
    bucket: TokenBucket, rate_per_s: float, burst: float, sharers: float, now_ms: float
) -> TokenBucket:
    """Divide a limit among instances and refill the share of this one.

    Parameters
    ----------
    rate_per_s, burst : float
        The limit of all instances together.
    sharers : float
        Number of instances that share it.
    """
    bucket.rate_per_s = rate_per_s / sharers
    bucket.burst = burst / sharers
    refill(bucket, now_ms)
    return bucket


def try_acquire_share(bucket: TokenBucket, now_ms: float, rng: random.Random) -> bool:
    """Take one request from a refilled share; return False if it is used up.

    A share that never holds a whole request is rounded at random: the request is sent with a
    probability of what the share holds, and the share is empty in both cases. The instances
    together then send what their shares add up to, on average.
    """
    if bucket.burst >= 1.0:
        return try_consume(bucket, 1.0, now_ms)
    probability, bucket.tokens = bucket.tokens, min(0.0, bucket.tokens)
    return rng.random() < probability
