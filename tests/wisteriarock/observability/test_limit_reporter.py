"""Tests of the counts and log lines of limits."""

from wisteriarock.observability.limit_reporter import LimitReporter

from tests.common import function_suite


def test_each_limit_is_logged_once_per_interval():
    """Guards against a flood of refusals that floods the log as well."""
    now_ms = 5_000.0
    counted: list[str] = []
    lines: list[tuple[str, int]] = []
    reporter = LimitReporter(
        lambda: now_ms, counted.append, lambda limit, count: lines.append((limit, count))
    )
    for _ in range(500):
        reporter.report("memory")
    reporter.report("connections")
    now_ms += 1_000.0
    reporter.report("memory")
    assert lines == [("memory", 1), ("connections", 1), ("memory", 500)]
    assert len(counted) == 502


load_tests = function_suite(globals())
