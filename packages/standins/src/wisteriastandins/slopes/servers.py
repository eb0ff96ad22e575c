"""Servers on 127.0.0.1 in this process: a peer, an endpoint, and a relay that counts bytes."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import msgspec
from starlette.applications import Starlette
from wisteriarock.membership.models import Heartbeat
from wisteriarock.observability.metrics import create_metrics
from wisteriarock.peers.client import PeerClient, create_peer_client
from wisteriarock.peers.models import PeerHandlers
from wisteriarock.peers.server import bypass_for_legs, create_peer_app
from wisteriarock.query.models import Cancel, LegRequest, OnLegReply
from wisteriarock.servers import create_server, open_listener

from . import samples
from .decisions import make_reply

HOST = "127.0.0.1"
PEER_NUMBER = 1
PEER = samples.make_instance_name(PEER_NUMBER)
_START_POLL_INTERVAL_S = 0.005
_START_POLLS_MAX = 1_000


def now_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * 1000


@dataclass
class Traffic:
    """Bytes that a relay has forwarded in both directions."""

    size_bytes: int = 0


@asynccontextmanager
async def run_counting_relay(port: int) -> AsyncIterator[tuple[int, Traffic]]:
    """Relay connections to a port; yield the relay's port and the count of forwarded bytes."""
    traffic = Traffic()
    tasks: set[asyncio.Task[Any]] = set()

    async def pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65_536):
                traffic.size_bytes += len(data)
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server_reader, server_writer = await asyncio.open_connection(HOST, port)
        for pair in ((reader, server_writer), (server_reader, writer)):
            task = asyncio.create_task(pump(*pair))
            tasks.add(task)

    server = await asyncio.start_server(accept, HOST, 0)
    try:
        yield server.sockets[0].getsockname()[1], traffic
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@asynccontextmanager
async def serve_peer(answer: Heartbeat, bundle: bytes = b"") -> AsyncIterator[int]:
    """Serve the peer routes of an instance that answers legs immediately; yield its port."""

    def execute_leg(leg: LegRequest, on_reply: OnLegReply) -> Cancel:
        return asyncio.get_running_loop().call_soon(on_reply, make_reply(leg)).cancel

    async def on_heartbeat(_: Heartbeat) -> Heartbeat:
        return answer

    async def on_query(_: Any) -> Any:
        raise RuntimeError("Probes do not forward queries.")

    async def get_bundle_body(_: str) -> bytes | None:
        return bundle

    handlers = PeerHandlers(on_heartbeat, on_query, lambda _: False, get_bundle_body)
    peer_app = create_peer_app(
        samples.make_board(PEER), create_metrics(), now_ms, execute_leg, handlers
    )
    app = bypass_for_legs(Starlette(routes=peer_app.routes), peer_app.legs)
    server = create_server(app, None, 1.0)
    listener = open_listener(HOST, 0)
    port: int = listener.getsockname()[1]
    task = asyncio.create_task(server.serve(sockets=[listener]))
    for _ in range(_START_POLLS_MAX):
        if server.started:
            break
        await asyncio.sleep(_START_POLL_INTERVAL_S)
    try:
        yield port
    finally:
        server.should_exit = True
        await task


@asynccontextmanager
async def connect_peer(port: int, names: tuple[str, ...] = (PEER,)) -> AsyncIterator[PeerClient]:
    """Yield the client of an instance whose peers all have the same address."""
    zone = samples.make_zone_name(PEER_NUMBER)
    peers = [{"instance": name, "zone": zone, "host": HOST, "port": port} for name in names]
    board = samples.make_board(peers=peers)
    # Keeps the peer live without heartbeats, however long a measurement takes.
    board.members[PEER] = samples.make_member(PEER_NUMBER, port, float("inf"))
    client = create_peer_client(board, create_metrics(), now_ms)
    try:
        yield client
    finally:
        await client.close()


def make_leg_response(leg: dict[str, Any]) -> bytes:
    """Return the HTTP response of an endpoint to a leg."""
    fields = {name: leg[name] for name in ("leg_id", "shard", "part", "parts", "snapshot")}
    rows = [
        {"lot": f"{leg['shard']}-{n:04}", "shard": leg["shard"], "snapshot": leg["snapshot"]}
        for n in range(leg["params"]["limit"])
    ]
    body = msgspec.json.encode({**fields, "rows": rows})
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body


class EndpointProtocol(asyncio.Protocol):
    """A minimal endpoint that answers each leg immediately.

    It expects one request at a time on a connection; a request may arrive in several segments.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        if isinstance(transport, asyncio.Transport):
            self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer once the body is complete, which is recognised by its closing braces."""
        self.received += data
        body = self.received.partition(b"\r\n\r\n")[2]
        if not body.endswith(b"}}") or self.transport is None:
            return
        self.received = b""
        self.transport.write(make_leg_response(msgspec.json.decode(body)))


class BareClient(asyncio.Protocol):
    """A minimal client that calls `on_reply` for each reply, which must arrive in one segment."""

    def __init__(self) -> None:
        self.on_reply: Callable[[], None] = lambda: None

    def data_received(self, data: bytes) -> None:
        """Report a reply."""
        self.on_reply()


@asynccontextmanager
async def serve_endpoint() -> AsyncIterator[int]:
    """Run an endpoint and yield its port."""
    server = await asyncio.get_running_loop().create_server(EndpointProtocol, HOST, 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
