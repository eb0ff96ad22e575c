"""Connections of a link."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from wisteriastandins.http_server import port_of, reset
from wisteriastandins.process import now_ms

from .decide import RELEASE_SLACK_MS, clear, enqueue, set_up_ms, take_due
from .models import LinkConfig, LinkState, NewWhenCut, Pipe

# Reading stops above this; it is far above what a link of the sizes in use has in flight.
MAX_QUEUED_BYTES = 4_000_000
# A silent connection does not carry a close. The other end is freed after this time, as a server
# frees idle connections.
SILENT_LINGER_MS = 30_000


@dataclass(eq=False)
class Relayed:
    """A relayed connection: the client's end, the target's end and a pipe for each direction."""

    client: asyncio.Transport | None = None
    target: asyncio.Transport | None = None
    up: Pipe = field(default_factory=Pipe)
    down: Pipe = field(default_factory=Pipe)
    silent: bool = False
    connecting: asyncio.Task[None] | None = None


@dataclass
class Link:
    """A link with its listener, if open, and its connections."""

    config: LinkConfig
    state: LinkState
    server: asyncio.Server | None = None
    relayed: set[Relayed] = field(default_factory=set)


class Side(asyncio.Protocol):
    """One end of a connection; what it does is given by functions."""

    def __init__(
        self,
        on_made: Callable[[asyncio.Transport], None],
        on_data: Callable[[bytes], None],
        on_lost: Callable[[], None],
        on_full: Callable[[bool], None],
    ) -> None:
        self._on_made = on_made
        self._on_lost = on_lost
        self._on_full = on_full
        self._on_data = on_data

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the transport on."""
        self._on_made(cast(asyncio.Transport, transport))

    def data_received(self, data: bytes) -> None:
        """Pass the data on."""
        self._on_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell that this end has closed."""
        self._on_lost()

    def pause_writing(self) -> None:
        """Tell that the write buffer is full."""
        self._on_full(True)

    def resume_writing(self) -> None:
        """Tell that the write buffer has room."""
        self._on_full(False)


def _limit_reading(pipe: Pipe) -> None:
    """Stop or resume reading, by what is queued and by whether the other end takes more."""
    pause = pipe.sink_full or pipe.queued_bytes > MAX_QUEUED_BYTES
    source = pipe.source
    if pause == pipe.source_paused or source is None or source.is_closing():
        return
    pipe.source_paused = pause
    if pause:
        source.pause_reading()
    else:
        source.resume_reading()


def _abort(relayed: Relayed) -> None:
    for pipe in (relayed.up, relayed.down):
        clear(pipe)
        if pipe.timer is not None:
            pipe.timer.cancel()
            pipe.timer = None
    if relayed.connecting is not None:
        relayed.connecting.cancel()
    reset(relayed.client)
    reset(relayed.target)


def _release(link: Link, relayed: Relayed, pipe: Pipe) -> None:
    """Write what is due and set the timer for the rest."""
    pipe.timer = None
    sink = pipe.sink
    if sink is None or sink.is_closing():
        return
    record = link.state.record
    if pipe.queue:
        record["most_late_ms"] = max(record["most_late_ms"], now_ms() - pipe.queue[0][0])
    data, ended = take_due(pipe, now_ms())
    if data:
        sink.write(data)
        record["bytes_up" if pipe is relayed.up else "bytes_down"] += len(data)
    if pipe.bytes_left == 0:
        record["cut_connections"] += 1
        _abort(relayed)
        return
    if ended:
        sink.close()
    elif pipe.queue:
        at_ms = pipe.queue[0][0] - RELEASE_SLACK_MS
        loop = asyncio.get_running_loop()
        pipe.timer = loop.call_at(at_ms / 1000, _release, link, relayed, pipe)
    if pipe.source_paused:
        _limit_reading(pipe)


def _push(link: Link, relayed: Relayed, pipe: Pipe, data: bytes) -> None:
    """Take a chunk, or the end of the stream as b"", from one end."""
    if relayed.silent or pipe.silent:
        return
    enqueue(pipe, link.state, data, now_ms())
    if pipe.timer is None and pipe.sink is not None:
        _release(link, relayed, pipe)
    if pipe.queued_bytes > MAX_QUEUED_BYTES:
        _limit_reading(pipe)


def _side(link: Link, relayed: Relayed, pipe: Pipe, other: Pipe, is_client: bool) -> Side:
    """Return the protocol of one end, which feeds `pipe` and is the sink of `other`."""

    def on_made(transport: asyncio.Transport) -> None:
        pipe.source = other.sink = transport
        if is_client:
            relayed.client = transport
            _accept(link, relayed)
        else:
            relayed.target = transport
            _release(link, relayed, other)

    def on_lost() -> None:
        other.sink = pipe.source = None
        if is_client:
            relayed.client = None
        else:
            relayed.target = None
        if relayed.silent or pipe.silent:
            remaining = relayed.target if is_client else relayed.client
            loop = asyncio.get_running_loop()
            loop.call_later(SILENT_LINGER_MS / 1000, reset, remaining)
        else:
            _push(link, relayed, pipe, b"")
        if relayed.client is None and relayed.target is None:
            _forget(link, relayed)

    def on_full(full: bool) -> None:
        other.sink_full = full
        _limit_reading(other)

    def on_data(data: bytes) -> None:
        _push(link, relayed, pipe, data)

    return Side(on_made, on_data, on_lost, on_full)


def _forget(link: Link, relayed: Relayed) -> None:
    link.relayed.discard(relayed)
    _abort(relayed)


def _accept(link: Link, relayed: Relayed) -> None:
    state = link.state
    link.relayed.add(relayed)
    state.record["connections"] += 1
    if state.new_when_cut is NewWhenCut.UNANSWERED:
        relayed.silent = True
        return
    relayed.up.last_release_ms = now_ms() + set_up_ms(state)
    relayed.up.bytes_left, state.cut_after_bytes = state.cut_after_bytes, None
    relayed.connecting = asyncio.get_running_loop().create_task(_connect(link, relayed))


async def _connect(link: Link, relayed: Relayed) -> None:
    loop = asyncio.get_running_loop()
    wait_ms = set_up_ms(link.state) - RELEASE_SLACK_MS
    if wait_ms > 0:
        await asyncio.sleep(wait_ms / 1000)
    config = link.config
    side = _side(link, relayed, relayed.down, relayed.up, is_client=False)
    try:
        await loop.create_connection(lambda: side, config["target_host"], config["target_port"])
    except OSError:
        link.state.record["failed_connections"] += 1
        reset(relayed.client)
    finally:
        relayed.connecting = None


async def open_link(link: Link) -> None:
    """Open the listener unless it is open; a port that the system chose stays the same."""
    if link.server is not None:
        return

    def accept() -> Side:
        relayed = Relayed()
        return _side(link, relayed, relayed.up, relayed.down, is_client=True)

    config = link.config
    link.server = await asyncio.get_running_loop().create_server(
        accept, config["listen_host"], config["listen_port"], backlog=1024
    )
    config["listen_port"] = port_of(link.server)


def close_link(link: Link) -> None:
    """Close the listener; open connections stay."""
    if link.server is not None:
        link.server.close()
        link.server = None


def reset_connections(link: Link) -> None:
    """Reset all connections at both ends."""
    for relayed in list(link.relayed):
        link.state.record["cut_connections"] += 1
        _abort(relayed)


def silence_connections(link: Link) -> None:
    """Make the open connections forward nothing more, what is in flight included."""
    for relayed in link.relayed:
        relayed.silent = True
        clear(relayed.up)
        clear(relayed.down)


def silence_one_way(link: Link) -> None:
    """Make the open connections forward nothing more towards the client."""
    for relayed in link.relayed:
        relayed.down.silent = True
        clear(relayed.down)
