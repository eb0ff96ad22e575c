"""Start, monitor and stop the processes of a run."""

import asyncio
import math
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

from .load.balancer import check_ready
from .topology.models import PlanEntry
from .topology.write import RunFolder

READY_TIMEOUT_S = 30.0
# Longer than the default of `drain_grace_ms`, so that a graceful stop is not cut short.
STOP_TIMEOUT_S = 15.0
_POLL_INTERVAL_S = 0.1
_LOG_TAIL_LINES = 8
_MAX_LOG_TAILS = 3


class Command(NamedTuple):
    """A process to start: its name in the run and its arguments."""

    name: str
    arguments: tuple[str, ...]
    is_entry: bool = False


@dataclass
class RunningProcesses:
    """The processes of a run by name, in start order.

    `exit_codes` is filled when the run is stopped; 0 means a graceful stop.
    """

    logs: Path
    commands: dict[str, Command] = field(default_factory=dict)
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    exit_codes: dict[str, int] = field(default_factory=dict)


class RunError(NamedTuple):
    """Why a run has no result.

    `waiting` names entry instances that did not become ready in time, `ended` processes that
    exited on their own. `log_tail` holds the last lines of their logs.
    """

    waiting: tuple[str, ...]
    ended: tuple[str, ...]
    log_tail: str


def build_commands(run: RunFolder) -> list[Command]:
    """Return the commands of a run's processes in start order."""
    stand_in = (sys.executable, "-m", "wisteriastandins")
    commands = [Command("platform", (*stand_in, "platform", "--config", str(run.platform)))]
    for name, path in run.endpoints.items():
        commands.append(Command(name, (*stand_in, "endpoints", "--config", str(path))))
    for name, path in run.relays.items():
        commands.append(Command(name, (*stand_in, "relay", "--config", str(path))))
    for name, path in run.settings.items():
        arguments = (sys.executable, "-m", "wisteriarock", "--settings", str(path))
        commands.append(Command(name, arguments, is_entry=True))
    return commands


def start_process(running: RunningProcesses, command: Command) -> None:
    """Start a process; its output is appended to `<name>.log`."""
    with (running.logs / f"{command.name}.log").open("ab") as log:
        running.processes[command.name] = subprocess.Popen(
            command.arguments, stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT
        )
    running.commands[command.name] = command


def _signal_if_running(process: subprocess.Popen[bytes], number: signal.Signals) -> None:
    if process.poll() is None:
        # A process may exit between the check and the signal.
        with suppress(ProcessLookupError):
            process.send_signal(number)


def send_signal(running: RunningProcesses, name: str, number: signal.Signals) -> None:
    """Send a signal to a process of the run, for example SIGSTOP to pause it."""
    _signal_if_running(running.processes[name], number)


async def _wait_for_exit(processes: list[subprocess.Popen[bytes]], timeout_s: float) -> None:
    for _ in range(math.ceil(timeout_s / _POLL_INTERVAL_S)):
        if all(process.poll() is not None for process in processes):
            return
        await asyncio.sleep(_POLL_INTERVAL_S)


async def stop_processes(
    running: RunningProcesses, names: list[str], timeout_s: float = STOP_TIMEOUT_S
) -> dict[str, int]:
    """Stop processes with SIGTERM, and with SIGKILL those still running after the timeout.

    Parameters
    ----------
    running : RunningProcesses
        The run.
    names : list
        Processes to stop.
    timeout_s : float
        Time for the graceful stop of all of them together.

    Returns
    -------
    dict
        Exit code by name; a negative one is the number of the signal that killed the process.
    """
    processes = [running.processes[name] for name in names]
    for process in processes:
        _signal_if_running(process, signal.SIGTERM)
        # A paused process handles SIGTERM only after it is continued.
        _signal_if_running(process, signal.SIGCONT)
    await _wait_for_exit(processes, timeout_s)
    for process in processes:
        _signal_if_running(process, signal.SIGKILL)
    return {name: running.processes[name].wait() for name in names}


async def restart_process(
    running: RunningProcesses, name: str, timeout_s: float = STOP_TIMEOUT_S
) -> int:
    """Stop a process, start it again and return the exit code of the stopped one."""
    code = (await stop_processes(running, [name], timeout_s))[name]
    start_process(running, running.commands[name])
    return code


async def stop_all_processes(running: RunningProcesses, timeout_s: float = STOP_TIMEOUT_S) -> None:
    """Stop all processes: entry instances first, since they need the stand-ins while they drain."""
    entries = [name for name, command in running.commands.items() if command.is_entry]
    stand_ins = [name for name in running.commands if name not in entries]
    running.exit_codes |= await stop_processes(running, entries, timeout_s)
    running.exit_codes |= await stop_processes(running, stand_ins, timeout_s)


@asynccontextmanager
async def launch_processes(commands: list[Command], logs: Path) -> AsyncIterator[RunningProcesses]:
    """Start processes and stop all of them on leaving the block, also after an exception."""
    running = RunningProcesses(logs)
    try:
        for command in commands:
            start_process(running, command)
        yield running
    finally:
        try:
            await stop_all_processes(running)
        finally:
            # Processes still run here if a second interrupt cut the graceful stop short.
            for process in running.processes.values():
                _signal_if_running(process, signal.SIGKILL)
                process.wait()


def log_tail(
    running: RunningProcesses, names: tuple[str, ...], lines: int = _LOG_TAIL_LINES
) -> str:
    """Return the last lines of the logs of the named processes."""
    parts = []
    for name in names:
        path = running.logs / f"{name}.log"
        text = path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""
        parts.append(f"--- {path}")
        parts += text.splitlines()[-lines:]
    return "\n".join(parts)


def format_error(error: RunError) -> str:
    """Return the error as text for a terminal."""
    waiting, ended = ", ".join(error.waiting) or "none", ", ".join(error.ended) or "none"
    return f"not ready: {waiting}\nended: {ended}\n{error.log_tail}"


def interrupt_on_sigterm() -> None:
    """Handle SIGTERM like an interrupt, so that both stop the processes of a run."""
    # A shell starts background jobs with SIGINT ignored.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))


def find_exited_processes(running: RunningProcesses) -> RunError | None:
    """Return an error with the processes that exited on their own, None if all of them run."""
    ended = tuple(name for name, p in running.processes.items() if p.poll() is not None)
    return RunError((), ended, log_tail(running, ended[:_MAX_LOG_TAILS])) if ended else None


async def wait_until_ready(
    running: RunningProcesses,
    entries: list[PlanEntry],
    timeout_s: float = READY_TIMEOUT_S,
) -> RunError | None:
    """Wait until all entry instances are ready.

    Returns
    -------
    RunError or None
        None when all are ready. Otherwise the instances that were not ready at the timeout or
        when a process of the run exited.
    """
    waiting = {entry["name"]: entry for entry in entries}
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        for name, entry in list(waiting.items()):
            if await check_ready(entry):
                del waiting[name]
        if error := find_exited_processes(running):
            return error._replace(waiting=tuple(waiting))
        if not waiting:
            return None
        await asyncio.sleep(_POLL_INTERVAL_S)
    return RunError(tuple(waiting), (), log_tail(running, tuple(waiting)[:_MAX_LOG_TAILS]))
