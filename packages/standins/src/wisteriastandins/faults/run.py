"""Load a deployment while a fault begins and ends, and judge the result."""

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
    """Options of a fault run: the fault begins after a third of the time and ends at two thirds."""

    customer: str
    faults: tuple[str, ...]
    share: float
    duration_s: float
    seed: int
    base_port: int
    run_folder: Path


async def _act(fault: Fault, target: Target, duration_s: float) -> str | None:
    await asyncio.sleep(duration_s / 3)
    if error := await fault.begin(target):
        return error
    await asyncio.sleep(duration_s / 3)
    return await fault.end(target)


def harmed(result: LoadResult) -> int:
    """Return the requests without an answer, refused, or with an unknown outcome."""
    return sum(
        sum(item["errors"].values())
        + item["outcomes"].get("unknown", 0)
        + item["outcomes"].get("not_run", 0)
        for item in result["classes"]
    )


def find_problems(fault: Fault, result: LoadResult, exit_codes: dict[str, int]) -> list[str]:
    """Return what must not have happened in a run, an empty list if nothing did."""
    problems = [f"failed check {check}: {n}" for check, n in result["failed_checks"].items()]
    if not result["record_checked"]:
        problems.append("the record of executions could not be read")
    if fault.planned and (count := harmed(result)):
        problems.append(f"a planned change harmed {count} requests")
    failed = {name: code for name, code in exit_codes.items() if code}
    problems += [f"{name} ended with {code} on SIGTERM" for name, code in failed.items()]
    return problems


async def run_fault(fault: Fault, options: FaultOptions) -> FaultResult:
    """Start a deployment, load it during a fault and end it."""
    folder = options.run_folder / f"{options.customer}-{fault.name}"
    run = create_run_folder(CUSTOMERS[options.customer], folder, options.base_port, options.seed)
    async with launch_processes(build_commands(run), run.logs) as running:
        if error := await wait_until_ready(running, run.plan["entries"]):
            return FaultResult(fault.name, None, [format_error(error)])
        rate_per_s = options.share * capacity_per_s(run.plan)
        load = LoadOptions(rate_per_s, 0.0, options.duration_s, options.seed)
        acting = asyncio.create_task(_act(fault, Target(run.plan, running), options.duration_s))
        try:
            result = await run_load(
                run.plan, load, import_partition_rows(), f"{fault.name}-{options.seed}"
            )
            refused = await acting
        finally:
            acting.cancel()
        if refused is not None:
            return FaultResult(fault.name, result, [f"the fault was not applied: {refused}"])
        if ended := find_exited_processes(running):
            return FaultResult(fault.name, result, [format_error(ended)])
    return FaultResult(fault.name, result, find_problems(fault, result, running.exit_codes))


def run_faults(options: FaultOptions) -> int:
    """Run the faults one after the other, print tables and return the exit code.

    Returns
    -------
    int
        0, or 1 when a run had a problem.
    """
    code = 0
    for name in options.faults:
        ended = asyncio.run(run_fault(FAULTS[name], options))
        print(f"== {name}{' (planned)' if FAULTS[name].planned else ''}")
        if ended.result is not None:
            print(format_result(ended.result))
        for problem in ended.problems:
            print(f"problem: {problem}")
            code = 1
        print(flush=True)
    return code
