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


def _calls_needed(call_s: float, effort: Effort) -> int:
    """Return the number of calls in a repetition, given the processor time of one call."""
    return max(1, min(MAX_CALLS, int(effort.min_s / max(call_s, 1e-7))))


def cpu_us(work: Callable[[], object], effort: Effort) -> float:
    """Return the median processor time of a call in microseconds, measured after a warm-up."""
    work()
    start_s = time.process_time()
    work()
    calls = _calls_needed(time.process_time() - start_s, effort)
    samples_s = []
    for _ in range(effort.repetitions):
        gc.collect()
        start_s = time.process_time()
        for _ in range(calls):
            work()
        samples_s.append((time.process_time() - start_s) / calls)
    return median(samples_s) * _S_TO_US


def cpu_us_fresh(prepare: Callable[[], Callable[[], object]], effort: Effort) -> float:
    """Return the median processor time in microseconds of a call that modifies its input.

    `prepare` builds a new input for each call; its time is not counted, nor is the first call.
    """
    prepare()()
    samples_s = []
    for _ in range(effort.repetitions):
        work = prepare()
        gc.collect()
        start_s = time.process_time()
        work()
        samples_s.append(time.process_time() - start_s)
    return median(samples_s) * _S_TO_US


async def cpu_us_async(work: Callable[[], Awaitable[object]], effort: Effort) -> float:
    """Return the median processor time of an awaited call in microseconds, as `cpu_us` does."""
    await work()
    start_s = time.process_time()
    await work()
    calls = _calls_needed(time.process_time() - start_s, effort)
    samples_s = []
    for _ in range(effort.repetitions):
        gc.collect()
        start_s = time.process_time()
        for _ in range(calls):
            await work()
        samples_s.append((time.process_time() - start_s) / calls)
    return median(samples_s) * _S_TO_US


def allocated_bytes(build: Callable[[], object]) -> float:
    """Return the bytes that stay allocated while the result of `build` is referenced."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        result = build()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del result
    return float(after - before)


def run_synchronously(awaitable: Awaitable[T]) -> T:
    """Run an awaitable that never suspends, without an event loop, and return its result.

    Raises
    ------
    RuntimeError
        If it suspends.
    """
    steps = awaitable.__await__()
    try:
        next(steps)
    except StopIteration as stop:
        result: T = stop.value
        return result
    raise RuntimeError("The awaitable suspended without an event loop.")
