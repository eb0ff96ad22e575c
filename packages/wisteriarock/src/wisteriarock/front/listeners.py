"""Listeners of an instance; one whose address is in use is opened as soon as it is free."""

import asyncio
import socket
from enum import StrEnum

from wisteriarock.http.front import CallerConnection, ListenerState

from .instance import Instance

BACKLOG = 1_024
# Connections accepted at once. Those above the limits are only closed afterwards.
ACCEPT_BATCH = 16
# Delay before another attempt to listen: doubled up to the maximum.
RETRY_DELAY_MIN_MS = 50.0
RETRY_DELAY_MAX_MS = 1_000.0


class ListenerName(StrEnum):
    """Purpose of a listener."""

    CALLERS = "callers"
    READINESS = "readiness"
    PEERS = "peers"
    METRICS = "metrics"


class Listeners:
    """Open listeners, and the tasks that open the others.

    A listener that cannot be opened does not keep the others from serving: callers need neither
    the metrics nor the peers.

    Attributes
    ----------
    servers : dict
        Open listeners by name.
    """

    __slots__ = ("_tasks", "instance", "servers")

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.servers: dict[ListenerName, asyncio.Server] = {}
        self._tasks: dict[ListenerName, asyncio.Task[None]] = {}

    async def open(self) -> None:
        """Open the listeners whose addresses are free; background tasks open the others."""
        instance, settings = self.instance, self.instance.settings
        listeners = {
            ListenerName.CALLERS: (instance.caller_listener, settings.front),
            ListenerName.READINESS: (instance.ready_listener, settings.ready),
            ListenerName.PEERS: (instance.peer_listener, settings.peer),
            ListenerName.METRICS: (instance.metrics_listener, settings.metrics),
        }
        for name, (state, address) in listeners.items():
            if address is not None and not await self._try_open(name, state, address):
                work = self._open_when_free(name, state, address)
                self._tasks[name] = instance.loop.create_task(work, name=f"listen-{name}")

    async def _try_open(
        self, name: ListenerName, state: ListenerState, address: tuple[str, int]
    ) -> bool:
        instance = self.instance
        try:
            server = await _listen(instance, state, address)
        except OSError as error:
            instance.counters.count("listen_failures", name)
            text = f"{address[0]}:{address[1]}"
            instance.log.record("listen_failed", listener=name, address=text, error=str(error))
            return False
        self.servers[name] = server
        if name is ListenerName.PEERS:
            instance.feed.is_callable = True
        return True

    async def _open_when_free(
        self, name: ListenerName, state: ListenerState, address: tuple[str, int]
    ) -> None:
        delay_ms, is_open = RETRY_DELAY_MIN_MS, False
        while not is_open:
            await asyncio.sleep(delay_ms / 1000)
            delay_ms = min(2 * delay_ms, RETRY_DELAY_MAX_MS)
            is_open = await self._try_open(name, state, address)
        self.instance.log.record("listen_recovered", listener=name)

    def close(self, name: ListenerName) -> None:
        """Close a listener, or stop the attempts to open it; its connections stay open."""
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()
        server = self.servers.pop(name, None)
        if server is not None:
            server.close()

    def close_all(self) -> None:
        """Close all listeners."""
        for name in ListenerName:
            self.close(name)


async def _listen(
    instance: Instance, state: ListenerState, address: tuple[str, int]
) -> asyncio.Server:
    """Open a listener. asyncio uses its backlog for both the queue and the batch of accepts."""
    listener = socket.create_server(address, family=_family(address[0]))
    try:
        server = await instance.loop.create_server(
            lambda: CallerConnection(state), sock=listener, backlog=ACCEPT_BATCH
        )
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return server


def _family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET
