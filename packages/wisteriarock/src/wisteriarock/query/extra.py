"""Decide on legs beyond the first of a partition: hedges, retries and restarts."""

from wisteriarock.routing.decide import (
    choose,
    may_take_extra,
    note_cancelled,
    note_overdue,
    shed_recently,
)
from wisteriarock.snapshot.decide import pin_snapshot, replicas_of

from .const import (
    BUDGET_RESERVE,
    HEDGE_AGAIN,
    MAX_HEDGES,
    MAX_RESTARTS,
    RESERVE_AGE,
    RESTART_MIN_TIME_LEFT,
    ROLE_HEDGE,
    ROLE_PRIMARY,
    ROLE_RETRY,
    TIMER_SLACK_MS,
)
from .hedging import take_extra
from .legs import NEVER_MS, dispatch, give_up, pause, reset_timer, send, wake
from .models import LegOutcome
from .state import Action, CancelLeg, QueryState, SharedState, Slot


def hurry(
    tier: SharedState, state: QueryState, leg_id: str, now_ms: float, actions: list[Action]
) -> None:
    """Hedge a leg at once whose reply was another leg's: its own reply may never come."""
    leg = state.legs.get(leg_id)
    if leg is not None and leg.is_open and leg.slot.due_at_ms != NEVER_MS:
        hedge(tier, state, leg.slot, now_ms, actions)


def hedge(
    tier: SharedState, state: QueryState, slot: Slot, now_ms: float, actions: list[Action]
) -> None:
    """Send a second leg for a late partition, if the budget and the replicas' load allow it."""
    hedging = tier.hedging
    if not slot.counted_overdue:
        slot.counted_overdue = True
        note_overdue(tier.routing, slot.tried[0], True, now_ms)
    if slot.hedges >= MAX_HEDGES:
        slot.due_at_ms = NEVER_MS
        return
    delay_ms = slot.latency.delay_ms
    again_at_ms = now_ms + max(hedging.min_ms, HEDGE_AGAIN * delay_ms)
    able = [
        name
        for name in replicas_of(tier.index, state.routes, state.snapshot or 0, slot.partition)
        if may_take_extra(tier.routing, state.routes, name, now_ms)
    ]
    # A second hedge may go to an endpoint again when there is no third replica.
    untried = [name for name in able if name not in slot.tried]
    if slot.hedges and not untried:
        untried = [name for name in able if name != slot.tried[-1]]
    chosen = choose(tier.routing, state.routes, untried, now_ms, tier.rng)
    age = (now_ms - slot.open_legs[0].sent_at_ms) / delay_ms
    youth = 1.0 - (age - 1.0) / (RESERVE_AGE - 1.0)
    reserve = BUDGET_RESERVE * min(1.0, max(0.0, youth))
    if chosen is None or not take_extra(hedging, now_ms, reserve):
        wake(state, slot, again_at_ms, actions)
        return
    slot.hedges += 1
    send(tier, state, slot, chosen, ROLE_HEDGE, now_ms, actions)


def retry(
    tier: SharedState, state: QueryState, slot: Slot, now_ms: float, actions: list[Action]
) -> None:
    """Send another leg for a partition whose legs have all ended, now or after a pause."""
    gone = slot.reason == LegOutcome.SNAPSHOT_GONE
    replicas = replicas_of(tier.index, state.routes, state.snapshot or 0, slot.partition)
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
        send(tier, state, slot, chosen, role, now_ms, actions)
    elif not gone:
        pause(state, slot, now_ms, actions)
    elif not restart(tier, state, now_ms, actions):
        if _may_restart(state, now_ms):
            pause(state, slot, now_ms, actions)
        else:
            give_up(state, slot)


def _may_restart(state: QueryState, now_ms: float) -> bool:
    left_ms = state.request.deadline_at_ms - now_ms
    total_ms = state.request.deadline_at_ms - state.started_at_ms
    return (
        state.idempotent
        and state.restarts < MAX_RESTARTS
        and left_ms >= RESTART_MIN_TIME_LEFT * total_ms
    )


def restart(tier: SharedState, state: QueryState, now_ms: float, actions: list[Action]) -> bool:
    """Begin again on a newer snapshot and tell whether there is one that covers more.

    Rows and legs of the former snapshot are dropped, so that no reply to them can be merged.
    """
    if not _may_restart(state, now_ms):
        return False
    pinned = pin_snapshot(tier.index, state.request.shards, newer_than=state.snapshot or 0)
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
    dispatch(tier, state, pinned, now_ms, actions)
    reset_timer(state, actions, now_ms)
    return True
