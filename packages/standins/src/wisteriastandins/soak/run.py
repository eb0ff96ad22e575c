"""One run of the soak: a seed's plan against a deployment, and what was found."""

import asyncio
import tempfile
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from .callers import Caller, watch_ready
from .checks import check_always, check_in_time
from .const import LEAD_MAX_S
from .faults import carry_out
from .models import Fault, Observations, Violation
from .plan import describe, make_plan
from .world import World, spawn, start_world, stop_world


class SoakOptions(NamedTuple):
    """How a run is played.

    Attributes
    ----------
    length_s : float
        Time of traffic, with a calm end.
    source : Path or None
        Folder of a copy of the programs to run in place of the installed ones.
    is_timed : bool
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
    is_timed: bool = True
    folder: Path | None = None


class SoakResult(NamedTuple):
    """What a run found."""

    plan: list[Fault]
    seen: Observations
    violations: list[Violation]
    started_ms: float


async def _wait_for_rotation(world: World) -> None:
    """Wait until all programs are ready, or for the longest time that this may take."""
    end_s = world.loop.time() + LEAD_MAX_S
    while world.loop.time() < end_s:
        if all(program.is_in_rotation for program in world.programs):
            return
        await asyncio.sleep(0.05)


async def _play(options: SoakOptions, folder: Path, plan: list[Fault]) -> SoakResult:
    world = World(options.seed, options.instances, folder, options.source)
    try:
        await start_world(world)
        for program in world.programs:
            spawn(world, world.loop.create_task(watch_ready(program)))
        await _wait_for_rotation(world)
        started_ms = world.now_ms()
        callers = [
            Caller(number, options.seed, world.programs, world.seen)
            for number in range(options.callers)
        ]
        for caller in callers:
            spawn(world, world.loop.create_task(caller.run(lambda: world.version)))
        faults = [world.loop.create_task(carry_out(world, fault, started_ms)) for fault in plan]
        await asyncio.sleep(options.length_s)
        end_ms = world.now_ms()
        await asyncio.gather(*faults)
    finally:
        await stop_world(world)
    violations = check_always(world.seen)
    if options.is_timed:
        violations += check_in_time(world.seen, end_ms)
    return SoakResult(plan, world.seen, violations, started_ms)


def run_soak(options: SoakOptions, plan: list[Fault] | None = None) -> SoakResult:
    """Play a seed's plan, or another plan, and check what was seen."""
    faults = make_plan(options.seed, options.length_s) if plan is None else plan
    if options.folder is not None:
        options.folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(_play(options, options.folder, faults))
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_play(options, Path(folder), faults))


def format_result(options: SoakOptions, result: SoakResult) -> list[str]:
    """Return the lines of a report; a failing run says how to repeat it, with its plan."""
    statuses = Counter(attempt.status for attempt in result.seen.attempts)
    counts = ", ".join(f"{status}: {count}" for status, count in sorted(statuses.items()))
    lines = [
        f"seed {options.seed}: {len(result.plan)} faults, {len(result.seen.attempts)} requests "
        f"({counts}), {len(result.violations)} broken promises"
    ]
    if not result.violations:
        return lines
    for violation in result.violations[:20]:
        at_s = (violation.at_ms - result.started_ms) / 1000
        lines.append(f"  {at_s:7.2f} s {violation.promise}: {violation.detail}")
    lines.append(
        f"  again: python -m wisteriastandins soak --seed {options.seed} "
        f"--length-s {options.length_s:g} --instances {options.instances} "
        f"--callers {options.callers}"
    )
    return lines + [f"  {line}" for line in describe(result.plan)]
