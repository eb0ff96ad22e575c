"""One run of the soak: a seed's plan against a deployment, and what was found."""

import asyncio
import tempfile
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from .callers import Caller, poll_readiness
from .checks import check_timed, check_untimed
from .const import STARTUP_TIMEOUT_S
from .faults import inject_fault
from .models import Fault, Observations, Violation
from .plan import format_plan, make_plan
from .world import SoakDeployment, start_deployment, stop_deployment, track_task


class SoakOptions(NamedTuple):
    """How a run is played.

    Attributes
    ----------
    length_s : float
        Time of traffic, with a calm end.
    source : Path or None
        Folder of a copy of the programs to run in place of the installed ones.
    check_timing : bool
        Whether promises that name a time are checked; a machine that is busy with other work
        breaks these by itself.
    folder : Path or None
        Where settings and logs are kept; a temporary folder without it.
    """

    seed: int
    length_s: float = 40.0
    instances: int = 6
    callers: int = 12
    source: Path | None = None
    check_timing: bool = True
    folder: Path | None = None


class SoakResult(NamedTuple):
    """What a run found."""

    plan: list[Fault]
    observations: Observations
    violations: list[Violation]
    started_ms: float


async def _wait_for_rotation(deployment: SoakDeployment) -> None:
    """Wait until all programs are ready, or for the longest time that this may take."""
    end_s = deployment.loop.time() + STARTUP_TIMEOUT_S
    while deployment.loop.time() < end_s:
        if all(program.is_in_rotation for program in deployment.programs):
            return
        await asyncio.sleep(0.05)


async def _run(options: SoakOptions, folder: Path, plan: list[Fault]) -> SoakResult:
    deployment = SoakDeployment(options.seed, options.instances, folder, options.source)
    try:
        await start_deployment(deployment)
        for program in deployment.programs:
            track_task(deployment, deployment.loop.create_task(poll_readiness(program)))
        await _wait_for_rotation(deployment)
        started_ms = deployment.now_ms()
        callers = [
            Caller(number, options.seed, deployment.programs, deployment.observations)
            for number in range(options.callers)
        ]
        for caller in callers:
            track_task(
                deployment, deployment.loop.create_task(caller.run(lambda: deployment.version))
            )
        faults = [
            deployment.loop.create_task(inject_fault(deployment, fault, started_ms))
            for fault in plan
        ]
        await asyncio.sleep(options.length_s)
        end_ms = deployment.now_ms()
        await asyncio.gather(*faults)
    finally:
        await stop_deployment(deployment)
    violations = check_untimed(deployment.observations)
    if options.check_timing:
        violations += check_timed(deployment.observations, end_ms)
    return SoakResult(plan, deployment.observations, violations, started_ms)


def run_soak(options: SoakOptions, plan: list[Fault] | None = None) -> SoakResult:
    """Play a seed's plan, or another plan, and check what was seen."""
    faults = make_plan(options.seed, options.length_s) if plan is None else plan
    if options.folder is not None:
        options.folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(_run(options, options.folder, faults))
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_run(options, Path(folder), faults))


def format_result(options: SoakOptions, result: SoakResult) -> list[str]:
    """Return the lines of a report; a failing run says how to repeat it, with its plan."""
    statuses = Counter(attempt.status for attempt in result.observations.attempts)
    counts = ", ".join(f"{status}: {count}" for status, count in sorted(statuses.items()))
    lines = [
        f"seed {options.seed}: {len(result.plan)} faults, "
        f"{len(result.observations.attempts)} requests ({counts}), "
        f"{len(result.violations)} broken promises"
    ]
    if not result.violations:
        return lines
    for violation in result.violations[:20]:
        at_s = (violation.at_ms - result.started_ms) / 1000
        lines.append(f"  {at_s:7.2f} s {violation.guarantee}: {violation.detail}")
    lines.append(
        f"  again: python -m wisteriastandins soak --seed {options.seed} "
        f"--length-s {options.length_s:g} --instances {options.instances} "
        f"--callers {options.callers}"
    )
    return lines + [f"  {line}" for line in format_plan(result.plan)]
