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
from wisteriastandins.load.balancer import base_url, create_balancer, next_candidates, set_ready
from wisteriastandins.load.client import Connections, close_idle_connections, post_json
from wisteriastandins.load.models import SendError
from wisteriastandins.load.tickets import TicketPool, fetch_tickets, take_ticket
from wisteriastandins.topology.models import PlanEntry

from tests.common import function_suite
from tests.wisteriastandins.fakes import make_entry_app, serve_app


def _make_entry(name: str, port: int) -> PlanEntry:
    return PlanEntry(name=name, zone="z", host="127.0.0.1", public_port=port, internal_port=1)


async def test_a_late_reply_reaches_no_other_request() -> None:
    """Guards against returning the reply of a timed-out request to the next request."""
    slow_reply_allowed = asyncio.Event()

    async def echo(request: Request) -> PlainTextResponse:
        body = (await request.body()).decode()
        if body == "slow":
            await slow_reply_allowed.wait()
        return PlainTextResponse(body)

    async with serve_app(Starlette(routes=[Route("/", echo, methods=["POST"])])) as port:
        connections, url = Connections(), f"http://127.0.0.1:{port}"
        assert await post_json(connections, url, "/", "c", b"first", 5.0) == (200, b"first")
        assert await post_json(connections, url, "/", "c", b"slow", 0.05) is SendError.TIMEOUT
        slow_reply_allowed.set()
        assert not connections.idle[url]
        assert await post_json(connections, url, "/", "c", b"next", 5.0) == (200, b"next")
        await close_idle_connections(connections)


async def test_a_refused_connection_differs_from_a_lost_one() -> None:
    """Guards against resending a request that the first instance may have run."""

    async def drop(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.close()

    server = await asyncio.start_server(drop, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    connections = Connections()
    assert await post_json(connections, url, "/", "c", b"{}", 5.0) is SendError.CONNECTION_LOST
    server.close()
    await server.wait_closed()
    assert await post_json(connections, url, "/", "c", b"{}", 5.0) is SendError.NO_CONNECTION


async def test_a_cancellation_while_the_connection_opens_is_not_lost() -> None:
    """Guards against a load run that never ends because a task lost its cancellation."""
    connect = Connection.connect

    async def connect_and_cancel(connection: Connection, *args: Any) -> None:
        await connect(connection, *args)
        task.cancel()

    async def never_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()
        writer.close()

    server = await asyncio.start_server(never_answer, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    with patch.object(Connection, "connect", connect_and_cancel):
        task = asyncio.create_task(post_json(Connections(), url, "/", "c", b"{}", 60.0))
        await asyncio.wait({task}, timeout=10)
    assert task.cancelled()
    server.close()


def test_instances_take_turns_and_those_not_ready_are_skipped() -> None:
    """Guards against sending all requests to one instance, or any to a draining one."""
    balancer = create_balancer([_make_entry(name, 1) for name in "abc"])
    firsts = [next_candidates(balancer)[0]["name"] for _ in range(6)]
    assert firsts == ["a", "b", "c", "a", "b", "c"]
    set_ready(balancer, "b", ready=False)
    tried = [[entry["name"] for entry in next_candidates(balancer)] for _ in range(3)]
    assert tried == [["a", "c"], ["c", "a"], ["c", "a"]]


async def test_tickets_are_used_once_and_not_when_they_expire_soon() -> None:
    """Guards against a ticket that is sent twice, or that expires before it is used."""
    tickets: Counter[str] = Counter()
    app = make_entry_app(3, Counter(), tickets, lambda answer: answer)
    async with serve_app(app) as port:
        connections, pool = Connections(), TicketPool("credential")
        balancer = create_balancer([_make_entry("refuses", 1), _make_entry("a", port)])
        assert await fetch_tickets(pool, balancer, connections)
        assert base_url(balancer.entries[1]).endswith(str(port))
        await close_idle_connections(connections)
    assert set(tickets) == {ticket for ticket, _ in pool.tickets}
    now_s = pool.tickets[0][1] - 30
    assert take_ticket(pool, now_s) != take_ticket(pool, now_s)
    assert take_ticket(pool, now_s + 25) is None
    assert not pool.tickets


load_tests = function_suite(globals())
