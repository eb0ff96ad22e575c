"""Parser of the requests on one connection, with bounds on all that it keeps of them."""

import asyncio
from collections.abc import Callable
from typing import Any, NoReturn

import httptools

from wisteriarock.catalog.models import Limits

from .const import HEAD_OVERHEAD_MAX_BYTES, HEADER_COST_BYTES
from .models import CallerRequest, Headers

_EMPTY_LINE = b"\r\n\r\n"


class RejectedRequestError(Exception):
    """A request that is not accepted, with the status of its answer; ends the parser."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class RequestReader:
    """State of the request that is being received.

    Attributes
    ----------
    on_expect : callable
        Called when the caller waits for permission to send the body.
    on_request : callable
        Called with each complete request, and whether its connection may be kept open.
    body_bytes : int
        Size of the body received so far.
    length_bytes : int
        Size of the whole body that its head announced; 0 if it comes in chunks.
    head_bytes : int
        Size of the target and the headers, and later of the trailers.
    raw_bytes : int
        Bytes received since the head was complete or the last byte of the body.
    """

    __slots__ = (
        "_body",
        "_head_without_offer",
        "_headers",
        "_is_head_complete",
        "_is_http_10",
        "_is_keep_alive",
        "_kept_bytes",
        "_limits",
        "_loop",
        "_parser",
        "_rejected",
        "_target",
        "body_bytes",
        "head_bytes",
        "is_receiving",
        "length_bytes",
        "on_expect",
        "on_request",
        "raw_bytes",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_expect: Callable[[], None],
        on_request: Callable[[CallerRequest, bool], None],
    ) -> None:
        self.on_expect = on_expect
        self.on_request = on_request
        self.is_receiving = False
        self._loop = loop
        self._limits = Limits()
        self._parser: Any = httptools.HttpRequestParser(self)
        self._rejected: tuple[int, str] | None = None
        self._is_http_10 = False
        self._is_keep_alive = True
        self._clear()

    def _clear(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._body: bytes | bytearray = b""
        self._head_without_offer = b""
        self._is_head_complete = False
        self._kept_bytes = 0
        self.body_bytes = 0
        self.length_bytes = 0
        self.head_bytes = 0
        self.raw_bytes = 0

    def close(self) -> None:
        """Drop the request, and the parser and callbacks, which refer back to this object."""
        self._clear()
        self._parser = None
        self.on_expect = _do_nothing
        self.on_request = _ignore_request
        self.is_receiving = False

    @property
    def held_bytes(self) -> int:
        """Memory that the incomplete request takes."""
        objects_bytes = HEADER_COST_BYTES * len(self._headers)
        return self._kept_bytes + self.raw_bytes + objects_bytes + self.body_bytes

    @property
    def is_receiving_chunks(self) -> bool:
        """Whether a body in chunks is being received, or its trailers."""
        return self._is_head_complete and not self.length_bytes and self.is_receiving

    def find_end(self, data: bytes, position: int) -> int:
        """Return up to where to parse, so that hardly more than one request is complete.

        A body whose length is known ends there. Other requests end with an empty line, and so do
        heads.
        """
        left_bytes = self.length_bytes - self.body_bytes
        if left_bytes > 0:
            return min(position + left_bytes, len(data))
        end = data.find(_EMPTY_LINE, position)
        return end + len(_EMPTY_LINE) if end >= 0 else len(data)

    def feed(self, data: bytes, limits: Limits) -> None:
        """Parse received bytes.

        Raises
        ------
        RejectedRequestError
            The bytes are not a proper request, or exceed the limits.
        """
        self._limits = limits
        self.is_receiving = True
        # Parser callbacks reset it.
        self.raw_bytes += len(data)
        is_too_large = self.raw_bytes > limits.header_bytes + HEAD_OVERHEAD_MAX_BYTES
        if is_too_large and not self._is_head_complete and not data.endswith(_EMPTY_LINE):
            raise RejectedRequestError(431, "request headers too large")
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            self._ignore_offer(data[offer.args[0] :])
        except httptools.HttpParserError:
            status, reason = self._rejected or (400, "not a proper request")
            raise RejectedRequestError(status, reason) from None
        if self.raw_bytes > limits.header_bytes + HEAD_OVERHEAD_MAX_BYTES and self.is_receiving:
            raise RejectedRequestError(431, "request headers too large")

    def _ignore_offer(self, rest: bytes) -> None:
        """Go on with a request that offers another protocol, as if it did not.

        The parser ends at the head of such a request, and skips its body.
        """
        head = self._head_without_offer
        self._parser = httptools.HttpRequestParser(self)
        self._clear()
        self.feed(head, self._limits)
        if rest:
            self.feed(rest, self._limits)

    def _reject(self, status: int, reason: str) -> NoReturn:
        # The parser replaces an exception of a callback by its own. The exception is not kept, as
        # its traceback refers back to this object and to the received bytes.
        self._rejected = status, reason
        raise RejectedRequestError(status, reason)

    # Parser callbacks

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        raw_bytes = self.raw_bytes
        self._clear()
        self.raw_bytes = raw_bytes
        self.is_receiving = True

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._target += url
        self.head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header, or drop a trailer; both have the same limit."""
        self.head_bytes += len(name) + len(value) + 4
        if self.head_bytes > self._limits.header_bytes:
            self._reject(431, "request headers too large")
        if not self._is_head_complete:
            self._headers.append((name, value))
            self._kept_bytes = self.head_bytes

    def on_headers_complete(self) -> None:
        """Check the method, limits and `Expect` before the body is received."""
        if self._parser.get_method() == b"CONNECT":
            self._reject(400, "CONNECT is not supported")
        if self._parser.should_upgrade():
            self._head_without_offer = self._encode_head_without_offer()
            return
        if self.head_bytes > self._limits.header_bytes:
            self._reject(431, "request headers too large")
        self.head_bytes = 0
        self.raw_bytes = 0
        self._is_head_complete = True
        self._is_http_10 = self._parser.get_http_version() == "1.0"
        self._is_keep_alive = self._parser.should_keep_alive()
        for name, value in self._headers:
            key = name.lower()
            if key == b"content-length":
                self.length_bytes = int(value)
                if self.length_bytes > self._limits.body_bytes:
                    self._reject(413, "request body too large")
            if key == b"expect":
                self.on_expect()

    def on_body(self, data: bytes) -> None:
        """Append a piece of the body."""
        self.raw_bytes = 0
        self.body_bytes += len(data)
        if self.body_bytes > self._limits.body_bytes:
            self._reject(413, "request body too large")
        if not self._body:
            self._body = data
            return
        if not isinstance(self._body, bytearray):
            self._body = bytearray(self._body)
        self._body += data

    def _encode_head_without_offer(self) -> bytes:
        version = self._parser.get_http_version().encode()
        lines = [b"%b %b HTTP/%b" % (self._parser.get_method(), self._target, version)]
        lines += [b"%b: %b" % each for each in self._headers if each[0].lower() != b"upgrade"]
        return b"\r\n".join(lines) + _EMPTY_LINE

    def on_message_complete(self) -> None:
        """Pass on the complete request."""
        if self._parser.should_upgrade():
            return
        request = CallerRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            bytes(self._body),
            self._loop.time() * 1000,
            self._is_http_10,
        )
        is_keep_alive = self._is_keep_alive
        self._clear()
        self.is_receiving = False
        self.on_request(request, is_keep_alive)


def _do_nothing() -> None:
    """Do nothing: the connection is closed."""


def _ignore_request(request: CallerRequest, is_keep_alive: bool) -> None:
    """Ignore a request: the connection is closed."""
