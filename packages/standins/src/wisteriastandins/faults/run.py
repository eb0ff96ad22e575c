"""Run a load on a deployment while a fault begins and ends, and check the result."""

import asyncio
from pathlib import Path
from typing import NamedTuple

from wisteriastandins.launcher import (
    build_commands,
    find_exited_processes,
    format_error,
    launch_processes,
    wait_until_ready,
)
from wisteriastandins.load.arrivals import capacity_per_s
from wisteriastandins.load.models import LoadOptions, LoadResult
from wisteriastandins.load.report import format_result
from wisteriastandins.load.rows import import_partition_rows
from wisteriastandins.load.run import run_load
from wisteriastandins.topology.customers import CUSTOMERS
from wisteriastandins.topology.write import create_run_folder

from .catalogue import FAULTS
from .models import Fault, FaultResult, Target


class FaultOptions(NamedTuple):
    """Options of a fault run. The fault begins at one third of the duration, ends at two thirds."""

    customer: str
    faults: tuple[str, ...]
    share: float
    duration_s: float
    seed: int
    base_port: int
    run_folder: Path


async def _apply_fault(fault: Fault, target: Target, duration_s: float) -> str | None:
    await asyncio.sleep(duration_s / 3)
    if error := await fault.begin(target):
        return error
    await asyncio.sleep(duration_s / 3)
    return await fault.end(target)


def count_harmed_requests(result: LoadResult) -> int:
    """Return the number of requests that failed, were refused or have an unknown outcome."""
    return sum(
        sum(item["errors"].values())
        + item["outcomes"].get("unknown", 0)
        + item["outcomes"].get("not_run", 0)
        for item in result["classes"]
    )


def find_problems(fault: Fault, result: LoadResult, exit_codes: dict[str, int]) -> list[str]:
    """Return the violated requirements of a run, or an empty list."""
    problems = [
        f"failed check {check}: {failure_count}"
        for check, failure_count in result["failed_checks"].items()
    ]
    if not result["record_checked"]:
        problems.append("the record of executions could not be read")
    if fault.planned and (count := count_harmed_requests(result)):
        problems.append(f"a planned change harmed {count} requests")
    failed = {name: exit_code for name, exit_code in exit_codes.items() if exit_code}
    problems += [f"{name} ended with {exit_code} on SIGTERM" for name, exit_code in failed.items()]
    return problems


async def run_fault(fault: Fault, options: FaultOptions) -> FaultResult:
    """Start a deployment, run a load on it during a fault and stop it."""
    folder = options.run_folder / f"{options.customer}-{fault.name}"
    run = create_run_folder(CUSTOMERS[options.customer], folder, options.base_port, options.seed)
    async with launch_processes(build_commands(run), run.logs) as running:
        if error := await wait_until_ready(running, run.plan["entries"]):
            return FaultResult(fault.name, None, [format_error(error)])
        rate_per_s = options.share * capacity_per_s(run.plan)
        load = LoadOptions(rate_per_s, 0.0, options.duration_s, options.seed)
        fault_task = asyncio.create_task(
            _apply_fault(fault, Target(run.plan, running), options.duration_s)
        )
        try:
            result = await run_load(
                run.plan, load, import_partition_rows(), f"{fault.name}-{options.seed}"
            )
            action_error = await fault_task
        finally:
            fault_task.cancel()
        if action_error is not None:
            return FaultResult(fault.name, result, [f"the fault was not applied: {action_error}"])
        if process_error := find_exited_processes(running):
            return FaultResult(fault.name, result, [format_error(process_error)])
    return FaultResult(fault.name, result, find_problems(fault, result, running.exit_codes))


def run_faults(options: FaultOptions) -> int:
    """Run the faults one after the other and print the results.

    Returns
    -------
    int
        Exit code: 0, or 1 if a run had a problem.
    """
    exit_code = 0
    for name in options.faults:
        fault_result = asyncio.run(run_fault(FAULTS[name], options))
        print(f"== {name}{' (planned)' if FAULTS[name].planned else ''}")
        if fault_result.result is not None:
            print(format_result(fault_result.result))
        for problem in fault_result.problems:
            print(f"problem: {problem}")
            exit_code = 1
        print(flush=True)
    return exit_code
