"""Commands of the load tool, the launcher and the measurements."""

import asyncio
import sys
from contextlib import suppress
from json import dumps as json_text
from pathlib import Path
from tempfile import TemporaryDirectory

import cyclopts

from .demo import DEFAULT_OPTIONS, DemoOptions, run_demo
from .deployment import load_deployment, run_deployment
from .faults.catalogue import FAULTS
from .faults.run import FaultOptions, run_faults
from .launcher import format_error, interrupt_on_sigterm
from .load.report import format_result, is_correct
from .measure.commands import app as measure_app
from .topology.customers import CUSTOMERS, CustomerName


def demo(
    *,
    customer: CustomerName | None = None,
    share: float = DEFAULT_OPTIONS.share,
    warm_up_s: float = DEFAULT_OPTIONS.warm_up_s,
    duration_s: float = DEFAULT_OPTIONS.duration_s,
    seed: int = DEFAULT_OPTIONS.seed,
    base_port: int = DEFAULT_OPTIONS.base_port,
    run_folder: Path | None = None,
    json: bool = False,
) -> None:
    """Start the deployments one after the other, load them and check every answer.

    Parameters
    ----------
    customer
        Run only this deployment: cascade or popravka.
    share
        Load as a share of the capacity of the busiest service's slots.
    warm_up_s
        Seconds of load that are checked but not counted.
    duration_s
        Seconds of load that are counted.
    seed
        Seed of the load and of the stand-ins.
    base_port
        First of the loopback ports.
    run_folder
        Folder for files and logs; by default a temporary one.
    json
        Print JSON, one line for each deployment.
    """
    customers = (customer,) if customer else DEFAULT_OPTIONS.customers
    options = DemoOptions(
        customers, share, warm_up_s, duration_s, seed, base_port, run_folder, json
    )
    sys.exit(run_demo(options))


def faults(
    *,
    fault: list[str] | None = None,
    customer: CustomerName = "cascade",
    share: float = 0.1,
    duration_s: float = 15.0,
    seed: int = 1,
    base_port: int = DEFAULT_OPTIONS.base_port,
    run_folder: Path | None = None,
) -> None:
    """Load a deployment during faults and planned changes, one run for each.

    Exits with 1 if an answer fails its check, or if a planned change causes an error, a refusal
    or an unknown outcome.

    Parameters
    ----------
    fault
        Name of a fault in `wisteriastandins.faults.catalogue`; may be given several times.
    customer
        The deployment: cascade or popravka.
    share
        Load as a share of the capacity of the busiest service's slots.
    duration_s
        Seconds of load; the fault lasts from one third to two thirds of this time.
    seed
        Seed of the load and of the stand-ins.
    base_port
        First of the loopback ports.
    run_folder
        Folder for files and logs; by default a temporary one.
    """
    names = tuple(fault or FAULTS)
    if unknown := [name for name in names if name not in FAULTS]:
        print(f"no such fault: {', '.join(unknown)}; known: {', '.join(FAULTS)}", file=sys.stderr)
        sys.exit(2)
    interrupt_on_sigterm()
    with TemporaryDirectory(prefix="wisteriarock-") as temporary:
        folder = run_folder or Path(temporary)
        options = FaultOptions(customer, names, share, duration_s, seed, base_port, folder)
        code = run_faults(options)
    sys.exit(code)


def launch(
    customer: CustomerName,
    run_folder: Path,
    *,
    seed: int = 1,
    base_port: int = DEFAULT_OPTIONS.base_port,
) -> None:
    """Start a deployment and keep it running until SIGINT or SIGTERM.

    Parameters
    ----------
    customer
        The deployment: cascade or popravka.
    run_folder
        Folder for files and logs.
    seed
        Seed of the stand-ins.
    base_port
        First of the loopback ports.
    """
    interrupt_on_sigterm()
    with suppress(KeyboardInterrupt):
        if error := asyncio.run(run_deployment(CUSTOMERS[customer], run_folder, base_port, seed)):
            print(format_error(error), file=sys.stderr)
            sys.exit(1)


def load(
    run_folder: Path,
    *,
    share: float = DEFAULT_OPTIONS.share,
    warm_up_s: float = DEFAULT_OPTIONS.warm_up_s,
    duration_s: float = DEFAULT_OPTIONS.duration_s,
    seed: int = DEFAULT_OPTIONS.seed,
    json: bool = False,
) -> None:
    """Load a deployment that `launch` keeps running, and check every answer.

    Parameters
    ----------
    run_folder
        Run folder of `launch`.
    share
        Load as a share of the capacity of the busiest service's slots.
    warm_up_s
        Seconds of load that are checked but not counted.
    duration_s
        Seconds of load that are counted.
    seed
        Seed of the load.
    json
        Print JSON.
    """
    result = load_deployment(run_folder, share, warm_up_s, duration_s, seed)
    if isinstance(result, str):
        print(result, file=sys.stderr)
        sys.exit(2)
    print(json_text(result) if json else format_result(result))
    sys.exit(0 if is_correct(result) else 1)


def register(app: cyclopts.App) -> None:
    """Add the commands to the application."""
    app.command(demo)
    app.command(faults)
    app.command(launch)
    app.command(load)
    app.command(measure_app)
