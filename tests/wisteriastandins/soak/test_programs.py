"""Tests of the programs that the soak runs."""

import asyncio
import signal
import tempfile
from pathlib import Path

from wisteriastandins.soak.programs import Program

from tests.common import function_suite


async def test_signal_takes_no_exit_status():
    """Guards against an exit status that a signal to the ended process takes from its watcher."""
    with tempfile.TemporaryDirectory() as folder:
        program = Program(0, Path(folder), [1, 2, 3, 4], None)
        program.process = await asyncio.create_subprocess_exec("sleep", "60")
        polled = []
        popen = program.process._transport.get_extra_info("subprocess")
        popen.poll = lambda: polled.append(1)
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == -signal.SIGTERM
        assert not polled
        program.send_signal(signal.SIGTERM)


load_tests = function_suite(globals())
