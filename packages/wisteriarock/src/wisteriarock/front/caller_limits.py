"""Limits on the memory and descriptors that callers may make an instance use."""

from collections.abc import Callable

from wisteriarock.http.buffers import BufferBudget
from wisteriarock.http.listener import CallerLimit
from wisteriarock.observability.counters import Counters
from wisteriarock.observability.event_log import EventLog

from .const import (
    BUFFER_MEMORY_SHARE,
    CONNECTION_COST_BYTES,
    CONNECTION_MEMORY_SHARE,
    FILE_DESCRIPTORS,
    LIMIT_LOG_INTERVAL_MS,
    LISTENER_CONNECTIONS_MIN,
    REQUEST_MEMORY_SHARE,
)
from .settings import FrontSettings


def create_budget(settings: FrontSettings, clock_ms: Callable[[], float]) -> BufferBudget:
    """Return the bound on the memory that connections and requests may hold."""
    memory_bytes = settings.memory_mb * 1_000_000
    return BufferBudget(
        int(memory_bytes * BUFFER_MEMORY_SHARE), int(memory_bytes * REQUEST_MEMORY_SHARE), clock_ms
    )


def connections_max(settings: FrontSettings, descriptor_share: float) -> int:
    """Return the number of connections to a listener that descriptors and memory allow."""
    descriptors = max(0, settings.max_descriptors - FILE_DESCRIPTORS) * descriptor_share
    memory_bytes = settings.memory_mb * 1_000_000 * CONNECTION_MEMORY_SHARE
    most = int(min(descriptors, memory_bytes / CONNECTION_COST_BYTES))
    return max(LISTENER_CONNECTIONS_MIN, most)


class LimitReporter:
    """Counts what callers are refused at the limits, and logs each limit once per interval."""

    __slots__ = ("_clock_ms", "_counters", "_log", "_logged_at_ms", "_unlogged")

    def __init__(self, clock_ms: Callable[[], float], log: EventLog, counters: Counters) -> None:
        self._clock_ms = clock_ms
        self._log = log
        self._counters = counters
        self._logged_at_ms: dict[CallerLimit, float] = {}
        self._unlogged: dict[CallerLimit, int] = {}

    def report(self, limit: CallerLimit) -> None:
        """Count a connection or a request that was closed or refused at a limit."""
        self._counters.count("callers_limited", limit)
        count = self._unlogged.get(limit, 0) + 1
        now_ms = self._clock_ms()
        if now_ms - self._logged_at_ms.get(limit, -LIMIT_LOG_INTERVAL_MS) < LIMIT_LOG_INTERVAL_MS:
            self._unlogged[limit] = count
            return
        self._unlogged[limit] = 0
        self._logged_at_ms[limit] = now_ms
        self._log.record("callers_limited", limit=limit, count=count)
