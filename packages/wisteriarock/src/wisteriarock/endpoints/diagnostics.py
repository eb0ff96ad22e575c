"""The endpoints' part of the state dump."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from .const import ATTR_CONNECTIONS, ATTR_QUEUE
from .held import HeldEndpoint, effective_slots


def dump_held(held: HeldEndpoint, now_ms: float) -> dict[str, Any]:
    """Return the state of one endpoint, without the contents of its legs."""
    life = held.life
    return {
        "state": life.state.value,
        "incarnation": life.incarnation,
        "releasing": held.releasing,
        "ready_in_ms": max(0.0, held.ready_at_ms - now_ms),
        "failures_in_row": life.failures,
        "report_failures_in_row": life.report_failures,
        "ejected_for_ms": max(0.0, life.ejected_until_ms - now_ms),
        "slow_start_for_ms": max(0.0, life.cold_until_ms - now_ms),
        "reported": {k: v for k, v in (life.report or {}).items() if k != "holdings"},
        "slots": effective_slots(held),
        ATTR_QUEUE: {
            "running": len(held.queue.running),
            "waiting": [len(legs) for legs in held.queue.waiting],
        },
        ATTR_CONNECTIONS: dict(Counter(c.state.value for c in held.connections)),
        "usual_ms": {kind: round(usual.mean_ms, 3) for kind, usual in held.usual.items()},
        "counters": dict(held.counters),
    }


def dump_endpoints(endpoints: Iterable[HeldEndpoint], now_ms: float) -> dict[str, Any]:
    """Return the state of every endpoint held here, by name."""
    return {held.name: dump_held(held, now_ms) for held in endpoints}
