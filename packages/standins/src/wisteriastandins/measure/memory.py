"""Measure the resident set of entry instances, idle and loaded."""

import asyncio
from statistics import median

from wisteriastandins.launcher import RunError
from wisteriastandins.load.report import format_result, is_correct
from wisteriastandins.load.rows import import_partition_rows
from wisteriastandins.load.run import run_load
from wisteriastandins.process_stats import resident_bytes

from .models import MeasureOptions, MemoryUse
from .page import format_table, write_page
from .session import Session, entry_pids, measure_all_runs

# Long enough for the first heartbeats, and for reports from all endpoints.
_IDLE_S = 5.0
_BYTES_PER_MB = 1_000_000

_COLUMNS = (
    "deployment",
    "share",
    "runs",
    "idle MB, median",
    "idle MB, highest",
    "loaded MB, median",
    "loaded MB, highest",
)
_EXPLANATION = (
    "Resident set (VmRSS) of an entry instance in MB of 10^6 bytes, over all instances of all "
    f"runs. Idle is {_IDLE_S:g} s after all instances were ready; loaded is right after the load."
)


async def _measure(session: Session) -> MemoryUse:
    await asyncio.sleep(_IDLE_S)
    pids = entry_pids(session).values()
    idle = [resident_bytes(pid) for pid in pids]
    result = await run_load(session.plan, session.load, import_partition_rows(), session.run_id)
    loaded = [resident_bytes(pid) for pid in pids]
    if not is_correct(result):
        print(format_result(result))
    return MemoryUse(idle_bytes=idle, loaded_bytes=loaded, correct=is_correct(result))


def format_memory_row(name: str, share: float, uses: list[MemoryUse]) -> tuple[str, ...]:
    """Return the table row of one deployment at one share."""
    idle = [size / _BYTES_PER_MB for use in uses for size in use["idle_bytes"]]
    loaded = [size / _BYTES_PER_MB for use in uses for size in use["loaded_bytes"]]
    figures = (median(idle), max(idle), median(loaded), max(loaded))
    return (name, f"{share:g}", str(len(uses)), *(f"{figure:.1f}" for figure in figures))


async def measure_memory(options: MeasureOptions) -> int | RunError:
    """Measure every deployment at every share; write the page, return the number of failed runs."""
    groups = await measure_all_runs(options, _measure)
    if isinstance(groups, RunError):
        return groups
    rows = [format_memory_row(*group) for group in groups]
    failed = sum(not use["correct"] for _, _, uses in groups for use in uses)
    summary = f"Runs in which an answer failed its check: {failed}."
    title = "Memory of an entry instance"
    write_page(options.output, title, [_EXPLANATION, format_table(_COLUMNS, rows), summary])
    return failed
