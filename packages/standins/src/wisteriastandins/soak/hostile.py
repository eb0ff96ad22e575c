"""Callers outside the limits of the configuration, and the check of the memory of processes."""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import NamedTuple

from .const import HOST, MEMORY_LIMIT_MB, MEMORY_SHARE
from .models import Fault, Observations, Violation
from .programs import Program
from .world import SoakDeployment

CALLERS = 40
RECONNECT_PAUSE_S = 0.02
_HEAD = f"HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: hostile\r\nDeadline-Ms: 1500\r\n".encode()
_CHUNKED = b"POST /book/1 " + _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class _Behaviour(NamedTuple):
    """What a caller sends first on each connection, and then again until it is closed.

    Attributes
    ----------
    reads : bool
        Whether it reads what it gets, and connects again after the first answer.
    """

    start: bytes
    block: bytes
    reads: bool = False


BEHAVIOURS = (
    _Behaviour(b"", b"GET /none " + _HEAD + b"\r\n"),
    _Behaviour(b"GET /none " + _HEAD + b"\r\n", b"", reads=True),
    _Behaviour(b"GET / HTTP/1.1\r\n" + b"aa:bb\r\n" * 4_000, b"", reads=True),
    _Behaviour(_CHUNKED + b"1\r\nb\r\n" * 60_000, b""),
    _Behaviour(_CHUNKED, b"fa0\r\n" + b"b" * 4_000 + b"\r\n"),
    _Behaviour(_CHUNKED + b"1\r\nb\r\n0\r\n", b"a:b\r\n"),
    _Behaviour(b"", b""),
)


async def _play_caller(program: Program, behaviour: _Behaviour) -> None:
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(program.host, program.front_port)
            try:
                writer.write(behaviour.start)
                while behaviour.block:
                    writer.write(behaviour.block * (65_536 // len(behaviour.block)))
                    await writer.drain()
                await (reader.read(1_000) if behaviour.reads else writer.wait_closed())
            finally:
                writer.transport.abort()
        await asyncio.sleep(RECONNECT_PAUSE_S)


async def play_hostile_callers(deployment: SoakDeployment, fault: Fault) -> None:
    """Let callers break the limits of an instance for a while, in one of several ways."""
    program = deployment.programs[fault.target % len(deployment.programs)]
    behaviour = BEHAVIOURS[fault.target // 7 % len(BEHAVIOURS)]
    callers = [asyncio.create_task(_play_caller(program, behaviour)) for _ in range(CALLERS)]
    await asyncio.sleep(fault.duration_s)
    for caller in callers:
        caller.cancel()
    await asyncio.gather(*callers, return_exceptions=True)


def check_memory(observations: Observations) -> Iterator[Violation]:
    """Check that each process keeps a tenth of its memory limit to spare."""
    for instance, peak_bytes in observations.peak_memory_bytes.items():
        if peak_bytes > MEMORY_LIMIT_MB * 1_000_000 * MEMORY_SHARE:
            yield Violation("memory", f"instance {instance} took {peak_bytes} bytes", 0.0)
