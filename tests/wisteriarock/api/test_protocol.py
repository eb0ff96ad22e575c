"""Tests of the bounds on the connections of the servers, without sockets."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import uvicorn
from uvicorn.server import ServerState
from wisteriarock.api.protocol import create_protocol
from wisteriarock.http.buffers import BufferBudget
from wisteriarock.http.const import TURNS_PER_ITERATION

from tests.common import function_suite

GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
ANSWER_BYTES = 100_000


class _Transport(asyncio.Transport):
    """Transport whose peer reads nothing."""

    def __init__(self, protocol: Any, high_water_bytes: int) -> None:
        super().__init__()
        self.protocol = protocol
        self.high_water_bytes = high_water_bytes
        self.unread_bytes = 0
        self.is_aborted = False
        self.is_paused = False

    def write(self, data: Any) -> None:
        """Keep the data, as the peer does not read."""
        self.unread_bytes += len(data)
        if self.unread_bytes > self.high_water_bytes:
            self.protocol.pause_writing()

    def get_write_buffer_size(self) -> int:
        """Return the size of what the peer has not read."""
        return self.unread_bytes

    def is_closing(self) -> bool:
        """Return whether the connection was cut."""
        return self.is_aborted

    def pause_reading(self) -> None:
        """Record that reading is paused."""
        self.is_paused = True

    def resume_reading(self) -> None:
        """Record that reading goes on."""
        self.is_paused = False

    def read_all(self) -> None:
        """Let the peer read what was sent."""
        self.unread_bytes = 0
        self.protocol.resume_writing()

    def close(self) -> None:
        """Ignore the end."""

    def abort(self) -> None:
        """Record that the connection was cut."""
        self.is_aborted = True


async def _app(scope: Any, receive: Any, send: Any) -> None:
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"a" * ANSWER_BYTES})


def _server(
    budget: BufferBudget, high_water_bytes: int, app: Any = _app
) -> Callable[[], SimpleNamespace]:
    """Return a function that opens a connection to a server."""
    protocol = create_protocol(budget, 1_000, 60.0, lambda limit: None)
    config = uvicorn.Config(app, http=protocol, ws="none", lifespan="off", log_config=None)
    config.load()
    state = ServerState()

    def connect() -> SimpleNamespace:
        connection = protocol(config, state, {})
        transport = _Transport(connection, high_water_bytes)
        connection.connection_made(transport)
        return SimpleNamespace(protocol=connection, transport=transport)

    return connect


async def _iterate(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


async def test_unread_answers_are_counted():
    """Guards against callers that read no answer and so make the process hold all of them."""
    budget = BufferBudget(5 * ANSWER_BYTES + 50_000)
    connect = _server(budget, 65_536)
    connections = [connect() for _ in range(20)]
    for connection in connections:
        connection.protocol.data_received(GET)
    await _iterate(20)
    assert sum(not each.transport.is_aborted for each in connections) <= 5
    assert budget.total_bytes <= budget.max_bytes
    for connection in connections:
        connection.protocol.connection_lost(None)
    assert budget.total_bytes == 0


async def test_bytes_received_during_a_request_are_counted():
    """Guards against reads of many connections that wait for an answer."""
    ended = asyncio.Event()

    async def wait(scope: Any, receive: Any, send: Any) -> None:
        await ended.wait()
        await _app(scope, receive, send)

    budget = BufferBudget(1_000_000)
    connect = _server(budget, 1_000_000, wait)
    connections = [connect() for _ in range(20)]
    for connection in connections:
        connection.protocol.data_received(GET)
        connection.protocol.data_received(b"x" * 262_144)
    assert sum(not each.transport.is_aborted for each in connections) <= 3
    assert budget.total_bytes <= 1_000_000
    for connection in connections:
        connection.protocol.connection_lost(None)
    ended.set()
    await _iterate(5)
    assert budget.total_bytes == 0


async def test_requests_sent_ahead_take_turns():
    """Guards against callers that wait for a request of each connection that sends ahead."""
    handled = 0

    async def count(scope: Any, receive: Any, send: Any) -> None:
        nonlocal handled
        handled += 1
        await _app(scope, receive, send)

    connect = _server(BufferBudget(100_000_000), 100_000_000, count)
    connections = [connect() for _ in range(50)]
    for connection in connections:
        connection.protocol.data_received(GET * 20)
    await _iterate(5)
    before = handled
    await _iterate(10)
    assert 0 < handled - before <= 10 * TURNS_PER_ITERATION
    for connection in connections:
        connection.protocol.connection_lost(None)


async def test_data_received_meanwhile_keeps_its_turn():
    """Guards against callers that send ahead in pieces, and so are served before others."""
    started = 0

    async def count(scope: Any, receive: Any, send: Any) -> None:
        nonlocal started
        started += 1
        await _app(scope, receive, send)

    connect = _server(BufferBudget(100_000_000), 65_536, count)
    connections = [connect() for _ in range(20)]
    for connection in connections:
        connection.protocol.data_received(GET * 2)
    await _iterate(5)
    assert started == 20
    for connection in connections:
        connection.transport.read_all()
        connection.protocol.data_received(GET)
    await _iterate(2)
    assert 20 < started <= 20 + 2 * TURNS_PER_ITERATION
    for connection in connections:
        connection.protocol.connection_lost(None)


async def test_reading_goes_on_once_the_answer_is_read():
    """Guards against a request cut in two whose second part is never read."""
    connection = _server(BufferBudget(1_000_000), 65_536)()
    protocol, transport = connection.protocol, connection.transport
    protocol.data_received(GET + GET[:20])
    await _iterate(5)
    assert transport.is_paused
    transport.read_all()
    await _iterate(5)
    assert not transport.is_paused
    protocol.data_received(GET[20:])
    await _iterate(5)
    assert transport.unread_bytes > ANSWER_BYTES
    protocol.connection_lost(None)


load_tests = function_suite(globals())
