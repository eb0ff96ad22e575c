"""Tests of lagged values."""

from wisteriastandins.lag import LaggedValue, record_value, value_as_of

from tests.common import function_suite


def test_readers_see_a_change_after_the_lag() -> None:
    """Guards against a list or report that is newer or older than its lag."""
    lagged: LaggedValue[str] = LaggedValue()
    record_value(lagged, "a", 0, 100)
    record_value(lagged, "b", 50, 100)
    record_value(lagged, "c", 60, 100)
    assert [value_as_of(lagged, now_ms, 100) for now_ms in (60, 149, 150, 160)] == list("aabc")
    assert len(lagged.history) == 1


load_tests = function_suite(globals())
