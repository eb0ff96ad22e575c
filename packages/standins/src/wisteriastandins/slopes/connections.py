"""Probes of the memory of open connections, over 127.0.0.1 within this process."""

import asyncio
import gc
import tracemalloc
from collections.abc import Awaitable, Callable

import msgspec
from wisteriarock.endpoints.connection import (
    EndpointConnection,
    close_connection,
    create_connection,
    send_leg,
)
from wisteriarock.query.models import LegOutcome

from . import samples
from .models import Effort, Probe
from .servers import HOST, PEER_NUMBER, connect_peer, now_ms, serve_endpoint, serve_peer
from .traffic import beat_of, exchange

_CONNECT_TIMEOUT_MS = 5_000.0
_LEG_TIMEOUT_MS = 5_000.0


async def _allocated(build: Callable[[], Awaitable[object]]) -> float:
    """Return the bytes that are allocated after `build`, as `gauges.allocated_bytes` does."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = await build()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del kept
    return float(after - before)


def _endpoint_connections(count: int, _: Effort) -> float:
    async def measure() -> float:
        opened: list[EndpointConnection] = []
        async with serve_endpoint() as port:

            async def build() -> None:
                for number in range(count):
                    connection = create_connection(
                        HOST, port, _CONNECT_TIMEOUT_MS, now_ms(), lambda event: None
                    )
                    opened.append(connection)
                    leg = samples.leg_of(number)
                    result = await send_leg(connection, leg, now_ms() + _LEG_TIMEOUT_MS, now_ms)
                    if result.outcome is not LegOutcome.OK:
                        raise RuntimeError(f"A leg failed: {result.outcome}.")

            try:
                return await _allocated(build)
            finally:
                for connection in opened:
                    close_connection(connection)

    return asyncio.run(measure())


def _peer_connections(count: int, _: Effort) -> float:
    async def measure() -> float:
        names = tuple(samples.instance_of(PEER_NUMBER + n) for n in range(count))
        body = msgspec.json.encode(beat_of(0, 0, 0, 0))
        answer = beat_of(PEER_NUMBER, 0, 0, 0)
        async with serve_peer(answer) as port, connect_peer(port, names) as client:

            async def build() -> None:
                for name in names:
                    await exchange(client, body, name)

            return await _allocated(build)

    return asyncio.run(measure())


def connection_probes() -> list[Probe]:
    """Return the probes of open connections."""
    counts = (25, 50, 100, 200)
    text = "memory of an open {} connection, both ends, without the kernel's"
    return [
        Probe(text.format("endpoint"), "connections", "bytes", counts, _endpoint_connections),
        Probe(text.format("peer"), "connections", "bytes", counts, _peer_connections),
    ]
