"""Listener and connections of a link."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from wisteriastandins.http_server import get_port, reset_transport
from wisteriastandins.process import now_ms

from .decide import RELEASE_SLACK_MS, clear_pipe, connect_delay_ms, enqueue, pop_due
from .models import LinkConfig, LinkState, NewWhenCut, Pipe

# Reading pauses above this. Far more than the links in use have in flight.
MAX_QUEUED_BYTES = 4_000_000
# A silent connection does not forward a close. Its other end is reset after this time, as a server
# closes idle connections.
SILENT_LINGER_MS = 30_000


@dataclass(eq=False)
class RelayedConnection:
    """A relayed connection: client transport, target transport and a pipe per direction."""

    client: asyncio.Transport | None = None
    target: asyncio.Transport | None = None
    up: Pipe = field(default_factory=Pipe)
    down: Pipe = field(default_factory=Pipe)
    silent: bool = False
    connecting: asyncio.Task[None] | None = None


@dataclass
class Link:
    """A link, its listener if open, and its connections."""

    config: LinkConfig
    state: LinkState
    server: asyncio.Server | None = None
    connections: set[RelayedConnection] = field(default_factory=set)


class RelayProtocol(asyncio.Protocol):
    """Protocol of one end of a relayed connection, which delegates to callbacks."""

    def __init__(
        self,
        on_connected: Callable[[asyncio.Transport], None],
        on_data: Callable[[bytes], None],
        on_disconnected: Callable[[], None],
        on_write_paused: Callable[[bool], None],
    ) -> None:
        self._on_connected = on_connected
        self._on_disconnected = on_disconnected
        self._on_write_paused = on_write_paused
        self._on_data = on_data

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Forward the transport."""
        self._on_connected(cast(asyncio.Transport, transport))

    def data_received(self, data: bytes) -> None:
        """Forward the received data."""
        self._on_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that this end has closed."""
        self._on_disconnected()

    def pause_writing(self) -> None:
        """Report that the write buffer is full."""
        self._on_write_paused(True)

    def resume_writing(self) -> None:
        """Report that the write buffer has space again."""
        self._on_write_paused(False)


def _apply_backpressure(pipe: Pipe) -> None:
    """Pause or resume reading, depending on queue size and on the other end's write buffer."""
    pause = pipe.sink_full or pipe.queued_bytes > MAX_QUEUED_BYTES
    source = pipe.source
    if pause == pipe.source_paused or source is None or source.is_closing():
        return
    pipe.source_paused = pause
    if pause:
        source.pause_reading()
    else:
        source.resume_reading()


def _abort_connection(connection: RelayedConnection) -> None:
    for pipe in (connection.up, connection.down):
        clear_pipe(pipe)
        if pipe.timer is not None:
            pipe.timer.cancel()
            pipe.timer = None
    if connection.connecting is not None:
        connection.connecting.cancel()
    reset_transport(connection.client)
    reset_transport(connection.target)


def _release_due(link: Link, connection: RelayedConnection, pipe: Pipe) -> None:
    """Write the data that is due and set the timer for the next chunk."""
    pipe.timer = None
    sink = pipe.sink
    if sink is None or sink.is_closing():
        return
    record = link.state.record
    if pipe.queue:
        record["most_late_ms"] = max(record["most_late_ms"], now_ms() - pipe.queue[0][0])
    data, ended = pop_due(pipe, now_ms())
    if data:
        sink.write(data)
        record["bytes_up" if pipe is connection.up else "bytes_down"] += len(data)
    if pipe.bytes_left == 0:
        record["cut_connections"] += 1
        _abort_connection(connection)
        return
    if ended:
        sink.close()
    elif pipe.queue:
        release_at_ms = pipe.queue[0][0] - RELEASE_SLACK_MS
        loop = asyncio.get_running_loop()
        pipe.timer = loop.call_at(release_at_ms / 1000, _release_due, link, connection, pipe)
    if pipe.source_paused:
        _apply_backpressure(pipe)


def _enqueue_chunk(link: Link, connection: RelayedConnection, pipe: Pipe, data: bytes) -> None:
    """Queue a chunk received from one end; b"" ends the stream."""
    if connection.silent or pipe.silent:
        return
    enqueue(pipe, link.state, data, now_ms())
    if pipe.timer is None and pipe.sink is not None:
        _release_due(link, connection, pipe)
    if pipe.queued_bytes > MAX_QUEUED_BYTES:
        _apply_backpressure(pipe)


def _create_protocol(
    link: Link, connection: RelayedConnection, pipe: Pipe, other: Pipe, is_client_side: bool
) -> RelayProtocol:
    """Return the protocol of one end, the source of `pipe` and the sink of `other`."""

    def on_connected(transport: asyncio.Transport) -> None:
        pipe.source = other.sink = transport
        if is_client_side:
            connection.client = transport
            _accept_connection(link, connection)
        else:
            connection.target = transport
            _release_due(link, connection, other)

    def on_disconnected() -> None:
        other.sink = pipe.source = None
        if is_client_side:
            connection.client = None
        else:
            connection.target = None
        if connection.silent or pipe.silent:
            other_transport = connection.target if is_client_side else connection.client
            loop = asyncio.get_running_loop()
            loop.call_later(SILENT_LINGER_MS / 1000, reset_transport, other_transport)
        else:
            _enqueue_chunk(link, connection, pipe, b"")
        if connection.client is None and connection.target is None:
            _remove_connection(link, connection)

    def on_write_paused(paused: bool) -> None:
        other.sink_full = paused
        _apply_backpressure(other)

    def on_data(data: bytes) -> None:
        _enqueue_chunk(link, connection, pipe, data)

    return RelayProtocol(on_connected, on_data, on_disconnected, on_write_paused)


def _remove_connection(link: Link, connection: RelayedConnection) -> None:
    link.connections.discard(connection)
    _abort_connection(connection)


def _accept_connection(link: Link, connection: RelayedConnection) -> None:
    state = link.state
    link.connections.add(connection)
    state.record["connections"] += 1
    if state.new_when_cut is NewWhenCut.UNANSWERED:
        connection.silent = True
        return
    connection.up.last_release_ms = now_ms() + connect_delay_ms(state)
    connection.up.bytes_left, state.cut_after_bytes = state.cut_after_bytes, None
    connection.connecting = asyncio.get_running_loop().create_task(
        _connect_target(link, connection)
    )


async def _connect_target(link: Link, connection: RelayedConnection) -> None:
    loop = asyncio.get_running_loop()
    delay_ms = connect_delay_ms(link.state) - RELEASE_SLACK_MS
    if delay_ms > 0:
        await asyncio.sleep(delay_ms / 1000)
    config = link.config
    protocol = _create_protocol(
        link, connection, connection.down, connection.up, is_client_side=False
    )
    try:
        await loop.create_connection(lambda: protocol, config["target_host"], config["target_port"])
    except OSError:
        link.state.record["failed_connections"] += 1
        reset_transport(connection.client)
    finally:
        connection.connecting = None


async def open_link(link: Link) -> None:
    """Open the listener unless it is open. A port chosen by the system is reused later."""
    if link.server is not None:
        return

    def accept() -> RelayProtocol:
        connection = RelayedConnection()
        return _create_protocol(
            link, connection, connection.up, connection.down, is_client_side=True
        )

    config = link.config
    link.server = await asyncio.get_running_loop().create_server(
        accept, config["listen_host"], config["listen_port"], backlog=1024
    )
    config["listen_port"] = get_port(link.server)


def close_link(link: Link) -> None:
    """Close the listener; connections stay open."""
    if link.server is not None:
        link.server.close()
        link.server = None


def reset_connections(link: Link) -> None:
    """Reset all connections at both ends."""
    for connection in list(link.connections):
        link.state.record["cut_connections"] += 1
        _abort_connection(connection)


def silence_connections(link: Link) -> None:
    """Stop forwarding on the open connections and discard the queued data."""
    for connection in link.connections:
        connection.silent = True
        clear_pipe(connection.up)
        clear_pipe(connection.down)


def silence_one_way(link: Link) -> None:
    """Stop forwarding from target to client on the open connections."""
    for connection in link.connections:
        connection.down.silent = True
        clear_pipe(connection.down)
