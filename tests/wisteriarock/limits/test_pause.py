"""Tests of the pauses that endpoints ask for."""

import random

from wisteriarock.limits.pause import (
    PAUSE_JITTER_MAX_MS,
    PAUSE_MAX_MS,
    Pause,
    allows_request,
    begin_pause,
    end_probing,
)

from tests.common import function_suite


def test_pause_holds_for_the_time_asked():
    """Guards against requests to an endpoint that wants none."""
    pause, rng = Pause(), random.Random(1)
    assert allows_request(pause, 5, 0.0)
    begin_pause(pause, 2.5, 1_000.0, rng)
    for now_ms in (1_000.0, 1_500.0, 3_499.0):
        assert not allows_request(pause, 0, now_ms)
    assert allows_request(pause, 0, 3_500.0 + PAUSE_JITTER_MAX_MS)
    # A shorter pause does not end a longer one.
    begin_pause(pause, 0.1, 2_000.0, rng)
    assert not allows_request(pause, 0, 3_499.0)


def test_first_requests_after_a_pause_are_few():
    """Guards against a herd of requests when a pause ends."""
    pause = Pause()
    begin_pause(pause, 1.0, 0.0, random.Random(1))
    after_ms = pause.until_ms + 1.0
    assert allows_request(pause, 0, after_ms) and not allows_request(pause, 1, after_ms)
    # A late reply to a request from before the pause proves nothing.
    end_probing(pause, pause.until_ms - 10.0)
    assert not allows_request(pause, 1, after_ms)
    end_probing(pause, after_ms)
    assert allows_request(pause, 7, after_ms)


def test_values_are_bounded():
    """Guards against an endpoint that is removed for good by a wrong value."""
    rng = random.Random(1)
    for asked_s in (0.0, -1.0):
        pause = Pause()
        begin_pause(pause, asked_s, 0.0, rng)
        assert allows_request(pause, 3, 0.0)
    for asked_s in (3_600.0, 1e300, float("inf")):
        pause = Pause()
        begin_pause(pause, asked_s, 0.0, rng)
        assert PAUSE_MAX_MS <= pause.until_ms <= PAUSE_MAX_MS + PAUSE_JITTER_MAX_MS


load_tests = function_suite(globals())
