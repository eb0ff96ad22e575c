"""Client of the store: one connection, one call at a time."""

import asyncio
import functools
from collections.abc import Callable

from wisteriarock.http.const import CONNECT_TIMEOUT_MS, REASON_TOO_LARGE
from wisteriarock.http.link import OutgoingConnection
from wisteriarock.http.models import Exchange, ExchangeFailure, Reply
from wisteriarock.observability.counters import Counters
from wisteriarock.wire.silence import REPLY_MIN_BYTES_PER_S, inactivity_timeout

from .eras import StoreEras
from .models import StoreError, StoreErrorKind


class StoreClient:
    """Runs calls one after the other on one connection.

    A timeout closes the connection, so that a late reply is not matched to the next call.

    Parameters
    ----------
    classify : callable
        Maps an HTTP status to a kind of error, or to None for success.

    eras : StoreEras or None
        Learns the era of each reply; None for a peer whose replies name none.

    Attributes
    ----------
    data_at_ms : float
        Time at which a part of a reply last arrived.
    """

    __slots__ = (
        "_lock",
        "classify",
        "connection",
        "counters",
        "data_at_ms",
        "eras",
        "host",
        "loop",
        "port",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: str,
        port: int,
        classify: Callable[[int], StoreErrorKind | None],
        counters: Counters,
        eras: StoreEras | None = None,
    ) -> None:
        self.loop = loop
        self.host = host
        self.port = port
        self.classify = classify
        self.connection: OutgoingConnection | None = None
        self.data_at_ms = float("-inf")
        self._lock = asyncio.Lock()
        self.counters = counters
        self.eras = eras

    def close(self, reason: str) -> None:
        """Close the connection; a call in progress fails."""
        if self.connection is not None:
            self.connection.close(reason)

    def _on_closed(self, connection: OutgoingConnection) -> None:
        if self.connection is connection:
            self.connection = None

    def _on_data(self, on_data: Callable[[int], None], size_bytes: int) -> None:
        self.data_at_ms = self.loop.time() * 1000
        on_data(size_bytes)

    async def _connect(self) -> OutgoingConnection:
        _, connection = await self.loop.create_connection(
            lambda: OutgoingConnection(self.loop, lambda _: None, self._on_closed, lambda *_: None),
            self.host,
            self.port,
        )
        # The store announces no idle timeout; calls on a lost connection fail.
        connection.idle_limit_ms = float("inf")
        self.connection = connection
        return connection

    async def call(self, data: bytes, timeout_ms: float) -> Reply | StoreError:
        """Send a call and return its reply or an error; concurrent calls are queued.

        The timeout is the longest time without any byte of the reply. A reply whose parts keep
        arriving takes as long as its size needs on a slow link.
        """
        async with self._lock:
            return await self._call_locked(data, timeout_ms)

    async def _call_locked(self, data: bytes, timeout_ms: float) -> Reply | StoreError:
        connection = self.connection
        if connection is None or connection.is_closed:
            try:
                async with asyncio.timeout(min(CONNECT_TIMEOUT_MS, timeout_ms) / 1000):
                    connection = await self._connect()
            except TimeoutError:
                return StoreError(StoreErrorKind.UNREACHABLE, "connect timed out", False)
            except OSError as error:
                detail = f"connect failed: {error.strerror}"
                return StoreError(StoreErrorKind.UNREACHABLE, detail, False)
        future: asyncio.Future[Reply | ExchangeFailure] = self.loop.create_future()

        def on_end(outcome: Reply | ExchangeFailure) -> None:
            if not future.done():
                future.set_result(outcome)

        self.counters.count("store_calls")
        exchange = Exchange(lambda: data, lambda _: True, on_end, lambda: None)
        try:
            async with inactivity_timeout(timeout_ms / 1000, REPLY_MIN_BYTES_PER_S) as on_data:
                exchange.on_data = functools.partial(self._on_data, on_data)
                connection.start(exchange, data)
                outcome = await future
        except TimeoutError:
            connection.close("no reply")
            return StoreError(StoreErrorKind.TIMEOUT, "no reply")
        if isinstance(outcome, ExchangeFailure):
            is_too_large = outcome.reason == REASON_TOO_LARGE
            kind = StoreErrorKind.TOO_LARGE if is_too_large else StoreErrorKind.UNREACHABLE
            return StoreError(kind, outcome.reason)
        if self.eras is not None and not self.eras.observe(outcome.headers):
            return StoreError(StoreErrorKind.FORMER_ERA, "reply of a former era")
        error_kind = self.classify(outcome.status)
        if error_kind is not None:
            return StoreError(error_kind, f"status {outcome.status}")
        return outcome
