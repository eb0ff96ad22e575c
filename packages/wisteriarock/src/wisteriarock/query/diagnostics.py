"""Query section of the state dump."""

from typing import Any

from .state import SharedState


def query_diagnostics(shared: SharedState, in_flight: int, now_ms: float) -> dict[str, Any]:
    """Return the state shared by all queries, without request contents."""
    hedging = shared.hedging
    return {
        "in_flight": in_flight,
        "dropped_replies": dict(shared.dropped),
        "restarts": shared.restarts,
        "snapshots": shared.index.snapshots,
        "live_holders": sorted(shared.index.live_holders),
        "budget_tokens": round(hedging.budget.tokens, 2),
        "services": {
            name: {
                "samples": latency.samples,
                "hedge_delay_ms": round(latency.hedge_delay_ms, 2),
            }
            for name, latency in hedging.services.items()
        },
        "endpoints": {
            name: {
                "state": stats.state.value,
                "outstanding": stats.outstanding,
                "others": stats.other_legs,
                "failures": stats.failures,
                "overdue_share": round(stats.overdue_share, 3),
                "latency_ms": round(stats.latency_ms, 2),
                "ejected_for_ms": round(max(0.0, stats.ejected_until_ms - now_ms), 1),
            }
            for name, stats in shared.routing.endpoints.items()
        },
    }
