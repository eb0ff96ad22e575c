"""Tests of the decisions about silent connections."""

from wisteriarock.endpoints.suspicion import (
    OpenLeg,
    UsualTime,
    add_sample,
    lost_legs,
    silence_bound_ms,
)

from tests.common import function_suite


def test_the_bound_follows_the_usual_time_of_slow_kinds_only() -> None:
    """Guards against probes for legs that always take long, and late ones for fast legs."""
    fast, slow = UsualTime(), UsualTime()
    for number in range(100):
        add_sample(fast, 10.0 + number % 3)
        add_sample(slow, 900.0 + 50 * (number % 3))
    assert silence_bound_ms(None, 400.0) == 400.0
    assert silence_bound_ms(fast, 400.0) == 400.0
    assert 1_000.0 < silence_bound_ms(slow, 400.0) < 1_500.0


def test_as_many_legs_are_lost_as_the_endpoint_does_not_work_on() -> None:
    """Guards against doubling a leg that runs, and against waiting for one that does not."""
    legs = [OpenLeg(1, 0.0, True), OpenLeg(2, 100.0, True)]
    assert lost_legs(legs, 500.0, 510.0, busy=2) == []
    assert lost_legs(legs, 500.0, 510.0, busy=1) == [1]
    assert lost_legs(legs, 500.0, 510.0, busy=0) == [1, 2]
    assert lost_legs(legs, 500.0, 510.0, busy=9) == []


def test_a_leg_that_was_just_written_does_not_count() -> None:
    """Guards against a running leg that is doubled because another has not arrived yet."""
    legs = [OpenLeg(1, 0.0, True), OpenLeg(2, 495.0, False)]
    assert lost_legs(legs, 500.0, 510.0, busy=1) == []
    assert lost_legs(legs, 500.0, 510.0, busy=0) == [1]


def test_a_leg_within_its_bound_is_left_alone() -> None:
    """Guards against closing a connection on which nothing is late."""
    assert lost_legs([OpenLeg(1, 0.0, False)], 500.0, 510.0, busy=0) == []


load_tests = function_suite(globals())
