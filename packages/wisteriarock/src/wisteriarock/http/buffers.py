"""Bound on the bytes that all connections of a process hold of incomplete messages."""

from typing import Protocol

# Smaller messages are not counted, as almost all are.
COUNTED_MIN_BYTES = 16 * 1024


class Holder(Protocol):
    """A connection that holds the bytes of an incomplete message."""

    def evict(self) -> None:
        """Give up the message, so that its bytes are released."""


class BufferBudget:
    """Bytes held by connection, up to a maximum for all of them.

    Attributes
    ----------
    evicted_total : int
        Number of messages that were given up.
    """

    __slots__ = ("_held_bytes", "evicted_total", "max_bytes", "total_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.evicted_total = 0
        self._held_bytes: dict[Holder, int] = {}

    def hold(self, holder: Holder, size_bytes: int) -> None:
        """Set the size of the message that a connection receives.

        Above the maximum, the largest message is given up; of equal ones, the one that has been
        counted the longest.
        """
        if size_bytes < COUNTED_MIN_BYTES:
            return
        self.total_bytes += size_bytes - self._held_bytes.get(holder, 0)
        self._held_bytes[holder] = size_bytes
        while self.total_bytes > self.max_bytes and self._held_bytes:
            largest = max(self._held_bytes, key=lambda each: self._held_bytes[each])
            self.release(largest)
            self.evicted_total += 1
            largest.evict()

    def release(self, holder: Holder) -> None:
        """Remove the message of a connection, which is complete or was given up."""
        self.total_bytes -= self._held_bytes.pop(holder, 0)
