"""A limit on the time in which nothing is heard."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

# After a silence, the time in which data that waited for this process's loop is still taken.
SILENCE_GRACE_MS = 20.0


@asynccontextmanager
async def silence_limit(limit_s: float) -> AsyncIterator[Callable[[], None]]:
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
    heard_s = loop.time()
    late = False
    timer: asyncio.TimerHandle

    def heard() -> None:
        nonlocal heard_s, late
        heard_s = loop.time()
        late = False

    def check() -> None:
        nonlocal late, timer
        rest_s = heard_s + limit_s - loop.time()
        if rest_s > 0:
            timer = loop.call_later(rest_s, check)
        elif late:
            timeout.reschedule(loop.time())
        else:
            late = True
            timer = loop.call_later(SILENCE_GRACE_MS / 1000, check)

    async with asyncio.timeout(None) as timeout:
        timer = loop.call_later(limit_s, check)
        try:
            yield heard
        finally:
            timer.cancel()
