"""Pauses that endpoints ask for: for so long they want no request from this instance."""

import random

# A longer pause is cut to this, so that a wrong value does not remove an endpoint for good.
PAUSE_MAX_MS = 3_600_000.0
# Random share by which a pause is lengthened, and the longest addition, so that instances that were
# turned away together do not come back together.
PAUSE_JITTER_SHARE = 0.2
PAUSE_JITTER_MAX_MS = 500.0


class Pause:
    """Pause of one endpoint.

    Attributes
    ----------
    until_ms : float
        Time until which nothing is sent.
    is_probing : bool
        Whether the endpoint has not replied since, so that it gets one request at a time.
    """

    __slots__ = ("is_probing", "until_ms")

    def __init__(self) -> None:
        self.until_ms = 0.0
        self.is_probing = False


def begin_pause(pause: Pause, asked_s: float, now_ms: float, rng: random.Random) -> None:
    """Begin a pause, or lengthen the current one."""
    asked_ms = min(asked_s * 1000, PAUSE_MAX_MS)
    if asked_ms <= 0:
        return
    jitter_ms = min(asked_ms * PAUSE_JITTER_SHARE, PAUSE_JITTER_MAX_MS) * rng.random()
    pause.until_ms = max(pause.until_ms, now_ms + asked_ms + jitter_ms)
    pause.is_probing = True


def end_probing(pause: Pause, sent_at_ms: float) -> None:
    """Resume normal use after a reply to a request that was sent after the pause."""
    if sent_at_ms >= pause.until_ms:
        pause.is_probing = False


def allows_request(pause: Pause, in_flight: int, now_ms: float) -> bool:
    """Return whether the endpoint may get another request now."""
    if now_ms < pause.until_ms:
        return False
    return not pause.is_probing or not in_flight
