"""Build replies to legs."""

from .models import LegOutcome, LegReply, LegRequest


def reply_without_rows(
    leg: LegRequest,
    outcome: LegOutcome,
    executed: bool,
    queued_ms: float = 0.0,
    service_ms: float = 0.0,
) -> LegReply:
    """Return a reply to a leg, without rows."""
    return {
        "leg_id": leg["leg_id"],
        "endpoint": leg["endpoint"],
        "outcome": outcome,
        "executed": executed,
        "shard": leg["shard"],
        "part": leg["part"],
        "parts": leg["parts"],
        "snapshot": leg["snapshot"],
        "rows": [],
        "queued_ms": queued_ms,
        "service_ms": service_ms,
    }
