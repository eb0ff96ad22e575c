"""Measure both deployments at several shares of their capacity."""

from collections.abc import Callable
from statistics import median

from wisteriastandins.launcher import RunError
from wisteriastandins.load.models import ClassResult, LoadResult
from wisteriastandins.load.report import format_result, is_correct
from wisteriastandins.load.rows import import_partition_rows
from wisteriastandins.load.run import run_load

from .models import MeasureOptions
from .page import format_table, write_page
from .session import Session, measure_all_runs

_COLUMNS = (
    "deployment",
    "share",
    "class",
    "runs",
    "requests/s",
    "p50 ms",
    "p99 ms",
    "p99 ms, lowest to highest",
    "late",
    "coverage",
    "complete %",
    "extra load %",
    "cross-zone legs",
    "errors",
    "check failures",
)
_EXPLANATION = (
    "Share is that of the slots of the busiest service: the request rate at which its mean use of "
    "slots has this value. Each figure is the median of the runs; each run starts all processes "
    "anew. Latency counts from the time at which a request was due and includes the delay between "
    "client and entry instance; refusals (not_run) are left out of it. Late answers came over "
    "50 ms after their deadline. Coverage is the mean share of wanted shards that were answered. "
    "Extra load is hedges and retries in per cent of primary legs. Cross-zone legs are those of a "
    "mean answer. Late, errors and check failures are sums over all runs."
)


async def _measure(session: Session) -> LoadResult:
    result = await run_load(session.plan, session.load, import_partition_rows(), session.run_id)
    if not is_correct(result):
        print(format_result(result))
    return result


def _median(results: list[ClassResult], metric: Callable[[ClassResult], float]) -> float:
    return median(metric(result) for result in results)


def _complete_pct(result: ClassResult) -> float:
    return 100 * result["outcomes"].get("complete", 0) / max(1, result["requests"])


def format_class_row(name: str, share: float, results: list[ClassResult]) -> tuple[str, ...]:
    """Return the table row of one class over all runs of a deployment at one share."""
    p99s = [result["p99_ms"] for result in results]
    return (
        name,
        f"{share:g}",
        results[0]["kind"],
        str(len(results)),
        f"{_median(results, lambda r: r['rate_per_s']):.1f}",
        f"{_median(results, lambda r: r['p50_ms']):.1f}",
        f"{median(p99s):.1f}",
        f"{min(p99s):.1f} to {max(p99s):.1f}",
        str(sum(result["late_answers"] for result in results)),
        f"{_median(results, lambda r: r['mean_coverage']):.4f}",
        f"{_median(results, _complete_pct):.2f}",
        f"{_median(results, lambda r: r['extra_load_pct']):.2f}",
        f"{_median(results, lambda r: r['cross_zone_legs']):.1f}",
        str(sum(sum(result["errors"].values()) for result in results)),
        str(sum(result["check_failures"] for result in results)),
    )


def format_run_rows(name: str, share: float, runs: list[LoadResult]) -> list[tuple[str, ...]]:
    """Return a row for each class of a deployment."""
    kinds = range(len(runs[0]["classes"]))
    return [format_class_row(name, share, [run["classes"][kind] for run in runs]) for kind in kinds]


def write_deployments_page(
    options: MeasureOptions, groups: list[tuple[str, float, list[LoadResult]]]
) -> int:
    """Write the page; return the number of failed checks and of unreadable records."""
    runs = [run for _, _, group in groups for run in group]
    failed = sum(sum(run["failed_checks"].values()) for run in runs)
    unreadable = sum(not run["record_checked"] for run in runs)
    rows = [row for name, share, group in groups for row in format_run_rows(name, share, group)]
    late = sum(run["late_starts"] for run in runs)
    tool_pct = max(run["tool_cpu_pct"] for run in runs)
    summary = (
        f"Failed checks over all runs, those of the record of executions included: {failed}. "
        f"Runs whose record could not be read: {unreadable}. Requests that the load tool started "
        f"over 5 ms late: {late}; its use of one processor was at most {tool_pct:.0f} %."
    )
    title = "Deployments under load"
    write_page(options.output, title, [_EXPLANATION, format_table(_COLUMNS, rows), summary])
    return failed + unreadable


async def measure_deployments(options: MeasureOptions) -> int | RunError:
    """Run every deployment at every share, write the page and return the number of failures."""
    groups = await measure_all_runs(options, _measure)
    return groups if isinstance(groups, RunError) else write_deployments_page(options, groups)
