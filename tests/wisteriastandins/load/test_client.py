"""Tests of connections, the balancer and the ticket pool."""

import asyncio
from collections import Counter
from typing import Any
from unittest.mock import patch

from aiosonic.connection import Connection
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse
from starlette.routing import Route
from wisteriastandins.load.balancer import base_url, candidates, create_balancer, mark
from wisteriastandins.load.client import Connections, close_all, post
from wisteriastandins.load.models import SendError
from wisteriastandins.load.tickets import TicketPool, fetch, take
from wisteriastandins.topology.models import PlanEntry

from tests.common import function_suite
from tests.wisteriastandins.fakes import make_entry_app, serve_app


def _entry(name: str, port: int) -> PlanEntry:
    return PlanEntry(name=name, zone="z", host="127.0.0.1", public_port=port, internal_port=1)


async def test_a_late_reply_reaches_no_other_request() -> None:
    """Guards against the reply to a request that timed out being given to the next one."""
    late = asyncio.Event()

    async def echo(request: Request) -> PlainTextResponse:
        body = (await request.body()).decode()
        if body == "slow":
            await late.wait()
        return PlainTextResponse(body)

    async with serve_app(Starlette(routes=[Route("/", echo, methods=["POST"])])) as port:
        connections, url = Connections(), f"http://127.0.0.1:{port}"
        assert await post(connections, url, "/", "c", b"first", 5.0) == (200, b"first")
        assert await post(connections, url, "/", "c", b"slow", 0.05) is SendError.TIMEOUT
        late.set()
        assert not connections.idle[url]
        assert await post(connections, url, "/", "c", b"next", 5.0) == (200, b"next")
        await close_all(connections)


async def test_a_refused_connection_is_told_from_a_lost_one() -> None:
    """Guards against a request being sent again that the first instance may have run."""

    async def drop(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.close()

    server = await asyncio.start_server(drop, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    connections = Connections()
    assert await post(connections, url, "/", "c", b"{}", 5.0) is SendError.CONNECTION_LOST
    server.close()
    await server.wait_closed()
    assert await post(connections, url, "/", "c", b"{}", 5.0) is SendError.NO_CONNECTION


async def test_a_cancel_just_as_the_connection_opens_is_kept() -> None:
    """Guards against a load run that never ends because a task missed its cancellation."""
    connect = Connection.connect

    async def connect_and_cancel(connection: Connection, *args: Any) -> None:
        await connect(connection, *args)
        task.cancel()

    async def never_answer(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
        await reader.read()

    server = await asyncio.start_server(never_answer, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    with patch.object(Connection, "connect", connect_and_cancel):
        task = asyncio.create_task(post(Connections(), url, "/", "c", b"{}", 60.0))
        await asyncio.wait({task}, timeout=10)
    assert task.cancelled()
    server.close()


def test_instances_take_turns_and_those_not_ready_are_skipped() -> None:
    """Guards against load on one instance only, and on one that is draining."""
    balancer = create_balancer([_entry(name, 1) for name in "abc"])
    firsts = [candidates(balancer)[0]["name"] for _ in range(6)]
    assert firsts == ["a", "b", "c", "a", "b", "c"]
    mark(balancer, "b", ready=False)
    tried = [[entry["name"] for entry in candidates(balancer)] for _ in range(3)]
    assert tried == [["a", "c"], ["c", "a"], ["c", "a"]]


async def test_tickets_are_used_once_and_not_when_they_expire_soon() -> None:
    """Guards against a ticket that is sent twice or refused for its age."""
    tickets: Counter[str] = Counter()
    app = make_entry_app(3, Counter(), tickets, lambda answer: answer)
    async with serve_app(app) as port:
        connections, pool = Connections(), TicketPool("credential")
        balancer = create_balancer([_entry("refuses", 1), _entry("a", port)])
        assert await fetch(pool, balancer, connections)
        assert base_url(balancer.entries[1]).endswith(str(port))
        await close_all(connections)
    assert set(tickets) == {ticket for ticket, _ in pool.tickets}
    now_s = pool.tickets[0][1] - 30
    assert take(pool, now_s) != take(pool, now_s)
    assert take(pool, now_s + 25) is None
    assert not pool.tickets


load_tests = function_suite(globals())
