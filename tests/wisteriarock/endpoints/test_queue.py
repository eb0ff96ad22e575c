"""Tests of the priority queue."""

from hypothesis import given, settings
from hypothesis import strategies as st
from wisteriarock.endpoints.queue import (
    DroppedLeg,
    LegLocation,
    LegQueue,
    QueuedLeg,
    cancel_leg,
    count_waiting,
    drop_expired,
    enqueue,
    free_slot,
    next_expiry_at_ms,
    start_waiting_legs,
)
from wisteriarock.query.models import LegOutcome

from tests.boards import make_leg
from tests.common import function_suite

PRIORITIES = ("urgent", "normal", "background")


def _enqueue_legs(queue: LegQueue, *priorities: str, max_queued: int = 99) -> list[DroppedLeg]:
    dropped: list[DroppedLeg] = []
    for number, priority in enumerate(priorities):
        leg = make_leg(f"{priority}.{number}", priority=priority, deadline_ms=100.0)
        dropped += enqueue(queue, leg, 0.0, max_queued)[1]
    return dropped


def _leg_ids(entries: list[QueuedLeg]) -> list[str]:
    return [entry.leg["leg_id"] for entry in entries]


def test_order_is_by_priority_then_arrival() -> None:
    """Guards against urgent legs behind background ones, and reordering within a priority."""
    queue = LegQueue()
    _enqueue_legs(queue, "background", "normal", "urgent", "normal", "urgent")
    started, _ = start_waiting_legs(queue, 0.0, 4)
    assert _leg_ids(started) == ["urgent.2", "urgent.4", "normal.1", "normal.3"]


def test_the_newest_leg_of_the_lowest_priority_is_shed() -> None:
    """Guards against a queue that sheds urgent legs while background legs wait."""
    queue = LegQueue()
    dropped = _enqueue_legs(
        queue, "background", "background", "urgent", "urgent", "urgent", max_queued=2
    )
    assert _leg_ids([d.entry for d in dropped]) == ["background.1", "background.0", "urgent.4"]
    assert {d.outcome for d in dropped} == {LegOutcome.SHEDDING}


def test_expired_legs_are_dropped_before_any_is_shed() -> None:
    """Guards against shedding legs while expired ones still take up the queue."""
    queue = LegQueue()
    _enqueue_legs(queue, "urgent", "urgent")
    _, dropped = enqueue(queue, make_leg(priority="background"), 100.0, 2)
    assert [d.outcome for d in dropped] == [LegOutcome.DEADLINE_PASSED] * 2
    assert count_waiting(queue) == 1


def test_a_leg_that_cannot_meet_its_deadline_is_dropped() -> None:
    """Guards against running legs whose answer would be too late."""
    queue = LegQueue()
    _enqueue_legs(queue, "normal", "normal")
    assert next_expiry_at_ms(queue) == 99.0
    assert drop_expired(queue, 98.9) == []
    started, dropped = start_waiting_legs(queue, 99.5, 1)
    assert (started, len(dropped), queue.running) == ([], 2, {})
    _enqueue_legs(queue, "normal")
    assert (
        start_waiting_legs(queue, 60.0, 1, lambda kind: 50.0 if kind == "blend" else 0.0)[0] == []
    )
    assert next_expiry_at_ms(queue) is None


def test_cancel_returns_the_location_of_the_leg() -> None:
    """Guards against a slot that stays in use or is freed twice after a cancel."""
    queue = LegQueue()
    first, _ = enqueue(queue, make_leg("same"), 0.0, 9)
    second, _ = enqueue(queue, make_leg("same"), 0.0, 9)
    start_waiting_legs(queue, 0.0, 1)
    assert cancel_leg(queue, second) is LegLocation.QUEUED
    assert cancel_leg(queue, first) is LegLocation.RUNNING
    assert cancel_leg(queue, first) is None
    free_slot(queue, first)
    assert (count_waiting(queue), queue.running) == (0, {})


@settings(deadline=None, max_examples=200)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["add", "take", "finish", "cancel", "expire"]),
            st.sampled_from(PRIORITIES),
            st.integers(0, 50),
        ),
        max_size=80,
    )
)
def test_each_leg_leaves_the_queue_once_within_the_limits(
    steps: list[tuple[str, str, int]],
) -> None:
    """Guards against lost legs, legs dropped twice, and exceeded slot or queue limits."""
    queue = LegQueue()
    known: list[QueuedLeg] = []
    removed_numbers: list[int] = []
    now_ms = 0.0
    for action, priority, number in steps:
        now_ms += number / 10
        if action == "add":
            leg = make_leg(priority=priority, deadline_ms=float(number))
            entry, dropped = enqueue(queue, leg, now_ms, 5)
            known.append(entry)
            removed_numbers += [d.entry.number for d in dropped]
        elif action == "take":
            removed_numbers += [d.entry.number for d in start_waiting_legs(queue, now_ms, 2)[1]]
        elif action == "expire":
            removed_numbers += [d.entry.number for d in drop_expired(queue, now_ms)]
        elif known:
            entry = known[number % len(known)]
            if action == "finish" and entry.number in queue.running:
                free_slot(queue, entry)
                removed_numbers.append(entry.number)
            elif action == "cancel" and cancel_leg(queue, entry):
                removed_numbers.append(entry.number)
        assert len(queue.running) <= 2
        assert count_waiting(queue) <= 5
    remaining = [number for legs in queue.waiting for number in legs] + list(queue.running)
    assert sorted(remaining + removed_numbers) == [entry.number for entry in known]


load_tests = function_suite(globals())
