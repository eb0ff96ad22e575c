"""Tests of the start and end of the program as a process of its own."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

from tests.common import function_suite

_START = "import os, signal, sys, wisteriaplatform.__main__ as program; "
_SIGHUP = "os.kill(os.getpid(), signal.SIGHUP); "
_SIGTERM = "os.kill(os.getpid(), signal.SIGTERM); "
_RUN = "sys.exit(program.main())"


def _free_addresses(count: int) -> list[str]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{each.getsockname()[1]}" for each in sockets]


def _make_settings() -> dict[str, object]:
    names = ("front", "ready", "peer", "metrics", "store")
    addresses = dict(zip(names, _free_addresses(len(names)), strict=True))
    return {
        "instance": "front-1",
        "zone": "zone-a",
        **{f"{name}_address": address for name, address in addresses.items()},
        "drain_grace_s": 1.0,
    }


@contextlib.contextmanager
def _settings_file(text: str) -> Iterator[Path]:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_text(text, encoding="utf-8")
        yield path


def _start(code: str, settings_path: Path) -> "subprocess.Popen[str]":
    """Start a process that runs code around the program's entry point."""
    environment = {**os.environ, "WISTERIAROCK_CONFIG": str(settings_path)}
    return subprocess.Popen(
        [sys.executable, "-c", code], stdout=subprocess.PIPE, env=environment, text=True
    )


def _read_until(process: "subprocess.Popen[str]", event: str) -> str:
    """Read log lines up to the first one of an event."""
    assert process.stdout is not None
    for line in process.stdout:
        if f"event={event} " in line:
            return line
    raise AssertionError(f"the process ended without {event}: status {process.wait()}")


def test_hang_up_while_the_process_starts_reloads_the_settings():
    """Guards against a young process that is ended by SIGHUP."""
    with _settings_file(json.dumps(_make_settings())) as path:
        with _start(_START + _SIGHUP + _SIGHUP + _RUN, path) as process:
            _read_until(process, "reloaded")
            process.send_signal(signal.SIGHUP)
            _read_until(process, "reloaded")
            process.send_signal(signal.SIGTERM)
            _read_until(process, "stopped")
        assert process.returncode == 0


def test_settings_file_that_is_being_written_is_read_once_complete():
    """Guards against a process that ends as its settings are replaced at the same moment."""
    text = json.dumps(_make_settings())
    with _settings_file(text[: len(text) // 2]) as path:
        with _start(_START + "print('event=starting ', flush=True); " + _RUN, path) as process:
            _read_until(process, "starting")
            path.write_text(text, encoding="utf-8")
            _read_until(process, "started")
            path.write_text(text[: len(text) // 2], encoding="utf-8")
            process.send_signal(signal.SIGHUP)
            _read_until(process, "reload_failed")
            path.write_text(text, encoding="utf-8")
            _read_until(process, "reloaded")
            process.send_signal(signal.SIGTERM)
        assert process.returncode == 0


def test_process_without_standard_streams_serves():
    """Guards against a process that ends, or logs into its own sockets, as its output is closed."""
    settings = _make_settings()
    with _settings_file(json.dumps(settings)) as path:
        environment = {**os.environ, "WISTERIAROCK_CONFIG": str(path)}
        command = [sys.executable, "-m", "wisteriaplatform"]
        closed = (
            "import os, sys; [os.close(n) for n in (0, 1, 2)]; os.execv(sys.argv[1], sys.argv[1:])"
        )
        process = subprocess.Popen([sys.executable, "-c", closed, *command], env=environment)
        host, _, port = str(settings["ready_address"]).rpartition(":")
        try:
            while process.poll() is None:
                with (
                    contextlib.suppress(OSError),
                    socket.create_connection((host, int(port))) as ask,
                ):
                    ask.sendall(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    assert ask.recv(9_000).startswith(b"HTTP/1.1 503 ")
                    break
            links = [os.readlink(f"/proc/{process.pid}/fd/{number}") for number in (0, 1, 2)]
            assert links == [os.devnull] * 3
            process.send_signal(signal.SIGTERM)
            assert process.wait() == 0
        finally:
            process.kill()


def test_stop_while_the_process_starts_ends_it_with_success():
    """Guards against a planned stop that ends as a failure."""
    with _settings_file(json.dumps(_make_settings())) as path:
        with _start(_START + _SIGTERM + _RUN, path) as process:
            pass
        assert process.returncode == 0


load_tests = function_suite(globals())
