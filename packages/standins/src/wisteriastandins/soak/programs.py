"""The real programs as child processes that the soak starts, signals and kills."""

import asyncio
import contextlib
import json
import os
import signal
import sys
from pathlib import Path

from .const import (
    COLD_OVERSHOOT,
    COLD_SLACK,
    DESCRIPTOR_LIMIT,
    DRAIN_GRACE_MS,
    EVACUATION_MS,
    EXTRA_FIXED,
    EXTRA_RATIO,
    EXTRA_WINDOW_S,
    MEMORY_LIMIT_MB,
    QUOTA_OVERSHOOT,
    QUOTA_SLACK,
    QUOTA_WINDOW_S,
    ZONES,
)

RESTART_DELAY_S = 0.3


def program_host() -> str:
    """Return the loopback address of the programs of this process.

    Stand-ins use another address, so that runs at the same time do not take each other's ports.
    """
    high, low = divmod(os.getpid() % 62_500, 250)
    return f"127.{high + 1}.{low + 1}.1"


class Program:
    """An instance: its settings, log and current process."""

    def __init__(self, number: int, folder: Path, ports: list[int], source: Path | None) -> None:
        self.number = number
        self.name = f"front-{number}"
        self.host = program_host()
        self.zone = ZONES[number % len(ZONES)]
        self.front_port, self.ready_port, self.peer_port, self.metrics_port = ports
        self.settings_path = folder / f"{self.name}.json"
        self.log_path = folder / f"{self.name}.log"
        self.source = source
        self.process: asyncio.subprocess.Process | None = None
        self.should_run = False
        self.is_in_rotation = False
        self.sent_signals: set[int] = set()

    def write_settings(self, store_port: int) -> None:
        """Write the settings file."""
        settings = {
            "instance": self.name,
            "zone": self.zone,
            "front_address": f"{self.host}:{self.front_port}",
            "ready_address": f"{self.host}:{self.ready_port}",
            "peer_address": f"{self.host}:{self.peer_port}",
            "metrics_address": f"{self.host}:{self.metrics_port}",
            "store_address": f"127.0.0.1:{store_port}",
            "drain_grace_s": DRAIN_GRACE_MS / 1000,
            "extra_ratio": EXTRA_RATIO,
            "extra_fixed": EXTRA_FIXED,
            "extra_window_s": EXTRA_WINDOW_S,
            "evacuation_ms": EVACUATION_MS,
            "cold_overshoot": COLD_OVERSHOOT,
            "cold_slack": COLD_SLACK,
            "quota_window_s": QUOTA_WINDOW_S,
            "quota_overshoot": QUOTA_OVERSHOOT,
            "quota_slack": QUOTA_SLACK,
            "limits": {"memory_mb": MEMORY_LIMIT_MB, "max_fds": DESCRIPTOR_LIMIT},
        }
        self.settings_path.write_text(json.dumps(settings), encoding="utf-8")

    async def start(self) -> None:
        """Start the process and append its output to the log."""
        environment = {**os.environ, "WISTERIAROCK_CONFIG": str(self.settings_path)}
        if self.source is not None:
            environment["PYTHONPATH"] = str(self.source)
        self.should_run = True
        self.sent_signals = set()
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "wisteriaplatform",
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )

    def handles_signals(self) -> bool:
        """Return whether the process has run the first line of the program, which handles signals.

        Until then, SIGHUP ends the interpreter.
        """
        if self.process is None or self.process.returncode is not None:
            return False
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        except OSError:
            return False
        (caught,) = (line.split()[1] for line in status.splitlines() if line.startswith("SigCgt:"))
        return bool(int(caught, 16) >> (signal.SIGHUP - 1) & 1)

    def peak_memory_bytes(self) -> int:
        """Return the highest resident set of the process, or 0 if it does not run."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text() if self.process else ""
        except OSError:
            return 0
        lines = [line.split()[1] for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(lines[0]) * 1_024 if lines else 0

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it runs; SIGHUP only once it is handled."""
        if signal_number is signal.SIGHUP and not self.handles_signals():
            return
        if self.process is not None and self.process.returncode is None:
            self.sent_signals.add(signal_number)
            # The method of the process polls it first and so takes the status from its watcher.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal_number)

    async def wait(self) -> int:
        """Wait until the process has ended; return its exit status."""
        return 0 if self.process is None else await self.process.wait()

    async def kill(self) -> None:
        """Kill the process, even if it is paused, and do not restart it."""
        self.should_run = False
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        await self.wait()
