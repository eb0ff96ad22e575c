"""A few connections to one peer."""

import asyncio
from dataclasses import dataclass, field

from wisteriarock.wire.connection import HttpChannel, close_channel, create_channel

from .const import MAX_CONNECTIONS, MAX_IDLE_CONNECTIONS, MAX_IDLE_MS


@dataclass(eq=False)
class PeerPool:
    """Connections to one address.

    `idle` holds each idle connection with the time when it became so, `opened_ms` when each open
    one was asked for.
    """

    address: tuple[str, int]
    connect_timeout_ms: float
    free: asyncio.Semaphore
    idle: list[tuple[float, HttpChannel]] = field(default_factory=list)
    opened_ms: dict[int, float] = field(default_factory=dict)
    closed: bool = False


def create_pool(address: tuple[str, int], connect_timeout_ms: float) -> PeerPool:
    """Return a pool without connections."""
    return PeerPool(address, connect_timeout_ms, asyncio.Semaphore(MAX_CONNECTIONS))


async def acquire(pool: PeerPool, now_ms: float) -> HttpChannel:
    """Return an idle connection, or a new one; waits while too many are in use."""
    await pool.free.acquire()
    while pool.idle:
        since_ms, wire = pool.idle.pop()
        if now_ms - since_ms < MAX_IDLE_MS and not wire.connection.is_stale():
            return wire
        _forget(pool, wire)
    wire = create_channel(*pool.address, pool.connect_timeout_ms)
    pool.opened_ms[id(wire.connection)] = now_ms
    return wire


def give_back(pool: PeerPool, wire: HttpChannel, now_ms: float) -> None:
    """Return a connection; it is kept when its reply was read whole and few are idle."""
    pool.free.release()
    while pool.idle and now_ms - pool.idle[0][0] >= MAX_IDLE_MS:
        _forget(pool, pool.idle.pop(0)[1])
    reusable = not wire.connection.blocked and not wire.connection.is_stale()
    if reusable and not pool.closed and len(pool.idle) < MAX_IDLE_CONNECTIONS:
        pool.idle.append((now_ms, wire))
        return
    _forget(pool, wire)


def close_older(pool: PeerPool, time_ms: float) -> None:
    """Close the idle connections that were opened before a time: one of them went silent."""
    kept = []
    for since_ms, wire in pool.idle:
        if pool.opened_ms[id(wire.connection)] < time_ms:
            _forget(pool, wire)
        else:
            kept.append((since_ms, wire))
    pool.idle = kept


def close_pool(pool: PeerPool) -> None:
    """Close the idle connections; those in use are closed when they come back."""
    pool.closed = True
    for _, wire in pool.idle:
        _forget(pool, wire)
    pool.idle.clear()


def _forget(pool: PeerPool, wire: HttpChannel) -> None:
    pool.opened_ms.pop(id(wire.connection), None)
    close_channel(wire)
