"""Tests of the child processes of the soak."""

import asyncio
import signal
from pathlib import Path

from wisteriastandins.soak.programs import Program

from tests.common import function_suite

PROCESSES = 40


async def test_status_of_a_process_that_ends_while_signals_are_sent():
    """Guards against a false status of a process that ended just before a signal."""
    for _ in range(PROCESSES):
        program = Program(0, Path("unused"), [0, 0, 0, 0], None)
        program.process = await asyncio.create_subprocess_exec("/bin/sh", "-c", "exit 3")
        while program.process.returncode is None:
            program.send_signal(signal.SIGCONT)
            await asyncio.sleep(0)
        assert await program.wait() == 3


load_tests = function_suite(globals())
