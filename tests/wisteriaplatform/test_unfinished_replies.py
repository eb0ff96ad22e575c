"""Tests of a real process whose endpoints send many small pieces of replies that do not end."""

import asyncio

from wisteriastandins.users.faulty import ReplyFault

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import request_bytes, send
from tests.wisteriaplatform.process_fixtures import (
    MEMORY_BOUND_BYTES,
    answer_ordinary_request,
    instance_process,
    peak_memory_bytes,
)

# More than the connections to all endpoints of the fan-out.
CALLERS = 30
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


async def _withstands(unfinished: bytes) -> None:
    """Let all endpoints of a fan-out send bytes without end under many callers."""
    async with instance_process() as running:
        for name, endpoint in running.endpoints.items():
            if name.startswith("shard-"):
                endpoint.reply_faults.unfinished = unfinished
                endpoint.reply_faults.current = ReplyFault.UNFINISHED
        sends = asyncio.gather(
            *(
                send(running.ports["front"], request_bytes("/blend/x", f"r-{number}"))
                for number in range(CALLERS)
            )
        )
        while not sends.done():
            await answer_ordinary_request(running)
        assert {response.status for response in sends.result()} <= {502, 503, 504}
        assert peak_memory_bytes(running) <= MEMORY_BOUND_BYTES, peak_memory_bytes(running)


async def test_headers_of_few_bytes():
    """Guards against a process that ends as headers cost many times their bytes."""
    await _withstands(b"HTTP/1.1 200 OK\r\n" + b"a:b\r\n" * 12_000)


async def test_chunks_of_few_bytes():
    """Guards against a process that ends as pieces of a body cost many times their bytes."""
    await _withstands(_CHUNKED + b"6\r\nbbbbbb\r\n" * 20_000)


load_tests = function_suite(globals())
