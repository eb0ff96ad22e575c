"""Run the probes and write the page of slopes."""

import gc
import sys
import time
from pathlib import Path
from typing import NamedTuple

from wisteriarock.const import GC_THRESHOLDS

from wisteriastandins.measure.page import format_table, write_page

from .bundles import bundle_probes
from .connections import connection_probes
from .decisions import decision_probes
from .fit import run_probe
from .heartbeats import heartbeat_probes
from .memory import memory_probes
from .models import Effort, Probe, SlopeResult
from .traffic import traffic_probes

_COLUMN_TITLES = (
    "what",
    "against",
    "sizes",
    "costs at the sizes",
    "slope",
    "intercept",
    "r2",
    "unit",
)
_INTRODUCTION = (
    "Processor time (`us`) is that of this process, by `time.process_time()`: the median of the "
    "repetitions, each long enough for the clock; `bytes` of memory are allocations traced by "
    "`tracemalloc`, `bytes` of messages were counted. The line is fitted by least squares; the "
    "slope is in the unit for each unit of size. Both ends of a connection run in this process, "
    "so a figure of `both ends` is the sum of sender and receiver. Endpoints have two replicas, "
    "one shard and two snapshots each, on 27 zones. Garbage collection is set as in an entry "
    "instance; a collection before each repetition is not counted."
)


class SlopeOptions(NamedTuple):
    """Options of the measurement; `only` selects probes by a part of their title or size name."""

    effort: Effort
    only: str
    output: Path


def all_probes() -> list[Probe]:
    """Return every probe, in the order of the page."""
    return [
        *decision_probes(),
        *heartbeat_probes(),
        *traffic_probes(),
        *bundle_probes(),
        *memory_probes(),
        *connection_probes(),
    ]


def format_number(value: float) -> str:
    """Return a number with four significant digits, or without decimals from 1,000 upwards."""
    if abs(value) >= 1_000:
        return f"{value:,.0f}"
    return f"{value:.4g}"


def slope_row(result: SlopeResult) -> tuple[str, ...]:
    """Return the table row of a result."""
    probe, fit = result.probe, result.fit
    return (
        probe.title,
        probe.size_name,
        ", ".join(f"{size:,}".replace(",", " ") for size in probe.sizes),
        ", ".join(format_number(cost).replace(",", " ") for cost in result.costs),
        format_number(fit.slope).replace(",", " "),
        format_number(fit.intercept).replace(",", " "),
        f"{fit.r2:.4f}",
        probe.unit,
    )


def measure_slopes(options: SlopeOptions) -> int:
    """Run the selected probes, write the page and return the number of rows."""
    thresholds = gc.get_threshold()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    start_s, results = time.monotonic(), []
    try:
        for probe in all_probes():
            if options.only not in f"{probe.title} {probe.size_name}":
                continue
            results.append(run_probe(probe, options.effort))
            print(" | ".join(slope_row(results[-1])), file=sys.stderr, flush=True)
    finally:
        gc.unfreeze()
        gc.set_threshold(*thresholds)
    closing = (
        f"Repetitions: {options.effort.repetitions}; processor time of each, short calls repeated: "
        f"{options.effort.min_s:g} s or more. The run took {time.monotonic() - start_s:.0f} s."
    )
    rows = [slope_row(result) for result in results]
    write_page(
        options.output, "Slopes", [_INTRODUCTION, format_table(_COLUMN_TITLES, rows), closing]
    )
    return len(rows)
