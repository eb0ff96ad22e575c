"""Measure the processor time of a leg through the tier against a bare fan-out."""

from statistics import median

from wisteriastandins.launcher import RunError
from wisteriastandins.load.record import read_records, sum_counters
from wisteriastandins.load.report import format_result, is_correct
from wisteriastandins.load.rows import import_partition_rows
from wisteriastandins.load.run import run_load
from wisteriastandins.process_stats import cpu_seconds

from .bare import run_bare
from .models import LegCost, MeasureOptions
from .page import format_table, write_page
from .session import Session, entry_pids, measure_all_runs

_COLUMNS = (
    "deployment",
    "share",
    "runs",
    "legs through the tier",
    "tier ms/leg",
    "lowest to highest",
    "bare legs",
    "bare ms/leg",
    "lowest to highest",
    "tier / bare",
    "bare errors",
)
_EXPLANATION = (
    "Processor time, user and system, divided by the legs that reached an endpoint. The tier's is "
    "the sum over all entry instances, from /proc, over the whole load with its warm-up; it "
    "includes callers' requests, peers' traffic, heartbeats and reports. The bare fan-out sends "
    "the same requests' legs from one process by aiosonic to the same endpoints, right after the "
    "load, within the endpoints' slots; it decodes the replies and merges nothing. Figures are "
    "medians of the runs."
)


async def _count_received_legs(session: Session) -> int:
    records = await read_records(session.plan["endpoint_controls"])
    return sum_counters(record for record in records if record is not None).received


async def _measure(session: Session) -> LegCost:
    """Load a deployment through the tier, then by the bare fan-out."""
    pids = entry_pids(session)
    before = {entry: cpu_seconds(pid) for entry, pid in pids.items()}
    legs_before = await _count_received_legs(session)
    result = await run_load(session.plan, session.load, import_partition_rows(), session.run_id)
    used = [cpu_seconds(pid) - before[entry] for entry, pid in pids.items()]
    legs = await _count_received_legs(session) - legs_before
    bare = await run_bare(session.plan, session.load, f"{session.run_id}-bare")
    if not is_correct(result):
        print(format_result(result))
    return LegCost(
        tier_legs=legs,
        tier_ms=1000 * sum(used) / max(1, legs),
        tier_busiest_ms=1000 * max(used) / max(1, legs),
        bare_legs=bare.legs,
        bare_ms=1000 * bare.cpu_s / max(1, bare.legs),
        bare_errors=bare.errors,
        correct=is_correct(result),
    )


def format_cost_row(name: str, share: float, costs: list[LegCost]) -> tuple[str, ...]:
    """Return the table row of one deployment at one share."""
    tier = [cost["tier_ms"] for cost in costs]
    bare = [cost["bare_ms"] for cost in costs]
    ratio = median(t / b for t, b in zip(tier, bare, strict=True) if b > 0)
    return (
        name,
        f"{share:g}",
        str(len(costs)),
        f"{median(cost['tier_legs'] for cost in costs):.0f}",
        f"{median(tier):.3f}",
        f"{min(tier):.3f} to {max(tier):.3f}",
        f"{median(cost['bare_legs'] for cost in costs):.0f}",
        f"{median(bare):.3f}",
        f"{min(bare):.3f} to {max(bare):.3f}",
        f"{ratio:.2f}",
        str(sum(cost["bare_errors"] for cost in costs)),
    )


async def measure_leg_cost(options: MeasureOptions) -> int | RunError:
    """Measure every deployment at every share; write the page, return the number of failed runs."""
    groups = await measure_all_runs(options, _measure)
    if isinstance(groups, RunError):
        return groups
    rows = [format_cost_row(*group) for group in groups]
    failed = sum(not cost["correct"] for _, _, costs in groups for cost in costs)
    summary = f"Runs in which an answer failed its check: {failed}."
    title = "Processor time of a leg"
    write_page(options.output, title, [_EXPLANATION, format_table(_COLUMNS, rows), summary])
    return failed
