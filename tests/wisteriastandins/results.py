"""Load results for tests."""

from wisteriastandins.load.models import ClassResult, LoadResult


def make_load_result(
    p99_ms: float = 50.0,
    failed_checks: dict[str, int] | None = None,
    outcomes: dict[str, int] | None = None,
    errors: dict[str, int] | None = None,
) -> LoadResult:
    """Return the result of a run with one class of ten requests."""
    failed = failed_checks or {}
    result = ClassResult(
        kind="recall_screen",
        requests=10,
        rate_per_s=1.0,
        outcomes=outcomes or {"complete": 9, "partial": 1},
        p50_ms=20.0,
        p99_ms=p99_ms,
        late_answers=1,
        mean_coverage=0.998,
        extra_load_pct=1.5,
        cross_zone_legs=12.0,
        missing_reasons={},
        answer_errors={},
        errors=errors or {},
        check_failures=sum(failed.values()),
    )
    return LoadResult(
        customer="cascade",
        rate_per_s=1.0,
        duration_s=10.0,
        seed=1,
        classes=[result],
        late_starts=0,
        tool_cpu_pct=20.0,
        record_checked=True,
        endpoints={"received": 10},
        failed_checks=failed,
        failures=[],
    )
