"""Measure processor time and allocations of this process."""

import gc
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from statistics import median
from typing import TypeVar

from .models import Effort

MAX_CALLS = 10_000
_S_TO_US = 1e6

T = TypeVar("T")


def _calls_needed(seconds: float, effort: Effort) -> int:
    """Return how many calls fill a repetition, from the processor time of one."""
    return max(1, min(MAX_CALLS, int(effort.min_s / max(seconds, 1e-7))))


def cpu_us(work: Callable[[], object], effort: Effort) -> float:
    """Return the median processor time of a call in microseconds; the first call is not counted."""
    work()
    start_s = time.process_time()
    work()
    calls = _calls_needed(time.process_time() - start_s, effort)
    samples = []
    for _ in range(effort.repetitions):
        gc.collect()
        start_s = time.process_time()
        for _ in range(calls):
            work()
        samples.append((time.process_time() - start_s) / calls)
    return median(samples) * _S_TO_US


def cpu_us_fresh(prepare: Callable[[], Callable[[], object]], effort: Effort) -> float:
    """Return the median processor time of a call that changes its input, prepared anew each time.

    Preparation is not counted. The first call is not counted either.
    """
    prepare()()
    samples = []
    for _ in range(effort.repetitions):
        work = prepare()
        gc.collect()
        start_s = time.process_time()
        work()
        samples.append(time.process_time() - start_s)
    return median(samples) * _S_TO_US


async def cpu_us_async(work: Callable[[], Awaitable[object]], effort: Effort) -> float:
    """Return the median processor time of an awaited call in microseconds, as `cpu_us` does."""
    await work()
    start_s = time.process_time()
    await work()
    calls = _calls_needed(time.process_time() - start_s, effort)
    samples = []
    for _ in range(effort.repetitions):
        gc.collect()
        start_s = time.process_time()
        for _ in range(calls):
            await work()
        samples.append((time.process_time() - start_s) / calls)
    return median(samples) * _S_TO_US


def allocated_bytes(build: Callable[[], object]) -> float:
    """Return the bytes that are still allocated while the result of `build` is referenced."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = build()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del kept
    return float(after - before)


def finish(awaitable: Awaitable[T]) -> T:
    """Run an awaitable that never waits, without an event loop, and return its result.

    Raises
    ------
    RuntimeError
        If it waits.
    """
    steps = awaitable.__await__()
    try:
        next(steps)
    except StopIteration as stop:
        result: T = stop.value
        return result
    raise RuntimeError("The awaitable waits.")
