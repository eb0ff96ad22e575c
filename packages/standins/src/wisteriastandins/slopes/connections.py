"""Probes of the memory of open connections over 127.0.0.1, with both ends in this process."""

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
from .traffic import make_sized_heartbeat, send_heartbeat

_CONNECT_TIMEOUT_MS = 5_000.0
_LEG_TIMEOUT_MS = 5_000.0


async def _allocated_bytes_async(build: Callable[[], Awaitable[object]]) -> float:
    """Return the bytes that `build` leaves allocated, as `gauges.allocated_bytes` does."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        result = await build()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del result
    return float(after - before)


def _measure_endpoint_connections(count: int, _: Effort) -> float:
    async def measure() -> float:
        connections: list[EndpointConnection] = []
        async with serve_endpoint() as port:

            async def build() -> None:
                for number in range(count):
                    connection = create_connection(
                        HOST, port, _CONNECT_TIMEOUT_MS, now_ms(), lambda event: None
                    )
                    connections.append(connection)
                    leg = samples.make_leg(number)
                    result = await send_leg(connection, leg, now_ms() + _LEG_TIMEOUT_MS, now_ms)
                    if result.outcome is not LegOutcome.OK:
                        raise RuntimeError(f"A leg failed: {result.outcome}.")

            try:
                return await _allocated_bytes_async(build)
            finally:
                for connection in connections:
                    close_connection(connection)

    return asyncio.run(measure())


def _measure_peer_connections(count: int, _: Effort) -> float:
    async def measure() -> float:
        names = tuple(samples.make_instance_name(PEER_NUMBER + n) for n in range(count))
        body = msgspec.json.encode(make_sized_heartbeat(0, 0, 0, 0))
        answer = make_sized_heartbeat(PEER_NUMBER, 0, 0, 0)
        async with serve_peer(answer) as port, connect_peer(port, names) as client:

            async def build() -> None:
                for name in names:
                    await send_heartbeat(client, body, name)

            return await _allocated_bytes_async(build)

    return asyncio.run(measure())


def connection_probes() -> list[Probe]:
    """Return the probes of open connections."""
    counts = (25, 50, 100, 200)
    title = "memory of an open {} connection, both ends, without the kernel's"
    return [
        Probe(
            title.format("endpoint"), "connections", "bytes", counts, _measure_endpoint_connections
        ),
        Probe(title.format("peer"), "connections", "bytes", counts, _measure_peer_connections),
    ]
