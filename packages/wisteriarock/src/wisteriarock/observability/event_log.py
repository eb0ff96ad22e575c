"""Event log with bounded rate and memory that never blocks the event loop.

Each event is one line of key=value pairs. Lines are buffered until standard output accepts them. If
the buffer is full, lines of routine events are dropped first, so that failures and refusals are
still logged. Dropped lines are counted.
"""

import os
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from .format import format_value

# Maximum rate of lines for routine events; lines above it are counted and dropped.
DETAIL_LINES_PER_S = 200
# Buffer size at which lines of routine events are dropped; other lines may use twice as much.
BUFFER_MAX_BYTES = 256 * 1024
# Minimum time between two lines that report the number of dropped lines.
DROP_REPORT_INTERVAL_S = 1.0
# Maximum size of a single write.
WRITE_MAX_BYTES = 32 * 1024


class EventLog:
    """Buffer of log lines, with the number of dropped lines.

    The monotonic `clock` limits the rate of lines. Each line holds the wall-clock time, so that the
    logs of several instances can be merged in order.
    """

    __slots__ = (
        "_remaining_details",
        "_clock",
        "_constant_fields",
        "_descriptor",
        "_buffered_bytes",
        "_lines",
        "_reported_drops",
        "_drops_reported_at_s",
        "_current_second",
        "_wall_clock",
        "dropped_total",
    )

    def __init__(
        self,
        descriptor: int,
        clock: Callable[[], float],
        wall_clock: Callable[[], float] = time.time,
        **constant_fields: str,
    ) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._wall_clock = wall_clock
        self._constant_fields = "".join(
            f" {key}={format_value(text)}" for key, text in constant_fields.items()
        )
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._current_second = 0
        self._remaining_details = DETAIL_LINES_PER_S
        self.dropped_total = 0
        self._reported_drops = 0
        self._drops_reported_at_s = clock()
        os.set_blocking(descriptor, False)

    def detail(self, event: str, **fields: Any) -> None:
        """Log a routine event, or drop it above the maximum rate or if the buffer is full."""
        now_s = self._clock()
        if int(now_s) != self._current_second:
            self._current_second = int(now_s)
            self._remaining_details = DETAIL_LINES_PER_S
        if self._remaining_details <= 0 or self._buffered_bytes > BUFFER_MAX_BYTES:
            self.dropped_total += 1
            return
        self._remaining_details -= 1
        self._append(event, fields)

    def record(self, event: str, **fields: Any) -> None:
        """Log a failed or refused request, or a change of the process's state."""
        if self._buffered_bytes > 2 * BUFFER_MAX_BYTES:
            self.dropped_total += 1
            return
        self._append(event, fields)

    def _append(self, event: str, fields: dict[str, Any]) -> None:
        parts = [f"time_s={self._wall_clock():.3f} event={event}{self._constant_fields}"]
        parts += [f"{name}={format_value(value)}" for name, value in fields.items()]
        line = (" ".join(parts) + "\n").encode()
        self._lines.append(line)
        self._buffered_bytes += len(line)

    def flush(self) -> None:
        """Write as many buffered lines as standard output accepts without blocking."""
        if self.dropped_total > self._reported_drops and self._buffered_bytes <= BUFFER_MAX_BYTES:
            now_s = self._clock()
            if now_s - self._drops_reported_at_s >= DROP_REPORT_INTERVAL_S:
                self._reported_drops = self.dropped_total
                self._drops_reported_at_s = now_s
                self._append("lines_dropped", {"total": self.dropped_total})
        while self._lines:
            chunk = bytearray()
            while self._lines and len(chunk) + len(self._lines[0]) <= WRITE_MAX_BYTES:
                chunk += self._lines.popleft()
            if not chunk:
                chunk += self._lines.popleft()
            self._buffered_bytes -= len(chunk)
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has closed the output: the process goes on without its log.
                self.dropped_total += chunk.count(b"\n")
                return
            if written < len(chunk):
                unwritten = bytes(chunk[written:])
                self._lines.appendleft(unwritten)
                self._buffered_bytes += len(unwritten)
                return
