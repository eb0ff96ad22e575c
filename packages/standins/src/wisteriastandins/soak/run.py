"""One run of the soak: inject the faults of a plan into a deployment and check the result."""

import asyncio
import tempfile
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from .callers import Caller, poll_readiness
from .checks import check_timed, check_untimed
from .const import STARTUP_TIMEOUT_S
from .customers import check_allotments, check_customers, check_withdrawn_keys
from .faults import inject_fault
from .hostile import check_memory
from .models import Fault, FaultKind, Observations, Violation
from .plan import format_plan, make_plan, make_returns
from .world import SoakDeployment, start_deployment, stop_deployment, track_task
from .zones import check_cold_endpoints, check_evacuations


class SoakOptions(NamedTuple):
    """Options of a run.

    Attributes
    ----------
    length_s : float
        Duration of traffic, with a fault-free end.
    source : Path or None
        Folder with a copy of the programs to run instead of the installed ones.
    check_timing : bool
        Whether guarantees with a time limit are checked; a machine under other load violates them
        without a fault of the programs.
    folder : Path or None
        Folder in which settings and logs are kept; None uses a temporary folder.
    with_returns, only_returns : bool
        Whether the store comes back from older copies beside the other faults, and in their place.
    """

    seed: int
    length_s: float = 40.0
    instances: int = 6
    callers: int = 12
    source: Path | None = None
    check_timing: bool = True
    folder: Path | None = None
    with_returns: bool = False
    only_returns: bool = False


class SoakResult(NamedTuple):
    """Plan, observations and violations of a run."""

    plan: list[Fault]
    observations: Observations
    violations: list[Violation]
    started_ms: float


async def _wait_for_rotation(deployment: SoakDeployment) -> None:
    """Wait until all programs are in rotation, for at most `STARTUP_TIMEOUT_S`."""
    end_s = deployment.loop.time() + STARTUP_TIMEOUT_S
    while deployment.loop.time() < end_s:
        if all(program.is_in_rotation for program in deployment.programs):
            return
        await asyncio.sleep(0.05)


async def _run(options: SoakOptions, folder: Path, plan: list[Fault]) -> SoakResult:
    deployment = SoakDeployment(options.seed, options.instances, folder, options.source)
    try:
        if any(fault.kind is FaultKind.STORE_RETURN for fault in plan):
            deployment.store.state.era = 1
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
    violations += check_customers(deployment.observations)
    violations += check_memory(deployment.observations)
    if options.check_timing:
        violations += check_timed(deployment.observations, end_ms)
        violations += check_evacuations(deployment.observations)
        violations += check_cold_endpoints(deployment.observations)
        violations += check_allotments(deployment.observations)
        violations += check_withdrawn_keys(deployment.observations)
    return SoakResult(plan, deployment.observations, violations, started_ms)


def _make_faults(options: SoakOptions) -> list[Fault]:
    faults = [] if options.only_returns else make_plan(options.seed, options.length_s)
    if options.with_returns or options.only_returns:
        faults += make_returns(options.seed, options.length_s)
    return sorted(faults)


def run_soak(options: SoakOptions, plan: list[Fault] | None = None) -> SoakResult:
    """Run the given plan, or the plan of the seed, and check the observations."""
    faults = _make_faults(options) if plan is None else plan
    if options.folder is not None:
        options.folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(_run(options, options.folder, faults))
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_run(options, Path(folder), faults))


def format_result(options: SoakOptions, result: SoakResult) -> list[str]:
    """Return the lines of a report; for a failed run with its plan and the command to repeat it."""
    statuses = Counter(attempt.status for attempt in result.observations.attempts)
    counts = ", ".join(f"{status}: {count}" for status, count in sorted(statuses.items()))
    lines = [
        f"seed {options.seed}: {len(result.plan)} faults, "
        f"{len(result.observations.attempts)} requests ({counts}), "
        f"{len(result.violations)} violations"
    ]
    if not result.violations:
        return lines
    for violation in result.violations[:20]:
        at_s = (violation.at_ms - result.started_ms) / 1000
        lines.append(f"  {at_s:7.2f} s {violation.guarantee}: {violation.detail}")
    lines.append(
        f"  repeat with: python -m wisteriastandins soak --seed {options.seed} "
        f"--length-s {options.length_s:g} --instances {options.instances} "
        f"--callers {options.callers}"
        + (" --with-returns" if options.with_returns else "")
        + (" --only-returns" if options.only_returns else "")
    )
    return lines + [f"  {line}" for line in format_plan(result.plan)]
