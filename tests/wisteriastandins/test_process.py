"""Tests of starting and stopping a stand-in process."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from wisteriastandins.process import duplicate_error

from tests.common import function_suite

from .endpoint.test_legs import make_endpoint_config
from .platform.test_decide import make_platform_config


def run_until_ready(name: str, config: Any) -> tuple[int, str]:
    """Start a stand-in, send it SIGTERM once it is ready, and return its exit status and log."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        command = [sys.executable, "-m", "wisteriastandins", name, "--config", str(path)]
        with subprocess.Popen(command, stderr=subprocess.PIPE, text=True) as process:
            assert process.stderr is not None
            lines = []
            for line in process.stderr:
                lines.append(line)
                if "event=ready" in line:
                    process.terminate()
        return process.returncode, "".join(lines)


def test_processes_stop_cleanly() -> None:
    """Guards against a stand-in that ignores SIGTERM or exits with a failure because of it."""
    control = {"control_host": "127.0.0.1", "control_port": 0, "seed": 1}
    configs: dict[str, Any] = {
        "platform": make_platform_config(),
        "endpoints": {**control, "zone": "a", "endpoints": [make_endpoint_config()]},
        "relay": {**control, "links": []},
    }
    for name, config in configs.items():
        status, log = run_until_ready(name, config)
        assert status == 0 and "event=stopped" in log, log


def test_invalid_configurations_are_refused_with_the_field() -> None:
    """Guards against ignoring a misspelt field in a configuration."""
    status, log = run_until_ready("platform", {**make_platform_config(), "latency": 3})
    assert status == 2 and "$.latency" in log, log
    assert duplicate_error(["a", "b"]) is None
    assert duplicate_error(["a", "b", "a"]) == "the name a occurs twice"


load_tests = function_suite(globals())
