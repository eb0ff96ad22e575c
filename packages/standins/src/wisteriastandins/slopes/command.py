"""Command that measures the slopes."""

import sys
from pathlib import Path

from .models import Effort
from .run import SlopeOptions, measure_slopes

MIN_REPETITIONS = 5


def slopes(
    *,
    repetitions: int = MIN_REPETITIONS,
    min_s: float = 0.05,
    only: str = "",
    output: Path = Path("docs/measurements/slopes.md"),
) -> None:
    """Measure how the costs of an entry instance grow, in this process.

    Parameters
    ----------
    repetitions
        Repetitions at each size; the cost is their median.
    min_s
        Minimum processor time of a repetition in seconds; short calls are repeated to reach it.
    only
        Runs only the probes whose title or size name contains this.
    output
        The page to write.
    """
    rows = measure_slopes(SlopeOptions(Effort(max(1, repetitions), min_s), only, output))
    print(f"wrote {rows} rows to {output}")
    sys.exit(0 if rows else 1)
