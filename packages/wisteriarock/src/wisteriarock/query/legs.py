"""Send and end the legs of a query."""

from wisteriarock.routing.decide import (
    choose_replica,
    record_leg_cancelled,
    record_leg_sent,
    record_lost_race,
    record_overdue,
)
from wisteriarock.snapshot.models import PinnedSnapshot

from .const import RETRY_BACKOFF_MAX_MS, RETRY_BACKOFF_MIN_MS, ROLE_PRIMARY
from .hedging import get_service_latency, record_latency
from .models import LegOutcome, LegRequest
from .state import Action, CancelLeg, Leg, QueryState, SendLeg, SetTimer, SharedState, Subquery

NEVER_MS = float("inf")


def send_primary_legs(
    shared: SharedState,
    state: QueryState,
    pinned: PinnedSnapshot,
    now_ms: float,
    actions: list[Action],
) -> None:
    """Create a subquery for each partition of the pinned snapshot and send its primary leg."""
    state.snapshot = pinned.snapshot
    state.missing = pinned.missing
    state.subqueries = subqueries = []
    endpoints = state.routes.endpoints
    for shard, plan in pinned.shards.items():
        state.unanswered_by_shard[shard] = len(plan)
        for partition, replicas in plan:
            chosen = choose_replica(shared.routing, state.routes, replicas, now_ms, shared.rng)
            service = endpoints[chosen or replicas[0]].service
            subquery = Subquery(shard, partition, get_service_latency(shared.hedging, service))
            subqueries.append(subquery)
            if chosen is None:
                subquery.reason = LegOutcome.DRAINING.value
                schedule_retry(state, subquery, now_ms, actions)
            else:
                send_leg(shared, state, subquery, chosen, ROLE_PRIMARY, now_ms, actions)
    state.unresolved = len(subqueries)


def send_leg(
    shared: SharedState,
    state: QueryState,
    subquery: Subquery,
    endpoint: str,
    role: str,
    now_ms: float,
    actions: list[Action],
) -> None:
    """Send a leg for a subquery and schedule its hedge, if its kind allows one."""
    request = state.request
    leg_id = f"{state.leg_prefix}.{state.next_leg}"
    state.next_leg += 1
    leg = Leg(leg_id, endpoint, role, now_ms, subquery)
    state.legs[leg_id] = leg
    subquery.open_legs.append(leg)
    subquery.tried_endpoints.append(endpoint)
    record_leg_sent(shared.routing, endpoint)
    count_key = role, state.routes.endpoints[endpoint].zone != shared.routing.own_zone
    state.leg_counts[count_key] = state.leg_counts.get(count_key, 0) + 1
    shard, part, parts = subquery.partition
    leg_request: LegRequest = {
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
    actions.append(SendLeg(leg_request, role))
    if state.idempotent and state.kind["hedge"]:
        schedule_attempt(state, subquery, now_ms + subquery.latency.hedge_delay_ms, actions)
    else:
        subquery.next_attempt_at_ms = NEVER_MS


def schedule_attempt(
    state: QueryState, subquery: Subquery, at_ms: float, actions: list[Action]
) -> None:
    """Schedule the next attempt of a subquery and set an earlier timer if needed."""
    subquery.next_attempt_at_ms = at_ms
    if at_ms < state.timer_at_ms and state.timer_at_ms != NEVER_MS:
        state.timer_at_ms = at_ms
        actions.append(SetTimer(at_ms))


def schedule_retry(
    state: QueryState, subquery: Subquery, now_ms: float, actions: list[Action]
) -> None:
    """Schedule the next attempt of a subquery without a usable replica, with backoff."""
    subquery.backoff_ms = min(
        RETRY_BACKOFF_MAX_MS, max(RETRY_BACKOFF_MIN_MS, 2 * subquery.backoff_ms)
    )
    schedule_attempt(state, subquery, now_ms + subquery.backoff_ms, actions)


def reset_timer(state: QueryState, actions: list[Action], now_ms: float = -NEVER_MS) -> None:
    """Set the timer to the earliest of the deadline, the early answer and all attempts."""
    at_ms = state.request.deadline_at_ms
    if state.early_at_ms > now_ms:
        at_ms = min(at_ms, state.early_at_ms)
    for subquery in state.subqueries:
        if subquery.next_attempt_at_ms < at_ms:
            at_ms = subquery.next_attempt_at_ms
    state.timer_at_ms = at_ms
    actions.append(SetTimer(at_ms))


def record_primary_leg(shared: SharedState, leg: Leg, now_ms: float) -> None:
    """Record the latency of a primary leg and whether it was overdue."""
    subquery = leg.subquery
    elapsed_ms = now_ms - leg.sent_at_ms
    if not subquery.overdue_recorded:
        subquery.overdue_recorded = True
        overdue = elapsed_ms > subquery.latency.hedge_delay_ms
        record_overdue(shared.routing, leg.endpoint, overdue, now_ms)
    record_latency(shared.hedging, subquery.latency, elapsed_ms)


def cancel_open_legs(
    shared: SharedState, state: QueryState, subquery: Subquery, now_ms: float, actions: list[Action]
) -> None:
    """Cancel the open legs of a subquery that has been answered."""
    for leg in subquery.open_legs:
        leg.is_open = False
        state.obsolete_leg_ids.add(leg.leg_id)
        if leg.role == ROLE_PRIMARY:
            record_primary_leg(shared, leg, now_ms)
            record_lost_race(shared.routing, state.routes, leg.endpoint, now_ms)
        else:
            record_leg_cancelled(shared.routing, leg.endpoint)
        actions.append(CancelLeg(leg.leg_id, leg.endpoint))
    subquery.open_legs.clear()


def mark_failed(state: QueryState, subquery: Subquery) -> None:
    """Mark a subquery as failed; no further leg is sent for it."""
    subquery.failed = True
    subquery.next_attempt_at_ms = NEVER_MS
    state.unresolved -= 1
