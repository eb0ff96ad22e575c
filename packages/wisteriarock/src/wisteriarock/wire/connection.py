"""HTTP channel: an aiosonic client whose pool holds a single connection."""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any, NamedTuple

from aiosonic import HTTPClient, HttpResponse, TCPConnector
from aiosonic.connection import Connection
from aiosonic.pools import PoolConfig
from aiosonic.resolver import AbstractResolver
from aiosonic.timeout import Timeouts

HEAD_MAX_BYTES = 64 * 1024
BODY_MAX_BYTES = 16_000_000
CHUNKS_MAX = 20_000


class NumericResolver(AbstractResolver):
    """Resolver for hosts that are IP addresses, which need no DNS lookup in a thread."""

    async def resolve(self, host: str, port: int = 0, family: int = 0) -> list[dict[str, Any]]:
        """Return the host itself as the only address."""
        address = {"hostname": host, "host": host, "port": port}
        return [{**address, "family": 0, "proto": 0, "flags": 0}]

    async def close(self) -> None:
        """Do nothing: the resolver has no state."""


class StaleConnectionError(ConnectionError):
    """The peer closed the connection, or sent unrequested bytes, before the request was written."""


class MalformedReplyError(ValueError):
    """The peer sent bytes that are no reply, or a reply beyond the limits."""


class BoundedConnection(Connection):
    """aiosonic connection on which a reply fails that ends early, is malformed or goes on for long.

    aiosonic takes the end of the stream, or a line without a colon, for the end of the head, and
    the reply for one without body; it reads a head and a body of any length.

    Attributes
    ----------
    is_streaming : bool
        Whether the body of the current reply is read piece by piece: the limit then holds for each
        chunk instead of all.
    """

    def __init__(self, pool: Any) -> None:
        super().__init__(pool)
        self.is_streaming = False
        self._is_in_head = False
        self._head_bytes = 0
        self._body_bytes = 0
        self._chunks = 0

    async def readuntil(self, separator: bytes = b"\n") -> bytes:
        """Read the status line."""
        line: bytes = await super().readuntil(separator)
        self._is_in_head = True
        self._head_bytes = len(line)
        self._body_bytes = self._chunks = 0
        return line

    async def readline(self) -> bytes:
        """Read a line of the head or of the chunked framing.

        Raises
        ------
        asyncio.IncompleteReadError
            The peer closed the connection before the end of the line.
        MalformedReplyError
            The line is no header, or the reply is too long.
        """
        line: bytes = await super().readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        if not self._is_in_head:
            self._chunks += 1
            if self._chunks > CHUNKS_MAX and not self.is_streaming:
                raise MalformedReplyError("the body has too many chunks")
            return line
        self._is_in_head = bool(line.strip())
        if self._is_in_head and b":" not in line:
            raise MalformedReplyError("a line of the head is no header")
        self._head_bytes += len(line)
        if self._head_bytes > HEAD_MAX_BYTES:
            raise MalformedReplyError("the head is too long")
        return line

    async def readexactly(self, size: int) -> bytes:
        """Read a body of known length, or a chunk.

        Raises
        ------
        MalformedReplyError
            The reply is too long.
        """
        self._body_bytes = size + (0 if self.is_streaming else self._body_bytes)
        if self._body_bytes > BODY_MAX_BYTES:
            raise MalformedReplyError("the body is too long")
        data: bytes = await super().readexactly(size)
        return data


class TrackedConnection(BoundedConnection):
    """aiosonic connection that records the progress of the current request.

    Headers and body are added in `write`, so that aiosonic sees a request without any and reuses
    its cached head: building the head anew took a quarter of the time of a request in the profiler.
    Head and body are sent in one segment.

    Attributes
    ----------
    written : bool
        Whether writing of the current request has begun.
    answered : bool
        Whether the status line of the current reply has been read.
    """

    def __init__(self, pool: Any, connect_timeout_s: float) -> None:
        super().__init__(pool)
        self._connect_timeout_s = connect_timeout_s
        self.written = False
        self.answered = False
        self._before_write: Callable[[], None] = lambda: None
        self._headers_and_body = b""

    def prepare(self, headers: bytes, body: bytes, before_write: Callable[[], None]) -> None:
        """Prepare for a request; `before_write` may raise to stop it before its first byte."""
        self.written = self.answered = False
        self._before_write = before_write
        if body:
            headers += b"Content-Type: application/json\r\nContent-Length: %d\r\n" % len(body)
        self._headers_and_body = headers + b"\r\n" + body

    async def connect(self, *args: Any) -> None:
        """Connect within the timeout.

        The timeout of aiosonic is not used: it relies on asyncio.wait_for, which before Python 3.12
        loses a cancellation that arrives as the connection opens. The cancelled leg would continue.
        """
        async with asyncio.timeout(self._connect_timeout_s):
            await super().connect(*args)

    def write(self, data: bytes) -> None:
        """Write the request after the final checks; `data` is its head from aiosonic."""
        if self.is_stale():
            raise StaleConnectionError
        self._before_write()
        self.written = True
        super().write(data[:-2] + self._headers_and_body)

    async def readuntil(self, separator: bytes = b"\n") -> bytes:
        """Read up to a separator and record that the status line has arrived."""
        line: bytes = await super().readuntil(separator)
        self.answered = True
        return line

    def is_stale(self) -> bool:
        """Return whether the peer closed the connection or sent unrequested bytes."""
        if self.reader is None or self.writer is None:
            return True
        return bool(self.reader.at_eof() or self.reader._buffer or self.writer.is_closing())

    def unread_bytes(self) -> int:
        """Return the number of received bytes that have not been read yet."""
        return len(self.reader._buffer) if self.reader is not None else 0


class HttpChannel(NamedTuple):
    """An aiosonic client, its only connection and the base URL of its peer."""

    client: HTTPClient
    connection: TrackedConnection
    base_url: str


def create_channel(host: str, port: int, connect_timeout_ms: float) -> HttpChannel:
    """Create a channel; its connection is opened by the first request.

    Parameters
    ----------
    host, port : str, int
        IP address and port.
    connect_timeout_ms : float
        Timeout of the connection attempt. The code that uses the channel sets all other timeouts.
    """
    connections: list[TrackedConnection] = []

    def create(pool: Any) -> TrackedConnection:
        connections.append(TrackedConnection(pool, connect_timeout_ms / 1000))
        return connections[-1]

    # With these limits disabled, the pool never replaces the connection silently.
    pool = PoolConfig(size=1, max_conn_requests=None, max_conn_idle_ms=None)
    connector = TCPConnector(
        pool_configs={":default": pool},
        timeouts=Timeouts(None, None, None, None),
        connection_cls=create,
        resolver=NumericResolver(),
    )
    bracketed = f"[{host}]" if ":" in host else host
    return HttpChannel(HTTPClient(connector), connections[0], f"http://{bracketed}:{port}")


async def request(
    channel: HttpChannel,
    method: str,
    path: str,
    body: bytes = b"",
    headers: bytes = b"",
    before_write: Callable[[], None] = lambda: None,
    stream: bool = False,
) -> HttpResponse:
    """Send a request and read the head of the reply, and its body unless `stream` is set.

    Parameters
    ----------
    channel : HttpChannel
        Channel without a request in flight.
    method, path : str
        Method and path of the request line.
    body : bytes
        JSON text, or empty.
    headers : bytes
        Additional header lines, each ending in CRLF.
    before_write : callable
        Called just before the first byte is written; may raise to stop the request.
    stream : bool
        Leave the body unread, to be read with `read_chunks`.

    Raises
    ------
    Exception
        Any exception of aiosonic; the channel must then be closed.
    """
    channel.connection.prepare(headers, body, before_write)
    channel.connection.is_streaming = stream
    return await channel.client.request(channel.base_url + path, method, stream=stream)


async def read_content(response: HttpResponse) -> bytes:
    """Read the body of a reply.

    aiosonic copies all chunks read so far for each further chunk.
    """
    if response.chunked:
        return b"".join([chunk async for chunk in response.read_chunks()])
    content: bytes = await response.content()
    return content


async def read_long_content(response: HttpResponse, on_chunk: Callable[[int], None]) -> bytes:
    """Read the body of a reply to a request with `stream` set.

    Parameters
    ----------
    response : HttpResponse
        Reply whose body is unread.
    on_chunk : callable
        Called with the number of bytes of each chunk as it arrives.

    Raises
    ------
    MalformedReplyError
        The body is too long.
    """
    content = bytearray()
    async for chunk in response.read_chunks():
        on_chunk(len(chunk))
        content += chunk
        if len(content) > BODY_MAX_BYTES:
            raise MalformedReplyError("the body is too long")
    return bytes(content)


async def read_lines(
    response: HttpResponse, on_chunk: Callable[[int], None]
) -> AsyncIterator[bytes]:
    """Read the lines of a streamed body as they arrive, except empty ones.

    Parameters
    ----------
    response : HttpResponse
        Reply to a request with `stream` set.
    on_chunk : callable
        Called with the number of bytes of each chunk.

    Raises
    ------
    MalformedReplyError
        A line is too long.
    """
    pieces: list[bytes] = []
    line_bytes = 0
    async for chunk in response.read_chunks():
        on_chunk(len(chunk))
        pieces.append(chunk)
        line_bytes += len(chunk)
        if b"\n" not in chunk:
            if line_bytes > BODY_MAX_BYTES or len(pieces) > CHUNKS_MAX:
                raise MalformedReplyError("a line is too long")
            continue
        *lines, rest = b"".join(pieces).split(b"\n")
        pieces, line_bytes = [rest], len(rest)
        for line in lines:
            if line:
                yield line


def close_channel(channel: HttpChannel) -> None:
    """Close the connection at once; required if a reply was not read completely."""
    channel.connection.keep = False
    channel.connection.close()
