"""HTTP protocol of the servers, with bounds on what callers make the process hold."""

import asyncio
import resource
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from wisteriarock.http.buffers import BufferBudget
from wisteriarock.http.const import COUNTED_MIN_BYTES
from wisteriarock.http.turns import TurnQueue

# Maximum size of a head, and of the trailers of a body.
HEAD_MAX_BYTES = 64 * 1024
HEADERS_MAX = 256
# Bytes of further requests above which a connection is closed. Reading is paused before.
AHEAD_MAX_BYTES = 1024 * 1024
TIMEOUT_CHECK_INTERVAL_S = 1.0
# Descriptors kept for files and for connections to endpoints, peers and the platform.
FILE_DESCRIPTORS = 200
LISTENER_DESCRIPTOR_SHARE = 0.35
CONNECTIONS_MIN = 16
_EMPTY_LINE = b"\r\n\r\n"


def connections_max() -> int:
    """Return the number of connections to a server that the descriptor limit allows."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if limit == resource.RLIM_INFINITY:
        return 1_000_000
    return max(CONNECTIONS_MIN, int((limit - FILE_DESCRIPTORS) * LISTENER_DESCRIPTOR_SHARE))


def create_protocol(
    budget: BufferBudget,
    max_connections: int,
    timeout_s: float,
    on_limit: Callable[[str], None],
) -> type[HttpToolsProtocol]:
    """Return the protocol class of a server.

    Parameters
    ----------
    budget : BufferBudget
        Bound on the memory of received bytes, shared by the servers of the process.
    max_connections : int
        Number of connections above which idle ones are closed, and new ones if there are none.
    timeout_s : float
        Maximum time to send a request, and to read some of its answer.
    on_limit : callable
        Called with the limit at which a connection was closed.
    """

    class BoundedProtocol(_BoundedProtocol):
        """Protocol with the bounds of one server."""

    BoundedProtocol.budget = budget
    BoundedProtocol.max_connections = max_connections
    BoundedProtocol.timeout_s = timeout_s
    BoundedProtocol.on_limit = staticmethod(on_limit)
    BoundedProtocol.turns = None
    return BoundedProtocol


class _BoundedProtocol(HttpToolsProtocol):
    """uvicorn's protocol, which by itself bounds neither heads, trailers nor requests sent ahead.

    A request is parsed once the request before it has been answered; a caller that sends more is
    not read, and its requests take turns with those of others that do. Connections of callers that
    exceed a bound are closed, which promises nothing.
    """

    budget: BufferBudget
    max_connections: int
    timeout_s: float
    on_limit: Callable[[str], None]
    turns: TurnQueue | None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Register the connection; close idle ones if there are too many."""
        super().connection_made(transport)
        self._ahead = bytearray()
        self._head_bytes = 0
        self._raw_bytes = 0
        self._body_bytes = 0
        self._is_receiving = False
        self._unsent_bytes = 0
        self._is_lost = False
        self._waiting_since_s = self.loop.time()
        self._check_timer = self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeout)
        if self.turns is None:
            type(self).turns = TurnQueue(self.loop)
        if len(self.connections) > self.max_connections:
            self._close_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection holds."""
        super().connection_lost(exc)
        self._is_lost = True
        self._check_timer.cancel()
        self._ahead.clear()
        self.pipeline.clear()
        self.budget.release(self)
        assert self.turns is not None
        self.turns.discard(self)
        # It refers back to the connection, which would stay until the next garbage collection.
        self.cycle = None  # type: ignore[assignment]

    def _close_idle(self) -> None:
        """Close the connection that has been idle the longest, or the new one."""
        connections: set[Any] = self.connections
        idle = [each for each in connections if _is_idle(each)]
        oldest = min(idle, key=lambda each: each._waiting_since_s, default=self)
        self.on_limit("connections")
        connections.discard(oldest)
        oldest.transport.abort()

    def evict(self) -> None:
        """Close the connection, so that its memory is released."""
        self.on_limit("memory")
        self._ahead.clear()
        if self.cycle is not None:
            self.cycle.body = bytearray()
        self.transport.abort()

    def _check_timeout(self) -> None:
        """Close a connection whose request does not arrive, or whose answer is not read."""
        now_s = self.loop.time()
        unsent_bytes = self.transport.get_write_buffer_size()
        is_request_running = self._is_busy() and not unsent_bytes
        if is_request_running or unsent_bytes != self._unsent_bytes:
            self._waiting_since_s = now_s
        if unsent_bytes != self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._count_memory()
        is_waiting = self._is_receiving or unsent_bytes or self.cycle is None
        if is_waiting and now_s - self._waiting_since_s > self.timeout_s:
            self.on_limit("timeout")
            self.transport.abort()
            return
        self._check_timer = self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeout)

    # Input

    def _is_busy(self) -> bool:
        """Return whether a complete request has no complete answer yet."""
        cycle = self.cycle
        return cycle is not None and not cycle.more_body and not cycle.response_complete

    def data_received(self, data: bytes) -> None:
        """Keep received bytes until the request before them is answered, then parse them."""
        assert self.turns is not None
        self._ahead += data
        if self in self.turns:
            self._after_input()
        else:
            self._parse_ahead()

    def _parse_ahead(self) -> None:
        position = 0
        while position < len(self._ahead) and not self._must_wait():
            if not self._is_receiving:
                self._is_receiving = True
                self._waiting_since_s = self.loop.time()
            end = self._ahead.find(_EMPTY_LINE, position) + len(_EMPTY_LINE)
            end = end if end >= len(_EMPTY_LINE) else len(self._ahead)
            piece = bytes(self._ahead[position:end])
            position = end
            self._raw_bytes += len(piece)
            super().data_received(piece)
            if self._is_receiving and self._raw_bytes > HEAD_MAX_BYTES:
                self.on_limit("head")
                self.transport.abort()
        del self._ahead[:position]
        self._after_input()

    def _after_input(self) -> None:
        """Bound the bytes that are not parsed yet; read on once there are none."""
        if self.transport.is_closing():
            self._ahead.clear()
        if len(self._ahead) > AHEAD_MAX_BYTES:
            self.on_limit("ahead")
            self.transport.abort()
        elif self._ahead:
            self.flow.pause_reading()
        elif self.cycle is None or self.cycle.response_complete:
            # While a request is under way, uvicorn resumes reading when its body is wanted.
            self.flow.resume_reading()
        self._count_memory()

    def _count_memory(self) -> None:
        """Count what the connection holds: received bytes, and answers that are not read."""
        if self._is_lost:
            return
        held_bytes = len(self._ahead) + self._body_bytes + self._head_bytes
        if self.flow.write_paused:
            held_bytes += self.transport.get_write_buffer_size()
        if held_bytes >= COUNTED_MIN_BYTES:
            self.budget.charge(self, held_bytes)
        else:
            self.budget.release(self)

    def _must_wait(self) -> bool:
        is_closing = self.parser is None or self.transport.is_closing()
        return is_closing or self._is_busy() or self.flow.write_paused

    def _parse_soon(self) -> None:
        if self._ahead:
            assert self.turns is not None
            self.turns.add(self)

    def take_turn(self) -> None:
        """Go on with the bytes that were received during the request before."""
        self._parse_ahead()

    def abort(self) -> None:
        """Close the connection without sending what is left."""
        self.transport.abort()

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Reset the sizes for a new request."""
        self._head_bytes = 0
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header, or drop a trailer; both are bounded."""
        self._head_bytes += len(name) + len(value)
        is_trailer = self.cycle is not None and self.cycle.scope is self.scope
        if self._head_bytes > HEAD_MAX_BYTES or len(self.headers) >= HEADERS_MAX:
            self.on_limit("head")
            raise ValueError("too many headers")
        if not is_trailer:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start the request."""
        self._head_bytes = 0
        self._raw_bytes = 0
        self._body_bytes = 0
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body."""
        self._raw_bytes = 0
        self._body_bytes += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Pass on the end of the request."""
        self._raw_bytes = 0
        self._is_receiving = False
        super().on_message_complete()

    # Output

    def on_response_complete(self) -> None:
        """Go on with the bytes that were received meanwhile."""
        super().on_response_complete()
        self._body_bytes = 0
        self._count_memory()
        self._waiting_since_s = self.loop.time()
        self._parse_soon()

    def pause_writing(self) -> None:
        """Count an answer that is not read."""
        super().pause_writing()
        self._count_memory()

    def resume_writing(self) -> None:
        """Go on with the bytes that were received meanwhile."""
        super().resume_writing()
        self._count_memory()
        self._parse_soon()


def _is_idle(connection: Any) -> bool:
    has_request = connection._is_receiving or connection._ahead or connection._is_busy()
    return not has_request and not connection.transport.is_closing()
