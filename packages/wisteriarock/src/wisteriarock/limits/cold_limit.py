"""Rate limit of a cold endpoint, for all instances together.

In each second, a cold endpoint takes what its service states, times an overshoot, and a few
requests more. Two ways to divide that are known to stay below it. While few instances share the
limit, each has whole requests of its own. Otherwise each share holds less than one request and is
rounded at random, and the mean of all of them is so far below the bound that chance does not bring
their sum above it.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from .const import (
    CHANCE_DEVIATIONS,
    CHANCE_RATE_SHARE,
    COLD_LEG_WAIT_MAX_MS,
    RATE_SHARE,
    WARM_RAMP_FACTOR,
    WARM_RAMP_MS,
    WHOLE_SHARE,
)
from .endpoint_limit import EndpointLimit, Share

# A leg is sent up to the longest wait after it was acquired, so that the legs sent within a second
# were acquired within a little more.
_ACQUIRED_S = 1.0 + COLD_LEG_WAIT_MAX_MS / 1000
_ROUNDING = 1e-3


class ColdBound(NamedTuple):
    """Published bound on the requests of one second to a cold endpoint.

    Attributes
    ----------
    overshoot, slack : float
        Factor on the stated rate, and number of requests on top.
    """

    overshoot: float = 1.0
    slack: float = 0.0


def share_cold_limit(bound: ColdBound, per_s: float, sharers: float) -> Share:
    """Return the share of one instance; the higher one of the two ways to divide."""
    allowed = bound.overshoot * per_s + bound.slack
    even_per_s = RATE_SHARE * per_s / sharers
    whole = _share_whole(math.floor(WHOLE_SHARE * allowed / sharers), even_per_s)
    chance = _share_by_chance(_mean_below(allowed) / sharers, even_per_s)
    return max(whole, chance)


def _share_whole(allowed: int, even_per_s: float) -> Share:
    """Return a share of whole requests, of which a second holds no more than allowed.

    What it holds within a second may exceed that number by any fraction, which is never sent.
    """
    if not allowed:
        return Share(0.0, 0.0)
    held = allowed + 1.0 - _ROUNDING
    rate_per_s = min(even_per_s, (held - 1.0) / _ACQUIRED_S)
    return Share(rate_per_s, held - _ACQUIRED_S * rate_per_s)


def _share_by_chance(mean: float, even_per_s: float) -> Share:
    """Return a share of which a second holds no more than a mean."""
    rate_per_s = min(even_per_s, CHANCE_RATE_SHARE * mean / _ACQUIRED_S)
    return Share(rate_per_s, mean - _ACQUIRED_S * rate_per_s)


def _mean_below(allowed: float) -> float:
    """Return the mean of a sum of many rare events that chance does not bring above a bound."""
    root = math.sqrt(CHANCE_DEVIATIONS**2 + 4 * allowed) - CHANCE_DEVIATIONS
    return (root / 2) ** 2


def update_cold_limit(
    current: EndpointLimit | None,
    per_s: float,
    cold_until_ms: float,
    now_ms: float,
    share: Callable[[float, float], Share],
    unused_since_ms: float,
) -> EndpointLimit | None:
    """Return the limit of an endpoint that is cold, or was until lately; None if it has none.

    After the endpoint has become warm, the limit rises for a while before it ends, so that the load
    of all instances does not reach the endpoint at once.

    Parameters
    ----------
    per_s : float
        Rate that the service states; 0 if it states none.
    share : callable
        Returns the share of one instance from the rate and the number of sharers.
    unused_since_ms : float
        Time since which this instance has sent nothing to the endpoint. A new share holds what it
        would have gained since, so that an endpoint which was down gets requests at once.
    """
    warm_ms = now_ms - cold_until_ms
    if per_s <= 0 or warm_ms >= (0.0 if current is None else WARM_RAMP_MS):
        return None
    limit = current
    if limit is None:
        limit = EndpointLimit(per_s, now_ms, share)
        limit.bucket.refilled_at_ms = min(now_ms, unused_since_ms)
    limit.per_s = per_s * (1.0 + WARM_RAMP_FACTOR * max(0.0, warm_ms) / WARM_RAMP_MS)
    return limit
