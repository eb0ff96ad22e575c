"""Format the results of a load run as a table."""

from .models import ClassResult, LoadResult

_OUTCOMES = ("complete", "partial", "not_run", "unknown")
_COLUMNS = (
    "class",
    "requests",
    "req/s",
    *_OUTCOMES,
    "p50 ms",
    "p99 ms",
    "late",
    "coverage",
    "extra %",
    "x-zone",
    "errors",
    "failed",
)


def _row(result: ClassResult) -> tuple[str, ...]:
    errors = ",".join(f"{name}:{count}" for name, count in sorted(result["errors"].items()))
    return (
        result["kind"],
        str(result["requests"]),
        f"{result['rate_per_s']:.1f}",
        *(str(result["outcomes"].get(outcome, 0)) for outcome in _OUTCOMES),
        f"{result['p50_ms']:.1f}",
        f"{result['p99_ms']:.1f}",
        str(result["late_answers"]),
        f"{result['mean_coverage']:.4f}",
        f"{result['extra_load_pct']:.2f}",
        f"{result['cross_zone_legs']:.1f}",
        errors or "0",
        str(result["check_failures"]),
    )


def format_rows(rows: list[tuple[str, ...]]) -> str:
    """Return rows as aligned columns: the first left-aligned, the others right-aligned."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    lines = []
    for row in rows:
        cells = [row[0].ljust(widths[0])]
        cells += [cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def is_correct(result: LoadResult) -> bool:
    """Tell whether every answer passed its check and the record of executions was read."""
    return not result["failed_checks"] and result["record_checked"]


def format_result(result: LoadResult) -> str:
    """Return the table of a run, with the first failed checks below it."""
    head = (
        f"{result['customer']}: {result['rate_per_s']:.1f} requests/s for "
        f"{result['duration_s']:g} s, seed {result['seed']}, "
        f"load tool: {result['late_starts']} late starts, {result['tool_cpu_pct']:.0f} % of a core"
    )
    lines = [head, format_rows([_COLUMNS, *(_row(item) for item in result["classes"])])]
    counts = ", ".join(f"{name} {number}" for name, number in result["endpoints"].items())
    lines.append(f"at the endpoints: {counts}")
    for item in result["classes"]:
        for title, counted in (
            ("missing shards", item["missing_reasons"]),
            ("answers with an error", item["answer_errors"]),
        ):
            if counted:
                text = ", ".join(f"{name} {number}" for name, number in sorted(counted.items()))
                lines.append(f"{title}, {item['kind']}: {text}")
    if not result["record_checked"]:
        lines.append("the record of executions could not be read from every stand-in")
    for check, count in sorted(result["failed_checks"].items()):
        lines.append(f"failed check {check}: {count}")
    for failure in result["failures"][:10]:
        lines.append(f"  {failure['request_id']} {failure['check']}: {failure['detail']}")
    return "\n".join(lines)
