"""Link of a machine to a server, over which replies arrive at a limited rate."""

import asyncio
import contextlib

_PACKET_BYTES = 4_096


class SlowLink:
    """Proxy on loopback whose connections share the rate of one link, in order of arrival.

    Attributes
    ----------
    port : int
        Port of the proxy.
    bits_per_s : float
        Rate of the replies; requests are passed on at once.
    """

    def __init__(self, server_port: int, bits_per_s: float) -> None:
        self.server_port = server_port
        self.bits_per_s = bits_per_s
        self.port = 0
        self._packets: asyncio.Queue[tuple[asyncio.StreamWriter, bytes]] = asyncio.Queue()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._tasks.add(asyncio.create_task(self._deliver()))

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._relay(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            replies, requests = await asyncio.open_connection("127.0.0.1", self.server_port)
            receiving = asyncio.create_task(self._receive(replies, writer))
            try:
                while data := await reader.read(_PACKET_BYTES):
                    requests.write(data)
            finally:
                receiving.cancel()
                requests.close()
                writer.close()

    async def _receive(self, replies: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await replies.read(_PACKET_BYTES):
            self._packets.put_nowait((writer, data))

    async def _deliver(self) -> None:
        loop = asyncio.get_running_loop()
        free_at_s = 0.0
        while True:
            writer, data = await self._packets.get()
            free_at_s = max(free_at_s, loop.time()) + len(data) * 8 / self.bits_per_s
            await asyncio.sleep(free_at_s - loop.time())
            if not writer.is_closing():
                writer.write(data)
