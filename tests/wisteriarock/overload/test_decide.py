"""Tests of who is served when there is too little room; no network, no clock."""

import heapq
import itertools
import math

from wisteriarock.overload.const import SHORTAGE_MS, WAITING_MAX, WAITING_PER_CUSTOMER_MAX
from wisteriarock.overload.decide import (
    enter,
    expire,
    is_short,
    leave,
    mark_short,
    may_send_extra,
    rank_of,
    record_legs,
    start_waiting,
    withdraw,
)
from wisteriarock.overload.models import OverloadState, Rank, Refusal, RefusalReason, Room, Work

from tests.common import function_suite

HOLD_MS = 20.0


class Load:
    """A room under load: work arrives at set times and holds its places for a fixed time."""

    def __init__(self, places: float = 1.0) -> None:
        self.room = Room("service", places, 0.0)
        self.now_ms = 0.0
        self.started: list[str] = []
        self.started_at_ms: list[float] = []
        self.refused: list[tuple[str, Refusal]] = []
        self._events: list[tuple[float, int, str, Work]] = []
        self._order = itertools.count()

    def arrive(
        self,
        at_ms: float,
        customer: str,
        rank: Rank = (1, 1),
        weight: float = 1.0,
        time_left_ms: float = 4_000.0,
        target_ms: float = math.inf,
        hold_ms: float = HOLD_MS,
        label: str = "",
    ) -> None:
        """Schedule the arrival of work."""
        name = label or customer

        def start() -> None:
            self.started.append(name)
            self.started_at_ms.append(self.now_ms)
            self._schedule(self.now_ms + hold_ms, "end", work)

        work = Work(
            customer,
            rank,
            weight,
            1.0,
            hold_ms,
            at_ms + min(time_left_ms, target_ms),
            at_ms + time_left_ms,
            start,
            lambda refusal: self.refused.append((name, refusal)),
        )
        self._schedule(at_ms, "arrival", work)

    def _schedule(self, at_ms: float, kind: str, work: Work) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), kind, work))

    def run(self, until_ms: float = math.inf) -> None:
        """Play arrivals and ends in order of time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, kind, work = heapq.heappop(self._events)
            if kind == "end":
                leave(self.room, work, work.hold_ms)
                start_waiting(self.room, self.now_ms)
                continue
            outcome = enter(self.room, work, self.now_ms)
            if isinstance(outcome, Refusal):
                work.refuse(outcome)
            elif outcome:
                work.start()


def test_two_customers_share_one_slot_by_their_allotments():
    """Guards against shares that follow the number of requests instead of the allotments."""
    load = Load()
    for number in range(300):
        load.arrive(number * 10.0, "large", weight=9.0, time_left_ms=400.0)
        load.arrive(number * 10.0 + 0.1, "small", weight=3.0, time_left_ms=400.0)
    load.run(3_000.0)
    counts = {name: load.started[20:].count(name) for name in ("large", "small")}
    assert 2.5 <= counts["large"] / counts["small"] <= 3.5, counts


def test_short_work_and_long_work_share_one_slot_by_time():
    """Guards against a customer with long work that takes the time of one with short work."""
    load = Load()
    for number in range(400):
        load.arrive(number * 10.0, "long", time_left_ms=300.0, hold_ms=25.0)
        load.arrive(number * 10.0 + 0.1, "short", time_left_ms=300.0, hold_ms=10.0)
    load.run(4_000.0)
    counts = {name: load.started[20:].count(name) for name in ("long", "short")}
    assert 2.0 <= counts["short"] / counts["long"] <= 3.0, counts


def test_what_one_customer_leaves_is_used_by_the_other():
    """Guards against a share that is kept free for a customer that does not ask for it."""
    load = Load()
    for number in range(100):
        load.arrive(number * 20.0, "busy", time_left_ms=100.0)
    load.arrive(1_010.0, "rare", weight=50.0)
    load.run()
    assert load.started.count("busy") == 100 and not load.refused


def test_a_small_customer_beside_a_flood():
    """Guards against a flood that delays or displaces customers within their share."""
    load = Load(places=2.0)
    for number in range(2_000):
        load.arrive(number * 1.0, "flood", weight=5.0, time_left_ms=200.0)
    for number in range(20):
        load.arrive(number * 100.0, "small", weight=1.0, time_left_ms=200.0)
    load.run()
    assert load.started.count("small") == 20
    assert {name for name, _ in load.refused} == {"flood"}
    # The slots are in use all the time: the flood gets what the small customer leaves.
    assert load.started.count("flood") >= 150


def test_an_urgent_kind_beside_a_less_urgent_one_in_a_burst():
    """Guards against urgent requests that wait behind less urgent ones of the same customer."""
    load = Load()
    for number in range(8):
        load.arrive(number * 0.1, "buyer", rank=(1, 2), label="export")
    load.arrive(1.0, "buyer", rank=(1, 0), label="recall")
    load.run()
    assert load.started[1] == "recall" and not load.refused


def test_the_priority_of_the_customer_goes_before_that_of_the_route():
    """Guards against an urgent route of a customer of low priority that overtakes all others."""
    load = Load()
    load.arrive(0.0, "first", rank=rank_of(0, 2), label="running")
    load.arrive(0.1, "second", rank=rank_of(1, 0), label="urgent of second")
    load.arrive(0.2, "first", rank=rank_of(0, 2), label="late of first")
    load.run()
    assert load.started == ["running", "late of first", "urgent of second"]
    assert rank_of(None, 2) == (2, 2)


def test_no_customer_is_starved_by_higher_priorities():
    """Guards against a customer of low priority that is served less than a quarter as often."""
    load = Load()
    for number in range(600):
        load.arrive(number * 10.0, "first", rank=(0, 1), time_left_ms=300.0)
    for number in range(60):
        load.arrive(number * 100.0, "second", rank=(1, 1), time_left_ms=300.0)
    load.run()
    share = load.started.count("second") / 60
    assert share >= 0.25 * len(load.started) / 660, share
    assert load.started.count("first") / 600 > share


def test_a_caller_without_time_left_is_refused_at_once():
    """Guards against a request that waits although it is known that it cannot be served."""
    load = Load()
    for number in range(10):
        load.arrive(number * 0.1, "patient")
    load.arrive(5.0, "hurried", rank=(2, 2), time_left_ms=50.0)
    load.run(5.0)
    (name, refusal), *others = load.refused
    assert name == "hurried" and not others and refusal.reason is RefusalReason.UNSERVABLE
    # Nine waiting requests of a better rank are ahead.
    assert 180.0 <= refusal.retry_after_ms <= 220.0


def test_new_callers_come_back_while_others_are_served_in_time():
    """Guards against a queue in which everyone is served, but long after the latency target.

    A caller that has come back is let in as long as its deadline allows.
    """
    load = Load()
    for number in range(200):
        customer = f"customer {number % 20}"
        load.arrive(number * 10.0, customer, target_ms=100.0, label=f"{number * 10}")
    load.arrive(1_000.1, "back", label="1000.1")
    load.run()
    waits_ms = [
        at_ms - float(name) for at_ms, name in zip(load.started_at_ms, load.started, strict=True)
    ]
    assert max(waits_ms) <= 300.0 and len(load.started) >= 100
    assert {refusal.reason for _, refusal in load.refused} == {RefusalReason.BUSY}
    assert "1000.1" in load.started


def test_retry_after_fits_the_own_queue():
    """Guards against one customer's flood that sends another one away for its own long queue."""
    load = Load()
    for number in range(WAITING_PER_CUSTOMER_MAX + 3):
        load.arrive(number * 0.1, "flood")
    load.arrive(3.0, "small", time_left_ms=15.0)
    load.run(5.0)
    refusals = dict(load.refused)
    assert refusals["flood"].reason is RefusalReason.QUEUE_FULL
    assert refusals["flood"].retry_after_ms >= WAITING_PER_CUSTOMER_MAX * HOLD_MS
    assert refusals["small"].reason is RefusalReason.UNSERVABLE
    assert refusals["small"].retry_after_ms <= 5 * HOLD_MS


def test_waiting_work_is_only_displaced_by_a_better_rank():
    """Guards against work that was let in and is thrown away for newer work of the same rank."""
    load = Load()
    for number in range(WAITING_MAX + 1):
        load.arrive(number * 0.01, f"customer {number % 64}", time_left_ms=60_000.0)
    load.arrive(5.0, "late", time_left_ms=60_000.0)
    load.arrive(6.0, "urgent", rank=(0, 0), time_left_ms=60_000.0)
    load.run(10.0)
    reasons = [refusal.reason for _, refusal in load.refused]
    assert reasons == [RefusalReason.QUEUE_FULL, RefusalReason.DISPLACED]
    assert load.refused[0][0] == "late" and load.room.waiting_count == WAITING_MAX


def test_waiting_work_ends_with_its_time_or_its_caller():
    """Guards against queues that keep work whose caller has left or has no time any more."""
    load = Load()
    for name in ("running", "left", "expired"):
        load.arrive(0.0, name)
    load.run(1.0)
    left, expired = (load.room.uses[name].waiting[0] for name in ("left", "expired"))
    assert withdraw(load.room, left) and not withdraw(load.room, left)
    expire(load.room, expired)
    assert [(name, refusal.reason) for name, refusal in load.refused] == [
        ("expired", RefusalReason.TOO_LATE)
    ]
    load.run()
    assert load.started == ["running"] and load.room.used == 0 and not load.room.waiting_count


def test_extra_legs_of_a_flood_give_way_while_their_budget_is_short():
    """Guards against hedges and retries of a flood that use up the budget of all customers."""
    state = OverloadState()
    record_legs(state, "flood", 2.0, 200, 0.0)
    record_legs(state, "small", 1.0, 10, 0.0)
    assert not may_send_extra(state, "flood", 0.4, 2.0, 0.0)
    assert may_send_extra(state, "small", 0.4, 2.0, 0.0)
    assert may_send_extra(state, "flood", 0.6, 2.0, 0.0)
    record_legs(state, "small", 1.0, 100, 60_000.0)
    assert may_send_extra(state, "flood", 0.4, 2.0, 60_000.0)


def test_a_shortage_is_forgotten():
    """Guards against a service that counts as short of room for ever, and its state with it."""
    state = OverloadState()
    mark_short(state, "invoicing", SHORTAGE_MS)
    assert is_short(state, "invoicing", SHORTAGE_MS - 1) and not is_short(state, "billing", 0.0)
    assert not is_short(state, "invoicing", SHORTAGE_MS + 1)
    assert not state.short_until_ms and not state.services


load_tests = function_suite(globals())
