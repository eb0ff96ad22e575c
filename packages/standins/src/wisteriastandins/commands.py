"""Commands of the load tool, the launcher and the measurements."""

import sys
from pathlib import Path

import cyclopts

from .demo import DEFAULT_OPTIONS, DemoOptions, run_demo
from .measure.commands import app as measure_app


def demo(
    *,
    customer: str = "",
    share: float = DEFAULT_OPTIONS.share,
    warm_up_s: float = DEFAULT_OPTIONS.warm_up_s,
    duration_s: float = DEFAULT_OPTIONS.duration_s,
    seed: int = DEFAULT_OPTIONS.seed,
    base_port: int = DEFAULT_OPTIONS.base_port,
    run_folder: Path | None = None,
    json: bool = False,
) -> None:
    """Start both deployments, one after the other, load them and check every answer.

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
        Where files and logs are kept; a temporary folder without it.
    json
        Print JSON, one line for each deployment.
    """
    customers = (customer,) if customer else DEFAULT_OPTIONS.customers
    options = DemoOptions(
        customers, share, warm_up_s, duration_s, seed, base_port, run_folder, json
    )
    sys.exit(run_demo(options))


def register(app: cyclopts.App) -> None:
    """Add the commands to the application."""
    app.command(demo)
    app.command(measure_app)
