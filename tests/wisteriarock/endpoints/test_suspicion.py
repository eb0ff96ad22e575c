"""Tests of the decisions about silent connections."""

from wisteriarock.endpoints.suspicion import (
    OpenLeg,
    Probe,
    ReportTrust,
    UsualTime,
    add_sample,
    check_report,
    is_trusted,
    least_time_ms,
    lost_legs,
    note_answer,
    ran_at_probe,
    silence_bound_ms,
)

from tests.common import function_suite


def test_the_bound_follows_the_usual_time_of_slow_kinds_only() -> None:
    """Guards against probes for legs that always take long, and late ones for fast legs."""
    fast, slow = UsualTime(), UsualTime()
    for number in range(100):
        add_sample(fast, 10.0 + number % 3, 0.0)
        add_sample(slow, 900.0 + 50 * (number % 3), 0.0)
    assert silence_bound_ms(None, 400.0) == 400.0
    assert silence_bound_ms(fast, 400.0) == 400.0
    assert 1_000.0 < silence_bound_ms(slow, 400.0) < 1_500.0


def test_the_least_time_is_forgotten_without_new_samples() -> None:
    """Guards against a queue that drops every leg of a kind because it was slow once."""
    usual = UsualTime()
    add_sample(usual, 400.0, 0.0)
    assert least_time_ms(usual, 5_000.0) == 100.0
    assert least_time_ms(usual, 5_001.0) == least_time_ms(None, 0.0) == 1.0


def _lost(legs: list[OpenLeg], busy: int | None, ran: int = 0) -> list[int]:
    return lost_legs(legs, Probe(500.0, 510.0, busy), ran)


def test_as_many_legs_are_lost_as_the_endpoint_does_not_work_on() -> None:
    """Guards against doubling a leg that runs, and against waiting for one that does not."""
    legs = [OpenLeg(1, 0.0, 100.0), OpenLeg(2, 100.0, 100.0)]
    assert [_lost(legs, busy) for busy in (2, 1, 0, 9)] == [[], [1], [1, 2], []]


def test_a_leg_that_was_just_written_does_not_count() -> None:
    """Guards against a running leg that is doubled because another has not arrived yet."""
    legs = [OpenLeg(1, 0.0, 100.0), OpenLeg(2, 495.0, 0.0)]
    assert _lost(legs, 1) == []
    assert _lost(legs, 0) == [1]


def test_a_slot_whose_leg_was_answered_since_hides_no_lost_leg() -> None:
    """Guards against a lost leg that is never found while other legs keep one slot busy."""
    probe = Probe(500.0, 510.0, 1)
    assert ran_at_probe(probe, 480.0, 516.0)
    # The reply may have been on its way when the report was made, or the leg came after it.
    assert not ran_at_probe(probe, 480.0, 512.0)
    assert not ran_at_probe(probe, 495.0, 530.0)
    assert _lost([OpenLeg(1, 0.0, 100.0)], 1, ran=1) == [1]
    assert _lost([OpenLeg(1, 0.0, 100.0)], 1, ran=0) == []


def test_a_leg_within_its_bound_is_left_alone() -> None:
    """Guards against closing a connection on which nothing is late."""
    assert _lost([OpenLeg(1, 0.0, 0.0)], 0) == []


def test_without_trust_only_long_silence_counts() -> None:
    """Guards against a report that misleads and hides, or invents, a lost leg."""
    assert _lost([OpenLeg(1, 0.0, 599.0), OpenLeg(2, 0.0, 600.0)], None) == [2]


def test_reports_that_disagree_with_the_legs_are_not_trusted_for_a_time() -> None:
    """Guards against doubled legs, or stuck ones, for as long as reports lag or mislead."""
    idle = ReportTrust()
    assert check_report(idle, [], 2, 5_000.0) is None
    assert not is_trusted(idle, 5_001.0)
    assert is_trusted(idle, 65_000.0)
    trust = ReportTrust()
    assert check_report(trust, [4_900.0, 0.0], 1, 5_000.0) is None
    check = check_report(trust, [1.0, 0.0], 1, 5_000.0)
    assert check is not None
    # The first answer may be of a leg that had ended when the report was made.
    for now_ms, trusted in ((5_100.0, True), (5_300.0, True), (5_400.0, False)):
        note_answer(trust, check, now_ms)
        assert is_trusted(trust, now_ms) is trusted


load_tests = function_suite(globals())
