"""Decide on further legs of a subquery: hedges, retries and restarts."""

from wisteriarock.routing.decide import (
    can_accept_extra_leg,
    choose_replica,
    record_leg_cancelled,
    record_overdue,
    shed_recently,
)
from wisteriarock.snapshot.decide import find_usable_replicas, pin_snapshot

from .const import (
    BUDGET_RESERVE_SHARE,
    HEDGE_RECHECK_SHARE,
    MAX_HEDGES_PER_SUBQUERY,
    MAX_RESTARTS,
    RESERVE_RELEASE_DELAYS,
    RESTART_MIN_TIME_LEFT_SHARE,
    ROLE_HEDGE,
    ROLE_PRIMARY,
    ROLE_RETRY,
    TIMER_SLACK_MS,
)
from .hedging import withdraw_budget
from .legs import (
    NEVER_MS,
    mark_failed,
    reset_timer,
    schedule_attempt,
    schedule_retry,
    send_leg,
    send_primary_legs,
)
from .models import LegOutcome
from .state import Action, CancelLeg, QueryState, SharedState, Subquery


def hedge_immediately(
    shared: SharedState, state: QueryState, leg_id: str, now_ms: float, actions: list[Action]
) -> None:
    """Hedge a leg at once after a mismatched reply, since its own reply may never arrive."""
    leg = state.legs.get(leg_id)
    if leg is not None and leg.is_open and leg.subquery.next_attempt_at_ms != NEVER_MS:
        hedge(shared, state, leg.subquery, now_ms, actions)


def hedge(
    shared: SharedState, state: QueryState, subquery: Subquery, now_ms: float, actions: list[Action]
) -> None:
    """Send another leg for an overdue subquery if the budget and the replicas' load allow it."""
    hedging = shared.hedging
    if not subquery.overdue_recorded:
        subquery.overdue_recorded = True
        record_overdue(shared.routing, subquery.tried_endpoints[0], True, now_ms)
    if subquery.hedges >= MAX_HEDGES_PER_SUBQUERY:
        subquery.next_attempt_at_ms = NEVER_MS
        return
    hedge_delay_ms = subquery.latency.hedge_delay_ms
    recheck_at_ms = now_ms + max(hedging.min_ms, HEDGE_RECHECK_SHARE * hedge_delay_ms)
    candidates = [
        name
        for name in find_usable_replicas(
            shared.index, state.routes, state.snapshot or 0, subquery.partition
        )
        if can_accept_extra_leg(shared.routing, state.routes, name, now_ms)
    ]
    # Without a third replica, the second hedge may go to any endpoint but the last one tried.
    untried = [name for name in candidates if name not in subquery.tried_endpoints]
    if subquery.hedges and not untried:
        untried = [name for name in candidates if name != subquery.tried_endpoints[-1]]
    chosen = choose_replica(shared.routing, state.routes, untried, now_ms, shared.rng)
    age_delays = (now_ms - subquery.open_legs[0].sent_at_ms) / hedge_delay_ms
    reserve_factor = 1.0 - (age_delays - 1.0) / (RESERVE_RELEASE_DELAYS - 1.0)
    reserve = BUDGET_RESERVE_SHARE * min(1.0, max(0.0, reserve_factor))
    if chosen is None or not withdraw_budget(hedging, now_ms, reserve):
        schedule_attempt(state, subquery, recheck_at_ms, actions)
        return
    subquery.hedges += 1
    send_leg(shared, state, subquery, chosen, ROLE_HEDGE, now_ms, actions)


def retry(
    shared: SharedState, state: QueryState, subquery: Subquery, now_ms: float, actions: list[Action]
) -> None:
    """Send another leg for a subquery without open legs, now or after a backoff."""
    snapshot_gone = subquery.reason == LegOutcome.SNAPSHOT_GONE
    replicas = find_usable_replicas(
        shared.index, state.routes, state.snapshot or 0, subquery.partition
    )
    untried = [name for name in replicas if name not in subquery.tried_endpoints]
    # An endpoint that dropped the snapshot never holds it again. Any other endpoint is tried again,
    # but only after a backoff.
    if not untried and not snapshot_gone and subquery.next_attempt_at_ms <= now_ms + TIMER_SLACK_MS:
        untried = replicas
    if subquery.reason == LegOutcome.SHEDDING:
        candidates = [
            n for n in untried if can_accept_extra_leg(shared.routing, state.routes, n, now_ms)
        ]
    else:
        candidates = [n for n in untried if not shed_recently(shared.routing, n, now_ms)]
    chosen = choose_replica(shared.routing, state.routes, candidates, now_ms, shared.rng)
    # The first leg, which was delayed because all replicas were draining, needs no budget.
    if chosen is not None and (
        not subquery.tried_endpoints or withdraw_budget(shared.hedging, now_ms)
    ):
        role = ROLE_RETRY if subquery.tried_endpoints else ROLE_PRIMARY
        send_leg(shared, state, subquery, chosen, role, now_ms, actions)
    elif not snapshot_gone:
        schedule_retry(state, subquery, now_ms, actions)
    elif not restart(shared, state, now_ms, actions):
        if _may_restart(state, now_ms):
            schedule_retry(state, subquery, now_ms, actions)
        else:
            mark_failed(state, subquery)


def _may_restart(state: QueryState, now_ms: float) -> bool:
    remaining_ms = state.request.deadline_at_ms - now_ms
    total_ms = state.request.deadline_at_ms - state.started_at_ms
    return (
        state.idempotent
        and state.restarts < MAX_RESTARTS
        and remaining_ms >= RESTART_MIN_TIME_LEFT_SHARE * total_ms
    )


def restart(shared: SharedState, state: QueryState, now_ms: float, actions: list[Action]) -> bool:
    """Restart the query if a newer snapshot covers more shards, and return whether it did.

    Rows and legs of the previous snapshot are discarded, so that no reply to them is merged.
    """
    if not _may_restart(state, now_ms):
        return False
    pinned = pin_snapshot(shared.index, state.request.shards, newer_than=state.snapshot or 0)
    lost_shards = {s.shard for s in state.subqueries if s.rows is None and not s.open_legs}
    if pinned.snapshot is None or len(pinned.shards) <= len(state.unanswered_by_shard) - len(
        lost_shards
    ):
        return False
    for subquery in state.subqueries:
        for leg in subquery.open_legs:
            record_leg_cancelled(shared.routing, leg.endpoint)
            actions.append(CancelLeg(leg.leg_id, leg.endpoint))
    state.obsolete_leg_ids.update(state.legs)
    state.legs.clear()
    state.unanswered_by_shard.clear()
    state.answered = 0
    state.restarts += 1
    shared.restarts += 1
    state.timer_at_ms = NEVER_MS
    send_primary_legs(shared, state, pinned, now_ms, actions)
    reset_timer(state, actions, now_ms)
    return True
