"""Tests of the limit on silence."""

import asyncio
import time

from wisteriarock.wire.silence import inactivity_timeout

from tests.common import function_suite


async def test_a_loop_that_lags_does_not_look_like_silence() -> None:
    """Guards against peers and endpoints that are given up because this process was slow."""
    answer: asyncio.Future[int] = asyncio.get_running_loop().create_future()
    async with inactivity_timeout(0.03):
        # The answer is there when the loop goes on, but its taker runs after the timers.
        asyncio.get_running_loop().call_soon(time.sleep, 0.1)
        asyncio.get_running_loop().call_later(0.01, answer.set_result, 1)
        assert await answer == 1


async def test_silence_ends_the_block_and_a_sign_of_life_moves_the_limit() -> None:
    """Guards against a wait without end, and against an end while data comes in."""
    ended = False
    signs = 0
    try:
        async with inactivity_timeout(0.05) as on_data:
            while signs < 5:
                await asyncio.sleep(0.02)
                on_data()
                signs += 1
            await asyncio.sleep(60)
    except TimeoutError:
        ended = True
    assert (ended, signs) == (True, 5)


load_tests = function_suite(globals())
