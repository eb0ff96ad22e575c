"""Connection pool for one endpoint, limited to the share of this instance in its connection cap."""

import asyncio
from collections import deque
from collections.abc import Callable

from .buffers import BufferBudget
from .const import CONNECT_TIMEOUT_MS
from .link import OutgoingConnection
from .models import Exchange, ExchangeFailure


class Pool:
    """Connections to one endpoint and the exchanges that wait for one.

    Attributes
    ----------
    limit : callable
        Returns the maximum number of open connections.
    on_connect : callable
        Called with the result of each connection attempt (True: opened).
    idle_limit_ms : float or None
        Time for which an idle connection is reused, if the peer announces none.
    buffers : BufferBudget or None
        Bound on the bytes of incomplete replies, shared with other pools.
    waiting : deque
        Exchanges that wait for a connection.
    opening : int
        Number of connections that are being opened.
    """

    __slots__ = (
        "_tasks",
        "buffers",
        "connections",
        "host",
        "idle",
        "idle_limit_ms",
        "is_retired",
        "limit",
        "loop",
        "on_connect",
        "on_stray_bytes",
        "opened_total",
        "opening",
        "port",
        "waiting",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: str,
        port: int,
        limit: Callable[[], int],
        on_connect: Callable[[bool], None],
        on_stray_bytes: Callable[[str], None],
        idle_limit_ms: float | None = None,
        buffers: BufferBudget | None = None,
    ) -> None:
        self.loop = loop
        self.host = host
        self.port = port
        self.limit = limit
        self.on_connect = on_connect
        self.on_stray_bytes = on_stray_bytes
        self.idle_limit_ms = idle_limit_ms
        self.buffers = buffers
        self.idle: list[OutgoingConnection] = []
        self.connections: set[OutgoingConnection] = set()
        self.waiting: deque[Exchange] = deque()
        self.opening = 0
        self.opened_total = 0
        self.is_retired = False
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, exchange: Exchange) -> None:
        """Send an exchange on an idle connection, or queue it until one is idle or opened."""
        now_ms = self.loop.time() * 1000
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable(now_ms):
                self._start(connection, exchange)
                return
            connection.close("idle too long")
        self.waiting.append(exchange)
        if len(self.connections) + self.opening < self.limit() and self.opening < len(self.waiting):
            self.open()

    def has_idle_connection(self, now_ms: float) -> bool:
        """Return whether an exchange could start at once."""
        return bool(self.idle) and self.idle[-1].is_usable(now_ms)

    def open(self) -> None:
        """Open another connection."""
        self.opening += 1
        task = self.loop.create_task(self._open())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def probe(self) -> None:
        """Open a connection to check whether the endpoint is reachable."""
        if not self.opening:
            self.open()

    def retire(self) -> None:
        """Close idle connections now, busy ones after their exchange; return waiting exchanges."""
        self.is_retired = True
        for connection in self.idle[:]:
            connection.close("retired")
        self.idle.clear()
        self.return_waiting("retired")

    def reopen(self) -> None:
        """Keep connections open again after `retire`."""
        self.is_retired = False

    def close(self) -> None:
        """Close all connections; exchanges in progress and waiting ones fail."""
        self.is_retired = True
        for connection in list(self.connections):
            connection.close("endpoint replaced")
        self.return_waiting("endpoint replaced")

    def expire_idle(self, now_ms: float) -> None:
        """Close connections that have been idle for too long."""
        for connection in [
            connection for connection in self.idle if not connection.is_usable(now_ms)
        ]:
            self.idle.remove(connection)
            connection.close("idle too long")

    def _start(self, connection: OutgoingConnection, exchange: Exchange) -> None:
        data = exchange.encode()
        if data is None:
            exchange.end(ExchangeFailure("not sent", False))
            self._on_idle(connection)
            return
        connection.start(exchange, data)
        exchange.on_sent()

    async def _open(self) -> None:
        error = ""
        connection: OutgoingConnection | None = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                _, connection = await self.loop.create_connection(
                    lambda: OutgoingConnection(
                        self.loop,
                        self._on_idle,
                        self._on_closed,
                        self._on_stray_bytes,
                        self.buffers,
                    ),
                    self.host,
                    self.port,
                )
        except TimeoutError:
            error = "connect timed out"
        except OSError as failure:
            error = f"connect failed: {failure.strerror or failure}"
        self.opening -= 1
        self.on_connect(connection is not None)
        if connection is None:
            if not self.connections and not self.opening:
                self.return_waiting(error)
            return
        self.opened_total += 1
        self.connections.add(connection)
        connection.idle_since_ms = self.loop.time() * 1000
        if self.idle_limit_ms is not None:
            connection.idle_limit_ms = self.idle_limit_ms
        if connection.transport is not None and connection.transport.is_closing():
            return
        self._on_idle(connection)

    def return_waiting(self, reason: str) -> None:
        """End the exchanges that wait for a connection; they can be sent elsewhere."""
        waiting, self.waiting = self.waiting, deque()
        for exchange in waiting:
            if not exchange.is_cancelled:
                exchange.end(ExchangeFailure(reason, False))

    def _on_idle(self, connection: OutgoingConnection) -> None:
        while self.waiting:
            exchange = self.waiting.popleft()
            if exchange.is_cancelled:
                continue
            self._start(connection, exchange)
            return
        if self.is_retired:
            connection.close("retired")
            return
        self.idle.append(connection)

    def _on_closed(self, connection: OutgoingConnection) -> None:
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self.waiting = deque(exchange for exchange in self.waiting if not exchange.is_cancelled)
        if self.waiting and len(self.connections) + self.opening < self.limit():
            self.open()

    def _on_stray_bytes(self, connection: OutgoingConnection, reason: str) -> None:
        self.on_stray_bytes(reason)
