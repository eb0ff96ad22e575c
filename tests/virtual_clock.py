"""A clock that moves only when a test advances it."""

import asyncio
import heapq
import itertools
from dataclasses import dataclass, field
from typing import Any

# Rounds of the event loop that let every chain of awaits in these tests run until it sleeps.
_SETTLE_ROUNDS = 60


@dataclass
class VirtualClock:
    """Time in milliseconds and those who sleep, by the time at which they wake."""

    time_ms: float = 0.0
    sleepers: list[tuple[float, int, asyncio.Future[None]]] = field(default_factory=list)
    order: Any = field(default_factory=itertools.count)

    def now_ms(self) -> float:
        """Return the time."""
        return self.time_ms

    async def sleep(self, seconds: float) -> None:
        """Wait until the clock has been advanced far enough."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        until_ms = self.time_ms + seconds * 1000
        heapq.heappush(self.sleepers, (until_ms, next(self.order), future))
        await future

    async def run_until_idle(self) -> None:
        """Let all tasks run until they sleep."""
        for _ in range(_SETTLE_ROUNDS):
            await asyncio.sleep(0)

    async def advance(self, duration_ms: float) -> None:
        """Move the clock and wake in turn those whose time comes."""
        end_ms = self.time_ms + duration_ms
        await self.run_until_idle()
        while self.sleepers and self.sleepers[0][0] <= end_ms:
            self.time_ms, _, future = heapq.heappop(self.sleepers)
            if not future.done():
                future.set_result(None)
            await self.run_until_idle()
        self.time_ms = end_ms
