"""Tests of slots, queue and deadlines of an endpoint stand-in."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from wisteriastandins.endpoint.changes import create_state
from wisteriastandins.endpoint.legs import (
    cancel_leg,
    draw_service_ms,
    end_running_leg,
    expire_waiting_leg,
    receive_leg,
    start_waiting_legs,
)
from wisteriastandins.endpoint.models import (
    EndpointConfig,
    EndpointState,
    Leg,
    LegBody,
    LegPhase,
    Refusal,
)

from tests.common import function_suite


def make_endpoint_config(**changes: Any) -> EndpointConfig:
    config = EndpointConfig(
        name="desk-01-a",
        host="127.0.0.1",
        port=0,
        slots=2,
        connection_cap=25,
        connect_cost_ms=0,
        service_median_ms=10,
        service_sigma=0,
        queue_limit=1,
        lots_per_shard=4,
        cold_ms=0,
        holdings={"1": [("mill-01", 0, 1)]},
    )
    return {**config, **changes}  # type: ignore[typeddict-item]


def make_leg_body(number: int = 0, **changes: Any) -> LegBody:
    body = LegBody(
        leg_id=f"r.{number}",
        request_id="r",
        kind="blend",
        shard="mill-01",
        part=0,
        parts=1,
        snapshot=1,
        deadline_ms=1000,
        idempotent=True,
        params={},
    )
    return {**body, **changes}  # type: ignore[typeddict-item]


def make_state(**changes: Any) -> EndpointState:
    return create_state(make_endpoint_config(**changes), 1, "i1", 0)


def accept_leg(state: EndpointState, body: LegBody, now_ms: float = 0) -> Leg:
    leg = receive_leg(state, body, now_ms)
    assert isinstance(leg, Leg), leg
    return leg


def test_slots_then_queue_then_shedding() -> None:
    """Guards against running more legs than there are slots, which would hide an overload."""
    state = make_state()
    first, second, third = (accept_leg(state, make_leg_body(n)) for n in range(3))
    assert [first.phase, second.phase, third.phase] == ["running", "running", "waiting"]
    assert receive_leg(state, make_leg_body(3), 0) is Refusal.SHEDDING
    end_running_leg(state, first)
    assert start_waiting_legs(state, 10) == ([third], [])
    assert third.ends_at_ms == 20
    counters = state.counters
    assert (counters.most_slots, counters.shed, counters.started, counters.finished) == (2, 1, 3, 1)


def test_cancelling_frees_the_slot_and_the_queue() -> None:
    """Guards against cancelled legs that keep their slot or queue position."""
    state = make_state(slots=1)
    first, second = accept_leg(state, make_leg_body(0)), accept_leg(state, make_leg_body(1))
    cancel_leg(state, second)
    third = accept_leg(state, make_leg_body(2))
    cancel_leg(state, first)
    cancel_leg(state, first)
    assert start_waiting_legs(state, 0) == ([third], [])
    cancel_leg(state, third)
    assert not state.running and not state.waiting
    assert (state.counters.cancelled_waiting, state.counters.cancelled_running) == (1, 2)


def test_deadlines_end_legs() -> None:
    """Guards against legs that run or wait past their deadline."""
    state = make_state(slots=1, queue_limit=2)
    assert receive_leg(state, make_leg_body(deadline_ms=0), 0) is Refusal.DEADLINE_PASSED
    running = accept_leg(state, make_leg_body(0, deadline_ms=4))
    assert (running.ends_at_ms, running.meets_deadline) == (4, False)
    waiting, expired = accept_leg(state, make_leg_body(1)), accept_leg(
        state, make_leg_body(2, deadline_ms=3)
    )
    expire_waiting_leg(state, expired)
    late = accept_leg(state, make_leg_body(3, deadline_ms=2))
    cancel_leg(state, waiting)
    end_running_leg(state, running)
    assert start_waiting_legs(state, 4) == ([], [late])
    assert late.phase is LegPhase.ENDED
    counters = state.counters
    assert (counters.deadline_running, counters.deadline_waiting, counters.started) == (1, 2, 1)


def test_only_started_legs_are_recorded_as_executed() -> None:
    """Guards against a record that misses a repeated execution or counts a refused leg."""
    state = make_state(slots=1, queue_limit=1)
    for _ in range(2):
        end_running_leg(state, accept_leg(state, make_leg_body(0, idempotent=False)))
    accept_leg(state, make_leg_body(1))
    waiting = accept_leg(state, make_leg_body(2, idempotent=False))
    assert receive_leg(state, make_leg_body(3, idempotent=False), 0) is Refusal.SHEDDING
    cancel_leg(state, waiting)
    assert {name: entry["count"] for name, entry in state.executed.items()} == {"r.0": 2}


def test_absent_partitions_are_refused() -> None:
    """Guards against an answer from a snapshot or partition that the endpoint does not hold."""
    state = make_state()
    absent: list[dict[str, Any]] = [{"snapshot": 2}, {"parts": 2}, {"shard": "mill-02"}]
    for change in absent:
        assert receive_leg(state, make_leg_body(**change), 0) is Refusal.SNAPSHOT_GONE
    wrong: list[dict[str, Any]] = [{"part": 1}, {"part": -1}, {"params": {"limit": "1"}}]
    for change in wrong:
        assert receive_leg(state, make_leg_body(**change), 0) is Refusal.BAD_REQUEST


def test_service_time_reflects_the_faults() -> None:
    """Guards against straggler, slow and cold settings that have no effect."""
    state = make_state(cold_ms=100, cold_factor=4)
    assert (draw_service_ms(state, 99), draw_service_ms(state, 100)) == (40, 10)
    state.slow_factor = 2
    state.straggler_share, state.straggler_factor = 0.25, 10
    drawn = [draw_service_ms(state, 200) for _ in range(2000)]
    assert set(drawn) == {20, 200}
    assert 400 < drawn.count(200) < 600


EVENTS = st.lists(
    st.tuples(st.sampled_from(["receive", "cancel", "end", "expire"]), st.integers(0, 60))
)


@given(EVENTS, st.integers(0, 3), st.integers(0, 3))
def test_every_leg_is_counted_once(
    events: list[tuple[str, int]], slots: int, queue_limit: int
) -> None:
    """Guards against slots that are never freed, and counters that miss or repeat received legs."""
    state, legs, now_ms = make_state(slots=slots, queue_limit=queue_limit), list[Leg](), 0.0
    for name, number in events:
        now_ms += number
        chosen_leg = legs[number % len(legs)] if legs else None
        if name == "receive":
            leg = receive_leg(state, make_leg_body(len(legs), deadline_ms=number), now_ms)
            legs += [leg] if isinstance(leg, Leg) else []
        elif chosen_leg and name == "cancel":
            cancel_leg(state, chosen_leg)
        elif chosen_leg in state.running and name == "end":
            end_running_leg(state, chosen_leg)
        elif chosen_leg in state.waiting and name == "expire":
            expire_waiting_leg(state, chosen_leg)
        start_waiting_legs(state, now_ms)
        assert len(state.running) <= slots and len(state.waiting) <= queue_limit
        assert not state.waiting or len(state.running) == slots
    counters = state.counters
    started = (
        counters.finished
        + counters.cancelled_running
        + counters.deadline_running
        + len(state.running)
    )
    not_started = counters.cancelled_waiting + counters.deadline_waiting + len(state.waiting)
    assert counters.started == started
    assert counters.received == started + not_started + counters.shed + counters.deadline_passed


load_tests = function_suite(globals())
