"""Listener on loopback for stand-ins that speak HTTP."""

import asyncio

from wisteriarock.http.front import CallerConnection, ListenerState, RequestHandler


class Listener:
    """Listener that can be stopped and started again on the same port.

    Attributes
    ----------
    port : int
        Port, chosen at the first start.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, handle: RequestHandler) -> None:
        self.loop = loop
        self.port = 0
        self._server: asyncio.Server | None = None
        self._listener_state = ListenerState(loop, handle, lambda *_: None)

    def create_connection(self, state: ListenerState) -> CallerConnection:
        """Create the protocol of an accepted connection."""
        return CallerConnection(state)

    async def start(self) -> None:
        """Listen on loopback, on a free port at the first start and on the same port later."""
        self._server = await self.loop.create_server(
            lambda: self.create_connection(self._listener_state), "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self.close()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._listener_state.connections):
            connection.close()
