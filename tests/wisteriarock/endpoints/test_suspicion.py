"""Tests of the detection of silent connections and lost legs."""

from wisteriarock.endpoints.suspicion import (
    ProbeResult,
    ReportTrust,
    ServiceTimeEstimate,
    UnansweredLeg,
    add_sample,
    check_report,
    is_trusted,
    min_service_time_ms,
    record_answered_leg,
    select_lost_legs,
    silence_bound_ms,
    was_running_at_probe,
)

from tests.common import function_suite


def test_silence_bound_adapts_to_slow_kinds_only() -> None:
    """Guards against needless probes for slow kinds, and late probes for fast kinds."""
    fast, slow = ServiceTimeEstimate(), ServiceTimeEstimate()
    for number in range(100):
        add_sample(fast, 10.0 + number % 3, 0.0)
        add_sample(slow, 900.0 + 50 * (number % 3), 0.0)
    assert silence_bound_ms(None, 400.0) == 400.0
    assert silence_bound_ms(fast, 400.0) == 400.0
    assert 1_000.0 < silence_bound_ms(slow, 400.0) < 1_500.0


def test_the_minimum_service_time_expires_without_new_samples() -> None:
    """Guards against a queue that drops all legs of a kind because one was slow."""
    estimate = ServiceTimeEstimate()
    add_sample(estimate, 400.0, 0.0)
    assert min_service_time_ms(estimate, 5_000.0) == 100.0
    assert min_service_time_ms(estimate, 5_001.0) == min_service_time_ms(None, 0.0) == 1.0


def _select_lost(legs: list[UnansweredLeg], busy: int | None, answered_since: int = 0) -> list[int]:
    return select_lost_legs(legs, ProbeResult(500.0, 510.0, busy), answered_since)


def test_lost_legs_are_those_missing_from_the_busy_slots() -> None:
    """Guards against resending a running leg, and against waiting for a lost one."""
    legs = [UnansweredLeg(1, 0.0, 100.0), UnansweredLeg(2, 100.0, 100.0)]
    assert [_select_lost(legs, busy) for busy in (2, 1, 0, 9)] == [[], [1], [1, 2], []]


def test_a_recently_written_leg_is_not_counted() -> None:
    """Guards against resending a running leg because another leg has not arrived yet."""
    legs = [UnansweredLeg(1, 0.0, 100.0), UnansweredLeg(2, 495.0, 0.0)]
    assert _select_lost(legs, 1) == []
    assert _select_lost(legs, 0) == [1]


def test_slots_of_legs_answered_since_the_probe_are_subtracted() -> None:
    """Guards against a lost leg that is not detected while other legs keep a slot busy."""
    probe = ProbeResult(500.0, 510.0, 1)
    assert was_running_at_probe(probe, 480.0, 516.0)
    # The reply may have been in flight when the report was made, or the leg arrived after it.
    assert not was_running_at_probe(probe, 480.0, 512.0)
    assert not was_running_at_probe(probe, 495.0, 530.0)
    assert _select_lost([UnansweredLeg(1, 0.0, 100.0)], 1, answered_since=1) == [1]
    assert _select_lost([UnansweredLeg(1, 0.0, 100.0)], 1, answered_since=0) == []


def test_a_leg_within_its_silence_bound_is_not_lost() -> None:
    """Guards against closing a connection whose leg is within its bound."""
    assert _select_lost([UnansweredLeg(1, 0.0, 0.0)], 0) == []


def test_without_a_trusted_report_only_long_silence_counts() -> None:
    """Guards against a wrong report that hides a lost leg or makes a running one seem lost."""
    assert _select_lost([UnansweredLeg(1, 0.0, 599.0), UnansweredLeg(2, 0.0, 600.0)], None) == [2]


def test_inconsistent_reports_are_distrusted_temporarily() -> None:
    """Guards against resent or stuck legs while reports lag or are wrong."""
    idle = ReportTrust()
    assert check_report(idle, [], 2, 5_000.0) is None
    assert not is_trusted(idle, 5_001.0)
    assert is_trusted(idle, 65_000.0)
    trust = ReportTrust()
    assert check_report(trust, [4_900.0, 0.0], 1, 5_000.0) is None
    report = check_report(trust, [1.0, 0.0], 1, 5_000.0)
    assert report is not None
    # The first answer may be from a leg that had ended when the report was made.
    for now_ms, trusted in ((5_100.0, True), (5_300.0, True), (5_400.0, False)):
        record_answered_leg(trust, report, now_ms)
        assert is_trusted(trust, now_ms) is trusted


load_tests = function_suite(globals())
