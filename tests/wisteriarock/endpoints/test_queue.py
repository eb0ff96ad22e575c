"""Tests of the priority queue."""

from hypothesis import given, settings
from hypothesis import strategies as st
from wisteriarock.endpoints.queue import (
    Dropped,
    LegQueue,
    Place,
    QueuedLeg,
    cancel,
    drop_expired,
    enqueue,
    finish,
    next_expiry_ms,
    queued,
    take,
)
from wisteriarock.query.models import LegOutcome

from tests.boards import make_leg
from tests.common import function_suite

PRIORITIES = ("urgent", "normal", "background")


def _fill(queue: LegQueue, *priorities: str, max_queued: int = 99) -> list[Dropped]:
    dropped: list[Dropped] = []
    for number, priority in enumerate(priorities):
        leg = make_leg(f"{priority}.{number}", priority=priority, deadline_ms=100.0)
        dropped += enqueue(queue, leg, 0.0, max_queued)[1]
    return dropped


def _ids(entries: list[QueuedLeg]) -> list[str]:
    return [entry.leg["leg_id"] for entry in entries]


def test_order_is_by_priority_then_arrival() -> None:
    """Guards against urgent legs behind background ones, and against overtaking."""
    queue = LegQueue()
    _fill(queue, "background", "normal", "urgent", "normal", "urgent")
    started, _ = take(queue, 0.0, 4)
    assert _ids(started) == ["urgent.2", "urgent.4", "normal.1", "normal.3"]


def test_the_newest_of_the_least_important_is_shed() -> None:
    """Guards against a queue that sheds urgent legs while background legs wait."""
    queue = LegQueue()
    dropped = _fill(queue, "background", "background", "urgent", "urgent", "urgent", max_queued=2)
    assert _ids([d.entry for d in dropped]) == ["background.1", "background.0", "urgent.4"]
    assert {d.outcome for d in dropped} == {LegOutcome.SHEDDING}


def test_expired_legs_make_room_before_any_is_shed() -> None:
    """Guards against shedding while legs wait that can't be answered any more."""
    queue = LegQueue()
    _fill(queue, "urgent", "urgent")
    _, dropped = enqueue(queue, make_leg(priority="background"), 100.0, 2)
    assert [d.outcome for d in dropped] == [LegOutcome.DEADLINE_PASSED] * 2
    assert queued(queue) == 1


def test_a_leg_that_cannot_meet_its_deadline_is_dropped_and_uses_no_slot() -> None:
    """Guards against work whose answer nobody waits for."""
    queue = LegQueue()
    _fill(queue, "normal", "normal")
    assert next_expiry_ms(queue) == 99.0
    assert drop_expired(queue, 98.9) == []
    started, dropped = take(queue, 99.5, 1)
    assert (started, len(dropped), queue.running) == ([], 2, {})
    _fill(queue, "normal")
    assert take(queue, 60.0, 1, lambda kind: 50.0 if kind == "blend" else 0.0)[0] == []
    assert next_expiry_ms(queue) is None


def test_cancel_tells_where_the_leg_was() -> None:
    """Guards against a slot that stays in use, or is freed twice, after a cancel."""
    queue = LegQueue()
    first, _ = enqueue(queue, make_leg("same"), 0.0, 9)
    second, _ = enqueue(queue, make_leg("same"), 0.0, 9)
    take(queue, 0.0, 1)
    assert cancel(queue, second) is Place.QUEUED
    assert cancel(queue, first) is Place.RUNNING
    assert cancel(queue, first) is None
    finish(queue, first)
    assert (queued(queue), queue.running) == (0, {})


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
def test_each_leg_leaves_once_and_the_bounds_hold(steps: list[tuple[str, str, int]]) -> None:
    """Guards against legs that are lost, answered twice, or run beyond the slots."""
    queue = LegQueue()
    known: list[QueuedLeg] = []
    left: list[int] = []
    now_ms = 0.0
    for action, priority, number in steps:
        now_ms += number / 10
        if action == "add":
            leg = make_leg(priority=priority, deadline_ms=float(number))
            entry, dropped = enqueue(queue, leg, now_ms, 5)
            known.append(entry)
            left += [d.entry.number for d in dropped]
        elif action == "take":
            left += [d.entry.number for d in take(queue, now_ms, 2)[1]]
        elif action == "expire":
            left += [d.entry.number for d in drop_expired(queue, now_ms)]
        elif known:
            entry = known[number % len(known)]
            if action == "finish" and entry.number in queue.running:
                finish(queue, entry)
                left.append(entry.number)
            elif action == "cancel" and cancel(queue, entry):
                left.append(entry.number)
        assert len(queue.running) <= 2
        assert queued(queue) <= 5
    here = [number for legs in queue.waiting for number in legs] + list(queue.running)
    assert sorted(here + left) == [entry.number for entry in known]


load_tests = function_suite(globals())
