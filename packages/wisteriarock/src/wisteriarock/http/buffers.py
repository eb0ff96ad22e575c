"""Bounds on the memory that the connections of a process hold for messages and requests."""

from collections.abc import Callable
from typing import Protocol

from .const import COUNTED_MIN_BYTES


class Holder(Protocol):
    """A connection that holds the bytes of an incomplete message."""

    def evict(self) -> None:
        """Give up the message, so that its bytes are released."""


class BufferBudget:
    """Memory held by connection for messages, and by requests under way, each up to a maximum.

    What a connection holds can be given up; the memory of a request under way cannot, so that a
    request is not started above the maximum.

    Attributes
    ----------
    evicted_total : int
        Number of messages that were given up.
    refused_total : int
        Number of requests that were not started.
    max_reserved_bytes : int or None
        Maximum for the requests under way; None for no maximum.
    """

    __slots__ = (
        "_clock_ms",
        "_held",
        "evicted_total",
        "max_bytes",
        "max_reserved_bytes",
        "refused_total",
        "reserved_bytes",
        "total_bytes",
    )

    def __init__(
        self,
        max_bytes: int,
        max_reserved_bytes: int | None = None,
        clock_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.max_bytes = max_bytes
        self.max_reserved_bytes = max_reserved_bytes
        self.total_bytes = 0
        self.reserved_bytes = 0
        self.evicted_total = 0
        self.refused_total = 0
        self._clock_ms = clock_ms
        # Size and time of the first count by connection.
        self._held: dict[Holder, tuple[int, float]] = {}

    def hold(self, holder: Holder, size_bytes: int) -> None:
        """Set the size of the reply that a connection receives; small ones are not counted."""
        if size_bytes >= COUNTED_MIN_BYTES:
            self.charge(holder, size_bytes)

    def charge(self, holder: Holder, size_bytes: int) -> None:
        """Set the memory that a connection holds.

        Above the maximum, messages are given up by their size and the time for which they have been
        held, so that a caller that sends without a pause comes last; of equal ones, the one that
        has been counted the longest.
        """
        held_bytes, since_ms = self._held.get(holder) or (0, self._clock_ms())
        self.total_bytes += size_bytes - held_bytes
        self._held[holder] = (size_bytes, since_ms)
        while self.total_bytes > self.max_bytes and self._held:
            now_ms = self._clock_ms()
            costliest = max(self._held, key=lambda each: self._cost(each, now_ms))
            self.release(costliest)
            self.evicted_total += 1
            costliest.evict()

    def _cost(self, holder: Holder, now_ms: float) -> float:
        size_bytes, since_ms = self._held[holder]
        return size_bytes * (1.0 + now_ms - since_ms)

    def release(self, holder: Holder) -> None:
        """Remove the message of a connection, which is complete or was given up."""
        held = self._held.pop(holder, None)
        if held is not None:
            self.total_bytes -= held[0]

    def can_reserve(self, size_bytes: int) -> bool:
        """Return whether there is memory for another request."""
        maximum = self.max_reserved_bytes
        return maximum is None or self.reserved_bytes + size_bytes <= maximum

    def reserve(self, size_bytes: int) -> bool:
        """Count the memory of a request under way; return False if it must not be started."""
        if not self.can_reserve(size_bytes):
            self.refused_total += 1
            return False
        self.reserved_bytes += size_bytes
        return True

    def return_reserved(self, size_bytes: int) -> None:
        """Return the memory of a request that has ended."""
        self.reserved_bytes -= size_bytes
