"""Measure the resident set of entry instances, idle and loaded."""

import asyncio
from statistics import median

from wisteriastandins.launcher import RunError
from wisteriastandins.load.report import format_result, is_correct
from wisteriastandins.load.rows import load_rows_of
from wisteriastandins.load.run import run_load
from wisteriastandins.process_stats import resident_bytes

from .models import MeasureOptions, MemoryUse
from .page import format_table, write_page
from .session import Session, entry_pids, repeat

# Long enough for the first heartbeats and reports from all endpoints.
_IDLE_S = 5.0
_MB = 1_000_000

_HEAD = (
    "deployment",
    "share",
    "runs",
    "idle MB, median",
    "idle MB, highest",
    "loaded MB, median",
    "loaded MB, highest",
)
_TEXT = (
    "Resident set (VmRSS) of an entry instance in MB of 10^6 bytes, over all instances of all "
    f"runs. Idle is {_IDLE_S:g} s after all instances were ready; loaded is right after the load."
)


async def _measure(ready: Session) -> MemoryUse:
    await asyncio.sleep(_IDLE_S)
    pids = entry_pids(ready).values()
    idle = [resident_bytes(pid) for pid in pids]
    result = await run_load(ready.plan, ready.load, load_rows_of(), ready.run_id)
    loaded = [resident_bytes(pid) for pid in pids]
    if not is_correct(result):
        print(format_result(result))
    return MemoryUse(idle_bytes=idle, loaded_bytes=loaded, correct=is_correct(result))


def memory_row(name: str, share: float, uses: list[MemoryUse]) -> tuple[str, ...]:
    """Return the table row of one deployment at one share."""
    idle = [size / _MB for use in uses for size in use["idle_bytes"]]
    loaded = [size / _MB for use in uses for size in use["loaded_bytes"]]
    figures = (median(idle), max(idle), median(loaded), max(loaded))
    return (name, f"{share:g}", str(len(uses)), *(f"{figure:.1f}" for figure in figures))


async def measure_memory(options: MeasureOptions) -> int | RunError:
    """Measure every deployment at every share, write the page, return the runs that failed."""
    groups = await repeat(options, _measure)
    if isinstance(groups, RunError):
        return groups
    rows = [memory_row(*group) for group in groups]
    failed = sum(not use["correct"] for _, _, uses in groups for use in uses)
    closing = f"Runs in which an answer failed its check: {failed}."
    title = "Memory of an entry instance"
    write_page(options.output, title, [_TEXT, format_table(_HEAD, rows), closing])
    return failed
