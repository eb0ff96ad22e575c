"""Minimal HTTP client for tests of the stand-ins."""

import asyncio
import json
from typing import Any, NamedTuple


class Connection(NamedTuple):
    """An open client connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


async def connect(port: int) -> Connection:
    return Connection(*await asyncio.open_connection("127.0.0.1", port))


def send(connection: Connection, method: str, path: str, body: Any = None) -> None:
    raw = b"" if body is None else json.dumps(body).encode()
    head = f"{method} {path} HTTP/1.1\r\nhost: test\r\ncontent-length: {len(raw)}\r\n\r\n"
    connection.writer.write(head.encode() + raw)


async def receive(connection: Connection) -> tuple[int, Any]:
    head = await connection.reader.readuntil(b"\r\n\r\n")
    status = int(head.split()[1])
    lengths = [line for line in head.split(b"\r\n") if line.startswith(b"content-length: ")]
    if not lengths:
        return status, None
    return status, json.loads(await connection.reader.readexactly(int(lengths[0].split()[1])))


async def call(port: int, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    """Send a request on a new connection and return the status and the body."""
    connection = await connect(port)
    try:
        send(connection, method, path, body)
        return await receive(connection)
    finally:
        connection.writer.close()
