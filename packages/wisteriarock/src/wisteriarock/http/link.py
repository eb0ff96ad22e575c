"""Client connection to an endpoint or the store, with one request in flight at a time."""

import asyncio
from collections.abc import Callable

import httptools

from .buffers import BufferBudget
from .const import (
    HEADER_COST_BYTES,
    IDLE_LIMIT_DEFAULT_MS,
    IDLE_TIMEOUT_SHARE,
    PIECE_COST_BYTES,
    REASON_TOO_LARGE,
    REPLY_OVERHEAD_MAX_BYTES,
)
from .models import Exchange, ExchangeFailure, Headers, Reply
from .read_buffer import SharedBufferProtocol

_FRAMING = (b"content-length", b"transfer-encoding")
# Statuses that HTTP defines; the parser takes any three digits.
_STATUSES = range(100, 600)


class UndefinedStatusError(ValueError):
    """A reply has a status that HTTP does not define."""


def keep_alive_ms(headers: Headers) -> float | None:
    """Return the idle timeout from the Keep-Alive header of a response, or None."""
    for name, value in headers:
        if name.lower() == b"keep-alive":
            for part in value.split(b","):
                key, _, text = part.strip().partition(b"=")
                if key.lower() == b"timeout" and text.strip().isdigit():
                    # Unlike `int`, `float` takes any number of digits.
                    return float(text) * 1000.0
    return None


class OutgoingConnection(SharedBufferProtocol):
    """Protocol of one outgoing connection.

    A connection is reused only after a complete response that matched its request and was followed
    by no further bytes. Responses to other requests are dropped while the matching one is awaited.
    """

    __slots__ = (
        "body",
        "buffers",
        "exchange",
        "has_eof",
        "has_framing",
        "has_headers",
        "has_stray_bytes",
        "headers",
        "idle_limit_ms",
        "idle_since_ms",
        "is_closed",
        "loop",
        "on_closed",
        "on_idle",
        "on_stray_bytes",
        "parser",
        "received_bytes",
        "reply",
        "size_bytes",
        "transport",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_idle: Callable[["OutgoingConnection"], None],
        on_closed: Callable[["OutgoingConnection"], None],
        on_stray_bytes: Callable[["OutgoingConnection", str], None],
        buffers: BufferBudget | None = None,
    ) -> None:
        self.loop = loop
        self.on_idle = on_idle
        self.on_closed = on_closed
        self.on_stray_bytes = on_stray_bytes
        self.buffers = buffers
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.exchange: Exchange | None = None
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.size_bytes = 0
        self.received_bytes = 0
        self.reply: Reply | None = None
        self.has_headers = False
        self.has_framing = False
        self.has_eof = False
        self.has_stray_bytes = False
        self.is_closed = False
        self.idle_limit_ms = IDLE_LIMIT_DEFAULT_MS
        self.idle_since_ms = 0.0

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def is_usable(self, now_ms: float) -> bool:
        """Return whether the connection may be used for another request."""
        return not self.is_closed and now_ms - self.idle_since_ms < self.idle_limit_ms

    def start(self, exchange: Exchange, data: bytes) -> None:
        """Send the request of an exchange."""
        assert self.transport is not None and self.exchange is None
        self.exchange = exchange
        self.received_bytes = 0
        exchange.connection = self
        self.transport.write(data)

    def close(self, reason: str = "closed") -> None:
        """Close the connection; an exchange in progress fails."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.transport is not None:
            self.transport.abort() if self.exchange is not None else self.transport.close()
        self._fail_exchange(ExchangeFailure(reason, True))
        self.on_closed(self)

    def evict(self) -> None:
        """Give up the reply in progress."""
        self.close("buffers are full")

    def connection_lost(self, error: Exception | None) -> None:
        """End the exchange in progress; a clean close completes a body without framing headers."""
        if self.is_closed:
            return
        self.is_closed = True
        if error is None and self.has_eof and self.has_headers and not self.has_framing:
            status = self.parser.get_status_code()
            if status >= 200:
                self.reply = Reply(status, self.headers, b"".join(self.body), False)
                self._deliver_reply()
        if self.exchange is not None:
            reason = "reset" if error is not None else "closed by endpoint"
            is_silent_close = error is None and not self.received_bytes
            self._fail_exchange(ExchangeFailure(reason, True, is_silent_close))
        self.on_closed(self)

    def eof_received(self) -> bool:
        """Record that the endpoint closed its side cleanly."""
        self.has_eof = True
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received data and deliver a complete response."""
        if self.is_closed:
            return
        if self.exchange is None:
            self.on_stray_bytes(self, "bytes without request")
            self.close("stray bytes")
            return
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # An error after a complete response does not invalidate that response.
            self.has_stray_bytes = True
            if self.reply is None:
                self.on_stray_bytes(self, "not a response")
                self.close("not a response")
                return
        if self.reply is not None:
            self._deliver_reply()
        elif self._is_reply_too_large():
            self.close(REASON_TOO_LARGE)
        else:
            if self.buffers is not None:
                self.buffers.hold(self, self._held_bytes())
            if self.exchange is not None and self.exchange.on_data is not None:
                self.exchange.on_data(len(data))

    def _held_bytes(self) -> int:
        """Return the memory of the incomplete reply: its bytes, and the objects that hold them."""
        headers_bytes = HEADER_COST_BYTES * len(self.headers)
        return self.received_bytes + headers_bytes + PIECE_COST_BYTES * len(self.body)

    def _is_reply_too_large(self) -> bool:
        """Return whether the body, or what surrounds it, exceeds its limit."""
        if self.exchange is None:
            return False
        overhead_bytes = self.received_bytes - self.size_bytes
        return (
            self.size_bytes > self.exchange.reply_max_bytes
            or overhead_bytes > REPLY_OVERHEAD_MAX_BYTES + self.size_bytes
        )

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Reset the state for a new response; drop a second response to the same request."""
        if self.reply is not None:
            if not self.exchange or self.exchange.accepts(self.reply.headers):
                self.has_stray_bytes = True
                self.on_stray_bytes(self, "second response")
                return
            # The first response answered another request: this one may be the awaited response.
            self.on_stray_bytes(self, "foreign response")
            self.has_stray_bytes = True
            self.reply = None
        self.headers = []
        self.body = []
        self.has_headers = False
        self.has_framing = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        if self.reply is None:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Record whether a framing header delimits the body.

        Raises
        ------
        UndefinedStatusError
            The bytes received are no response. The parser passes this on as an error of its own.
        """
        if self.parser.get_status_code() not in _STATUSES:
            raise UndefinedStatusError
        if self.reply is None:
            self.has_headers = True
            self.has_framing = any(name.lower() in _FRAMING for name, _ in self.headers)
            status = self.parser.get_status_code()
            if status >= 200 and self.exchange is not None and self.exchange.is_head:
                # The parser would await the body that the length announces, so that the connection
                # cannot be used again.
                self.reply = Reply(status, self.headers, b"", False)

    def on_body(self, data: bytes) -> None:
        """Append a piece of the body."""
        if self.reply is None:
            self.body.append(data)
            self.size_bytes += len(data)

    def on_message_complete(self) -> None:
        """Assemble the response; drop interim (1xx) responses."""
        if self.reply is not None:
            return
        status = self.parser.get_status_code()
        if status < 200:
            self.headers = []
            self.has_headers = False
            if status == 100:
                self._send_awaited_body()
            return
        body = self.body[0] if len(self.body) == 1 else b"".join(self.body)
        self.reply = Reply(status, self.headers, body, self.parser.should_keep_alive())

    def _send_awaited_body(self) -> None:
        """Send the body of a request once; later requests for it are ignored."""
        exchange = self.exchange
        if exchange is None or exchange.on_continue is None or self.transport is None:
            return
        on_continue, exchange.on_continue = exchange.on_continue, None
        body = on_continue()
        if body is None:
            self.close("given up")
            return
        self.transport.write(body)

    def _deliver_reply(self) -> None:
        """Deliver the response, and release or close the connection."""
        reply, exchange = self.reply, self.exchange
        assert reply is not None
        if self.buffers is not None:
            self.buffers.release(self)
        self.reply = None
        self.headers = []
        self.body = []
        self.size_bytes = 0
        if exchange is None:
            return
        if not exchange.accepts(reply.headers):
            self.has_stray_bytes = True
            self.on_stray_bytes(self, "foreign response")
            if not reply.is_keep_alive:
                self.close("foreign response")
            return
        self.exchange = None
        exchange.connection = None
        pending_bytes = self.transport.get_write_buffer_size() if self.transport else 0
        is_reusable = reply.is_keep_alive and not self.has_stray_bytes and not pending_bytes
        if is_reusable and exchange.is_reply_named and not self.is_closed and not self.has_eof:
            announced_ms = keep_alive_ms(reply.headers)
            if announced_ms is not None:
                self.idle_limit_ms = announced_ms * IDLE_TIMEOUT_SHARE
            self.idle_since_ms = self.loop.time() * 1000
            exchange.end(reply)
            if not self.is_closed:
                self.on_idle(self)
            return
        if not self.is_closed:
            self.close("not reusable")
        exchange.end(reply)

    def _fail_exchange(self, outcome: ExchangeFailure) -> None:
        exchange = self.exchange
        if exchange is None:
            return
        if self.buffers is not None:
            self.buffers.release(self)
        # Releases what was received, although the connection may be referenced for longer.
        self.headers = []
        self.body = []
        self.exchange = None
        exchange.connection = None
        exchange.end(outcome)
