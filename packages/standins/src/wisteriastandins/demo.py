"""Run the deployments one after the other under load and print what came of it."""

import asyncio
import json
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

from .launcher import (
    Running,
    commands_of,
    end_on_sigterm,
    find_ended,
    format_error,
    started,
    wait_ready,
)
from .load.arrivals import capacity_per_s
from .load.models import LoadOptions, LoadResult
from .load.report import format_result, is_correct
from .load.rows import load_rows_of
from .load.run import run_load
from .process_stats import cpu_seconds
from .topology.const import DEFAULT_BASE_PORT, PORTS_PER_CUSTOMER
from .topology.customers import CUSTOMERS
from .topology.models import Customer
from .topology.write import create_run_folder


class DemoOptions(NamedTuple):
    """Options of a demo: `share` is that of the busiest service's capacity."""

    customers: tuple[str, ...]
    share: float
    warm_up_s: float
    duration_s: float
    seed: int
    base_port: int
    run_folder: Path | None
    as_json: bool


class CustomerRun(NamedTuple):
    """What came of the run of one deployment; `problem` is empty when its processes behaved.

    `cpu_s` is the processor time of each group of processes during the load, in seconds.
    """

    result: LoadResult | None
    cpu_s: dict[str, float]
    problem: str


def cpu_by_group(running: Running) -> dict[str, float]:
    """Return the processor time so far in seconds by group: entry, endpoints, relay, platform."""
    groups: dict[str, float] = {}
    for name, process in running.processes.items():
        group = name.partition("-")[0]
        groups[group] = groups.get(group, 0.0) + cpu_seconds(process.pid)
    return groups


async def run_customer(
    customer: Customer, folder: Path, base_port: int, options: DemoOptions
) -> CustomerRun:
    """Start a deployment, load it and end it."""
    run = create_run_folder(customer, folder, base_port, options.seed)
    async with started(commands_of(run), run.logs) as running:
        if error := await wait_ready(running, run.plan["entries"]):
            return CustomerRun(None, {}, format_error(error))
        rate_per_s = options.share * capacity_per_s(run.plan)
        load = LoadOptions(rate_per_s, options.warm_up_s, options.duration_s, options.seed)
        run_id = f"{customer.name}-{options.seed}"
        before = cpu_by_group(running)
        result = await run_load(run.plan, load, load_rows_of(), run_id)
        used = {name: total - before[name] for name, total in cpu_by_group(running).items()}
        if error := find_ended(running):
            return CustomerRun(result, used, format_error(error))
    failed = [f"{name} with {code}" for name, code in running.exit_codes.items() if code]
    return CustomerRun(result, used, f"ended by SIGTERM: {', '.join(failed)}" if failed else "")


def run_demo(options: DemoOptions) -> int:
    """Run the deployments, print the tables and return the exit code.

    Returns
    -------
    int
        0, or 1 when an answer failed its check, or a process did not become ready, ended during
        the load or did not end with 0 on SIGTERM.
    """
    code = 0
    end_on_sigterm()
    with tempfile.TemporaryDirectory(prefix="wisteriarock-") as temporary:
        root = options.run_folder or Path(temporary)
        for index, name in enumerate(options.customers):
            base_port = options.base_port + index * PORTS_PER_CUSTOMER
            folder = root / name
            ended = asyncio.run(run_customer(CUSTOMERS[name], folder, base_port, options))
            if ended.result is not None:
                as_json = json.dumps({**ended.result, "cpu_s": ended.cpu_s})
                table = as_json if options.as_json else format_result(ended.result)
                print(table, flush=True)
                cpu = ", ".join(f"{group} {seconds:.1f}" for group, seconds in ended.cpu_s.items())
                if not options.as_json:
                    print(f"processor seconds during the load: {cpu}\n", flush=True)
            if ended.problem:
                print(f"{name}: {ended.problem}", file=sys.stderr)
            if ended.result is None or ended.problem or not is_correct(ended.result):
                code = 1
    return code


DEFAULT_OPTIONS = DemoOptions(
    customers=tuple(CUSTOMERS),
    share=0.2,
    warm_up_s=3.0,
    duration_s=10.0,
    seed=1,
    base_port=DEFAULT_BASE_PORT,
    run_folder=None,
    as_json=False,
)
