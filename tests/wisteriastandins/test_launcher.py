"""Tests of the launcher with small Python processes."""

import signal
import sys
from contextlib import suppress
from pathlib import Path
from tempfile import TemporaryDirectory

from wisteriastandins.launcher import (
    Command,
    build_commands,
    launch_processes,
    restart_process,
    send_signal,
    stop_processes,
    wait_until_ready,
)
from wisteriastandins.process_stats import cpu_seconds, resident_bytes
from wisteriastandins.topology.customers import POPRAVKA
from wisteriastandins.topology.models import PlanEntry
from wisteriastandins.topology.read import read_plan
from wisteriastandins.topology.write import create_run_folder

from tests.common import function_suite

SLEEP = "import time; print('up', flush=True); time.sleep(600)"
IGNORE_SIGTERM = "import signal; signal.signal(signal.SIGTERM, signal.SIG_IGN); " + SLEEP


def _make_command(name: str, code: str) -> Command:
    return Command(name, (sys.executable, "-c", code))


async def test_processes_get_sigterm_and_then_sigkill() -> None:
    """Guards against processes that outlive a run, also paused ones and those ignoring SIGTERM."""
    with TemporaryDirectory() as folder:
        commands = [
            _make_command("plain", SLEEP),
            _make_command("paused", SLEEP),
            _make_command("ignores_sigterm", IGNORE_SIGTERM),
        ]
        async with launch_processes(commands, Path(folder)) as running:
            log = Path(folder) / "ignores_sigterm.log"
            while not log.read_text():
                assert running.processes["ignores_sigterm"].poll() is None
            send_signal(running, "paused", signal.SIGSTOP)
            codes = await stop_processes(
                running, ["plain", "paused", "ignores_sigterm"], timeout_s=1.0
            )
        assert codes == {"plain": -15, "paused": -15, "ignores_sigterm": -9}


async def test_an_error_in_the_block_stops_the_processes() -> None:
    """Guards against processes that keep running after a run is aborted."""
    with TemporaryDirectory() as folder:
        with suppress(KeyError):
            async with launch_processes([_make_command("plain", SLEEP)], Path(folder)) as running:
                raise KeyError
        assert running.processes["plain"].poll() == -15


async def test_restart_gives_a_new_process() -> None:
    """Guards against a restart that leaves the old process running or starts none."""
    with TemporaryDirectory() as folder:
        async with launch_processes([_make_command("plain", SLEEP)], Path(folder)) as running:
            old = running.processes["plain"]
            assert await restart_process(running, "plain") == -15
            assert running.processes["plain"].pid != old.pid
            assert running.processes["plain"].poll() is None


async def test_an_exited_process_is_reported_with_its_log() -> None:
    """Guards against waiting for an exited instance, and against an error without its log."""
    entry = PlanEntry(name="entry", zone="z", host="127.0.0.1", public_port=1, internal_port=1)
    with TemporaryDirectory() as folder:
        command = _make_command("entry", "raise SystemExit('settings refused')")
        async with launch_processes([command], Path(folder)) as running:
            error = await wait_until_ready(running, [entry], timeout_s=30.0)
    assert error is not None
    assert error.ended == ("entry",)
    assert "settings refused" in error.log_tail


async def test_processor_time_and_memory_are_read() -> None:
    """Guards against reading the wrong fields of /proc."""
    with TemporaryDirectory() as folder:
        async with launch_processes(
            [_make_command("busy", "while True: pass")], Path(folder)
        ) as running:
            pid = running.processes["busy"].pid
            while cpu_seconds(pid) < 0.1:
                assert running.processes["busy"].poll() is None
            assert 1_000_000 < resident_bytes(pid) < 1_000_000_000


def test_a_run_has_all_processes() -> None:
    """Guards against a deployment that starts without one of its processes."""
    with TemporaryDirectory() as folder:
        run = create_run_folder(POPRAVKA, Path(folder), 21_000, 1)
        commands = build_commands(run)
        assert sum(command.is_entry for command in commands) == 9
        assert len(commands) == 1 + 3 + 3 + 9
        assert all(Path(command.arguments[-1]).exists() for command in commands)
        assert read_plan(Path(folder)).unwrap() == run.plan
        assert "load.json" in read_plan(Path(folder) / "absent").failure()


load_tests = function_suite(globals())
