"""Servers on 127.0.0.1 with scripted behaviour for tests of connections."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import uvicorn
from starlette.types import ASGIApp

LegHandler = Callable[["EndpointServer", dict[str, Any]], Awaitable[tuple[int, dict[str, Any]]]]


async def answer_ok(server: "EndpointServer", leg: dict[str, Any]) -> tuple[int, dict[str, Any]]:
    """Answer a leg with status 200 and one row."""
    names = ("leg_id", "shard", "part", "parts", "snapshot")
    return 200, {**{name: leg[name] for name in names}, "rows": [{"lot": 1}]}


async def wait_until(condition: Callable[[], Any]) -> None:
    """Wait until a condition holds."""
    while not condition():  # noqa: ASYNC110 - nothing signals the change
        await asyncio.sleep(0.005)


@dataclass
class EndpointServer:
    """State of an endpoint whose replies the test defines.

    `muted` holds the numbers of the connections, counted from 1, whose requests are discarded
    without being run or answered.
    """

    on_leg: LegHandler = answer_ok
    port: int = 0
    state: str = "ready"
    incarnation: str = "i1"
    slots: int = 2
    legs: list[dict[str, Any]] = field(default_factory=list)
    leg_connections: list[int] = field(default_factory=list)
    muted: set[int] = field(default_factory=set)
    open: int = 0
    max_open: int = 0
    accepted: int = 0
    busy: int = 0
    max_busy: int = 0
    cancelled: int = 0
    reports: int = 0
    writers: set[asyncio.StreamWriter] = field(default_factory=set)


def encode_response(status: int, body: dict[str, Any]) -> bytes:
    """Return an HTTP response with a JSON body."""
    content = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
    return f"{head}content-length: {len(content)}\r\n\r\n".encode() + content


async def read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, Any]]:
    """Read a request and return its path and decoded body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lengths = [li.split(":")[1] for li in head.split("\r\n") if li.lower().startswith("content-l")]
    body = await reader.readexactly(int(lengths[0])) if lengths else b"{}"
    return head.split(" ")[1], json.loads(body)


async def _serve_leg(
    server: EndpointServer, leg: dict[str, Any], writer: asyncio.StreamWriter
) -> None:
    server.busy += 1
    server.max_busy = max(server.busy, server.max_busy)
    try:
        status, body = await server.on_leg(server, leg)
    except asyncio.CancelledError:
        server.cancelled += 1
        raise
    finally:
        server.busy -= 1
    writer.write(encode_response(status, body))


async def _serve(
    server: EndpointServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    server.accepted += 1
    number = server.accepted
    server.open += 1
    server.max_open = max(server.open, server.max_open)
    server.writers.add(writer)
    running: asyncio.Task[None] | None = None
    try:
        while True:
            path, body = await read_request(reader)
            if number in server.muted:
                continue
            if path == "/report":
                server.reports += 1
                writer.write(encode_response(200, make_report(server)))
                continue
            server.legs.append(body)
            server.leg_connections.append(number)
            running = asyncio.create_task(_serve_leg(server, body, writer))
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        server.open -= 1
        server.writers.discard(writer)
        if running is not None:
            running.cancel()
        writer.close()


def make_report(server: EndpointServer) -> dict[str, Any]:
    """Return the body of the endpoint's report."""
    return {
        "endpoint": "a",
        "incarnation": server.incarnation,
        "state": server.state,
        "slots": server.slots,
        "busy": server.busy,
        "holdings": {"7": [["mill-07", 0, 1]]},
    }


@asynccontextmanager
async def run_endpoint_server(on_leg: LegHandler = answer_ok) -> AsyncIterator[EndpointServer]:
    """Run an endpoint named `a` on a free port."""
    state = EndpointServer(on_leg)
    server = await asyncio.start_server(
        lambda reader, writer: _serve(state, reader, writer), "127.0.0.1", 0
    )
    state.port = server.sockets[0].getsockname()[1]
    try:
        yield state
    finally:
        server.close()
        for writer in list(state.writers):
            writer.transport.abort()
        await asyncio.sleep(0)


@asynccontextmanager
async def run_app_server(app: ASGIApp) -> AsyncIterator[int]:
    """Serve an ASGI application on a free port with uvicorn; yield the port."""
    config = uvicorn.Config(
        app,
        host="127.0.0.1",
        port=0,
        lifespan="off",
        log_level="critical",
        access_log=False,
    )
    config.load()
    server = uvicorn.Server(config)
    server.lifespan = config.lifespan_class(config)
    await server.startup()
    try:
        yield server.servers[0].sockets[0].getsockname()[1]
    finally:
        server.force_exit = True
        await server.shutdown()
