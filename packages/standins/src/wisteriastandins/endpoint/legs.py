"""Slots, queue, deadlines and service times of an endpoint. Performs no I/O."""

import math

from wisteriastandins.data import params_error

from .models import (
    DEFAULT_COLD_FACTOR,
    MAX_DRAIN_DELAYS,
    EndpointState,
    ExecutedLeg,
    Leg,
    LegBody,
    LegPhase,
    Refusal,
)


def is_cold(state: EndpointState, now_ms: float) -> bool:
    """Return whether the endpoint is still in its slow phase after the start."""
    return now_ms - state.started_at_ms < state.config["cold_ms"]


def draw_service_ms(state: EndpointState, now_ms: float) -> float:
    """Draw the service time of a leg that starts now, in milliseconds."""
    median_ms = state.config["service_median_ms"] * state.slow_factor
    if is_cold(state, now_ms):
        median_ms *= state.config.get("cold_factor", DEFAULT_COLD_FACTOR)
    # Always draws twice, so that a fault does not shift the random sequence of later legs.
    is_straggler = state.rng.random() < state.straggler_share
    log_deviation = state.rng.gauss(0.0, state.config["service_sigma"])
    return median_ms * math.exp(log_deviation) * (state.straggler_factor if is_straggler else 1.0)


def _find_refusal(state: EndpointState, body: LegBody, now_ms: float) -> Refusal | None:
    counters = state.counters
    if not 0 <= body["part"] < body["parts"] or params_error(body["params"]):
        counters.bad_request += 1
        return Refusal.BAD_REQUEST
    if state.drain_started_at_ms is not None:
        counters.draining += 1
        counters.legs_after_drain += 1
        if len(counters.drain_delays_ms) < MAX_DRAIN_DELAYS:
            counters.drain_delays_ms.append(now_ms - state.drain_started_at_ms)
        return Refusal.DRAINING
    if body["deadline_ms"] <= 0:
        counters.deadline_passed += 1
        return Refusal.DEADLINE_PASSED
    # A partition removed by repartitioning is refused like a dropped snapshot.
    partition = (body["shard"], body["part"], body["parts"])
    if partition not in state.held_partitions.get(body["snapshot"], ()):
        counters.snapshot_gone += 1
        return Refusal.SNAPSHOT_GONE
    slots_full = len(state.running) >= state.config["slots"]
    if slots_full and len(state.waiting) >= state.config["queue_limit"]:
        counters.shed += 1
        return Refusal.SHEDDING
    return None


def receive_leg(state: EndpointState, body: LegBody, now_ms: float) -> Leg | Refusal:
    """Accept or refuse a leg.

    Returns
    -------
    Leg or Refusal
        The leg, running if a slot was free and waiting otherwise, or the reason for refusal.
    """
    state.counters.received += 1
    refusal = _find_refusal(state, body, now_ms)
    if refusal is not None:
        return refusal
    leg = Leg(body, now_ms + body["deadline_ms"])
    if len(state.running) < state.config["slots"]:
        _start_leg(state, leg, now_ms)
    else:
        state.waiting[leg] = None
        state.counters.most_waiting = max(state.counters.most_waiting, len(state.waiting))
    return leg


def _start_leg(state: EndpointState, leg: Leg, now_ms: float) -> None:
    leg.phase = LegPhase.RUNNING
    ends_at_ms = now_ms + draw_service_ms(state, now_ms)
    leg.meets_deadline = ends_at_ms <= leg.deadline_at_ms
    leg.ends_at_ms = min(ends_at_ms, leg.deadline_at_ms)
    state.running.add(leg)
    state.counters.started += 1
    state.counters.most_slots = max(state.counters.most_slots, len(state.running))
    body = leg.body
    if not body["idempotent"]:
        executed_leg = state.executed.setdefault(
            body["leg_id"],
            ExecutedLeg(
                request_id=body["request_id"],
                leg_id=body["leg_id"],
                shard=body["shard"],
                part=body["part"],
                parts=body["parts"],
                count=0,
            ),
        )
        executed_leg["count"] += 1


def start_waiting_legs(state: EndpointState, now_ms: float) -> tuple[list[Leg], list[Leg]]:
    """Assign free slots to waiting legs.

    Returns
    -------
    tuple of list
        Legs that were started, and legs whose deadline passed in the queue.
    """
    started: list[Leg] = []
    expired: list[Leg] = []
    while state.waiting and len(state.running) < state.config["slots"]:
        leg = next(iter(state.waiting))
        del state.waiting[leg]
        if leg.deadline_at_ms <= now_ms:
            leg.phase = LegPhase.ENDED
            state.counters.deadline_waiting += 1
            expired.append(leg)
            continue
        _start_leg(state, leg, now_ms)
        started.append(leg)
    return started, expired


def expire_waiting_leg(state: EndpointState, leg: Leg) -> None:
    """Remove a leg from the queue because its deadline has passed."""
    del state.waiting[leg]
    leg.phase = LegPhase.ENDED
    state.counters.deadline_waiting += 1


def end_running_leg(state: EndpointState, leg: Leg) -> None:
    """Free the slot of a leg that finished or reached its deadline."""
    state.running.remove(leg)
    leg.phase = LegPhase.ENDED
    if leg.meets_deadline:
        state.counters.finished += 1
    else:
        state.counters.deadline_running += 1


def cancel_leg(state: EndpointState, leg: Leg) -> None:
    """Cancel a waiting or running leg; do nothing if it has ended."""
    if leg.phase is LegPhase.WAITING:
        del state.waiting[leg]
        state.counters.cancelled_waiting += 1
    elif leg.phase is LegPhase.RUNNING:
        state.running.remove(leg)
        state.counters.cancelled_running += 1
    leg.phase = LegPhase.ENDED
