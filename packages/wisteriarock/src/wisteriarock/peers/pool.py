"""Pool of connections to a peer."""

import asyncio
from dataclasses import dataclass, field

from wisteriarock.wire.connection import HttpChannel, close_channel, create_channel

from .const import MAX_CONNECTIONS, MAX_IDLE_CONNECTIONS, MAX_IDLE_MS


@dataclass(eq=False)
class PeerPool:
    """Connections to one address.

    `idle` holds each idle connection and the time at which it became idle. `opened_at_ms` holds the
    time at which each open connection was requested, by the connection's `id()`. `in_use_limit`
    bounds the number of connections in use.
    """

    address: tuple[str, int]
    connect_timeout_ms: float
    in_use_limit: asyncio.Semaphore
    idle: list[tuple[float, HttpChannel]] = field(default_factory=list)
    opened_at_ms: dict[int, float] = field(default_factory=dict)
    closed: bool = False


def create_pool(address: tuple[str, int], connect_timeout_ms: float) -> PeerPool:
    """Create a pool without connections."""
    return PeerPool(address, connect_timeout_ms, asyncio.Semaphore(MAX_CONNECTIONS))


async def acquire_channel(pool: PeerPool, now_ms: float) -> HttpChannel:
    """Return an idle or a new connection; wait while too many connections are in use."""
    await pool.in_use_limit.acquire()
    while pool.idle:
        idle_since_ms, channel = pool.idle.pop()
        if now_ms - idle_since_ms < MAX_IDLE_MS and not channel.connection.is_stale():
            return channel
        _discard(pool, channel)
    channel = create_channel(*pool.address, pool.connect_timeout_ms)
    pool.opened_at_ms[id(channel.connection)] = now_ms
    return channel


def release_channel(pool: PeerPool, channel: HttpChannel, now_ms: float) -> None:
    """Return a connection to the pool, or close it if it is not reusable or too many are idle."""
    pool.in_use_limit.release()
    while pool.idle and now_ms - pool.idle[0][0] >= MAX_IDLE_MS:
        _discard(pool, pool.idle.pop(0)[1])
    reusable = not channel.connection.blocked and not channel.connection.is_stale()
    if reusable and not pool.closed and len(pool.idle) < MAX_IDLE_CONNECTIONS:
        pool.idle.append((now_ms, channel))
        return
    _discard(pool, channel)


def close_idle_opened_before(pool: PeerPool, time_ms: float) -> None:
    """Close the idle connections opened before a time, after one of that age timed out."""
    remaining = []
    for idle_since_ms, channel in pool.idle:
        if pool.opened_at_ms[id(channel.connection)] < time_ms:
            _discard(pool, channel)
        else:
            remaining.append((idle_since_ms, channel))
    pool.idle = remaining


def close_pool(pool: PeerPool) -> None:
    """Close the idle connections; connections in use are closed when they are released."""
    pool.closed = True
    for _, channel in pool.idle:
        _discard(pool, channel)
    pool.idle.clear()


def _discard(pool: PeerPool, channel: HttpChannel) -> None:
    pool.opened_at_ms.pop(id(channel.connection), None)
    close_channel(channel)
