"""Query state machine: turns events into actions."""

from wisteriarock.bundle.models import ActiveBundle, CoverageRule
from wisteriarock.routing.decide import record_leg_cancelled, record_leg_reply
from wisteriarock.routing.models import Routes
from wisteriarock.snapshot.decide import pin_snapshot

from .const import (
    DROP_LATE,
    DROP_MISMATCHED,
    REASON_DEADLINE,
    REASON_EARLY,
    ROLE_PRIMARY,
    TIMER_SLACK_MS,
)
from .extra import hedge, hedge_immediately, retry
from .hedging import deposit_budget
from .legs import (
    NEVER_MS,
    cancel_open_legs,
    mark_failed,
    record_primary_leg,
    reset_timer,
    send_primary_legs,
)
from .merge import build_answer, drop_reason, merge_rows
from .models import LegOutcome, LegReply, QueryRequest
from .state import Action, CancelLeg, Finish, QueryState, SharedState


def start_query(
    shared: SharedState, request: QueryRequest, bundle: ActiveBundle, routes: Routes, now_ms: float
) -> tuple[QueryState, list[Action]]:
    """Pin a snapshot and send the primary legs.

    Parameters
    ----------
    shared : SharedState
        Shared state, whose index has been refreshed for `routes`.
    request : QueryRequest
        An admitted request.
    bundle : ActiveBundle
        The bundle that applies to the whole query, even if a newer one arrives.
    routes : Routes
        Result of `build_routes` for that bundle.
    now_ms : float
        Monotonic time in milliseconds.

    Returns
    -------
    tuple
        The state to pass to the other functions, and the first actions.
    """
    kind = bundle.content["kinds"][request.kind]
    early = kind["coverage"] == CoverageRule.EARLY
    state = QueryState(
        request=request,
        kind=kind,
        budgets=bundle.content["budgets"],
        routes=routes,
        bundle_revision=bundle.revision,
        started_at_ms=now_ms,
        leg_prefix=f"{request.request_id}.{shared.next_query}",
        early_at_ms=now_ms + kind["early_after_ms"] if early else NEVER_MS,
        idempotent=kind["idempotent"] and request.repeatable,
    )
    shared.next_query += 1
    actions: list[Action] = []
    pinned = pin_snapshot(shared.index, request.shards)
    expired = now_ms >= request.deadline_at_ms
    if expired or pinned.snapshot is None:
        state.missing = pinned.missing
        if expired:
            state.missing = dict.fromkeys(request.shards, REASON_DEADLINE)
        _finish(shared, state, now_ms, REASON_DEADLINE, actions)
        return state, actions
    send_primary_legs(shared, state, pinned, now_ms, actions)
    deposit_budget(shared.hedging, state.budgets, len(state.subqueries))
    reset_timer(state, actions)
    return state, actions


def on_reply(
    shared: SharedState, state: QueryState, reply: LegReply, now_ms: float
) -> list[Action]:
    """Process the reply to a leg.

    Parameters
    ----------
    shared : SharedState
        Shared state. Its index must have been refreshed if the outcome is `snapshot_gone`.
    state : QueryState
        The query, modified in place. It may already be finished.
    reply : LegReply
        A reply delivered to this query. It may be late, a duplicate or meant for another leg.
    now_ms : float
        Monotonic time in milliseconds.

    Returns
    -------
    list of Action
        Empty when the reply is dropped.
    """
    actions: list[Action] = []
    reason = DROP_LATE if state.finished else drop_reason(state, reply)
    if reason is not None:
        shared.dropped[reason] = shared.dropped.get(reason, 0) + 1
        if reason == DROP_MISMATCHED and not state.finished:
            hedge_immediately(shared, state, reply["leg_id"], now_ms, actions)
        return actions
    leg = state.legs[reply["leg_id"]]
    subquery = leg.subquery
    outcome = reply["outcome"]
    elapsed_ms = now_ms - leg.sent_at_ms
    leg.is_open = False
    subquery.open_legs.remove(leg)
    record_leg_reply(shared.routing, state.routes, leg.endpoint, outcome, elapsed_ms, now_ms)
    if outcome == LegOutcome.OK:
        if leg.role == ROLE_PRIMARY:
            record_primary_leg(shared, leg, now_ms)
        merge_rows(state, leg, reply)
        subquery.next_attempt_at_ms = NEVER_MS
        if subquery.open_legs:
            cancel_open_legs(shared, state, subquery, now_ms, actions)
    else:
        subquery.reason = str(outcome)
        state.shed = state.shed or outcome == LegOutcome.SHEDDING
        if not reply["executed"]:
            state.not_executed += 1
        if not subquery.open_legs:
            if reply["executed"] and not state.idempotent:
                mark_failed(state, subquery)
            else:
                retry(shared, state, subquery, now_ms, actions)
    if not state.finished:
        if state.unresolved == 0:
            _finish(shared, state, now_ms, REASON_DEADLINE, actions)
        elif now_ms >= state.early_at_ms and _has_min_coverage(state):
            _finish(shared, state, now_ms, REASON_EARLY, actions)
    return actions


def on_timer(shared: SharedState, state: QueryState, now_ms: float) -> list[Action]:
    """Handle an expired timer: the deadline, the early answer, hedges and retries."""
    actions: list[Action] = []
    if state.finished:
        return actions
    if now_ms >= state.request.deadline_at_ms:
        _finish(shared, state, now_ms, REASON_DEADLINE, actions)
        return actions
    if now_ms >= state.early_at_ms and _has_min_coverage(state):
        _finish(shared, state, now_ms, REASON_EARLY, actions)
        return actions
    subqueries = state.subqueries
    for subquery in subqueries:
        if subquery.next_attempt_at_ms <= now_ms + TIMER_SLACK_MS:
            if subquery.open_legs:
                hedge(shared, state, subquery, now_ms, actions)
            else:
                retry(shared, state, subquery, now_ms, actions)
            if state.subqueries is not subqueries:
                break  # The query restarted on another snapshot.
    if state.unresolved == 0:
        _finish(shared, state, now_ms, REASON_DEADLINE, actions)
    else:
        state.timer_at_ms = NEVER_MS
        reset_timer(state, actions, now_ms)
    return actions


def cancel_query(shared: SharedState, state: QueryState) -> list[Action]:
    """Cancel all open legs of a query whose caller has disconnected."""
    actions: list[Action] = []
    state.finished = True
    for subquery in state.subqueries:
        for leg in subquery.open_legs:
            record_leg_cancelled(shared.routing, leg.endpoint)
            actions.append(CancelLeg(leg.leg_id, leg.endpoint))
    return actions


def _has_min_coverage(state: QueryState) -> bool:
    shard_count = len(state.request.shards)
    return state.answered >= state.kind["early_min_coverage"] * shard_count - 1e-9


def _finish(
    shared: SharedState,
    state: QueryState,
    now_ms: float,
    default_reason: str,
    actions: list[Action],
) -> None:
    """Finish the query with the rows merged so far and cancel its open legs."""
    answer = build_answer(state, now_ms, default_reason)
    state.finished = True
    for subquery in state.subqueries:
        for leg in subquery.open_legs:
            leg.is_open = False
            if leg.role == ROLE_PRIMARY:
                record_primary_leg(shared, leg, now_ms)
            record_leg_cancelled(shared.routing, leg.endpoint)
            actions.append(CancelLeg(leg.leg_id, leg.endpoint))
    actions.append(Finish(answer))
