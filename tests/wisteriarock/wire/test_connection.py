"""Tests of opening an HTTP channel."""

import asyncio
from typing import Any
from unittest.mock import patch

from aiosonic.connection import Connection
from wisteriarock.wire.connection import close_channel, create_channel, request

from tests.common import function_suite


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


load_tests = function_suite(globals())
