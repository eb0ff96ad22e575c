"""Inactivity timeout that tolerates a slow event loop."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

# Grace period after the timeout, in which tasks process data that waited for a slow event loop.
INACTIVITY_GRACE_MS = 20.0
# Slowest rate at which a long reply may arrive. A link of 10 Mbit/s that the replies to 30
# instances share leaves each of them this much.
REPLY_MIN_BYTES_PER_S = 40_000.0


@asynccontextmanager
async def inactivity_timeout(
    limit_s: float, min_bytes_per_s: float | None = None
) -> AsyncIterator[Callable[[int], None]]:
    """Raise `TimeoutError` in the block after a period without received data.

    A delayed event loop runs timers before the tasks that wait for data. The block therefore fails
    only if no data is reported within a short grace period after the timeout either.

    Parameters
    ----------
    limit_s : float
        Longest time without data, in seconds.
    min_bytes_per_s : float or None
        Rate at which data must arrive on average once the limit has passed, so that a peer that
        sends a few bytes now and then cannot keep the block waiting; None for any rate.

    Yields
    ------
    callable
        Function to call with the number of bytes received; cheap, as it sets no timer.
    """
    loop = asyncio.get_running_loop()
    started_s = last_data_s = loop.time()
    received_bytes = 0
    in_grace_period = False
    timer: asyncio.TimerHandle

    def on_data(size_bytes: int) -> None:
        nonlocal last_data_s, received_bytes
        last_data_s = loop.time()
        received_bytes += size_bytes

    def deadline_s() -> float:
        if min_bytes_per_s is None:
            return last_data_s + limit_s
        return limit_s + min(last_data_s, started_s + received_bytes / min_bytes_per_s)

    def check() -> None:
        nonlocal in_grace_period, timer
        remaining_s = deadline_s() - loop.time()
        if remaining_s > 0:
            in_grace_period = False
            timer = loop.call_later(remaining_s, check)
        elif in_grace_period:
            timeout.reschedule(loop.time())
        else:
            in_grace_period = True
            timer = loop.call_later(INACTIVITY_GRACE_MS / 1000, check)

    async with asyncio.timeout(None) as timeout:
        timer = loop.call_later(limit_s, check)
        try:
            yield on_data
        finally:
            timer.cancel()
