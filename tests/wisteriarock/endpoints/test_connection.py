"""Tests of single connections against scripted servers on 127.0.0.1."""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from aiosonic import HTTPClient, TCPConnector
from aiosonic.pools import PoolConfig
from wisteriarock.endpoints.connection import (
    EndpointConnection,
    create_connection,
    fetch_report,
    send_leg,
)
from wisteriarock.endpoints.lifecycle import ConnectionState
from wisteriarock.endpoints.models import LegResult
from wisteriarock.query.models import LegOutcome, LegRequest

from tests.boards import make_leg
from tests.common import function_suite
from tests.servers import encode_response, read_request, run_endpoint_server, wait_until

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def _now_ms() -> float:
    return time.monotonic() * 1000


@asynccontextmanager
async def raw_server(serve: Serve) -> AsyncIterator[int]:
    """Run a scripted TCP server and yield its port."""

    async def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(guarded, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


def connect(port: int) -> EndpointConnection:
    return create_connection("127.0.0.1", port, 250.0, _now_ms(), lambda _: None)


async def send(connection: EndpointConnection, leg: LegRequest, left_ms: float = 500) -> LegResult:
    return await send_leg(connection, leg, _now_ms() + left_ms, _now_ms)


def _ok(leg: dict[str, Any], **fields: Any) -> bytes:
    names = ("leg_id", "shard", "part", "parts", "snapshot")
    return encode_response(200, {**{name: leg[name] for name in names}, "rows": [], **fields})


async def test_the_library_hands_a_late_reply_to_the_next_request() -> None:
    """Shows the fault for which connections are closed; if this fails, the rule can go."""
    release = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for number in range(3):
            await read_request(reader)
            if number == 1:
                await release.wait()
            writer.write(encode_response(200, {"number": number}))

    async with raw_server(serve) as port:
        connector = TCPConnector(pool_configs={":default": PoolConfig(size=1)})
        client = HTTPClient(connector)
        url = f"http://127.0.0.1:{port}/"
        assert await (await client.post(url, data=b"{}")).json() == {"number": 0}
        late = asyncio.create_task(client.post(url, data=b"{}"))
        await asyncio.sleep(0.05)
        late.cancel()
        await asyncio.gather(late, return_exceptions=True)
        release.set()
        assert await (await client.post(url, data=b"{}")).json() == {"number": 1}
        await client.aclose()


async def test_a_cancelled_leg_closes_its_connection() -> None:
    """Guards against a late reply that is taken for that of the next leg."""
    received = asyncio.Event()
    closed = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        received.set()
        await reader.read()
        closed.set()

    async with raw_server(serve) as port:
        connection = connect(port)
        task = asyncio.create_task(send(connection, make_leg()))
        await received.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert connection.state is ConnectionState.CLOSED
        await closed.wait()


async def test_replies_that_are_not_to_this_leg_are_lost_and_close_the_connection() -> None:
    """Guards against rows of another request, broken replies, and false proofs of not run."""

    async def case(reply: bytes) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)
            writer.write(reply)
            await writer.drain()

        async with raw_server(serve) as port:
            connection = connect(port)
            result = await send(connection, make_leg())
            assert (result.outcome, result.executed) == (LegOutcome.LOST, True), reply
            assert connection.state is ConnectionState.CLOSED

    leg = dict(make_leg())
    whole = _ok(leg)
    refusal = {"leg_id": "r1.1", "code": "shedding", "executed": False}
    for reply in (
        _ok(leg, leg_id="r1.2"),
        _ok(leg, rows=[1]),
        encode_response(503, {**refusal, "leg_id": "r1.2"}),
        encode_response(503, {**refusal, "code": "other"}),
        encode_response(503, {"code": "shedding"}),
        encode_response(500, {}),
        whole[:-3],
        whole[:40],
        b"HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n",
        b"\xff\r\n",
        b"",
    ):
        await case(reply)


async def test_refusals_of_the_endpoint_are_proofs_and_keep_the_connection() -> None:
    """Guards against a retry that is denied although the endpoint said that it did not run."""
    for code, outcome in (
        ("shedding", LegOutcome.SHEDDING),
        ("draining", LegOutcome.DRAINING),
        ("snapshot_gone", LegOutcome.SNAPSHOT_GONE),
        ("deadline_passed", LegOutcome.DEADLINE_PASSED),
        ("bad_request", LegOutcome.REFUSED),
    ):

        async def refuse(
            _: Any, leg: dict[str, Any], code: str = code
        ) -> tuple[int, dict[str, Any]]:
            return 503, {"leg_id": leg["leg_id"], "code": code, "executed": False}

        async with run_endpoint_server(refuse) as server:
            connection = connect(server.port)
            result = await send(connection, make_leg())
            assert result == LegResult(outcome, False, True)
            assert connection.state is ConnectionState.IDLE


async def test_nothing_is_written_after_the_deadline() -> None:
    """Guards against a process that was paused and sends a leg too late."""
    async with run_endpoint_server() as server:
        connection = connect(server.port)
        times = iter([0.0, 10_000.0])
        result = await send_leg(connection, make_leg(), 5_000.0, lambda: next(times))
        assert result == LegResult(LegOutcome.DEADLINE_PASSED, False, False)
        await wait_until(lambda: server.accepted and not server.open)
        assert server.legs == []


async def test_an_idle_connection_that_was_closed_takes_no_leg() -> None:
    """Guards against a leg that counts as possibly run because its connection was stale."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, leg = await read_request(reader)
        writer.write(_ok(leg))
        await asyncio.sleep(0.02)

    async with raw_server(serve) as port:
        connection = connect(port)
        assert (await send(connection, make_leg())).outcome is LegOutcome.OK
        await wait_until(connection.wire.is_stale)
        result = await send(connection, make_leg())
        assert result == LegResult(LegOutcome.REFUSED, False, False)


async def test_bytes_that_belong_to_no_request_close_the_connection() -> None:
    """Guards against a second reply to one leg that is read as the reply to the next."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, leg = await read_request(reader)
        writer.write(_ok(leg) + _ok(leg))
        await reader.read()

    async with raw_server(serve) as port:
        connection = connect(port)
        assert (await send(connection, make_leg())).outcome is LegOutcome.OK
        assert connection.state is ConnectionState.CLOSED


async def test_no_connection_means_not_executed() -> None:
    """Guards against an unknown outcome where nothing was written."""
    async with run_endpoint_server() as server:
        port = server.port
    result = await send(connect(port), make_leg())
    assert result == LegResult(LegOutcome.REFUSED, False, False)


async def test_a_report_of_another_endpoint_is_not_taken() -> None:
    """Guards against holdings of one endpoint that are told as those of another."""
    async with run_endpoint_server() as server:
        assert (await fetch_report(connect(server.port), "a", 500)).unwrap()["slots"] == 2
        assert (await fetch_report(connect(server.port), "b", 500)).failure() == "failed"
        server.muted = {3}
        assert (await fetch_report(connect(server.port), "a", 50)).failure() == "silent"


load_tests = function_suite(globals())
