"""Endpoints section of the state dump."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from .const import ATTR_CONNECTIONS, ATTR_QUEUE
from .held import HeldEndpoint, effective_slots


def describe_endpoint(held: HeldEndpoint, now_ms: float) -> dict[str, Any]:
    """Return the state of an endpoint, without the contents of its legs."""
    lifecycle = held.lifecycle
    return {
        "state": lifecycle.state.value,
        "incarnation": lifecycle.incarnation,
        "releasing": held.releasing,
        "ready_in_ms": max(0.0, held.ready_at_ms - now_ms),
        "failures_in_row": lifecycle.failures,
        "report_failures_in_row": lifecycle.report_failures,
        "ejected_for_ms": max(0.0, lifecycle.ejected_until_ms - now_ms),
        "slow_start_for_ms": max(0.0, lifecycle.cold_until_ms - now_ms),
        "reported": {k: v for k, v in (lifecycle.report or {}).items() if k != "holdings"},
        "slots": effective_slots(held),
        ATTR_QUEUE: {
            "running": len(held.queue.running),
            "waiting": [len(legs) for legs in held.queue.waiting],
        },
        ATTR_CONNECTIONS: dict(Counter(c.state.value for c in held.connections)),
        "usual_ms": {
            kind: round(estimate.mean_ms, 3) for kind, estimate in held.service_times.items()
        },
        "counters": dict(held.counters),
    }


def endpoint_diagnostics(endpoints: Iterable[HeldEndpoint], now_ms: float) -> dict[str, Any]:
    """Return the states of the given endpoints, by name."""
    return {held.name: describe_endpoint(held, now_ms) for held in endpoints}
