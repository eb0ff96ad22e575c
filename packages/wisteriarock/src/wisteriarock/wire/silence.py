"""A limit on the time in which nothing is heard."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

# After a silence, the time in which data that waited for this process's loop is still taken.
INACTIVITY_GRACE_MS = 20.0


@asynccontextmanager
async def inactivity_timeout(limit_s: float) -> AsyncIterator[Callable[[], None]]:
    """End the block by `TimeoutError` when nothing was heard for a time.

    A loop that lags runs its timers before the tasks that wait for data. So a silence only counts
    when nothing is heard in a short time after the limit either.

    Parameters
    ----------
    limit_s : float
        Longest silence in seconds.

    Yields
    ------
    callable
        Notes that something was heard; it sets no timer.
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
