"""Peers section of the state dump."""

from collections.abc import Mapping
from typing import Any

from .pool import PeerPool


def pool_diagnostics(
    pools: Mapping[tuple[str, str], PeerPool], open_streams: int
) -> dict[str, Any]:
    """Return connection counts by peer and purpose, and the number of open leg streams."""
    connections: dict[str, dict[str, dict[str, int]]] = {}
    for (instance, purpose), pool in pools.items():
        counts = {"open": len(pool.opened_at_ms), "idle": len(pool.idle)}
        connections.setdefault(instance, {})[purpose] = counts
    return {"connections": connections, "open_streams": open_streams}
