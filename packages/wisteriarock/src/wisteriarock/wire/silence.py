"""Inactivity timeout that tolerates a slow event loop."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

# Grace period after the timeout, in which tasks process data that waited for a slow event loop.
INACTIVITY_GRACE_MS = 20.0


@asynccontextmanager
async def inactivity_timeout(limit_s: float) -> AsyncIterator[Callable[[], None]]:
    """Raise `TimeoutError` in the block after a period without received data.

    A delayed event loop runs timers before the tasks that wait for data. The block therefore fails
    only if no data is reported within a short grace period after the timeout either.

    Parameters
    ----------
    limit_s : float
        Longest time without data, in seconds.

    Yields
    ------
    callable
        Function to call when data is received; cheap, as it sets no timer.
    """
    loop = asyncio.get_running_loop()
    last_data_s = loop.time()
    in_grace_period = False
    timer: asyncio.TimerHandle

    def on_data() -> None:
        nonlocal last_data_s, in_grace_period
        last_data_s = loop.time()
        in_grace_period = False

    def check() -> None:
        nonlocal in_grace_period, timer
        remaining_s = last_data_s + limit_s - loop.time()
        if remaining_s > 0:
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
