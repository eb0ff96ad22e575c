"""The state machine of a query: events in, actions out."""

from wisteriarock.bundle.models import ActiveBundle, CoverageRule
from wisteriarock.routing.decide import note_cancelled, note_reply
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
from .extra import hedge, hurry, retry
from .hedging import earn_budget
from .legs import NEVER_MS, cancel_losers, dispatch, give_up, observe_primary, reset_timer
from .merge import build_answer, drop_reason, take_rows
from .models import LegOutcome, LegReply, QueryRequest
from .state import Action, CancelLeg, Finish, QueryState, SharedState


def start(
    tier: SharedState, request: QueryRequest, bundle: ActiveBundle, routes: Routes, now_ms: float
) -> tuple[QueryState, list[Action]]:
    """Pin a snapshot and send the primary legs.

    Parameters
    ----------
    tier : Tier
        Shared state, whose index has been refreshed for `routes`.
    request : QueryRequest
        An admitted request.
    bundle : ActiveBundle
        The bundle that the request keeps until its end.
    routes : Routes
        `build_routes` of that bundle.
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
        leg_prefix=f"{request.request_id}.{tier.next_query}",
        early_at_ms=now_ms + kind["early_after_ms"] if early else NEVER_MS,
        idempotent=kind["idempotent"] and request.repeatable,
    )
    tier.next_query += 1
    actions: list[Action] = []
    pinned = pin_snapshot(tier.index, request.shards)
    expired = now_ms >= request.deadline_at_ms
    if expired or pinned.snapshot is None:
        state.missing = pinned.missing
        if expired:
            state.missing = dict.fromkeys(request.shards, REASON_DEADLINE)
        _finish(tier, state, now_ms, REASON_DEADLINE, actions)
        return state, actions
    dispatch(tier, state, pinned, now_ms, actions)
    earn_budget(tier.hedging, state.budgets, len(state.slots))
    reset_timer(state, actions)
    return state, actions


def on_reply(tier: SharedState, state: QueryState, reply: LegReply, now_ms: float) -> list[Action]:
    """Take the reply of a leg.

    Parameters
    ----------
    tier : Tier
        Shared state. Its index has to be refreshed when the outcome is `snapshot_gone`.
    state : QueryState
        The query, changed in place. It may be over.
    reply : LegReply
        A reply that was delivered to this query, rightly or not.
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
        tier.dropped[reason] = tier.dropped.get(reason, 0) + 1
        if reason == DROP_MISMATCHED and not state.finished:
            hurry(tier, state, reply["leg_id"], now_ms, actions)
        return actions
    leg = state.legs[reply["leg_id"]]
    slot = leg.slot
    outcome = reply["outcome"]
    elapsed_ms = now_ms - leg.sent_at_ms
    leg.is_open = False
    slot.open_legs.remove(leg)
    note_reply(tier.routing, state.routes, leg.endpoint, outcome, elapsed_ms, now_ms)
    if outcome == LegOutcome.OK:
        if leg.role == ROLE_PRIMARY:
            observe_primary(tier, leg, now_ms)
        take_rows(state, leg, reply)
        slot.due_at_ms = NEVER_MS
        if slot.open_legs:
            cancel_losers(tier, state, slot, now_ms, actions)
    else:
        slot.reason = str(outcome)
        state.shed = state.shed or outcome == LegOutcome.SHEDDING
        if not reply["executed"]:
            state.not_executed += 1
        if not slot.open_legs:
            if reply["executed"] and not state.idempotent:
                give_up(state, slot)
            else:
                retry(tier, state, slot, now_ms, actions)
    if not state.finished:
        if state.unresolved == 0:
            _finish(tier, state, now_ms, REASON_DEADLINE, actions)
        elif now_ms >= state.early_at_ms and _covers_enough(state):
            _finish(tier, state, now_ms, REASON_EARLY, actions)
    return actions


def on_timer(tier: SharedState, state: QueryState, now_ms: float) -> list[Action]:
    """Handle what is due: the deadline, the early answer, hedges and retries."""
    actions: list[Action] = []
    if state.finished:
        return actions
    if now_ms >= state.request.deadline_at_ms:
        _finish(tier, state, now_ms, REASON_DEADLINE, actions)
        return actions
    if now_ms >= state.early_at_ms and _covers_enough(state):
        _finish(tier, state, now_ms, REASON_EARLY, actions)
        return actions
    slots = state.slots
    for slot in slots:
        if slot.due_at_ms <= now_ms + TIMER_SLACK_MS:
            if slot.open_legs:
                hedge(tier, state, slot, now_ms, actions)
            else:
                retry(tier, state, slot, now_ms, actions)
            if state.slots is not slots:
                break  # The query restarted on another snapshot.
    if state.unresolved == 0:
        _finish(tier, state, now_ms, REASON_DEADLINE, actions)
    else:
        state.timer_at_ms = NEVER_MS
        reset_timer(state, actions, now_ms)
    return actions


def abandon(tier: SharedState, state: QueryState) -> list[Action]:
    """Cancel all legs of a query whose caller is gone."""
    actions: list[Action] = []
    state.finished = True
    for slot in state.slots:
        for leg in slot.open_legs:
            note_cancelled(tier.routing, leg.endpoint)
            actions.append(CancelLeg(leg.leg_id, leg.endpoint))
    return actions


def _covers_enough(state: QueryState) -> bool:
    wanted = len(state.request.shards)
    return state.answered >= state.kind["early_min_coverage"] * wanted - 1e-9


def _finish(
    tier: SharedState, state: QueryState, now_ms: float, default_reason: str, actions: list[Action]
) -> None:
    """End the query with what has been merged."""
    answer = build_answer(state, now_ms, default_reason)
    state.finished = True
    for slot in state.slots:
        for leg in slot.open_legs:
            leg.is_open = False
            if leg.role == ROLE_PRIMARY:
                observe_primary(tier, leg, now_ms)
            note_cancelled(tier.routing, leg.endpoint)
            actions.append(CancelLeg(leg.leg_id, leg.endpoint))
    actions.append(Finish(answer))
