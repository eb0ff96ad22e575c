"""Tests of the flow control of callers' connections, without sockets."""

import asyncio
from collections.abc import Callable
from typing import Any

from wisteriarock.http.buffers import BufferBudget
from wisteriarock.http.front import Answer, CallerConnection, CallerRequest, ListenerState

from tests.common import function_suite

GET = b"GET /%d HTTP/1.1\r\n\r\n"
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


load_tests = function_suite(globals())
