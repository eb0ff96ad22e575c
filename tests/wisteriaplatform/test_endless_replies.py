"""End-to-end tests on loopback of endpoints that send bytes without end."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from wisteriastandins.users.response import Response

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import (
    Deployment,
    deployment,
    request_bytes,
    send,
    wait_until,
)

SENT_MAX_BYTES = 64 * 1024 * 1024


class EndlessEndpoint:
    """Endpoint that answers each request with a start and then blocks without end.

    Attributes
    ----------
    open_count : int
        Number of connections on which it is sending.
    sent_bytes : int
        Largest number of bytes that it could send on one connection.
    """

    def __init__(self, start: bytes, block: bytes, interval_s: float) -> None:
        self.start = start
        self.block = block
        self.interval_s = interval_s
        self.open_count = 0
        self.request_count = 0
        self.sent_bytes = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request on a connection."""
        sent_bytes = 0
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.request_count += 1
            self.open_count += 1
            try:
                writer.write(self.start)
                while sent_bytes < SENT_MAX_BYTES and not reader.at_eof():
                    writer.write(self.block)
                    sent_bytes += len(self.block)
                    await writer.drain()
                    await asyncio.sleep(self.interval_s)
            finally:
                self.open_count -= 1
        self.sent_bytes = max(self.sent_bytes, sent_bytes)
        writer.close()


@contextlib.asynccontextmanager
async def _deployment_with(
    endless: EndlessEndpoint, services: tuple[str, ...]
) -> AsyncIterator[Deployment]:
    """Start a deployment with the endless endpoint in place of the first one of each service."""
    server = await asyncio.start_server(endless.handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        async with deployment() as running:
            for service in services:
                name = f"{service}.0"
                entry = running.endpoints[name].make_entry(address=f"127.0.0.1:{port}", born=2_000)
                running.store.put(f"servers/{name}", entry)
                known = running.instance.directory.by_id
                await wait_until(lambda name=name, known=known: known[name].port == port)
            yield running
    finally:
        server.close()


def _make_replies() -> list[tuple[bytes, bytes]]:
    ok = b"HTTP/1.1 200 OK\r\n"
    return [
        (ok, b"X-Filler: " + b"a" * 1_000 + b"\r\n"),
        (ok + b"X-Filler: ", b"a" * 1_000),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 40),
        (ok + b"\r\n", b"b" * 1_000),
        (ok + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nb\r\n" * 200),
        (b"", b"\0\xff no answer " * 80),
    ]


async def test_fast_endless_replies_harm_no_other_request():
    """Guards against endless replies that cost answers, memory or open connections."""
    for start, block in _make_replies():
        endless = EndlessEndpoint(start, block * 16, 0.0)
        async with _deployment_with(endless, ("shard-0", "shard-1")) as running:
            for number in range(6):
                response = await send(running.port, request_bytes("/blend/x", f"r-{number}"))
                assert response.status == 200, (start, block[:30])
                assert response.headers["missing-parts"] == "0", (start, block[:30])
            await wait_until(lambda endless=endless: not endless.open_count)
            assert endless.request_count
            assert endless.sent_bytes < SENT_MAX_BYTES, (start, block[:30])
            endpoint = running.instance.directory.by_id["shard-0.0"]
            assert endpoint.error_rate > 0 or endpoint.slow_ratio > 1


async def test_slow_endless_reply_ends_with_its_request():
    """Guards against a connection that is held open by a few bytes at a time."""
    endless = EndlessEndpoint(b"HTTP/1.1 200 OK\r\n", b"X: a\r\n", 0.01)
    async with _deployment_with(endless, ("shard-0",)) as running:
        response = await send(running.port, request_bytes("/blend/x"))
        assert response.status == 200
        await wait_until(lambda: not endless.open_count)
        assert not running.instance.dispatch.active and not running.instance.dispatch.abandoned


async def test_endless_replies_share_one_bound():
    """Guards against a process that is ended as many endless replies exceed its memory."""
    endless = EndlessEndpoint(b"HTTP/1.1 200 OK\r\n\r\n", b"b" * 200_000, 0.002)
    async with _deployment_with(endless, ("invoicing",)) as running:
        buffers = running.instance.buffers
        buffers.max_bytes = 3_000_000
        peak_bytes = 0

        async def sample_until_done(sends: "asyncio.Future[list[Response]]") -> None:
            nonlocal peak_bytes
            while not sends.done():
                peak_bytes = max(peak_bytes, buffers.total_bytes)
                await asyncio.sleep(0.0005)

        sends = asyncio.gather(
            *(send(running.port, request_bytes("/lookup/x", f"r-{number}")) for number in range(12))
        )
        await sample_until_done(sends)
        assert {response.status for response in sends.result()} <= {200, 502, 504}
        assert 0 < peak_bytes <= buffers.max_bytes
        assert buffers.evicted_total > 0
        await wait_until(lambda: not endless.open_count)
        assert buffers.total_bytes == 0
        response = await send(running.port, request_bytes("/blend/x", "r-last"))
        assert response.status == 200


load_tests = function_suite(globals())
