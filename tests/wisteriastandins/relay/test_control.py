"""Tests of the link relay over sockets."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any

from wisteriastandins.relay.control import start_relay
from wisteriastandins.relay.models import LinkConfig, RelayConfig

from tests.common import function_suite
from tests.wisteriastandins.common import Connection, call, connect


class EchoServer(asyncio.Protocol):
    """Server that records and echoes received data, and records the close."""

    def __init__(self, received: list[bytes]) -> None:
        self._received = received

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Record and echo a chunk."""
        self._received.append(data)
        self._transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the close."""
        self._received.append(b"|closed")


@asynccontextmanager
async def run_relay(
    delay_ms: float = 0, target_port: int | None = None
) -> AsyncIterator[tuple[int, int, list[bytes]]]:
    """Run a relay to an echo server; yield its port, its control port and the received chunks.

    With `target_port`, the relay connects to that port instead.
    """
    received: list[bytes] = []
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: EchoServer(received), "127.0.0.1", 0)
    link = LinkConfig(
        name="a-b",
        listen_host="127.0.0.1",
        listen_port=0,
        target_host="127.0.0.1",
        target_port=target_port or server.sockets[0].getsockname()[1],
        delay_ms=delay_ms,
        jitter_ms=delay_ms,
    )
    config = RelayConfig(control_host="127.0.0.1", control_port=0, seed=1, links=[link])
    started = await start_relay(config)
    try:
        yield (await get_record(started.port))["listen_port"], started.port, received
    finally:
        await started.stop()
        server.close()


async def get_record(control: int) -> dict[str, Any]:
    _, body = await call(control, "GET", "/record")
    link_record: dict[str, Any] = body["links"]["a-b"]
    return link_record


async def apply_action(control: int, action: str, **fields: Any) -> None:
    body = {"match": "a-*", "action": action, **fields}
    assert await call(control, "POST", "/control", body) == (200, {"matched": ["a-b"]})


async def wait_closed(received: list[bytes]) -> bytes:
    """Wait until the target's connection has closed, and return the received bytes."""
    while True:
        if b"|closed" in received:
            return b"".join(received)
        await asyncio.sleep(0.001)


async def echo(connection: Connection, data: bytes) -> bytes:
    connection.writer.write(data)
    return await connection.reader.readexactly(len(data))


async def read_end(connection: Connection) -> bytes:
    """Read until the connection ends, by a close or a reset."""
    with suppress(ConnectionResetError):
        return await connection.reader.read()
    return b""


async def test_bytes_pass_in_order_and_the_close_follows() -> None:
    """Guards against lost or reordered bytes with jitter and while reading is paused."""
    async with run_relay(delay_ms=1) as (port, control, received):
        connection = await connect(port)
        sent = b"".join(number.to_bytes(4, "big") for number in range(1_500_000))
        assert await echo(connection, sent) == sent
        connection.writer.close()
        assert await wait_closed(received) == sent + b"|closed"
        link_record = await get_record(control)
        assert (link_record["bytes_up"], link_record["bytes_down"]) == (len(sent), len(sent))
        assert link_record["open_connections"] == 0


async def test_cut_and_heal() -> None:
    """Guards against a cut that leaves connections open, or a link that stays down."""
    async with run_relay() as (port, control, received):
        connection = await connect(port)
        assert await echo(connection, b"x") == b"x"
        await apply_action(control, "cut")
        assert await read_end(connection) == b""
        assert await wait_closed(received) == b"x|closed"
        try:
            await connect(port)
            raise AssertionError("the link accepts connections")
        except ConnectionRefusedError:
            pass
        await apply_action(control, "cut", new="unanswered")
        unanswered = await connect(port)
        unanswered.writer.write(b"y")
        await apply_action(control, "heal")
        assert await echo(await connect(port), b"z") == b"z"
        assert received == [b"x", b"|closed", b"z"]


async def test_a_silent_cut_resets_nothing() -> None:
    """Guards against a silent cut that callers detect at once because connections are reset."""
    async with run_relay() as (port, control, received):
        old = await connect(port)
        assert await echo(old, b"x") == b"x"
        await apply_action(control, "cut", open="silence", new="unanswered")
        old.writer.write(b"lost")
        new = await connect(port)
        new.writer.write(b"lost")
        link_record = await get_record(control)
        assert (link_record["open_connections"], link_record["cut_connections"]) == (2, 0)
        assert received == [b"x"]
        assert not old.reader.at_eof() and not new.reader.at_eof()


async def test_client_of_a_target_that_refuses_is_disconnected() -> None:
    """Guards against a caller that waits for a target that is not there."""
    with socket.socket() as target:
        # A bound port without a listener refuses connections.
        target.bind(("127.0.0.1", 0))
        async with run_relay(target_port=target.getsockname()[1]) as (port, control, _):
            connection = await connect(port)
            connection.writer.write(b"x")
            assert await read_end(connection) == b""
            connection.writer.close()
            record = await get_record(control)
            assert (record["failed_connections"], record["open_connections"]) == (1, 0)


async def test_silence_is_permanent_and_limited_to_open_connections() -> None:
    """Guards against silent connections that close or recover, and against silent new ones."""
    async with run_relay() as (port, control, received):
        old, new_connections = await connect(port), []
        assert await echo(old, b"x") == b"x"
        await apply_action(control, "silence")
        old.writer.write(b"lost")
        for data in (b"y", b"z"):
            new_connections.append(await connect(port))
            assert await echo(new_connections[-1], data) == data
            await apply_action(control, "heal")
        old.writer.close()
        assert (await get_record(control))["open_connections"] == 3
        assert received == [b"x", b"y", b"z"]


async def test_the_next_connection_is_cut_after_bytes() -> None:
    """Guards against a cut at the wrong byte, or one that applies to a second connection."""
    async with run_relay() as (port, control, received):
        await apply_action(control, "cut_after_bytes", bytes=5)
        connection = await connect(port)
        connection.writer.write(b"abcdefgh")
        assert await read_end(connection) == b""
        assert await wait_closed(received) == b"abcde|closed"
        assert await echo(await connect(port), b"abcdefgh") == b"abcdefgh"
        assert (await get_record(control))["cut_connections"] == 1


async def test_a_limit_of_zero_bytes_closes_the_connection() -> None:
    """Guards against a client that waits on a connection that forwards no bytes."""
    async with run_relay() as (port, control, _):
        await apply_action(control, "delay", delay_ms=1, jitter_ms=0)
        await apply_action(control, "cut_after_bytes", bytes=0)
        assert await read_end(await connect(port)) == b""


load_tests = function_suite(globals())
