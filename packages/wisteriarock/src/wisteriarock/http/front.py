"""HTTP/1.1 server: parses requests strictly and answers them in order."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import httptools

from wisteriarock.catalog.models import Limits

from .buffers import BufferBudget
from .const import LINGER_MS, PIPELINED_REQUESTS_MAX, WRITE_HIGH_WATER_BYTES
from .models import Headers

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class CallerRequest(NamedTuple):
    """A complete request of a caller."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at_ms: float
    is_http_10: bool


class Answer(NamedTuple):
    """A response to a caller."""

    status: int
    headers: Headers
    body: bytes


Respond = Callable[[Answer], None]
# Starts to handle a request and returns the function that cancels it.
RequestHandler = Callable[[CallerRequest, Respond], Callable[[], None]]


class ListenerState:
    """State shared by the connections of a listener.

    Attributes
    ----------
    closes_connections : bool
        Whether every answer closes its connection.
    on_bad_request : callable
        Called with the status and reason of a rejected request.
    buffers : BufferBudget or None
        Bound on the bytes of incomplete requests, shared with other listeners and pools.
    """

    __slots__ = (
        "buffers",
        "closes_connections",
        "connections",
        "handle",
        "limits",
        "loop",
        "on_bad_request",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handle: RequestHandler,
        on_bad_request: Callable[[int, str], None],
        buffers: BufferBudget | None = None,
    ) -> None:
        self.loop = loop
        self.handle = handle
        self.on_bad_request = on_bad_request
        self.buffers = buffers
        self.limits = Limits()
        self.closes_connections = False
        self.connections: set[CallerConnection] = set()


def encode_answer(answer: Answer, *, with_close: bool) -> bytes:
    """Encode an answer; it has a Content-Length header unless the status forbids a body."""
    reason = REASON_PHRASES.get(answer.status, b"Status")
    parts = [b"HTTP/1.1 %d %s\r\n" % (answer.status, reason)]
    parts += [b"%s: %s\r\n" % header for header in answer.headers]
    if answer.status not in (204, 304):
        parts.append(b"Content-Length: %d\r\n" % len(answer.body))
    if with_close:
        parts.append(b"Connection: close\r\n")
    parts.append(b"\r\n")
    parts.append(answer.body)
    return b"".join(parts)


class CallerConnection(asyncio.Protocol):
    """Protocol of a connection from a caller."""

    __slots__ = (
        "body",
        "body_bytes",
        "cancel_request",
        "header_bytes",
        "headers",
        "is_closed",
        "is_http_10",
        "is_keep_alive",
        "is_receiving",
        "listener",
        "must_close",
        "parser",
        "queue",
        "target",
        "transport",
        "wait_started_at_ms",
    )

    def __init__(self, listener: ListenerState) -> None:
        self.listener = listener
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.queue: deque[tuple[CallerRequest, bool]] = deque()
        self.cancel_request: Callable[[], None] | None = None
        self.target = b""
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.header_bytes = 0
        self.is_receiving = False
        self.is_http_10 = False
        self.is_closed = False
        self.must_close = False
        self.is_keep_alive = True
        self.wait_started_at_ms = 0.0

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self.wait_started_at_ms = self.listener.loop.time() * 1000
        self.listener.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the current request of a caller that has disconnected."""
        self.is_closed = True
        self._release_buffers()
        self.listener.connections.discard(self)
        self.queue.clear()
        cancel_request, self.cancel_request = self.cancel_request, None
        if cancel_request is not None:
            cancel_request()

    def eof_received(self) -> bool:
        """Close the connection when the caller half-closes it."""
        return False

    def evict(self) -> None:
        """Refuse the request that is being received."""
        self.body = []
        self._reject(503, "buffers are full")

    def _release_buffers(self) -> None:
        if self.listener.buffers is not None:
            self.listener.buffers.release(self)

    def is_idle(self) -> bool:
        """Return whether no request is being received or handled."""
        return self.cancel_request is None and not self.is_receiving and not self.queue

    def close(self) -> None:
        """Close the connection after the buffered data is sent."""
        if self.transport is not None:
            self.transport.close()

    def check_timeouts(self, now_ms: float) -> None:
        """Close an idle connection, or reject a request that takes too long to arrive."""
        if self.is_closed or self.cancel_request is not None:
            return
        waited_ms = now_ms - self.wait_started_at_ms
        if self.must_close:
            if waited_ms > LINGER_MS:
                self.close()
            return
        if self.is_receiving:
            if waited_ms > self.listener.limits.header_timeout_ms and not self.body_bytes:
                self._reject(408, "request headers took too long")
            elif waited_ms > self.listener.limits.idle_timeout_ms:
                self._reject(408, "request body took too long")
        elif waited_ms > self.listener.limits.idle_timeout_ms:
            self.close()

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        if self.must_close:
            return
        if not self.is_receiving and self.cancel_request is None:
            self.wait_started_at_ms = self.listener.loop.time() * 1000
            self.is_receiving = True
            self.header_bytes = 0
        # Counts bytes up to the end of the headers; parser callbacks reset it.
        self.header_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrade is not supported")
            return
        except httptools.HttpParserError:
            self._reject(400, "not a proper request")
            return
        if self.cancel_request is None:
            self._start_next_request()
        if self.must_close:
            return
        limits = self.listener.limits
        if self.header_bytes > limits.header_bytes and not self.body and self.is_receiving:
            self._reject(431, "request headers too large")
        elif len(self.queue) > PIPELINED_REQUESTS_MAX and self.transport is not None:
            self.transport.pause_reading()

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self.target = b""
        self.headers = []
        self.body = []
        self.body_bytes = 0
        self.is_receiving = True

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check limits and `Expect` before the body is received."""
        size = len(self.target) + sum(len(name) + len(value) + 4 for name, value in self.headers)
        if size > self.listener.limits.header_bytes:
            self._reject(431, "request headers too large")
            return
        self.header_bytes = 0
        self.is_http_10 = self.parser.get_http_version() == "1.0"
        self.is_keep_alive = self.parser.should_keep_alive()
        for name, value in self.headers:
            key = name.lower()
            if key == b"content-length" and int(value) > self.listener.limits.body_bytes:
                self._reject(413, "request body too large")
                return
            if key == b"expect" and self.transport is not None and self.cancel_request is None:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append a piece of the body."""
        self.header_bytes = 0
        self.body_bytes += len(data)
        if self.body_bytes > self.listener.limits.body_bytes:
            self._reject(413, "request body too large")
            return
        self.body.append(data)
        if self.listener.buffers is not None:
            self.listener.buffers.hold(self, self.body_bytes)

    def on_message_complete(self) -> None:
        """Queue the request; it is handled after the previous one is answered."""
        self._release_buffers()
        self.is_receiving = False
        self.header_bytes = 0
        if self.must_close:
            return
        request = CallerRequest(
            self.parser.get_method(),
            self.target,
            self.headers,
            b"".join(self.body),
            self.listener.loop.time() * 1000,
            self.is_http_10,
        )
        self.body = []
        self.queue.append((request, self.is_keep_alive))

    # Answers

    def _start_request(self, request: CallerRequest, is_keep_alive: bool) -> None:
        is_answered = False

        def respond(answer: Answer) -> None:
            nonlocal is_answered
            if is_answered:
                return
            is_answered = True
            self._answer(answer, is_keep_alive and not request.is_http_10)

        self.cancel_request = _do_nothing
        cancel_request = self.listener.handle(request, respond)
        if not is_answered:
            self.cancel_request = cancel_request

    def _answer(self, answer: Answer, is_keep_alive: bool) -> None:
        self.cancel_request = None
        if self.is_closed or self.transport is None:
            return
        with_close = self.listener.closes_connections or self.must_close or not is_keep_alive
        self.transport.write(encode_answer(answer, with_close=with_close))
        self.wait_started_at_ms = self.listener.loop.time() * 1000
        if with_close:
            self.must_close = True
            self.queue.clear()
            self.transport.close()
            return
        if self.queue:
            self.transport.resume_reading()
            self.listener.loop.call_soon(self._start_next_request)

    def _start_next_request(self) -> None:
        """Start the next queued request if none is in progress."""
        if (
            self.queue
            and self.cancel_request is None
            and not self.is_closed
            and not self.must_close
        ):
            self._start_request(*self.queue.popleft())

    def _reject(self, status: int, reason: str) -> None:
        """Answer a bad request with an error, and close the connection."""
        if self.must_close or self.is_closed or self.transport is None:
            return
        self.listener.on_bad_request(status, reason)
        self._start_next_request()
        self.must_close = True
        self.queue.clear()
        if self.cancel_request is None:
            answer = Answer(status, [], reason.encode())
            self.transport.write(encode_answer(answer, with_close=True))
            # Closing with unread bytes would reset the connection and lose the answer.
            if self.transport.can_write_eof():
                self.transport.write_eof()
            self.wait_started_at_ms = self.listener.loop.time() * 1000
            self.is_receiving = False
        # Otherwise an earlier request is still in progress; its answer closes the connection.


def _do_nothing() -> None:
    """Do nothing: the request was answered at once."""
