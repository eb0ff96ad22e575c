"""A clock that advances only when the test says so."""

import asyncio
import heapq
import itertools
from dataclasses import dataclass, field
from typing import Any

# Iterations of the event loop after which all tasks of these tests wait for the clock.
_IDLE_ROUNDS = 60


@dataclass
class VirtualClock:
    """Time in milliseconds, and a heap of sleeping tasks ordered by their wake-up time."""

    time_ms: float = 0.0
    sleepers: list[tuple[float, int, asyncio.Future[None]]] = field(default_factory=list)
    sequence: Any = field(default_factory=itertools.count)

    def now_ms(self) -> float:
        """Return the current time in milliseconds."""
        return self.time_ms

    async def sleep(self, seconds: float) -> None:
        """Wait until the clock has advanced by `seconds`."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        until_ms = self.time_ms + seconds * 1000
        heapq.heappush(self.sleepers, (until_ms, next(self.sequence), future))
        await future

    async def run_until_idle(self) -> None:
        """Run all tasks until they wait for the clock."""
        for _ in range(_IDLE_ROUNDS):
            await asyncio.sleep(0)

    async def advance(self, duration_ms: float) -> None:
        """Advance the clock and wake sleeping tasks in order of their wake-up time."""
        end_ms = self.time_ms + duration_ms
        await self.run_until_idle()
        while self.sleepers and self.sleepers[0][0] <= end_ms:
            self.time_ms, _, future = heapq.heappop(self.sleepers)
            if not future.done():
                future.set_result(None)
            await self.run_until_idle()
        self.time_ms = end_ms
