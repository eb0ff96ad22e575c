"""Tests of outgoing connections and their pool against peers that violate HTTP or disconnect."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from wisteriarock.http.link import OutgoingConnection, keep_alive_ms
from wisteriarock.http.models import Exchange, ExchangeFailure, Headers, Reply
from wisteriarock.http.pool import Pool

from tests.common import function_suite

GOOD = b"HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 4\r\n\r\nbody"


class Peer:
    """Reader and writer of an accepted connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer


class ConnectionHarness:
    """An outgoing connection to a peer scripted by the test, with the callbacks it recorded."""

    def __init__(self, connection: OutgoingConnection, peer: Peer) -> None:
        self.connection = connection
        self.peer = peer
        self.stray_reasons: list[str] = []
        self.idle_count = 0
        self.outcomes: list[Reply | ExchangeFailure] = []

    def start(self, request_id: bytes = b"a", *, is_head: bool = False) -> None:
        """Send a request whose reply must carry `request_id`."""

        def accepts(headers: Headers) -> bool:
            return dict(headers).get(b"Id") == request_id

        exchange = Exchange(lambda: b"x", accepts, self.outcomes.append, lambda: None)
        exchange.is_head = is_head
        self.connection.start(exchange, b"GET / HTTP/1.1\r\n\r\n")

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Wait until a condition holds."""
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


async def test_connection_is_reused_after_a_reply():
    """Guards against opening a new connection for each request."""
    async with _create_harness() as harness:
        for request_id in (b"a", b"b"):
            harness.start(request_id)
            harness.peer.writer.write(GOOD % request_id)
            await harness.wait_until(lambda: harness.connection.exchange is None)
        assert [end.body for end in harness.outcomes if isinstance(end, Reply)] == [
            b"body",
            b"body",
        ]
        assert harness.idle_count == 2 and not harness.connection.is_closed


async def test_second_response_in_the_same_bytes_is_dropped():
    """Guards against an extra response being taken as the reply to the next request."""
    async with _create_harness() as harness:
        harness.start()
        harness.peer.writer.write(GOOD % b"a" + GOOD % b"a")
        await harness.wait_until(lambda: harness.outcomes)
        assert (
            isinstance(harness.outcomes[0], Reply)
            and harness.connection.is_closed
            and harness.idle_count == 0
        )


async def test_response_to_another_request_is_skipped():
    """Guards against delivering the response to an earlier request, or losing the matching one."""
    async with _create_harness() as harness:
        harness.start(b"b")
        harness.peer.writer.write(GOOD % b"a")
        await harness.wait_until(lambda: harness.stray_reasons)
        assert not harness.outcomes
        harness.peer.writer.write(GOOD % b"b")
        await harness.wait_until(lambda: harness.outcomes)
        assert isinstance(harness.outcomes[0], Reply) and harness.connection.is_closed


async def test_stray_and_matching_response_in_the_same_bytes():
    """Guards against dropping the matching reply along with a stray one before it."""
    async with _create_harness() as harness:
        harness.start(b"b")
        harness.peer.writer.write(GOOD % b"a" + GOOD % b"b")
        await harness.wait_until(lambda: harness.outcomes)
        assert (
            isinstance(harness.outcomes[0], Reply)
            and dict(harness.outcomes[0].headers)[b"Id"] == b"b"
        )


async def test_bytes_on_an_idle_connection_close_it():
    """Guards against parsing stray bytes as part of the next reply."""
    async with _create_harness() as harness:
        harness.start()
        harness.peer.writer.write(GOOD % b"a")
        await harness.wait_until(lambda: harness.idle_count)
        harness.peer.writer.write(b"HTTP/1.1 200 OK\r\n")
        await harness.wait_until(lambda: harness.connection.is_closed)
        assert harness.stray_reasons == ["bytes without request"]


async def test_truncated_replies_fail():
    """Guards against treating a truncated reply as complete."""
    whole = GOOD % b"a"
    for cut in range(0, len(whole), 7):
        async with _create_harness() as harness:
            harness.start()
            harness.peer.writer.write(whole[:cut])
            harness.peer.writer.write_eof()
            await harness.wait_until(lambda: harness.outcomes)
            assert (
                isinstance(harness.outcomes[0], ExchangeFailure) and harness.outcomes[0].was_sent
            ), cut


async def test_reply_without_length_is_complete_at_a_clean_close():
    """Guards against losing a body without a length, or accepting it after a connection reset."""
    async with _create_harness() as harness:
        harness.start()
        harness.peer.writer.write(b"HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it")
        harness.peer.writer.write_eof()
        await harness.wait_until(lambda: harness.outcomes)
        assert isinstance(harness.outcomes[0], Reply) and harness.outcomes[0].body == b"all of it"
        assert harness.connection.is_closed
    async with _create_harness() as harness:
        harness.start()
        harness.peer.writer.write(b"HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf")
        await harness.peer.writer.drain()
        harness.peer.writer.transport.abort()
        await harness.wait_until(lambda: harness.outcomes)
        assert isinstance(harness.outcomes[0], ExchangeFailure)


async def test_invalid_responses_fail():
    """Guards against invalid responses being delivered or leaving the request hanging."""
    bad_length = b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"
    for garbage in (b"hello\r\n\r\n", b"\x00\xff\x00", bad_length):
        async with _create_harness() as harness:
            harness.start()
            harness.peer.writer.write(garbage)
            await harness.wait_until(lambda: harness.outcomes)
            assert (
                isinstance(harness.outcomes[0], ExchangeFailure) and harness.connection.is_closed
            ), garbage


async def test_connection_close_is_respected():
    """Guards against reusing a connection that the endpoint is about to close."""
    async with _create_harness() as harness:
        harness.start()
        close = GOOD.replace(b"Id:", b"Connection: close\r\nId:")
        harness.peer.writer.write(close % b"a")
        await harness.wait_until(lambda: harness.outcomes)
        assert (
            isinstance(harness.outcomes[0], Reply)
            and harness.connection.is_closed
            and harness.idle_count == 0
        )


async def test_announced_idle_timeout_is_respected():
    """Guards against reusing a connection that the endpoint closes after its idle timeout."""
    assert keep_alive_ms([(b"Keep-Alive", b"timeout=2, max=5")]) == 2_000.0
    assert keep_alive_ms([(b"Keep-Alive", b"max=5")]) is None
    async with _create_harness() as harness:
        harness.start()
        announced = GOOD.replace(b"Id:", b"Keep-Alive: timeout=2\r\nId:")
        harness.peer.writer.write(announced % b"a")
        await harness.wait_until(lambda: harness.idle_count)
        assert harness.connection.is_usable(harness.connection.idle_since_ms + 1_000)
        assert not harness.connection.is_usable(harness.connection.idle_since_ms + 1_900)


async def test_pool_queues_exchanges_at_its_limit():
    """Guards against opening more connections than the limit of the pool."""
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
    for writer in open_connections:
        writer.close()
    server.close()


async def test_pool_that_cannot_connect_fails_waiting_exchanges():
    """Guards against legs that wait for an endpoint that cannot be reached."""
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


async def _receive_endless(start: bytes, block: bytes, reply_max_bytes: int) -> tuple[int, str]:
    """Send blocks after a start until the connection is closed.

    Returns
    -------
    tuple
        Number of bytes that the peer could send (16 MB at most), and the reason of the failure.
    """
    sent_bytes = 0
    async with _create_harness() as harness:
        harness.start()
        assert harness.connection.exchange is not None
        harness.connection.exchange.reply_max_bytes = reply_max_bytes
        with contextlib.suppress(ConnectionError):
            harness.peer.writer.write(start)
            while not harness.outcomes and sent_bytes < 16 * 1024 * 1024:
                harness.peer.writer.write(block)
                sent_bytes += len(block)
                await harness.peer.writer.drain()
                await asyncio.sleep(0)
        await harness.wait_until(lambda: harness.outcomes or sent_bytes >= 16 * 1024 * 1024)
        assert harness.outcomes, "the connection went on reading"
        (outcome,) = harness.outcomes
        assert isinstance(outcome, ExchangeFailure) and outcome.was_sent
        assert harness.connection.is_closed and harness.idle_count == 0
        return sent_bytes, outcome.reason


async def test_replies_without_end_are_cut_off():
    """Guards against memory and processor time spent on bytes that never become an answer.

    Played: endless headers, a header line without end, interim responses, a body without framing,
    a chunked body, chunk extensions and trailers.
    """
    ok = b"HTTP/1.1 200 OK\r\n"
    chunked = ok + b"Transfer-Encoding: chunked\r\n\r\n"
    for start, block in (
        (ok, b"X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaa\r\n" * 500),
        (ok + b"X-Filler: ", b"a" * 16_000),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 500),
        (b"", b"HTTP/1.1 100 Continue\r\nX-Filler: a\r\n\r\n" * 400),
        (ok + b"\r\n", b"b" * 16_000),
        (chunked, b"3e80\r\n" + b"b" * 16_000 + b"\r\n"),
        (chunked, b"1\r\nb\r\n" * 2_000),
        (chunked + b"1;", b"x" * 16_000),
        (chunked + b"0\r\n", b"X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaa\r\n" * 500),
    ):
        sent_bytes, reason = await _receive_endless(start, block, 100_000)
        # What the sockets buffer may be sent on top of what is read.
        assert sent_bytes < 8 * 1024 * 1024, (start, block[:40], sent_bytes)
        assert reason == "reply too large", (start, block[:40], reason)


async def test_replies_of_the_largest_size_are_read():
    """Guards against a limit that cuts off proper replies."""
    async with _create_harness() as harness:
        harness.start()
        assert harness.connection.exchange is not None
        harness.connection.exchange.reply_max_bytes = 100_000
        head = b"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 100000\r\n\r\n"
        harness.peer.writer.write(head + b"b" * 100_000)
        await harness.wait_until(lambda: harness.outcomes)
        (outcome,) = harness.outcomes
        assert isinstance(outcome, Reply) and len(outcome.body) == 100_000


async def _outcome_after_close(data: bytes, *, with_reset: bool) -> Reply | ExchangeFailure:
    """Send data as the reply, close or reset the connection, and return the outcome."""
    async with _create_harness() as harness:
        harness.start()
        harness.peer.writer.write(data)
        await harness.peer.writer.drain()
        if with_reset:
            harness.peer.writer.transport.abort()
        else:
            harness.peer.writer.write_eof()
        await harness.wait_until(lambda: harness.outcomes)
        return harness.outcomes[0]


async def test_reply_cut_at_each_byte_is_no_success():
    """Guards against an answer that breaks off halfway and counts as complete."""
    head = b"HTTP/1.1 200 OK\r\nId: a\r\n"
    for reply in (
        head + b"Content-Length: 10\r\n\r\nbody...end",
        head + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n3\r\nend\r\n0\r\n\r\n",
        b"HTTP/1.1 102 Processing\r\n\r\n" + head + b"Content-Length: 3\r\n\r\nend",
    ):
        for length in range(1, len(reply)):
            for with_reset in (False, True):
                outcome = await _outcome_after_close(reply[:length], with_reset=with_reset)
                assert isinstance(outcome, ExchangeFailure), (reply, length, with_reset)
                assert outcome.was_sent


async def test_reply_without_length_needs_its_whole_head():
    """Guards against an answer without length whose head breaks off and counts as complete."""
    reply = b"HTTP/1.1 200 OK\r\nId: a\r\n\r\n"
    for length in range(1, len(reply)):
        cut = await _outcome_after_close(reply[:length], with_reset=False)
        assert isinstance(cut, ExchangeFailure), length


async def test_late_copy_split_at_each_byte_is_never_the_next_reply():
    """Guards against a second copy of an answer on a connection that is in use again.

    The first bytes of the copy come with the answer, while the connection is idle or after the next
    request; the rest and the next answer follow.
    """
    first, second = GOOD % b"a", GOOD % b"b"
    for split in range(len(first) + 1):
        for when in ("with answer", "while idle", "after request"):
            async with _create_harness() as harness:
                harness.start(b"a")
                early, late = first[:split], first[split:]
                harness.peer.writer.write(first + (early if when == "with answer" else b""))
                await harness.wait_until(lambda: harness.outcomes)
                if when == "while idle":
                    harness.peer.writer.write(early)
                    await harness.peer.writer.drain()
                    await asyncio.sleep(0.002)
                if harness.connection.is_closed:
                    continue
                harness.start(b"b")
                if when == "after request":
                    harness.peer.writer.write(early)
                    await asyncio.sleep(0)
                harness.peer.writer.write(late + second)
                await harness.wait_until(lambda: len(harness.outcomes) == 2)
                outcome = harness.outcomes[1]
                if isinstance(outcome, Reply):
                    assert dict(outcome.headers)[b"Id"] == b"b", (split, when)
                else:
                    assert outcome.was_sent


async def test_reply_to_head_ends_with_its_headers():
    """Guards against a wait for the body that the reply to HEAD announces and does not have."""
    for length in (b"Content-Length: 4\r\n", b"", b"Transfer-Encoding: chunked\r\n"):
        async with _create_harness() as harness:
            harness.start(is_head=True)
            harness.peer.writer.write(b"HTTP/1.1 200 OK\r\nId: a\r\n" + length + b"\r\n")
            await harness.wait_until(lambda harness=harness: harness.outcomes)
            reply = harness.outcomes[0]
            assert isinstance(reply, Reply) and (reply.status, reply.body) == (200, b"")
            # The parser of the connection awaits the body.
            assert harness.connection.is_closed and not harness.idle_count


load_tests = function_suite(globals())
