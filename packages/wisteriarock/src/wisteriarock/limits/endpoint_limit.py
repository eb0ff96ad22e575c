"""Rate limit of an endpoint, for all instances together.

Each instance keeps to its share of the limit, so that no coordination is needed for each request.
A share starts empty when the limit is first named.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

from .const import BURST_FIXED, BURST_S, RATE_MIN_PER_S, RATE_SHARE
from .share import refill_share, try_acquire_share
from .token_bucket import TokenBucket


class Share(NamedTuple):
    """Share of one instance in a limit.

    Attributes
    ----------
    burst : float
        Requests that the instance may send at once; less than 1 if it is rounded at random.
    """

    rate_per_s: float
    burst: float


def share_named_limit(per_s: float, sharers: float) -> Share:
    """Return the share of one instance in a limit that an endpoint names in its replies."""
    return Share(RATE_SHARE * per_s / sharers, (BURST_S * per_s + BURST_FIXED) / sharers)


class EndpointLimit:
    """Rate limit of an endpoint.

    Attributes
    ----------
    per_s : float
        Requests per second that the endpoint takes from all instances together.
    first_named_at_ms, named_at_ms : float
        Times of the first and the last reply that named a limit.
    bucket : TokenBucket
        Share of this instance.
    legs : dict
        Number of legs sent since the limit was first named, by kind.
    share : callable
        Returns the share of one instance from the rate and the number of sharers.
    """

    __slots__ = ("bucket", "first_named_at_ms", "legs", "named_at_ms", "per_s", "share")

    def __init__(
        self,
        per_s: float,
        now_ms: float,
        share: Callable[[float, float], Share] = share_named_limit,
    ) -> None:
        self.per_s = per_s
        self.first_named_at_ms = now_ms
        self.named_at_ms = now_ms
        self.bucket = TokenBucket(0.0, 0.0, 0.0, now_ms)
        self.legs: dict[str, int] = {}
        self.share = share


def update_limit(
    current: EndpointLimit | None,
    per_s: float | None,
    sent_at_ms: float,
    now_ms: float,
    *,
    is_success: bool,
) -> EndpointLimit | None:
    """Return the limit of an endpoint after a reply.

    The limit ends with a success that names none, in reply to a leg sent after the last reply that
    named one: replies on several connections may arrive out of order.

    Parameters
    ----------
    per_s : float or None
        The limit that the reply names.
    sent_at_ms : float
        Time at which the leg was sent.

    Returns
    -------
    EndpointLimit or None
        The current limit, updated, or a new one; None if there is none.
    """
    if per_s is None:
        has_ended = current is not None and is_success and sent_at_ms > current.named_at_ms
        return None if has_ended else current
    if current is None:
        return EndpointLimit(per_s, now_ms)
    current.named_at_ms = now_ms
    current.per_s = per_s
    return current


def count_limited_leg(limit: EndpointLimit, kind: str) -> None:
    """Count a leg sent to an endpoint that has a limit."""
    limit.legs[kind] = limit.legs.get(kind, 0) + 1


def _refill_share(limit: EndpointLimit, sharers: float, now_ms: float) -> TokenBucket:
    rate_per_s, burst = limit.share(max(RATE_MIN_PER_S, limit.per_s), sharers)
    return refill_share(limit.bucket, rate_per_s, burst, 1.0, now_ms)


def may_send(limit: EndpointLimit, sharers: float, now_ms: float) -> bool:
    """Return whether the share of this instance may allow another request now.

    Parameters
    ----------
    sharers : float
        Number of instances that share the limit.
    """
    bucket = _refill_share(limit, sharers, now_ms)
    return bucket.tokens >= (1.0 if bucket.burst >= 1.0 else bucket.burst / 2)


def try_acquire(limit: EndpointLimit, sharers: float, now_ms: float, rng: random.Random) -> bool:
    """Take one request from the share of this instance; return False if it is used up."""
    return try_acquire_share(_refill_share(limit, sharers, now_ms), now_ms, rng)


def return_unsent(limit: EndpointLimit) -> None:
    """Return a request that was acquired and not sent to the share of this instance."""
    bucket = limit.bucket
    bucket.tokens = min(bucket.burst, bucket.tokens + 1.0)
