"""Check replies and build the answer."""

from .const import (
    DROP_DUPLICATE,
    DROP_LATE,
    DROP_MISMATCHED,
    ERROR_DEADLINE,
    ERROR_NO_SNAPSHOT,
    ERROR_OVERLOADED,
    ERROR_UNAVAILABLE,
    ERROR_UNKNOWN,
    REASON_DEADLINE,
    RETRY_AFTER_MS,
    ROLE_HEDGE,
    ROLE_RETRY,
)
from .models import ErrorBody, LegReply, MissingShard, Outcome, QueryAnswer
from .state import Leg, QueryState, Slot


def drop_reason(state: QueryState, reply: LegReply) -> str | None:
    """Return why a reply must not be merged, or None if it may be.

    A reply belongs to a leg only if it names the leg, its endpoint, its partition and the pinned
    snapshot. Any other one was delivered in place of another reply.
    """
    leg = state.legs.get(reply["leg_id"])
    if leg is None:
        # Legs of a snapshot that the query has left are only known as retired.
        return DROP_LATE if reply["leg_id"] in state.retired else DROP_MISMATCHED
    partition = leg.slot.partition
    if (
        reply["endpoint"] != leg.endpoint
        or reply["snapshot"] != state.snapshot
        or reply["shard"] != partition.shard
        or reply["part"] != partition.part
        or reply["parts"] != partition.parts
    ):
        return DROP_MISMATCHED
    if not leg.is_open:
        return DROP_DUPLICATE if leg.leg_id not in state.retired else DROP_LATE
    return None


def take_rows(state: QueryState, leg: Leg, reply: LegReply) -> None:
    """Add the rows of a reply that belongs to an unanswered partition."""
    slot = leg.slot
    slot.rows = reply["rows"]
    state.unresolved -= 1
    left = state.shard_open[slot.shard] = state.shard_open[slot.shard] - 1
    if left == 0:
        state.answered += 1


def _missing_reason(slots: list[Slot], default: str) -> str:
    """Return why the first partition that didn't answer is missing."""
    waiting = next(slot for slot in slots if slot.rows is None)
    return default if waiting.open_legs else waiting.reason or default


def _outcome(state: QueryState) -> Outcome:
    if state.answered == len(state.request.shards):
        return Outcome.COMPLETE
    if state.answered:
        return Outcome.PARTIAL
    # Proved only if each leg that was sent is known not to have run.
    return Outcome.UNKNOWN if state.next_leg > state.not_executed else Outcome.NOT_RUN


def _error(state: QueryState, outcome: Outcome) -> ErrorBody | None:
    if outcome is Outcome.UNKNOWN:
        return ErrorBody(
            code=ERROR_UNKNOWN, message="The request may have run, but no shard answered.", path=""
        )
    if outcome is not Outcome.NOT_RUN:
        return None
    if REASON_DEADLINE in state.missing.values():
        return ErrorBody(
            code=ERROR_DEADLINE, message="The deadline passed before any leg was sent.", path=""
        )
    if state.snapshot is None:
        return ErrorBody(
            code=ERROR_NO_SNAPSHOT, message="No snapshot has any of the shards.", path="$.shards"
        )
    if state.shed:
        return ErrorBody(code=ERROR_OVERLOADED, message="The endpoints are overloaded.", path="")
    return ErrorBody(code=ERROR_UNAVAILABLE, message="No endpoint took the request.", path="")


def _count(state: QueryState, role: str) -> int:
    return sum(count for (counted, _), count in state.leg_counts.items() if counted == role)


def build_answer(state: QueryState, now_ms: float, default_reason: str) -> QueryAnswer:
    """Return the answer with what has been merged so far.

    Parameters
    ----------
    state : QueryState
        The query. Its open legs are those that it still waits for.
    now_ms : float
        Monotonic time in milliseconds.
    default_reason : str
        Reason of shards that were still being waited for.

    Returns
    -------
    QueryAnswer
        Rows are in the order of the wanted shards, and of parts within a shard. Rows of a shard
        of which a part is missing are left out, so that rows and coverage agree.
    """
    by_shard: dict[str, list[Slot]] = {}
    for slot in state.slots:
        by_shard.setdefault(slot.shard, []).append(slot)
    answered: list[str] = []
    missing: list[MissingShard] = []
    rows = []
    for shard in state.request.shards:
        slots = by_shard.get(shard)
        if slots is None:
            missing.append(MissingShard(shard=shard, reason=state.missing[shard]))
        elif state.shard_open[shard]:
            reason = _missing_reason(slots, default_reason)
            missing.append(MissingShard(shard=shard, reason=reason))
        else:
            answered.append(shard)
            for slot in slots:
                rows.extend(slot.rows or [])
    outcome = _outcome(state)
    return QueryAnswer(
        request_id=state.request.request_id,
        outcome=outcome,
        snapshot=state.snapshot,
        coverage={"answered": answered, "missing": missing},
        rows=rows,
        stats={
            "legs": state.next_leg,
            "hedges": _count(state, ROLE_HEDGE),
            "retries": _count(state, ROLE_RETRY),
            "cross_zone_legs": sum(n for (_, crossed), n in state.leg_counts.items() if crossed),
            "elapsed_ms": round(now_ms - state.started_at_ms, 3),
        },
        bundle_revision=state.bundle_revision,
        error=_error(state, outcome),
        retry_after_ms=RETRY_AFTER_MS if outcome is Outcome.NOT_RUN else None,
    )
