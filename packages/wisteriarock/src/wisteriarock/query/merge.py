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
from .state import Leg, QueryState, Subquery


def drop_reason(state: QueryState, reply: LegReply) -> str | None:
    """Return why a reply must not be merged, or None if it may be.

    A reply belongs to a leg only if it names the leg, its endpoint, its partition and the pinned
    snapshot. Any other reply was meant for a different leg.
    """
    leg = state.legs.get(reply["leg_id"])
    if leg is None:
        # Legs for a previous snapshot are known only by their ids.
        return DROP_LATE if reply["leg_id"] in state.obsolete_leg_ids else DROP_MISMATCHED
    partition = leg.subquery.partition
    if (
        reply["endpoint"] != leg.endpoint
        or reply["snapshot"] != state.snapshot
        or reply["shard"] != partition.shard
        or reply["part"] != partition.part
        or reply["parts"] != partition.parts
    ):
        return DROP_MISMATCHED
    if not leg.is_open:
        return DROP_DUPLICATE if leg.leg_id not in state.obsolete_leg_ids else DROP_LATE
    return None


def merge_rows(state: QueryState, leg: Leg, reply: LegReply) -> None:
    """Store the rows of a reply to an unanswered subquery."""
    subquery = leg.subquery
    subquery.rows = reply["rows"]
    state.unresolved -= 1
    remaining = state.unanswered_by_shard[subquery.shard] = (
        state.unanswered_by_shard[subquery.shard] - 1
    )
    if remaining == 0:
        state.answered += 1


def _missing_reason(subqueries: list[Subquery], default: str) -> str:
    """Return the reason of the first unanswered subquery."""
    first_missing = next(subquery for subquery in subqueries if subquery.rows is None)
    return default if first_missing.open_legs else first_missing.reason or default


def _determine_outcome(state: QueryState) -> Outcome:
    if state.answered == len(state.request.shards):
        return Outcome.COMPLETE
    if state.answered:
        return Outcome.PARTIAL
    # NOT_RUN requires that every leg sent is known not to have run.
    return Outcome.UNKNOWN if state.next_leg > state.not_executed else Outcome.NOT_RUN


def _build_error(state: QueryState, outcome: Outcome) -> ErrorBody | None:
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


def _count_legs(state: QueryState, role: str) -> int:
    return sum(count for (leg_role, _), count in state.leg_counts.items() if leg_role == role)


def build_answer(state: QueryState, now_ms: float, default_reason: str) -> QueryAnswer:
    """Return the answer with what has been merged so far.

    Parameters
    ----------
    state : QueryState
        The query. Its open legs are still awaiting replies.
    now_ms : float
        Monotonic time in milliseconds.
    default_reason : str
        Reason for shards whose legs are still awaiting replies.

    Returns
    -------
    QueryAnswer
        Rows are in the order of the requested shards, and of parts within a shard. A shard with a
        missing part contributes no rows, so that rows and coverage agree.
    """
    by_shard: dict[str, list[Subquery]] = {}
    for subquery in state.subqueries:
        by_shard.setdefault(subquery.shard, []).append(subquery)
    answered: list[str] = []
    missing: list[MissingShard] = []
    rows = []
    for shard in state.request.shards:
        subqueries = by_shard.get(shard)
        if subqueries is None:
            missing.append(MissingShard(shard=shard, reason=state.missing[shard]))
        elif state.unanswered_by_shard[shard]:
            reason = _missing_reason(subqueries, default_reason)
            missing.append(MissingShard(shard=shard, reason=reason))
        else:
            answered.append(shard)
            for subquery in subqueries:
                rows.extend(subquery.rows or [])
    outcome = _determine_outcome(state)
    return QueryAnswer(
        request_id=state.request.request_id,
        outcome=outcome,
        snapshot=state.snapshot,
        coverage={"answered": answered, "missing": missing},
        rows=rows,
        stats={
            "legs": state.next_leg,
            "hedges": _count_legs(state, ROLE_HEDGE),
            "retries": _count_legs(state, ROLE_RETRY),
            "cross_zone_legs": sum(
                n for (_, cross_zone), n in state.leg_counts.items() if cross_zone
            ),
            "elapsed_ms": round(now_ms - state.started_at_ms, 3),
        },
        bundle_revision=state.bundle_revision,
        error=_build_error(state, outcome),
        retry_after_ms=RETRY_AFTER_MS if outcome is Outcome.NOT_RUN else None,
    )
