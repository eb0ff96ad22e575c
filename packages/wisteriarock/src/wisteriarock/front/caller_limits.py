"""Limits on the memory and descriptors that callers may make an instance use."""

from collections.abc import Callable

from wisteriarock.http.buffers import BufferBudget

from .const import (
    ACCOUNT_FREE_SHARE,
    ACCOUNT_MIN_BYTES,
    BUFFER_MEMORY_SHARE,
    CONNECTION_COST_BYTES,
    CONNECTION_MEMORY_SHARE,
    FILE_DESCRIPTORS,
    LISTENER_CONNECTIONS_MIN,
    PROCESS_BYTES,
    REQUEST_MEMORY_SHARE,
    SPARE_MEMORY_SHARE,
)
from .settings import FrontSettings


def create_budget(settings: FrontSettings, clock_ms: Callable[[], float]) -> BufferBudget:
    """Return the bound on the memory that connections and requests may hold.

    A share of the memory limit; less if the limit leaves little beside the process itself.
    """
    memory_bytes = settings.memory_mb * 1_000_000
    free_bytes = memory_bytes * (1.0 - SPARE_MEMORY_SHARE) - PROCESS_BYTES
    most_bytes = max(ACCOUNT_MIN_BYTES, free_bytes * ACCOUNT_FREE_SHARE)
    return BufferBudget(
        int(min(memory_bytes * BUFFER_MEMORY_SHARE, most_bytes)),
        int(min(memory_bytes * REQUEST_MEMORY_SHARE, most_bytes)),
        clock_ms,
    )


def connections_max(settings: FrontSettings, descriptor_share: float) -> int:
    """Return the number of connections to a listener that descriptors and memory allow."""
    descriptors = max(0, settings.max_descriptors - FILE_DESCRIPTORS) * descriptor_share
    memory_bytes = settings.memory_mb * 1_000_000 * CONNECTION_MEMORY_SHARE
    most = int(min(descriptors, memory_bytes / CONNECTION_COST_BYTES))
    return max(LISTENER_CONNECTIONS_MIN, most)
