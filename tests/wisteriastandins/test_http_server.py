"""Tests of the HTTP server of the stand-ins."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from wisteriastandins.http_server import (
    HttpConnection,
    Request,
    Response,
    create_tracking_handlers,
    get_port,
    listen,
)

from tests.common import function_suite

from .common import connect, receive, send


@asynccontextmanager
async def run_server() -> AsyncIterator[tuple[int, asyncio.Queue[tuple[HttpConnection, Request]]]]:
    """Run a server that queues its requests for the test; yield its port and the queue."""
    requests: asyncio.Queue[tuple[HttpConnection, Request]] = asyncio.Queue()
    handlers, close_all = create_tracking_handlers(lambda *item: requests.put_nowait(item))
    server = await listen(handlers, "127.0.0.1", 0)
    try:
        yield get_port(server), requests
    finally:
        server.close()
        close_all()


async def test_requests_of_a_connection_are_handled_one_at_a_time() -> None:
    """Guards against an answer that is sent for another request."""
    async with run_server() as (port, requests):
        client = await connect(port)
        for path in ("/a", "/b?x=1"):
            send(client, "PUT", path, path)
        first, request = await requests.get()
        assert request == ("PUT", "/a", {}, b'"/a"')
        await asyncio.sleep(0.01)
        assert requests.empty()
        first.respond(Response(204))
        _, request = await requests.get()
        assert request == ("PUT", "/b", {"x": "1"}, b'"/b?x=1"')
        first.respond(Response(200, "b"))
        assert await receive(client) == (204, None)
        assert await receive(client) == (200, "b")
        client.writer.close()


async def test_a_malformed_request_never_answers_an_earlier_one() -> None:
    """Guards against a 400 that the caller reads as the answer to the request in progress."""
    async with run_server() as (port, requests):
        client = await connect(port)
        client.writer.write(b"nonsense\r\n\r\n")
        assert (await receive(client))[0] == 400
        assert await client.reader.read() == b""
        client = await connect(port)
        send(client, "GET", "/")
        connection, _ = await requests.get()
        abandoned = asyncio.Event()
        connection.on_abandoned = abandoned.set
        client.writer.write(b"nonsense\r\n\r\n")
        await abandoned.wait()
        connection.respond(Response(200, "late"))
        try:
            assert await client.reader.read() == b""
        except ConnectionResetError:
            client.writer.close()


load_tests = function_suite(globals())
