"""A minimal HTTP server on loopback with replies defined by the test."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import msgspec

# Receives the method, the path with query, the request head and the decoded body. Returns the
# encoded reply, or empty bytes to close the connection.
HandleRequest = Callable[[str, str, str, Any], Awaitable[bytes]]


def reply(status: int, body: Any = None) -> bytes:
    """Return an HTTP reply with a JSON body."""
    encoded = b"" if body is None else msgspec.json.encode(body)
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(encoded), encoded)


async def _serve(
    handle: HandleRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            lines = [line.lower() for line in head.split("\r\n")]
            lengths = [int(line[15:]) for line in lines if line.startswith("content-length:")]
            body = await reader.readexactly(sum(lengths))
            method, path, _ = head.split(" ", 2)
            answer = await handle(method, path, head, msgspec.json.decode(body) if body else None)
            if not answer:
                return
            writer.write(answer)
    except (asyncio.IncompleteReadError, ConnectionError):
        return
    finally:
        writer.close()


@asynccontextmanager
async def serve_http(handle: HandleRequest) -> AsyncIterator[tuple[int, list[asyncio.Task[None]]]]:
    """Serve on a free port; yield the port and the list of connections accepted so far."""
    connections: list[asyncio.Task[None]] = []

    def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connections.append(asyncio.create_task(_serve(handle, reader, writer)))

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1], connections
    finally:
        server.close()
        for task in connections:
            task.cancel()
        await asyncio.gather(*connections, return_exceptions=True)
