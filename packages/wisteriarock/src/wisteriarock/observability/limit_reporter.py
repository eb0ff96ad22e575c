"""Counts and log lines of what callers are refused at the limits."""

from collections.abc import Callable

# Interval between two log lines about the same limit.
LOG_INTERVAL_MS = 1_000.0


class LimitReporter:
    """Counts what callers are refused at the limits, and logs each limit once per interval."""

    __slots__ = ("_clock_ms", "_count", "_logged_at_ms", "_unlogged", "_write")

    def __init__(
        self,
        clock_ms: Callable[[], float],
        count: Callable[[str], None],
        write: Callable[[str, int], None],
    ) -> None:
        self._clock_ms = clock_ms
        self._count = count
        # Takes the limit, and how often it was met since its last line.
        self._write = write
        self._logged_at_ms: dict[str, float] = {}
        self._unlogged: dict[str, int] = {}

    def report(self, limit: str) -> None:
        """Count a connection or a request that was closed or refused at a limit."""
        self._count(limit)
        count = self._unlogged.get(limit, 0) + 1
        now_ms = self._clock_ms()
        if now_ms - self._logged_at_ms.get(limit, -LOG_INTERVAL_MS) < LOG_INTERVAL_MS:
            self._unlogged[limit] = count
            return
        self._unlogged[limit] = 0
        self._logged_at_ms[limit] = now_ms
        self._write(limit, count)
