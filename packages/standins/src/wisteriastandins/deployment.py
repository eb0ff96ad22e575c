"""Run a deployment until it is interrupted, and load a running one."""

import asyncio
import time
from pathlib import Path

from returns.result import Success

from .launcher import (
    RunError,
    build_commands,
    find_exited_processes,
    launch_processes,
    wait_until_ready,
)
from .load.arrivals import capacity_per_s
from .load.models import LoadOptions, LoadResult
from .load.rows import import_partition_rows
from .load.run import run_load
from .topology.models import Customer
from .topology.read import read_plan
from .topology.write import create_run_folder

_EXIT_CHECK_INTERVAL_S = 1.0


async def run_deployment(
    customer: Customer, folder: Path, base_port: int, seed: int
) -> RunError | None:
    """Start a deployment and keep it running until an interrupt or until a process exits."""
    run = create_run_folder(customer, folder, base_port, seed)
    async with launch_processes(build_commands(run), run.logs) as running:
        if error := await wait_until_ready(running, run.plan["entries"]):
            return error
        for entry in run.plan["entries"]:
            pid = running.processes[entry["name"]].pid
            address = f"public http://{entry['host']}:{entry['public_port']}"
            print(f"{entry['name']} {entry['zone']} {address} pid {pid}")
        print(f"ready; logs in {run.logs}", flush=True)
        while True:
            if error := find_exited_processes(running):
                return error
            await asyncio.sleep(_EXIT_CHECK_INTERVAL_S)


def load_deployment(
    folder: Path, share: float, warm_up_s: float, duration_s: float, seed: int
) -> LoadResult | str:
    """Load the deployment of a run folder and return the result, or an error message."""
    plan_result = read_plan(folder)
    if not isinstance(plan_result, Success):
        return plan_result.failure()
    plan = plan_result.unwrap()
    options = LoadOptions(share * capacity_per_s(plan), warm_up_s, duration_s, seed)
    # The endpoints keep their records between loads, so request ids must differ even with the
    # same seed.
    run_id = f"{plan['customer']}-{time.time_ns():x}"
    return asyncio.run(run_load(plan, options, import_partition_rows(), run_id))
