"""Requests that arrive before an instance has loaded its configuration and endpoints."""

from collections.abc import Callable

from wisteriarock.http.front import CallerRequest, Respond

# Maximum number of held requests; further requests are handled at once.
HELD_REQUESTS_MAX = 200
# Maximum time to hold requests. Loading takes about 250 ms after the listener has opened.
HOLD_MAX_MS = 500.0

RequestHandler = Callable[[CallerRequest, Respond], Callable[[], None]]


class HeldRequests:
    """Requests that are held until the instance is loaded.

    Attributes
    ----------
    hold_until_ms : float
        Time at which requests are released even if the instance is not loaded.
    waiting : dict
        Held requests by number, in order of arrival.
    cancel_callbacks : dict
        Cancel functions of the released requests, by number.
    """

    __slots__ = ("cancel_callbacks", "hold_until_ms", "is_open", "next_id", "waiting")

    def __init__(self, now_ms: float) -> None:
        self.hold_until_ms = now_ms + HOLD_MAX_MS
        self.is_open = True
        self.next_id = 0
        self.waiting: dict[int, tuple[CallerRequest, Respond]] = {}
        self.cancel_callbacks: dict[int, Callable[[], None]] = {}


def hold_request(
    held: HeldRequests, request: CallerRequest, respond: Respond
) -> Callable[[], None] | None:
    """Hold a request and return its cancel function, or None if it cannot be held."""
    if not held.is_open or len(held.waiting) >= HELD_REQUESTS_MAX:
        return None
    number = held.next_id
    held.next_id += 1
    held.waiting[number] = (request, respond)

    def cancel() -> None:
        held.waiting.pop(number, None)
        cancel_callback = held.cancel_callbacks.pop(number, None)
        if cancel_callback is not None:
            cancel_callback()

    return cancel


def release_requests(
    held: HeldRequests, handle: RequestHandler, now_ms: float, *, is_loaded: bool
) -> int:
    """Start all held requests once the instance is loaded or the hold time has expired.

    Returns
    -------
    int
        The number of requests that were started.
    """
    if not held.is_open or not (is_loaded or now_ms >= held.hold_until_ms):
        return 0
    held.is_open = False
    waiting, held.waiting = held.waiting, {}
    for number, (request, respond) in waiting.items():
        held.cancel_callbacks[number] = handle(request, respond)
    return len(waiting)
