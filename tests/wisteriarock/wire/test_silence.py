"""Tests of the inactivity timeout."""

import asyncio
import time

from wisteriarock.wire.silence import inactivity_timeout

from tests.common import function_suite


async def test_delayed_event_loop_causes_no_timeout() -> None:
    """Guards against giving up peers and endpoints because the local event loop was delayed."""
    answer: asyncio.Future[int] = asyncio.get_running_loop().create_future()
    async with inactivity_timeout(0.03):
        # The answer is set when the loop resumes, but the task awaiting it runs after the timers.
        asyncio.get_running_loop().call_soon(time.sleep, 0.1)
        asyncio.get_running_loop().call_later(0.01, answer.set_result, 1)
        assert await answer == 1


async def test_timeout_counts_from_the_last_data() -> None:
    """Guards against waiting forever, and against a timeout while data is still arriving."""
    timed_out = False
    reports = 0
    try:
        async with inactivity_timeout(0.05) as on_data:
            while reports < 5:
                await asyncio.sleep(0.02)
                on_data(1)
                reports += 1
            await asyncio.sleep(60)
    except TimeoutError:
        timed_out = True
    assert (timed_out, reports) == (True, 5)


async def test_trickling_peer_is_given_up() -> None:
    """Guards against a peer that holds up its caller for ever with a byte now and then."""
    reports = 0
    try:
        async with inactivity_timeout(0.05, min_bytes_per_s=100.0) as on_data:
            while reports < 1_000:
                await asyncio.sleep(0.02)
                on_data(1)
                reports += 1
    except TimeoutError:
        pass
    # Each byte gives 10 ms, but takes 20 ms or more.
    assert 0 < reports < 1_000


async def test_data_at_the_least_rate_is_awaited() -> None:
    """Guards against replies given up although they arrive as fast as a slow link carries them."""
    async with inactivity_timeout(0.05, min_bytes_per_s=1.0) as on_data:
        for _ in range(10):
            await asyncio.sleep(0.02)
            on_data(1)


load_tests = function_suite(globals())
