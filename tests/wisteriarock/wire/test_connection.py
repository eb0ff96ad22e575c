"""Tests of an HTTP channel against scripted peers."""

import asyncio
import contextlib
from typing import Any
from unittest.mock import patch

from aiosonic.connection import Connection
from aiosonic.exceptions import AiosonicError
from wisteriarock.wire.connection import (
    close_channel,
    create_channel,
    read_content,
    read_lines,
    request,
)

from tests.common import function_suite

ENDLESS_BYTES = 48_000_000


async def test_cancellation_while_the_connection_opens_takes_effect() -> None:
    """Guards against asyncio.wait_for losing the cancel, so that a cancelled leg keeps its slot."""
    connect = Connection.connect

    async def connect_and_cancel(connection: Connection, *args: Any) -> None:
        await connect(connection, *args)
        task.cancel()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.read(1_000):
            pass
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    channel = create_channel("127.0.0.1", server.sockets[0].getsockname()[1], 1_000)
    with patch.object(Connection, "connect", connect_and_cancel):
        task = asyncio.create_task(request(channel, "POST", "/leg", b"{}"))
        await asyncio.wait({task}, timeout=2)
    was_cancelled = task.cancelled()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    close_channel(channel)
    server.close()
    assert was_cancelled


async def _read_reply(data: bytes) -> tuple[int, bytes] | None:
    """Return status and body that a channel reads from a peer that sends data and closes."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    channel = create_channel("127.0.0.1", server.sockets[0].getsockname()[1], 1_000)
    try:
        response = await request(channel, "GET", "/report")
        return response.status_code, await response.content()
    except (AiosonicError, ConnectionError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        close_channel(channel)
        server.close()


async def test_reply_cut_at_each_byte_is_no_success() -> None:
    """Guards against a reply that ends within its head and counts as a success without body."""
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    for reply in (
        head + b'Content-Length: 9\r\n\r\n{"a": 12}',
        head + b'Transfer-Encoding: chunked\r\n\r\n4\r\n{"a"\r\n5\r\n: 12}\r\n0\r\n\r\n',
    ):
        assert await _read_reply(reply) == (200, b'{"a": 12}')
        for length in range(len(reply)):
            assert await _read_reply(reply[:length]) is None, reply[:length]


async def _receive_endless(start: bytes, block: bytes, *, stream: bool = False) -> int:
    """Read a reply of a start and blocks without end, until it fails; return the bytes sent."""
    sent_bytes = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent_bytes
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(start)
            while sent_bytes < ENDLESS_BYTES and not writer.is_closing():
                writer.write(block)
                sent_bytes += len(block)
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    channel = create_channel("127.0.0.1", server.sockets[0].getsockname()[1], 1_000)
    try:
        response = await request(channel, "GET", "/report", stream=stream)
        if stream:
            lines = [line async for line in read_lines(response, lambda _: None)]
            assert not lines, "bytes without end were read as a line"
        else:
            await read_content(response)
    except (AiosonicError, ConnectionError, ValueError):
        return sent_bytes
    finally:
        close_channel(channel)
        server.close()
    raise AssertionError("the reply was accepted")


async def test_replies_without_end_are_cut_off() -> None:
    """Guards against memory and processor time spent on bytes that never become a reply.

    Played: endless headers, a header line without end, a body of a huge length, endless chunks of
    one byte and of many, a chunk size without end, a streamed line without end and a huge chunk.
    """
    ok = b"HTTP/1.1 200 OK\r\n"
    chunked = ok + b"Transfer-Encoding: chunked\r\n\r\n"
    large_chunks = b"4000\r\n" + b"a" * 0x4000 + b"\r\n"
    for start, block in (
        (ok, b"X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaa\r\n" * 500),
        (ok + b"X-Filler: ", b"a" * 16_000),
        (ok + b"Content-Length: 99999999999\r\n\r\n", b"a" * 16_000),
        (chunked, b"1\r\na\r\n" * 2_000),
        (chunked, large_chunks),
        (chunked, b"1" * 16_000),
    ):
        assert await _receive_endless(start, block) < ENDLESS_BYTES, (start, block[:20])
    for block in (large_chunks, b"1\r\na\r\n" * 2_000):
        assert await _receive_endless(chunked, block, stream=True) < ENDLESS_BYTES, block[:20]
    huge_chunk = chunked + b"fffffffff\r\n"
    assert await _receive_endless(huge_chunk, b"a" * 16_000, stream=True) < ENDLESS_BYTES


async def test_bytes_that_are_no_header_fail_the_reply() -> None:
    """Guards against a reply without body because its head was broken off by other bytes."""
    reply = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nspoiled\r\n"
    assert await _read_reply(reply + b"Content-Length: 2\r\n\r\n{}") is None


load_tests = function_suite(globals())
