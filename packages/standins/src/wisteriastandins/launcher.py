"""Start, watch and end the processes of a run."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

from .load.balancer import check_ready
from .topology.models import PlanEntry
from .topology.write import RunFolder

READY_TIMEOUT_S = 30.0
# Longer than the default of `drain_grace_ms`, so that a graceful stop is not cut short.
STOP_TIMEOUT_S = 15.0
_POLL_S = 0.1
_TAIL_LINES = 8


class Command(NamedTuple):
    """A process to start: its name in the run and its arguments."""

    name: str
    arguments: tuple[str, ...]


@dataclass
class Running:
    """The processes of a run by name, in the order of their start."""

    logs: Path
    commands: dict[str, Command] = field(default_factory=dict)
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)


class NotReadyError(NamedTuple):
    """Entry instances that did not become ready, processes that ended, and their last log lines."""

    waiting: tuple[str, ...]
    ended: tuple[str, ...]
    log_tail: str


def commands_of(run: RunFolder) -> list[Command]:
    """Return the processes of a run in the order in which they start."""
    stand_in = (sys.executable, "-m", "wisteriastandins")
    commands = [Command("platform", (*stand_in, "platform", "--config", str(run.platform)))]
    for name, path in run.endpoints.items():
        commands.append(Command(name, (*stand_in, "endpoints", "--config", str(path))))
    for name, path in run.relays.items():
        commands.append(Command(name, (*stand_in, "relay", "--config", str(path))))
    for name, path in run.settings.items():
        arguments = (sys.executable, "-m", "wisteriarock", "--settings", str(path))
        commands.append(Command(name, arguments))
    return commands


def start(running: Running, command: Command) -> None:
    """Start a process; its output is appended to `<name>.log`."""
    with (running.logs / f"{command.name}.log").open("ab") as log:
        running.processes[command.name] = subprocess.Popen(
            command.arguments, stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT
        )
    running.commands[command.name] = command


def start_run(run: RunFolder) -> Running:
    """Start every process of a run."""
    running = Running(run.logs)
    for command in commands_of(run):
        start(running, command)
    return running


def _signal(process: subprocess.Popen[bytes], number: signal.Signals) -> None:
    if process.poll() is None:
        # A process may end between the check and the signal.
        with suppress(ProcessLookupError):
            process.send_signal(number)


def send_signal(running: Running, name: str, number: signal.Signals) -> None:
    """Send a signal to a process of the run, for example SIGSTOP to pause it."""
    _signal(running.processes[name], number)


def _wait_ended(processes: list[subprocess.Popen[bytes]], timeout_s: float) -> None:
    until = time.monotonic() + timeout_s
    for process in processes:
        with suppress(subprocess.TimeoutExpired):
            process.wait(max(0.0, until - time.monotonic()))


def stop(running: Running, names: list[str], timeout_s: float = STOP_TIMEOUT_S) -> dict[str, int]:
    """End processes by SIGTERM, and by SIGKILL those that remain after the timeout.

    Parameters
    ----------
    running : Running
        The run.
    names : list
        Processes to end.
    timeout_s : float
        Time that all of them together have for a graceful stop.

    Returns
    -------
    dict
        Name to exit code; negative is the number of the signal that ended the process.
    """
    processes = [running.processes[name] for name in names]
    for process in processes:
        # A paused process handles SIGTERM only after it is continued.
        _signal(process, signal.SIGTERM)
        _signal(process, signal.SIGCONT)
    _wait_ended(processes, timeout_s)
    for process in processes:
        _signal(process, signal.SIGKILL)
    return {name: running.processes[name].wait() for name in names}


def restart(running: Running, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
    """End a process, start it again and return the exit code of the ended one."""
    code = stop(running, [name], timeout_s)[name]
    start(running, running.commands[name])
    return code


def stop_run(running: Running, timeout_s: float = STOP_TIMEOUT_S) -> dict[str, int]:
    """End all processes: entry instances first, so that their stand-ins outlive the drain."""
    stand_ins = [n for n, c in running.commands.items() if "wisteriastandins" in c.arguments]
    entries = [name for name in running.commands if name not in stand_ins]
    return stop(running, entries, timeout_s) | stop(running, stand_ins, timeout_s)


def log_tail(running: Running, names: tuple[str, ...], lines: int = _TAIL_LINES) -> str:
    """Return the last lines of the logs of the named processes."""
    parts = []
    for name in names:
        path = running.logs / f"{name}.log"
        text = path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""
        parts.append(f"--- {path}")
        parts += text.splitlines()[-lines:]
    return "\n".join(parts)


async def wait_ready(
    running: Running,
    entries: list[PlanEntry],
    timeout_s: float = READY_TIMEOUT_S,
) -> NotReadyError | None:
    """Wait until all entry instances are ready.

    Returns
    -------
    NotReadyError or None
        None when all are ready. Otherwise what was waited for when the time was over or when
        a process of the run ended.
    """
    waiting = {entry["name"]: entry for entry in entries}
    until = time.monotonic() + timeout_s
    ended: tuple[str, ...] = ()
    while waiting and not ended and time.monotonic() < until:
        for name, entry in list(waiting.items()):
            if await check_ready(entry):
                del waiting[name]
        ended = tuple(n for n, p in running.processes.items() if p.poll() is not None)
        if waiting and not ended:
            await asyncio.sleep(_POLL_S)
    if not waiting and not ended:
        return None
    return NotReadyError(tuple(waiting), ended, log_tail(running, ended or tuple(waiting)[:3]))


def cpu_seconds(pid: int) -> float:
    """Return the user and system processor time of a process, from /proc, in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    # The command name is in brackets and may hold spaces; the fields after it are fixed.
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> int:
    """Return the resident set of a process, from /proc, in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0
