"""Tests of outgoing connections against endpoints that misbehave byte by byte."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from wisteriarock.http.link import OutgoingConnection, keep_alive_ms
from wisteriarock.http.models import Exchange, ExchangeFailure, Headers, Reply
from wisteriarock.http.pool import Pool

from tests.common import function_suite

GOOD = b"HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 4\r\n\r\nbody"


class Peer:
    """One accepted connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer


class ConnectionHarness:
    """A link to a peer that the test plays, and what the link reported."""

    def __init__(self, connection: OutgoingConnection, peer: Peer) -> None:
        self.connection = connection
        self.peer = peer
        self.stray_reasons: list[str] = []
        self.idle_count = 0
        self.outcomes: list[Reply | ExchangeFailure] = []

    def start(self, request_id: bytes = b"a") -> None:
        """Send a request whose reply has to carry an id."""

        def accepts(headers: Headers) -> bool:
            return dict(headers).get(b"Id") == request_id

        exchange = Exchange(lambda: b"x", accepts, self.outcomes.append, lambda: None)
        self.connection.start(exchange, b"GET / HTTP/1.1\r\n\r\n")

    async def until(self, condition: Callable[[], object]) -> None:
        """Wait for a condition."""
        while not condition():
            await asyncio.sleep(0.001)


@contextlib.asynccontextmanager
async def _create_harness() -> AsyncIterator[ConnectionHarness]:
    loop = asyncio.get_running_loop()
    accepted: asyncio.Future[Peer] = loop.create_future()

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        accepted.set_result(Peer(reader, writer))

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    harnesses: list[ConnectionHarness] = []

    def on_idle(connection: OutgoingConnection) -> None:
        harnesses[0].idle_count += 1

    def on_stray_bytes(connection: OutgoingConnection, reason: str) -> None:
        harnesses[0].stray_reasons.append(reason)

    _, connection = await loop.create_connection(
        lambda: OutgoingConnection(loop, on_idle, lambda _: None, on_stray_bytes), "127.0.0.1", port
    )
    harnesses.append(ConnectionHarness(connection, await accepted))
    try:
        yield harnesses[0]
    finally:
        connection.close()
        harnesses[0].peer.writer.close()
        server.close()


async def test_reply_frees_the_connection():
    """Guards against a new connection for each request."""
    async with _create_harness() as harness:
        for request_id in (b"a", b"b"):
            harness.start(request_id)
            harness.peer.writer.write(GOOD % request_id)
            await harness.until(lambda: harness.connection.exchange is None)
        assert [end.body for end in harness.outcomes if isinstance(end, Reply)] == [
            b"body",
            b"body",
        ]
        assert harness.idle_count == 2 and not harness.connection.is_closed


async def test_second_response_in_the_same_bytes_is_dropped():
    """Guards against an extra answer being taken for the reply to the next request."""
    async with _create_harness() as harness:
        harness.start()
        harness.peer.writer.write(GOOD % b"a" + GOOD % b"a")
        await harness.until(lambda: harness.outcomes)
        assert (
            isinstance(harness.outcomes[0], Reply)
            and harness.connection.is_closed
            and harness.idle_count == 0
        )


async def test_late_response_is_skipped_and_the_right_one_awaited():
    """Guards against an earlier request's answer reaching a caller, and the right one lost."""
    async with _create_harness() as harness:
        harness.start(b"b")
        harness.peer.writer.write(GOOD % b"a")
        await harness.until(lambda: harness.stray_reasons)
        assert not harness.outcomes
        harness.peer.writer.write(GOOD % b"b")
        await harness.until(lambda: harness.outcomes)
        assert isinstance(harness.outcomes[0], Reply) and harness.connection.is_closed


async def test_late_and_right_response_in_the_same_bytes():
    """Guards against the right reply being dropped with a stray one before it."""
    async with _create_harness() as harness:
        harness.start(b"b")
        harness.peer.writer.write(GOOD % b"a" + GOOD % b"b")
        await harness.until(lambda: harness.outcomes)
        assert (
            isinstance(harness.outcomes[0], Reply)
            and dict(harness.outcomes[0].headers)[b"Id"] == b"b"
        )


async def test_bytes_on_an_idle_connection_close_it():
    """Guards against stray bytes being read as part of the next reply."""
    async with _create_harness() as harness:
        harness.start()
        harness.peer.writer.write(GOOD % b"a")
        await harness.until(lambda: harness.idle_count)
        harness.peer.writer.write(b"HTTP/1.1 200 OK\r\n")
        await harness.until(lambda: harness.connection.is_closed)
        assert harness.stray_reasons == ["bytes without request"]


async def test_cut_replies_are_broken_at_every_byte():
    """Guards against an answer that ends early and looks complete."""
    whole = GOOD % b"a"
    for cut in range(0, len(whole), 7):
        async with _create_harness() as harness:
            harness.start()
            harness.peer.writer.write(whole[:cut])
            harness.peer.writer.write_eof()
            await harness.until(lambda: harness.outcomes)
            assert (
                isinstance(harness.outcomes[0], ExchangeFailure) and harness.outcomes[0].was_sent
            ), cut


async def test_reply_without_length_ends_with_its_connection():
    """Guards against bodies without a length being lost, or taken as complete after a reset."""
    async with _create_harness() as harness:
        harness.start()
        harness.peer.writer.write(b"HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it")
        harness.peer.writer.write_eof()
        await harness.until(lambda: harness.outcomes)
        assert isinstance(harness.outcomes[0], Reply) and harness.outcomes[0].body == b"all of it"
        assert harness.connection.is_closed
    async with _create_harness() as harness:
        harness.start()
        harness.peer.writer.write(b"HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf")
        await harness.peer.writer.drain()
        harness.peer.writer.transport.abort()
        await harness.until(lambda: harness.outcomes)
        assert isinstance(harness.outcomes[0], ExchangeFailure)


async def test_bytes_that_are_no_response():
    """Guards against garbage being handed on, or hanging the request."""
    bad_length = b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"
    for garbage in (b"hello\r\n\r\n", b"\x00\xff\x00", bad_length):
        async with _create_harness() as harness:
            harness.start()
            harness.peer.writer.write(garbage)
            await harness.until(lambda: harness.outcomes)
            assert (
                isinstance(harness.outcomes[0], ExchangeFailure) and harness.connection.is_closed
            ), garbage


async def test_connection_close_is_kept():
    """Guards against requests on connections that the endpoint is about to close."""
    async with _create_harness() as harness:
        harness.start()
        close = GOOD.replace(b"Id:", b"Connection: close\r\nId:")
        harness.peer.writer.write(close % b"a")
        await harness.until(lambda: harness.outcomes)
        assert (
            isinstance(harness.outcomes[0], Reply)
            and harness.connection.is_closed
            and harness.idle_count == 0
        )


async def test_announced_idle_timeout_is_kept():
    """Guards against requests on connections that the endpoint closes for being idle."""
    assert keep_alive_ms([(b"Keep-Alive", b"timeout=2, max=5")]) == 2_000.0
    assert keep_alive_ms([(b"Keep-Alive", b"max=5")]) is None
    async with _create_harness() as harness:
        harness.start()
        announced = GOOD.replace(b"Id:", b"Keep-Alive: timeout=2\r\nId:")
        harness.peer.writer.write(announced % b"a")
        await harness.until(lambda: harness.idle_count)
        assert harness.connection.is_usable(harness.connection.idle_since_ms + 1_000)
        assert not harness.connection.is_usable(harness.connection.idle_since_ms + 1_900)


async def test_pool_keeps_its_limit_and_lets_exchanges_wait():
    """Guards against more connections than an endpoint accepts from this instance."""
    loop = asyncio.get_running_loop()
    open_connections: list[asyncio.StreamWriter] = []

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_connections.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, asyncio.CancelledError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(GOOD % b"a")

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = Pool(loop, "127.0.0.1", port, lambda: 2, lambda ok: None, lambda reason: None)
    outcomes: list[Reply | ExchangeFailure] = []
    request = b"GET / HTTP/1.1\r\n\r\n"
    for _ in range(9):
        pool.send(Exchange(lambda: request, lambda headers: True, outcomes.append, lambda: None))
    while len(outcomes) < 9:
        await asyncio.sleep(0.001)
    assert all(isinstance(end, Reply) for end in outcomes)
    assert len(open_connections) == 2
    pool.close()
    server.close()


async def test_pool_that_cannot_connect_ends_what_waits():
    """Guards against legs that wait for an endpoint that is gone."""
    loop = asyncio.get_running_loop()
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    connect_results: list[bool] = []
    pool = Pool(loop, "127.0.0.1", port, lambda: 2, connect_results.append, lambda reason: None)
    outcomes: list[Reply | ExchangeFailure] = []
    pool.send(Exchange(lambda: b"x", lambda headers: True, outcomes.append, lambda: None))
    while not outcomes:
        await asyncio.sleep(0.001)
    assert isinstance(outcomes[0], ExchangeFailure) and not outcomes[0].was_sent
    assert connect_results == [False]


load_tests = function_suite(globals())
