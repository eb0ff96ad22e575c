"""Send and end the legs of a query."""

from wisteriarock.routing.decide import (
    choose,
    note_cancelled,
    note_lost_race,
    note_overdue,
    note_sent,
)
from wisteriarock.snapshot.models import Pinned

from .const import RETRY_PAUSE_MAX_MS, RETRY_PAUSE_MS, ROLE_PRIMARY
from .hedging import latency_of, record_latency
from .models import LegOutcome, LegRequest
from .state import Action, CancelLeg, Leg, QueryState, SendLeg, SetTimer, SharedState, Slot

NEVER_MS = float("inf")


def dispatch(
    tier: SharedState, state: QueryState, pinned: Pinned, now_ms: float, actions: list[Action]
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
                pause(state, slot, now_ms, actions)
            else:
                send(tier, state, slot, chosen, ROLE_PRIMARY, now_ms, actions)
    state.unresolved = len(slots)


def send(
    tier: SharedState,
    state: QueryState,
    slot: Slot,
    endpoint: str,
    role: str,
    now_ms: float,
    actions: list[Action],
) -> None:
    """Send a leg for a partition, and come back when it would have to be hedged."""
    request = state.request
    leg_id = f"{state.leg_prefix}.{state.next_leg}"
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
        wake(state, slot, now_ms + slot.latency.delay_ms, actions)
    else:
        slot.due_at_ms = NEVER_MS


def wake(state: QueryState, slot: Slot, at_ms: float, actions: list[Action]) -> None:
    """Come back to a partition at a time, with an earlier timer if need be."""
    slot.due_at_ms = at_ms
    if at_ms < state.timer_at_ms and state.timer_at_ms != NEVER_MS:
        state.timer_at_ms = at_ms
        actions.append(SetTimer(at_ms))


def pause(state: QueryState, slot: Slot, now_ms: float, actions: list[Action]) -> None:
    """Come back to a partition that can't be served now, later each time."""
    slot.pause_ms = min(RETRY_PAUSE_MAX_MS, max(RETRY_PAUSE_MS, 2 * slot.pause_ms))
    wake(state, slot, now_ms + slot.pause_ms, actions)


def reset_timer(state: QueryState, actions: list[Action], now_ms: float = -NEVER_MS) -> None:
    """Set the timer to the earliest time at which anything is due."""
    at_ms = state.request.deadline_at_ms
    if state.early_at_ms > now_ms:
        at_ms = min(at_ms, state.early_at_ms)
    for slot in state.slots:
        if slot.due_at_ms < at_ms:
            at_ms = slot.due_at_ms
    state.timer_at_ms = at_ms
    actions.append(SetTimer(at_ms))


def observe_primary(tier: SharedState, leg: Leg, now_ms: float) -> None:
    """Learn from the time that a primary leg took, or had taken when it was cancelled."""
    slot = leg.slot
    elapsed_ms = now_ms - leg.sent_at_ms
    if not slot.counted_overdue:
        slot.counted_overdue = True
        overdue = elapsed_ms > slot.latency.delay_ms
        note_overdue(tier.routing, leg.endpoint, overdue, now_ms)
    record_latency(tier.hedging, slot.latency, elapsed_ms)


def cancel_losers(
    tier: SharedState, state: QueryState, slot: Slot, now_ms: float, actions: list[Action]
) -> None:
    """Cancel the legs of a partition that has answered."""
    for leg in slot.open_legs:
        leg.is_open = False
        state.retired.add(leg.leg_id)
        if leg.role == ROLE_PRIMARY:
            observe_primary(tier, leg, now_ms)
            note_lost_race(tier.routing, state.routes, leg.endpoint, now_ms)
        else:
            note_cancelled(tier.routing, leg.endpoint)
        actions.append(CancelLeg(leg.leg_id, leg.endpoint))
    slot.open_legs.clear()


def give_up(state: QueryState, slot: Slot) -> None:
    """Leave a partition unanswered for good."""
    slot.failed = True
    slot.due_at_ms = NEVER_MS
    state.unresolved -= 1
