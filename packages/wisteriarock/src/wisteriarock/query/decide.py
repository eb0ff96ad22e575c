"""The state machine of a query: events in, actions out."""

from wisteriarock.bundle.models import ActiveBundle, CoverageRule
from wisteriarock.routing.decide import (
    choose,
    may_take_extra,
    note_cancelled,
    note_lost_race,
    note_reply,
    note_sent,
    shed_recently,
)
from wisteriarock.routing.models import Routes
from wisteriarock.snapshot.decide import pin, replicas_of
from wisteriarock.snapshot.models import Pinned

from .const import (
    BUDGET_RESERVE,
    DROP_LATE,
    DROP_MISMATCHED,
    HEDGE_AGAIN,
    MAX_HEDGES,
    MAX_RESTARTS,
    REASON_DEADLINE,
    REASON_EARLY,
    RESERVE_AGE,
    RESTART_MIN_TIME_LEFT,
    RETRY_PAUSE_MAX_MS,
    RETRY_PAUSE_MS,
    ROLE_HEDGE,
    ROLE_PRIMARY,
    ROLE_RETRY,
)
from .hedging import (
    earn_budget,
    is_slow_service,
    latency_of,
    note_overdue,
    record_latency,
    take_extra,
)
from .merge import build_answer, drop_reason, take_rows
from .models import LegOutcome, LegReply, LegRequest, QueryRequest
from .state import Action, CancelLeg, Finish, Leg, QueryState, SendLeg, SetTimer, Slot, Tier

NEVER_MS = float("inf")
# Timers that are due within this time are handled together.
TIMER_SLACK_MS = 1.0


def start(
    tier: Tier, request: QueryRequest, bundle: ActiveBundle, routes: Routes, now_ms: float
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
        early_at_ms=now_ms + kind["early_after_ms"] if early else NEVER_MS,
        idempotent=kind["idempotent"] and request.repeatable,
    )
    actions: list[Action] = []
    pinned = pin(tier.index, request.shards)
    if pinned.snapshot is None or now_ms >= request.deadline_at_ms:
        state.missing = {s: pinned.missing.get(s, REASON_DEADLINE) for s in request.shards}
        _finish(tier, state, now_ms, REASON_DEADLINE, actions)
        return state, actions
    _dispatch(tier, state, pinned, now_ms, actions)
    earn_budget(tier.hedging, state.budgets, len(state.slots))
    _reset_timer(state, actions)
    return state, actions


def on_reply(tier: Tier, state: QueryState, reply: LegReply, now_ms: float) -> list[Action]:
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
            _hurry(tier, state, reply["leg_id"], now_ms, actions)
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
            _observe_primary(tier, slot, elapsed_ms)
        take_rows(state, leg, reply)
        slot.due_at_ms = NEVER_MS
        if slot.open_legs:
            _cancel_losers(tier, state, slot, now_ms, actions)
    else:
        slot.reason = str(outcome)
        state.shed = state.shed or outcome == LegOutcome.SHEDDING
        if not reply["executed"]:
            state.not_executed += 1
        if not slot.open_legs:
            if reply["executed"] and not state.idempotent:
                _give_up(state, slot)
            else:
                _retry(tier, state, slot, now_ms, actions)
    if not state.finished:
        if state.unresolved == 0:
            _finish(tier, state, now_ms, REASON_DEADLINE, actions)
        elif now_ms >= state.early_at_ms and _covers_enough(state):
            _finish(tier, state, now_ms, REASON_EARLY, actions)
    return actions


def on_timer(tier: Tier, state: QueryState, now_ms: float) -> list[Action]:
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
                _hedge(tier, state, slot, now_ms, actions)
            else:
                _retry(tier, state, slot, now_ms, actions)
            if state.slots is not slots:
                break  # The query restarted on another snapshot.
    if state.unresolved == 0:
        _finish(tier, state, now_ms, REASON_DEADLINE, actions)
    else:
        state.timer_at_ms = NEVER_MS
        _reset_timer(state, actions, now_ms)
    return actions


def abandon(tier: Tier, state: QueryState) -> list[Action]:
    """Cancel all legs of a query whose caller is gone."""
    actions: list[Action] = []
    state.finished = True
    for slot in state.slots:
        for leg in slot.open_legs:
            note_cancelled(tier.routing, leg.endpoint)
            actions.append(CancelLeg(leg.leg_id, leg.endpoint))
    return actions


def _dispatch(
    tier: Tier, state: QueryState, pinned: Pinned, now_ms: float, actions: list[Action]
) -> None:
    """Send one leg for each partition of the pinned snapshot."""
    state.snapshot = pinned.snapshot
    state.missing = pinned.missing
    state.slots = slots = []
    endpoints = state.routes.endpoints
    for shard, plan in pinned.shards.items():
        state.shard_open[shard] = len(plan)
        for partition, replicas in plan:
            chosen = choose(tier.routing, state.routes, replicas, now_ms, tier.rng)
            service = endpoints[chosen or replicas[0]].service
            slot = Slot(shard, partition, latency_of(tier.hedging, service))
            slots.append(slot)
            if chosen is None:
                slot.reason = LegOutcome.DRAINING.value
                _pause(state, slot, now_ms, actions)
            else:
                _send(tier, state, slot, chosen, ROLE_PRIMARY, now_ms, actions)
    state.unresolved = len(slots)


def _send(
    tier: Tier,
    state: QueryState,
    slot: Slot,
    endpoint: str,
    role: str,
    now_ms: float,
    actions: list[Action],
) -> None:
    request = state.request
    leg_id = f"{request.request_id}.{state.next_leg}"
    state.next_leg += 1
    leg = Leg(leg_id, endpoint, role, now_ms, slot)
    state.legs[leg_id] = leg
    slot.open_legs.append(leg)
    slot.tried.append(endpoint)
    note_sent(tier.routing, endpoint)
    counted = role, state.routes.endpoints[endpoint].zone != tier.routing.own_zone
    state.leg_counts[counted] = state.leg_counts.get(counted, 0) + 1
    shard, part, parts = slot.partition
    sent: LegRequest = {
        "leg_id": leg_id,
        "request_id": request.request_id,
        "endpoint": endpoint,
        "kind": request.kind,
        "priority": state.kind["priority"],
        "shard": shard,
        "part": part,
        "parts": parts,
        "snapshot": state.snapshot if state.snapshot is not None else -1,
        "deadline_ms": request.deadline_at_ms - now_ms,
        "idempotent": state.idempotent,
        "params": request.params,
    }
    actions.append(SendLeg(sent, role))
    if state.idempotent and state.kind["hedge"]:
        _wake(state, slot, now_ms + slot.latency.delay_ms, actions)
    else:
        slot.due_at_ms = NEVER_MS


def _wake(state: QueryState, slot: Slot, at_ms: float, actions: list[Action]) -> None:
    """Come back to a partition at a time, with an earlier timer if need be."""
    slot.due_at_ms = at_ms
    if at_ms < state.timer_at_ms and state.timer_at_ms != NEVER_MS:
        state.timer_at_ms = at_ms
        actions.append(SetTimer(at_ms))


def _pause(state: QueryState, slot: Slot, now_ms: float, actions: list[Action]) -> None:
    slot.pause_ms = min(RETRY_PAUSE_MAX_MS, max(RETRY_PAUSE_MS, 2 * slot.pause_ms))
    _wake(state, slot, now_ms + slot.pause_ms, actions)


def _reset_timer(state: QueryState, actions: list[Action], now_ms: float = -NEVER_MS) -> None:
    """Set the timer to the earliest time at which anything is due."""
    at_ms = state.request.deadline_at_ms
    if state.early_at_ms > now_ms:
        at_ms = min(at_ms, state.early_at_ms)
    for slot in state.slots:
        if slot.due_at_ms < at_ms:
            at_ms = slot.due_at_ms
    state.timer_at_ms = at_ms
    actions.append(SetTimer(at_ms))


def _observe_primary(tier: Tier, slot: Slot, elapsed_ms: float) -> None:
    """Learn from the time that a primary leg took, or had taken when it was cancelled."""
    if not slot.counted_overdue:
        slot.counted_overdue = True
        overdue = elapsed_ms > slot.latency.delay_ms
        note_overdue(slot.latency, overdue)
    record_latency(tier.hedging, slot.latency, elapsed_ms)


def _cancel_losers(
    tier: Tier, state: QueryState, slot: Slot, now_ms: float, actions: list[Action]
) -> None:
    for leg in slot.open_legs:
        leg.is_open = False
        state.retired.add(leg.leg_id)
        if leg.role == ROLE_PRIMARY:
            _observe_primary(tier, slot, now_ms - leg.sent_at_ms)
            note_lost_race(tier.routing, state.routes, leg.endpoint, now_ms)
        else:
            note_cancelled(tier.routing, leg.endpoint)
        actions.append(CancelLeg(leg.leg_id, leg.endpoint))
    slot.open_legs.clear()


def _give_up(state: QueryState, slot: Slot) -> None:
    slot.failed = True
    slot.due_at_ms = NEVER_MS
    state.unresolved -= 1


def _hurry(
    tier: Tier, state: QueryState, leg_id: str, now_ms: float, actions: list[Action]
) -> None:
    """Hedge a leg at once whose reply was another leg's: its own reply may never come."""
    leg = state.legs.get(leg_id)
    if leg is not None and leg.is_open and leg.slot.due_at_ms != NEVER_MS:
        _hedge(tier, state, leg.slot, now_ms, actions)


def _hedge(tier: Tier, state: QueryState, slot: Slot, now_ms: float, actions: list[Action]) -> None:
    """Send a second leg for a late partition, if the budget and the replicas' load allow it."""
    hedging = tier.hedging
    if not slot.counted_overdue:
        slot.counted_overdue = True
        note_overdue(slot.latency, True)
    if slot.hedges >= MAX_HEDGES:
        slot.due_at_ms = NEVER_MS
        return
    delay_ms = slot.latency.delay_ms
    again_at_ms = now_ms + max(hedging.min_ms, HEDGE_AGAIN * delay_ms)
    if is_slow_service(slot.latency):
        _wake(state, slot, again_at_ms, actions)
        return
    able = [
        name
        for name in replicas_of(tier.index, state.snapshot or 0, slot.partition)
        if may_take_extra(tier.routing, state.routes, name, now_ms)
    ]
    # A second hedge may go to an endpoint again when there is no third replica.
    untried = [name for name in able if name not in slot.tried]
    if slot.hedges and not untried:
        untried = [name for name in able if name != slot.tried[-1]]
    chosen = choose(tier.routing, state.routes, untried, now_ms, tier.rng)
    age = (now_ms - slot.open_legs[0].sent_at_ms) / delay_ms
    reserve = BUDGET_RESERVE * max(0.0, 1.0 - (age - 1.0) / (RESERVE_AGE - 1.0))
    if chosen is None or not take_extra(hedging, now_ms, reserve):
        _wake(state, slot, again_at_ms, actions)
        return
    slot.hedges += 1
    _send(tier, state, slot, chosen, ROLE_HEDGE, now_ms, actions)


def _retry(tier: Tier, state: QueryState, slot: Slot, now_ms: float, actions: list[Action]) -> None:
    """Send another leg for a partition whose legs have all ended, now or after a pause."""
    gone = slot.reason == LegOutcome.SNAPSHOT_GONE
    replicas = replicas_of(tier.index, state.snapshot or 0, slot.partition)
    untried = [name for name in replicas if name not in slot.tried]
    # An endpoint that dropped the snapshot won't get it back. Any other is tried again, but only
    # after a pause.
    if not untried and not gone and slot.due_at_ms <= now_ms + TIMER_SLACK_MS:
        untried = replicas
    if slot.reason == LegOutcome.SHEDDING:
        able = [n for n in untried if may_take_extra(tier.routing, state.routes, n, now_ms)]
    else:
        able = [n for n in untried if not shed_recently(tier.routing, n, now_ms)]
    chosen = choose(tier.routing, state.routes, able, now_ms, tier.rng)
    # A partition that got no leg yet, because all its replicas were draining, needs no budget.
    if chosen is not None and (not slot.tried or take_extra(tier.hedging, now_ms)):
        role = ROLE_RETRY if slot.tried else ROLE_PRIMARY
        _send(tier, state, slot, chosen, role, now_ms, actions)
    elif not gone:
        _pause(state, slot, now_ms, actions)
    elif not _restart(tier, state, now_ms, actions):
        if _may_restart(state, now_ms):
            _pause(state, slot, now_ms, actions)
        else:
            _give_up(state, slot)


def _may_restart(state: QueryState, now_ms: float) -> bool:
    left_ms = state.request.deadline_at_ms - now_ms
    total_ms = state.request.deadline_at_ms - state.started_at_ms
    return (
        state.idempotent
        and state.restarts < MAX_RESTARTS
        and left_ms >= RESTART_MIN_TIME_LEFT * total_ms
    )


def _restart(tier: Tier, state: QueryState, now_ms: float, actions: list[Action]) -> bool:
    """Begin again on a newer snapshot and tell whether there is one that covers more.

    Rows and legs of the former snapshot are dropped, so that no reply to them can be merged.
    """
    if not _may_restart(state, now_ms):
        return False
    pinned = pin(tier.index, state.request.shards, newer_than=state.snapshot or 0)
    lost = {s.shard for s in state.slots if s.rows is None and not s.open_legs}
    if pinned.snapshot is None or len(pinned.shards) <= len(state.shard_open) - len(lost):
        return False
    for slot in state.slots:
        for leg in slot.open_legs:
            note_cancelled(tier.routing, leg.endpoint)
            actions.append(CancelLeg(leg.leg_id, leg.endpoint))
    state.retired.update(state.legs)
    state.legs.clear()
    state.shard_open.clear()
    state.answered = 0
    state.restarts += 1
    tier.restarts += 1
    state.timer_at_ms = NEVER_MS
    _dispatch(tier, state, pinned, now_ms, actions)
    _reset_timer(state, actions, now_ms)
    return True


def _covers_enough(state: QueryState) -> bool:
    wanted = len(state.request.shards)
    return state.answered >= state.kind["early_min_coverage"] * wanted - 1e-9


def _finish(
    tier: Tier, state: QueryState, now_ms: float, default_reason: str, actions: list[Action]
) -> None:
    """End the query with what has been merged."""
    answer = build_answer(state, now_ms, default_reason)
    state.finished = True
    for slot in state.slots:
        for leg in slot.open_legs:
            leg.is_open = False
            if leg.role == ROLE_PRIMARY:
                _observe_primary(tier, slot, now_ms - leg.sent_at_ms)
            note_cancelled(tier.routing, leg.endpoint)
            actions.append(CancelLeg(leg.leg_id, leg.endpoint))
    actions.append(Finish(answer))
