"""Tests of a connection's opening."""

import asyncio
from typing import Any
from unittest.mock import patch

from aiosonic.connection import Connection
from wisteriarock.wire.connection import close_channel, create_channel, request

from tests.common import function_suite


async def test_a_cancellation_that_arrives_as_the_connection_opens_is_kept() -> None:
    """Guards against a cancelled leg that keeps its slot, as asyncio.wait_for lost the cancel."""
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


load_tests = function_suite(globals())
