"""An HTTP connection: one aiosonic client with a pool of one."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from aiosonic import HTTPClient, HttpResponse, TCPConnector
from aiosonic.connection import Connection
from aiosonic.pools import PoolConfig
from aiosonic.resolver import AbstractResolver
from aiosonic.timeout import Timeouts


class NumericResolver(AbstractResolver):
    """Takes hosts as IP numbers, which need no lookup in a thread."""

    async def resolve(self, host: str, port: int = 0, family: int = 0) -> list[dict[str, Any]]:
        """Return the one address."""
        address = {"hostname": host, "host": host, "port": port}
        return [{**address, "family": 0, "proto": 0, "flags": 0}]

    async def close(self) -> None:
        """Do nothing, there is no state."""


class StaleConnectionError(ConnectionError):
    """The other side closed the connection, or wrote to it, before the request was written."""


class TrackedConnection(Connection):
    """aiosonic's connection, which the pool requires to be a class, with what we must know of it.

    It adds headers and body to a request that the library takes for one without any. The head is
    then one that the library caches; building it anew took a quarter of a request's time under
    the profiler. Head and body leave in one segment.

    Attributes
    ----------
    written : bool
        Something of the present request was written.
    answered : bool
        The status line of the present reply has been read.
    """

    def __init__(self, pool: Any, connect_timeout_s: float) -> None:
        super().__init__(pool)
        self._connect_timeout_s = connect_timeout_s
        self.written = False
        self.answered = False
        self._before_write: Callable[[], None] = lambda: None
        self._headers_and_body = b""

    def prepare(self, headers: bytes, body: bytes, before_write: Callable[[], None]) -> None:
        """Prepare for one request; `before_write` raises to stop it before its first byte."""
        self.written = self.answered = False
        self._before_write = before_write
        if body:
            headers += b"Content-Type: application/json\r\nContent-Length: %d\r\n" % len(body)
        self._headers_and_body = headers + b"\r\n" + body

    async def connect(self, *args: Any) -> None:
        """Connect within the time limit.

        With a limit of its own aiosonic uses asyncio.wait_for, which before Python 3.12 loses a
        cancellation that arrives as the connection opens: the cancelled leg would go on.
        """
        async with asyncio.timeout(self._connect_timeout_s):
            await super().connect(*args)

    def write(self, data: bytes) -> None:
        """Write the request, of which `data` is the head, after the last check."""
        if self.is_stale():
            raise StaleConnectionError
        self._before_write()
        self.written = True
        super().write(data[:-2] + self._headers_and_body)

    async def readuntil(self, separator: bytes = b"\n") -> bytes:
        """Read the status line."""
        line: bytes = await super().readuntil(separator)
        self.answered = True
        return line

    def is_stale(self) -> bool:
        """Tell whether the other side closed it, or sent bytes that belong to no request."""
        if self.reader is None or self.writer is None:
            return True
        return bool(self.reader.at_eof() or self.reader._buffer or self.writer.is_closing())

    def unread_bytes(self) -> int:
        """Return the number of bytes that have arrived and were not read yet."""
        return len(self.reader._buffer) if self.reader is not None else 0


class HttpChannel(NamedTuple):
    """A client, its only connection, and the address it talks to."""

    client: HTTPClient
    connection: TrackedConnection
    base_url: str


def create_channel(host: str, port: int, connect_timeout_ms: float) -> HttpChannel:
    """Return a client with one connection, which its first request opens.

    Parameters
    ----------
    host, port : str, int
        IP number and port.
    connect_timeout_ms : float
        Longest time to connect. Other limits of time are up to the caller.
    """
    connections: list[TrackedConnection] = []

    def create(pool: Any) -> TrackedConnection:
        connections.append(TrackedConnection(pool, connect_timeout_ms / 1000))
        return connections[-1]

    # Without limits of its own the pool never replaces the connection unnoticed.
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
    """Send a request and read the head of the reply, and the body unless it is streamed.

    Parameters
    ----------
    wire : Wire
        One that has no request in flight.
    method, path : str
        As in the request line.
    body : bytes
        JSON text, or empty.
    headers : bytes
        More header lines, each with its line end.
    before_write : callable
        Called just before the first byte is written; raises to stop the request.
    stream : bool
        Leave the body to be read by `read_chunks`.

    Raises
    ------
    Exception
        Whatever the library raises; the wire must then be closed.
    """
    channel.connection.prepare(headers, body, before_write)
    return await channel.client.request(channel.base_url + path, method, stream=stream)


def close_channel(channel: HttpChannel) -> None:
    """Close the connection at once. A wire that did not read a whole reply must be closed."""
    channel.connection.keep = False
    channel.connection.close()
