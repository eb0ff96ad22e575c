"""Tests of connections against scripted servers on 127.0.0.1."""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from aiosonic import HTTPClient, TCPConnector
from aiosonic.pools import PoolConfig
from wisteriarock.endpoints.connection import (
    EndpointConnection,
    close_connection,
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
async def scripted_server(serve: Serve) -> AsyncIterator[int]:
    """Run a scripted TCP server and yield its port."""

    async def serve_quietly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve_quietly, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


def make_connection(port: int) -> EndpointConnection:
    return create_connection("127.0.0.1", port, 250.0, _now_ms(), lambda _: None)


async def send_test_leg(
    connection: EndpointConnection, leg: LegRequest, time_left_ms: float = 500
) -> LegResult:
    return await send_leg(connection, leg, _now_ms() + time_left_ms, _now_ms)


def make_answer(leg: dict[str, Any], **fields: Any) -> bytes:
    names = ("leg_id", "shard", "part", "parts", "snapshot")
    return encode_response(200, {**{name: leg[name] for name in names}, "rows": [], **fields})


async def test_library_returns_a_late_reply_to_the_next_request() -> None:
    """Documents why a failed request closes its connection.

    After a cancelled request, aiosonic reads the late reply as the reply to the next request. If
    this test fails, closing is no longer needed.
    """
    release = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for number in range(3):
            await read_request(reader)
            if number == 1:
                await release.wait()
            writer.write(encode_response(200, {"number": number}))

    async with scripted_server(serve) as port:
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
    """Guards against a late reply that is read as the reply to the next leg."""
    received = asyncio.Event()
    closed = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        received.set()
        await reader.read()
        closed.set()

    async with scripted_server(serve) as port:
        connection = make_connection(port)
        task = asyncio.create_task(send_test_leg(connection, make_leg()))
        await received.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert connection.state is ConnectionState.CLOSED
        await closed.wait()


async def test_a_mismatched_reply_loses_the_leg_and_closes_the_connection() -> None:
    """Guards against rows of another leg, and invalid replies reported as not executed."""

    async def case(reply: bytes) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)
            writer.write(reply)
            await writer.drain()

        async with scripted_server(serve) as port:
            connection = make_connection(port)
            result = await send_test_leg(connection, make_leg())
            assert (result.outcome, result.executed) == (LegOutcome.LOST, True), reply
            assert connection.state is ConnectionState.CLOSED

    leg = dict(make_leg())
    complete_answer = make_answer(leg)
    refusal = {"leg_id": "r1.1", "code": "shedding", "executed": False}
    for reply in (
        make_answer(leg, leg_id="r1.2"),
        make_answer(leg, rows=[1]),
        encode_response(503, {**refusal, "leg_id": "r1.2"}),
        encode_response(503, {**refusal, "code": "other"}),
        encode_response(503, {"code": "shedding"}),
        encode_response(500, {}),
        complete_answer[:-3],
        complete_answer[:40],
        b"HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n",
        b"\xff\r\n",
        b"",
    ):
        await case(reply)


async def test_refused_legs_are_not_executed_and_keep_the_connection() -> None:
    """Guards against a missing retry although the endpoint replied that the leg did not run."""
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
            connection = make_connection(server.port)
            result = await send_test_leg(connection, make_leg())
            assert result == LegResult(outcome, False, True)
            assert connection.state is ConnectionState.IDLE
            close_connection(connection)


async def test_no_leg_is_written_after_its_deadline() -> None:
    """Guards against a leg sent after its deadline by a process that was paused."""
    async with run_endpoint_server() as server:
        connection = make_connection(server.port)
        times = iter([0.0, 10_000.0])
        result = await send_leg(connection, make_leg(), 5_000.0, lambda: next(times))
        assert result == LegResult(LegOutcome.DEADLINE_PASSED, False, False)
        await wait_until(lambda: server.accepted and not server.open)
        assert server.legs == []


async def test_a_stale_idle_connection_is_not_used() -> None:
    """Guards against a leg reported as possibly run because its connection was stale."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, leg = await read_request(reader)
        writer.write(make_answer(leg))
        await asyncio.sleep(0.02)

    async with scripted_server(serve) as port:
        connection = make_connection(port)
        assert (await send_test_leg(connection, make_leg())).outcome is LegOutcome.OK
        await wait_until(connection.transport.is_stale)
        result = await send_test_leg(connection, make_leg())
        assert result == LegResult(LegOutcome.REFUSED, False, False)


async def test_unrequested_bytes_close_the_connection() -> None:
    """Guards against a duplicate reply that is read as the reply to the next leg."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, leg = await read_request(reader)
        writer.write(make_answer(leg) + make_answer(leg))
        await reader.read()

    async with scripted_server(serve) as port:
        connection = make_connection(port)
        assert (await send_test_leg(connection, make_leg())).outcome is LegOutcome.OK
        assert connection.state is ConnectionState.CLOSED


async def test_late_copy_split_at_each_byte_is_never_the_next_reply() -> None:
    """Guards against a second copy of a reply on a connection that is in use again.

    The first bytes of the copy come with the reply, while the connection is idle or after the next
    leg; the rest and the next reply follow.
    """
    first = make_answer(dict(make_leg("r1.1")))
    second = make_answer(dict(make_leg("r2.1")), rows=[{"lot": 2}])

    async def case(split: int, when: str) -> None:
        is_copying = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)
            writer.write(first + (first[:split] if when == "with reply" else b""))
            if when == "while idle":
                await is_copying.wait()
                writer.write(first[:split])
            await read_request(reader)
            if when == "after leg":
                writer.write(first[:split])
                await asyncio.sleep(0)
            writer.write(first[split:] + second)
            await reader.read()

        async with scripted_server(serve) as port:
            connection = make_connection(port)
            assert (await send_test_leg(connection, make_leg("r1.1"))).outcome is LegOutcome.OK
            is_copying.set()
            await asyncio.sleep(0.001)
            if connection.state is ConnectionState.CLOSED:
                return
            result = await send_test_leg(connection, make_leg("r2.1"))
            is_own = result.answer is not None and result.answer["rows"] == [{"lot": 2}]
            assert is_own or result.outcome in (LegOutcome.LOST, LegOutcome.REFUSED), (split, when)
            close_connection(connection)

    for split in range(len(first) + 1):
        for when in ("with reply", "while idle", "after leg"):
            await case(split, when)


async def test_reply_cut_at_each_byte_is_lost() -> None:
    """Guards against a leg that counts as complete although its reply broke off."""
    reply = make_answer(dict(make_leg()))

    async def case(length: int) -> LegResult:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_request(reader)
            writer.write(reply[:length])

        async with scripted_server(serve) as port:
            connection = make_connection(port)
            result = await send_test_leg(connection, make_leg())
            close_connection(connection)
            return result

    for length in range(len(reply)):
        assert await case(length) == LegResult(LegOutcome.LOST, True, False), length
    assert (await case(len(reply))).outcome is LegOutcome.OK


async def test_a_failed_connect_is_reported_as_not_executed() -> None:
    """Guards against a leg reported as possibly run although nothing was written."""
    async with run_endpoint_server() as server:
        port = server.port
    result = await send_test_leg(make_connection(port), make_leg())
    assert result == LegResult(LegOutcome.REFUSED, False, False)


async def test_report_that_arrives_byte_by_byte_without_end_times_out() -> None:
    """Guards against a report that keeps its connection for as long as bytes arrive."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nX-Filler: ")
        while not writer.is_closing():
            writer.write(b"a")
            await asyncio.sleep(0.002)

    async with scripted_server(serve) as port:
        connection = make_connection(port)
        assert (await fetch_report(connection, "a", 50)).failure() == "silent"
        assert connection.state is ConnectionState.CLOSED


async def test_a_report_of_another_endpoint_is_rejected() -> None:
    """Guards against holdings of one endpoint published as those of another."""
    async with run_endpoint_server() as server:
        connection = make_connection(server.port)
        assert (await fetch_report(connection, "a", 500)).unwrap()["slots"] == 2
        close_connection(connection)
        assert (await fetch_report(make_connection(server.port), "b", 500)).failure() == "failed"
        server.muted = {3}
        assert (await fetch_report(make_connection(server.port), "a", 50)).failure() == "silent"


load_tests = function_suite(globals())
