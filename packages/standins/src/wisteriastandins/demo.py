"""Run the deployments under load, one after the other, and print the results."""

import asyncio
import json
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

from .launcher import (
    RunningProcesses,
    build_commands,
    find_exited_processes,
    format_error,
    interrupt_on_sigterm,
    launch_processes,
    wait_until_ready,
)
from .load.arrivals import capacity_per_s
from .load.models import LoadOptions, LoadResult
from .load.report import format_result, is_correct
from .load.rows import import_partition_rows
from .load.run import run_load
from .process_stats import cpu_seconds
from .topology.const import DEFAULT_BASE_PORT, PORTS_PER_CUSTOMER
from .topology.customers import CUSTOMERS
from .topology.models import Customer
from .topology.write import create_run_folder


class DemoOptions(NamedTuple):
    """Options of a demo; `share` is the load as a share of the busiest service's capacity."""

    customers: tuple[str, ...]
    share: float
    warm_up_s: float
    duration_s: float
    seed: int
    base_port: int
    run_folder: Path | None
    as_json: bool


class CustomerRun(NamedTuple):
    """Result of running one deployment.

    `cpu_s` is the processor time of each group of processes during the load, in seconds.
    `problem` names processes that did not become ready, exited early or failed to stop cleanly;
    it is empty if there are none.
    """

    result: LoadResult | None
    cpu_s: dict[str, float]
    problem: str


def cpu_seconds_by_group(running: RunningProcesses) -> dict[str, float]:
    """Return the processor seconds used so far by group: entry, endpoints, relay, platform."""
    groups: dict[str, float] = {}
    for name, process in running.processes.items():
        group = name.partition("-")[0]
        groups[group] = groups.get(group, 0.0) + cpu_seconds(process.pid)
    return groups


async def run_customer(
    customer: Customer, folder: Path, base_port: int, options: DemoOptions
) -> CustomerRun:
    """Start a deployment, load it and stop it."""
    run = create_run_folder(customer, folder, base_port, options.seed)
    async with launch_processes(build_commands(run), run.logs) as running:
        if error := await wait_until_ready(running, run.plan["entries"]):
            return CustomerRun(None, {}, format_error(error))
        rate_per_s = options.share * capacity_per_s(run.plan)
        load = LoadOptions(rate_per_s, options.warm_up_s, options.duration_s, options.seed)
        run_id = f"{customer.name}-{options.seed}"
        before = cpu_seconds_by_group(running)
        result = await run_load(run.plan, load, import_partition_rows(), run_id)
        used_s = {
            name: total - before[name] for name, total in cpu_seconds_by_group(running).items()
        }
        if error := find_exited_processes(running):
            return CustomerRun(result, used_s, format_error(error))
    failed = [f"{name} with {code}" for name, code in running.exit_codes.items() if code]
    return CustomerRun(
        result, used_s, f"did not exit with 0 on SIGTERM: {', '.join(failed)}" if failed else ""
    )


def run_demo(options: DemoOptions) -> int:
    """Run the deployments, print the tables and return the exit code.

    Returns
    -------
    int
        0, or 1 if an answer failed its check, or a process did not become ready, exited during
        the load or did not exit with 0 on SIGTERM.
    """
    code = 0
    interrupt_on_sigterm()
    with tempfile.TemporaryDirectory(prefix="wisteriarock-") as temporary:
        root = options.run_folder or Path(temporary)
        for index, name in enumerate(options.customers):
            base_port = options.base_port + index * PORTS_PER_CUSTOMER
            folder = root / name
            outcome = asyncio.run(run_customer(CUSTOMERS[name], folder, base_port, options))
            if outcome.result is not None:
                as_json = json.dumps({**outcome.result, "cpu_s": outcome.cpu_s})
                output = as_json if options.as_json else format_result(outcome.result)
                print(output, flush=True)
                cpu = ", ".join(
                    f"{group} {seconds:.1f}" for group, seconds in outcome.cpu_s.items()
                )
                if not options.as_json:
                    print(f"processor seconds during the load: {cpu}\n", flush=True)
            if outcome.problem:
                print(f"{name}: {outcome.problem}", file=sys.stderr)
            if outcome.result is None or outcome.problem or not is_correct(outcome.result):
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
