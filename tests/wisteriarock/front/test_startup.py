"""Tests of requests that arrive while an instance is loading."""

from collections.abc import Callable

from wisteriarock.front.startup import (
    HELD_REQUESTS_MAX,
    HOLD_MAX_MS,
    HeldRequests,
    RequestHandler,
    hold_request,
    release_requests,
)
from wisteriarock.http.front import CallerRequest, Respond

from tests.common import function_suite

REQUEST = CallerRequest(b"GET", b"/", [], b"", 0.0, False)


def _handle(started: list[int], ended: list[int]) -> RequestHandler:
    def handle(request: CallerRequest, respond: Respond) -> Callable[[], None]:
        number = len(started)
        started.append(number)
        return lambda: ended.append(number)

    return handle


def test_held_requests_start_when_loaded():
    """Guards against failing a request that could be served 200 ms later, after loading."""
    started, ended = [], []
    held = HeldRequests(0.0)
    first = hold_request(held, REQUEST, lambda answer: None)
    assert first is not None
    assert hold_request(held, REQUEST, lambda answer: None) is not None
    handle = _handle(started, ended)
    assert release_requests(held, handle, 10.0, is_loaded=False) == 0
    assert release_requests(held, handle, 20.0, is_loaded=True) == 2
    assert started == [0, 1]
    first()
    assert ended == [0]
    assert hold_request(held, REQUEST, lambda answer: None) is None


def test_hold_time_is_limited():
    """Guards against callers that wait for the whole outage of an unreachable store."""
    started: list[int] = []
    held = HeldRequests(0.0)
    hold_request(held, REQUEST, lambda answer: None)
    assert release_requests(held, _handle(started, []), HOLD_MAX_MS, is_loaded=False) == 1
    assert started == [0]


def test_cancelled_request_is_not_started():
    """Guards against work for a caller that disconnected while its request was held."""
    started: list[int] = []
    held = HeldRequests(0.0)
    cancel = hold_request(held, REQUEST, lambda answer: None)
    assert cancel is not None
    cancel()
    assert release_requests(held, _handle(started, []), 1.0, is_loaded=True) == 0
    assert started == []


def test_number_of_held_requests_is_bounded():
    """Guards against unbounded memory use when many requests arrive during startup."""
    held = HeldRequests(0.0)
    results = [
        hold_request(held, REQUEST, lambda answer: None) for _ in range(HELD_REQUESTS_MAX + 5)
    ]
    assert sum(result is None for result in results) == 5


load_tests = function_suite(globals())
