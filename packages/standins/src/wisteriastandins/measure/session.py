"""Start deployments and repeat a measurement on them."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple, TypeVar

from wisteriastandins.launcher import (
    RunError,
    RunningProcesses,
    build_commands,
    find_exited_processes,
    launch_processes,
    wait_until_ready,
)
from wisteriastandins.load.arrivals import capacity_per_s
from wisteriastandins.load.models import LoadOptions
from wisteriastandins.topology.customers import CUSTOMERS
from wisteriastandins.topology.models import LoadPlan
from wisteriastandins.topology.write import create_run_folder

from .models import MeasureOptions

T = TypeVar("T")


class Session(NamedTuple):
    """A ready deployment and the load of one run."""

    plan: LoadPlan
    running: RunningProcesses
    load: LoadOptions
    run_id: str


def entry_pids(session: Session) -> dict[str, int]:
    """Return the process ids of the entry instances by name."""
    return {
        entry["name"]: session.running.processes[entry["name"]].pid
        for entry in session.plan["entries"]
    }


async def run_once(
    name: str,
    share: float,
    seed: int,
    options: MeasureOptions,
    measure: Callable[[Session], Awaitable[T]],
) -> T | RunError:
    """Start a deployment in a temporary folder, measure it and stop it."""
    with TemporaryDirectory(prefix="wisteriarock-") as folder:
        run = create_run_folder(CUSTOMERS[name], Path(folder), options.base_port, seed)
        async with launch_processes(build_commands(run), run.logs) as running:
            if error := await wait_until_ready(running, run.plan["entries"]):
                return error
            rate_per_s = share * capacity_per_s(run.plan)
            load = LoadOptions(rate_per_s, options.warm_up_s, options.duration_s, seed)
            result = await measure(Session(run.plan, running, load, f"{name}-{seed}"))
            return find_exited_processes(running) or result


async def measure_all_runs(
    options: MeasureOptions, measure: Callable[[Session], Awaitable[T]]
) -> list[tuple[str, float, list[T]]] | RunError:
    """Measure every deployment at every share, each run with new processes.

    Parameters
    ----------
    options : MeasureOptions
        Deployments, shares and runs.
    measure : callable
        Measures one ready deployment.

    Returns
    -------
    list of tuple, or RunError
        Deployment, share and the results of the runs; or the error of a failed run.
    """
    groups = []
    for name in options.customers:
        for share in options.shares:
            results: list[T] = []
            for number in range(options.runs):
                result = await run_once(name, share, options.seed + number, options, measure)
                if isinstance(result, RunError):
                    return result
                results.append(result)
                print(f"{name} at {share:g}: run {number + 1} of {options.runs} done", flush=True)
            groups.append((name, share, results))
    return groups
