"""Commands of the measurements."""

import asyncio
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from cyclopts import App

from wisteriastandins.launcher import RunError, format_error, interrupt_on_sigterm
from wisteriastandins.topology.const import DEFAULT_BASE_PORT
from wisteriastandins.topology.customers import CUSTOMERS, CustomerName

from .deployments import measure_deployments
from .leg_cost import measure_leg_cost
from .memory import measure_memory
from .models import MeasureOptions

MIN_RUNS = 5
_FOLDER = Path("docs/measurements")

app = App(name="measure", help="Measure the deployments and write docs/measurements.")
app.command("wisteriastandins.slopes.command:slopes", help="Measure how costs grow.")


def _run(
    measure: Callable[[MeasureOptions], Coroutine[Any, Any, int | RunError]],
    options: MeasureOptions,
) -> None:
    """Run a measurement and exit with 1 when a check failed or a deployment did not start."""
    interrupt_on_sigterm()
    failed = asyncio.run(measure(options))
    if isinstance(failed, RunError):
        print(format_error(failed), file=sys.stderr)
        sys.exit(1)
    print(f"wrote {options.output}")
    sys.exit(1 if failed else 0)


@app.command
def deployments(
    *,
    customer: list[CustomerName] | None = None,
    share: list[float] | None = None,
    runs: int = MIN_RUNS,
    warm_up_s: float = 3.0,
    duration_s: float = 10.0,
    seed: int = 1,
    base_port: int = DEFAULT_BASE_PORT,
    output: Path = _FOLDER / "deployments.md",
) -> None:
    """Measure latency, coverage and extra load of both deployments.

    Parameters
    ----------
    customer
        Deployment to measure; may be given several times.
    share
        Load as a share of the capacity of the busiest service's slots; may be given several times.
    runs
        Runs at each share.
    warm_up_s
        Seconds of load that are checked but not counted.
    duration_s
        Seconds of load that are counted.
    seed
        Seed of the first run; each further run adds 1.
    base_port
        First of the loopback ports.
    output
        The page to write.
    """
    names, shares = tuple(customer or CUSTOMERS), tuple(share or (0.5, 0.9))
    options = MeasureOptions(names, shares, runs, warm_up_s, duration_s, seed, base_port, output)
    _run(measure_deployments, options)


@app.command
def leg_cost(
    *,
    customer: list[CustomerName] | None = None,
    share: list[float] | None = None,
    runs: int = MIN_RUNS,
    warm_up_s: float = 2.0,
    duration_s: float = 10.0,
    seed: int = 1,
    base_port: int = DEFAULT_BASE_PORT,
    output: Path = _FOLDER / "leg-cost.md",
) -> None:
    """Measure the processor time of a leg against a bare fan-out; options as for `deployments`."""
    names, shares = tuple(customer or CUSTOMERS), tuple(share or (0.5,))
    options = MeasureOptions(names, shares, runs, warm_up_s, duration_s, seed, base_port, output)
    _run(measure_leg_cost, options)


@app.command
def memory(
    *,
    customer: list[CustomerName] | None = None,
    share: list[float] | None = None,
    runs: int = MIN_RUNS,
    warm_up_s: float = 2.0,
    duration_s: float = 10.0,
    seed: int = 1,
    base_port: int = DEFAULT_BASE_PORT,
    output: Path = _FOLDER / "memory.md",
) -> None:
    """Measure the resident set of entry instances; options as for `deployments`."""
    names, shares = tuple(customer or CUSTOMERS), tuple(share or (0.5,))
    options = MeasureOptions(names, shares, runs, warm_up_s, duration_s, seed, base_port, output)
    _run(measure_memory, options)
