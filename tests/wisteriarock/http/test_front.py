"""Tests of the flow control of callers' connections, without sockets."""

import asyncio
import gc
from collections.abc import Callable
from typing import Any

from wisteriarock.http.buffers import BufferBudget
from wisteriarock.http.const import TURN_MAX_BYTES, TURNS_PER_ITERATION, UNREAD_ANSWER_MAX_MS
from wisteriarock.http.front import Answer, CallerConnection, CallerRequest, ListenerState
from wisteriarock.http.request_reader import RequestReader

from tests.common import function_suite

GET = b"GET /%d HTTP/1.1\r\n\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
SMALL_CHUNKS = CHUNKED + b"1\r\nb\r\n" * 10_000
HALF = b"POST / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n" + b"b" * 17_000


class _Transport(asyncio.Transport):
    """Transport whose peer reads only when the test says so."""

    def __init__(self) -> None:
        super().__init__()
        self.sent = b""
        self.is_reading_answers = True
        self.is_paused = False
        self.is_aborted = False
        self.protocol: Any = None

    def write(self, data: Any) -> None:
        """Keep the data; a peer that does not read makes the protocol pause."""
        self.sent += data
        if not self.is_reading_answers:
            self.protocol.pause_writing()

    def get_write_buffer_size(self) -> int:
        """Return the size of what the peer has not read."""
        return 0 if self.is_reading_answers else len(self.sent)

    def set_write_buffer_limits(self, high: Any = None, low: Any = None) -> None:
        """Ignore the limits."""

    def pause_reading(self) -> None:
        """Record that reading is paused."""
        self.is_paused = True

    def resume_reading(self) -> None:
        """Record that reading goes on."""
        self.is_paused = False

    def can_write_eof(self) -> bool:
        """Return that the write end can be closed."""
        return True

    def write_eof(self) -> None:
        """Close the write end."""

    def close(self) -> None:
        """Close the transport."""

    def abort(self) -> None:
        """Record that the connection was cut."""
        self.is_aborted = True


class _Caller:
    """A connection of a caller, and the requests that the listener has started."""

    def __init__(self, budget: BufferBudget, max_connections: int | None = None) -> None:
        self.started: list[CallerRequest] = []
        self.responds: list[Callable[[Answer], None]] = []
        loop = asyncio.get_running_loop()
        self.listener = ListenerState(loop, self._handle, lambda *_: None, budget, max_connections)

    def _handle(self, request: CallerRequest, respond: Any) -> Callable[[], None]:
        self.started.append(request)
        self.responds.append(respond)
        return lambda: None

    def connect(self) -> tuple[CallerConnection, _Transport]:
        """Open a connection."""
        connection, transport = CallerConnection(self.listener), _Transport()
        transport.protocol = connection
        connection.connection_made(transport)
        return connection, transport


async def _turns() -> None:
    for _ in range(3):
        await asyncio.sleep(0)


async def test_request_sent_ahead_starts_once_the_answer_before_is_read():
    """Guards against requests that are started while nobody reads their answers."""
    caller = _Caller(BufferBudget(1_000_000, 1_000_000))
    connection, transport = caller.connect()
    connection.data_received(b"".join(GET % number for number in range(1_000)))
    assert [request.target for request in caller.started] == [b"/0"]
    assert transport.is_paused and connection.listener.buffers.total_bytes > 0
    transport.is_reading_answers = False
    caller.responds[0](Answer(200, [], b""))
    await _turns()
    assert len(caller.started) == 1
    transport.is_reading_answers = True
    connection.resume_writing()
    await _turns()
    assert [request.target for request in caller.started] == [b"/0", b"/1"]
    connection.connection_lost(None)
    assert connection.listener.buffers.total_bytes == 0
    assert connection.listener.buffers.reserved_bytes == 0


async def test_caller_that_never_reads_is_closed():
    """Guards against unread answers, and connections, that are kept for ever."""
    caller = _Caller(BufferBudget(1_000_000, 1_000_000))
    connection, transport = caller.connect()
    transport.is_reading_answers = False
    connection.data_received(GET % 1)
    caller.responds[0](Answer(200, [], b"x" * 1_000))
    now_ms = asyncio.get_running_loop().time() * 1000
    connection.check_timeouts(now_ms + caller.listener.limits.idle_timeout_ms - 100)
    assert not transport.is_aborted
    connection.check_timeouts(now_ms + caller.listener.limits.idle_timeout_ms + 100)
    assert transport.is_aborted


async def test_caller_that_reads_slowly_is_closed():
    """Guards against an answer that is read so slowly that it is kept for hours."""
    caller = _Caller(BufferBudget(1_000_000, 1_000_000))
    connection, transport = caller.connect()
    transport.is_reading_answers = False
    connection.data_received(GET % 1)
    caller.responds[0](Answer(200, [], b"x" * 1_000))
    now_ms = asyncio.get_running_loop().time() * 1000
    for second in range(1, 60):
        transport.sent = transport.sent[1:]
        connection.check_timeouts(now_ms + 1_000 * second)
        assert not transport.is_aborted
    transport.sent = transport.sent[1:]
    connection.check_timeouts(now_ms + UNREAD_ANSWER_MAX_MS + 100)
    assert transport.is_aborted


async def test_request_above_the_memory_is_refused_and_not_started():
    """Guards against a refusal of a request that has run."""
    caller = _Caller(BufferBudget(1_000_000, 6_000))
    first, _ = caller.connect()
    second, transport = caller.connect()
    first.data_received(GET % 1)
    second.data_received(GET % 2)
    assert [request.target for request in caller.started] == [b"/1"]
    assert transport.sent.startswith(b"HTTP/1.1 503 ")
    caller.responds[0](Answer(200, [], b""))
    second.data_received(GET % 3)
    await _turns()
    assert [request.target for request in caller.started] == [b"/1", b"/3"]


async def test_memory_is_taken_from_what_has_not_been_started():
    """Guards against a request under way that is cut as others hold too much."""
    caller = _Caller(BufferBudget(30_000, 1_000_000))
    running, transport = caller.connect()
    running.data_received(GET % 1 + b"x" * 20_000)
    assert running.listener.buffers.total_bytes > 20_000
    receiving, other = caller.connect()
    receiving.data_received(HALF)
    assert caller.listener.buffers.evicted_total == 1
    assert not transport.is_aborted and not transport.sent
    caller.responds[0](Answer(200, [], b""))
    assert transport.sent.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in transport.sent
    more, third = caller.connect()
    more.data_received(HALF)
    assert other.sent.startswith(b"HTTP/1.1 503 ") or third.sent.startswith(b"HTTP/1.1 503 ")


async def test_least_useful_connection_is_closed_first():
    """Guards against callers with a request that are closed in place of idle ones."""
    caller = _Caller(BufferBudget(1_000_000, 1_000_000), max_connections=3)
    running, running_transport = caller.connect()
    running.data_received(GET % 1)
    receiving, receiving_transport = caller.connect()
    receiving.data_received(b"GET / HT")
    _, idle_transport = caller.connect()
    caller.connect()
    assert idle_transport.is_aborted
    assert not running_transport.is_aborted and not receiving_transport.is_aborted
    assert len(caller.listener.connections) == 3


def _refuse(caller: _Caller) -> list[bytes]:
    """Let the listener refuse each request at once; return the targets of those it handled."""
    handled: list[bytes] = []

    def handle(request: CallerRequest, respond: Any) -> Callable[[], None]:
        handled.append(request.target)
        respond(Answer(404, [], b"no route"))
        return lambda: None

    caller.listener.handle = handle
    return handled


async def test_requests_sent_ahead_take_turns():
    """Guards against ordinary callers that wait for a request of each connection that sends ahead.

    An ordinary request takes several iterations of the event loop.
    """
    caller = _Caller(BufferBudget(10_000_000, 1_000_000))
    handled = _refuse(caller)
    for _ in range(50):
        caller.connect()[0].data_received(b"".join(GET % number for number in range(20)))
    before = len(handled)
    for _ in range(10):
        await asyncio.sleep(0)
    assert 0 < len(handled) - before <= 10 * TURNS_PER_ITERATION
    while len(handled) < 50 * 20:
        await asyncio.sleep(0)
    # Each connection had its turn as often as the others.
    assert handled[50 * 19 :] == [b"/19"] * 50


async def test_requests_after_a_refusal_take_turns():
    """Guards against a flood of requests without a route that read their answers."""
    caller = _Caller(BufferBudget(1_000_000, 1_000_000))
    handled = _refuse(caller)
    connections = [caller.connect()[0] for _ in range(50)]
    for number in range(2):
        for connection in connections:
            connection.data_received(GET % number)
    assert handled == [b"/0"] * 50
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert 0 < handled.count(b"/1") <= 2 * TURNS_PER_ITERATION
    ordinary, _ = caller.connect()
    ordinary.data_received(GET % 2)
    assert handled[-1] == b"/2"


async def test_small_chunks_take_turns():
    """Guards against an iteration of the event loop that parses small chunks of all connections."""
    caller = _Caller(BufferBudget(10_000_000, 1_000_000))
    connections = [caller.connect()[0] for _ in range(20)]
    for connection in connections:
        connection.data_received(SMALL_CHUNKS)
    for iteration in range(1, 40):
        await asyncio.sleep(0)
        parsed_bytes = sum(connection.reader.body_bytes for connection in connections)
        # Six bytes for each byte of a body.
        turn_bytes = TURN_MAX_BYTES // 6 + 1
        assert 0 < parsed_bytes <= iteration * TURNS_PER_ITERATION * turn_bytes
    for connection in connections:
        connection.data_received(b"0\r\n\r\n")
    while len(caller.started) < 20:
        await asyncio.sleep(0)
    assert {request.body for request in caller.started} == {b"b" * 10_000}


async def test_large_chunks_need_no_turn():
    """Guards against a calm caller whose body is delayed."""
    caller = _Caller(BufferBudget(1_000_000, 1_000_000))
    connection, _ = caller.connect()
    connection.data_received(CHUNKED + b"fa0\r\n" + b"b" * 4_000 + b"\r\n0\r\n\r\n")
    assert [len(request.body) for request in caller.started] == [4_000]


async def test_bytes_after_a_refusal_are_bounded():
    """Guards against a refused caller that keeps the process reading."""
    caller = _Caller(BufferBudget(1_000_000, 1_000_000))
    limits = caller.listener.limits
    connection, transport = caller.connect()
    connection.data_received(
        b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (limits.body_bytes + 1)
    )
    assert transport.sent.startswith(b"HTTP/1.1 413 ")
    # A whole request whose body comes in chunks of one byte, with trailers.
    rest_bytes = 6 * limits.body_bytes + 2 * limits.header_bytes
    connection.data_received(b"b" * rest_bytes)
    assert not transport.is_aborted
    connection.data_received(b"b")
    assert transport.is_aborted
    running, transport = caller.connect()
    running.data_received(GET % 1 + b"b" * 20_000)
    running.evict()
    running.data_received(b"b" * (rest_bytes + 1))
    assert not transport.is_aborted
    caller.responds[0](Answer(200, [], b""))
    assert transport.sent.startswith(b"HTTP/1.1 200 ")


async def test_refused_connection_is_closed_before_idle_ones():
    """Guards against ordinary callers that lose their connections to a flood of refused ones."""
    caller = _Caller(BufferBudget(1_000_000, 1_000_000), max_connections=2)
    _, idle_transport = caller.connect()
    _refuse(caller)
    refused, refused_transport = caller.connect()
    refused.data_received(GET % 1)
    caller.connect()
    assert refused_transport.is_aborted and not idle_transport.is_aborted


async def test_refused_connection_with_a_request_is_kept_before_idle_ones():
    """Guards against calm callers whose next request is dropped, as they were refused once."""
    caller = _Caller(BufferBudget(1_000_000, 1_000_000), max_connections=2)
    _, idle_transport = caller.connect()
    _refuse(caller)
    refused, refused_transport = caller.connect()
    for number in range(2):
        refused.data_received(GET % number)
    caller.connect()
    assert idle_transport.is_aborted and not refused_transport.is_aborted


async def test_request_that_raises_ends_its_connection_only():
    """Guards against callers that wait for ever, as a request in the same iteration has failed."""
    buffers = BufferBudget(1_000_000, 1_000_000)
    caller = _Caller(buffers)
    handled = _refuse(caller)
    connections = [caller.connect() for _ in range(TURNS_PER_ITERATION)]
    for connection, _ in connections:
        connection.data_received(GET % 0)
    refuse, errors = caller.listener.handle, []

    def fail_once(request: CallerRequest, respond: Any) -> Callable[[], None]:
        if not errors:
            raise ValueError("fault of the process")
        return refuse(request, respond)

    caller.listener.handle = fail_once
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: errors.append(context["exception"]))
    for connection, _ in connections:
        connection.data_received(GET % 1)
    await _turns()
    assert [type(error) for error in errors] == [ValueError]
    assert handled.count(b"/1") == TURNS_PER_ITERATION - 1
    assert [transport.is_aborted for _, transport in connections] == [True] + [False] * (
        TURNS_PER_ITERATION - 1
    )
    connections[0][0].connection_lost(None)
    assert buffers.reserved_bytes == 0


async def test_refused_callers_do_not_wait_for_those_that_send_ahead():
    """Guards against calm callers, refused once, that wait for thousands that send ahead."""
    caller = _Caller(BufferBudget(100_000_000, 1_000_000))
    handled = _refuse(caller)
    for _ in range(200):
        caller.connect()[0].data_received(GET % 0 * 20)
    calm = [caller.connect()[0] for _ in range(2)]
    for number in range(1, 3):
        for connection in calm:
            connection.data_received(GET % number)
    before = len(handled)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert handled.count(b"/2") == 2
    # Those that send ahead have their share.
    assert handled[before:].count(b"/0") >= TURNS_PER_ITERATION // 2


async def test_rejected_connection_leaves_no_cycle():
    """Guards against rejected requests that stay in memory until the next garbage collection."""
    caller = _Caller(BufferBudget(1_000_000, 1_000_000))
    gc.collect()
    gc.disable()
    try:
        for data in (b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 20_000 + b"\r\n", b"none\r\n\r\n"):
            connection, transport = caller.connect()
            connection.data_received(data)
            assert transport.sent
            connection.connection_lost(None)
            transport.protocol = None
            del connection, transport
        assert not [each for each in gc.get_objects() if isinstance(each, RequestReader)]
    finally:
        gc.enable()


load_tests = function_suite(globals())
