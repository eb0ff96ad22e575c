"""Tests of the delay and the budget of hedges."""

from random import Random

from wisteriarock.query.decide import on_reply, on_timer
from wisteriarock.query.hedging import (
    create_hedge_state,
    earn_budget,
    latency_of,
    record_latency,
    take_extra,
)
from wisteriarock.query.models import LegOutcome
from wisteriarock.routing.decide import build_routes, note_overdue, note_reply

from tests.common import function_suite
from tests.wisteriarock.query.fixtures import (
    begin,
    make_bundle,
    make_request,
    make_shared_state,
    make_view,
    reply_to,
    see,
    sent,
)

ACTIVE = make_bundle({"x": "north", "y": "east", "z": "west"}, "ab")
VIEWS = [make_view(name, {7: [("a", 0, 1)]}) for name in "xyz"]


def test_the_delay_follows_the_quantile_of_the_service() -> None:
    """Guards against hedges that are sent much too early or too late."""
    state = create_hedge_state(0.95, 5, 100)
    latency = latency_of(state, "s")
    for _ in range(19):
        record_latency(state, latency, 1)
    assert latency.delay_ms == 100
    record_latency(state, latency, 1)
    assert latency.delay_ms == 5
    rng = Random(1)
    for _ in range(3_000):
        record_latency(state, latency, rng.uniform(0, 100))
    assert 88 <= latency.delay_ms <= 100
    for _ in range(3_000):
        record_latency(state, latency, rng.uniform(0, 1_000))
    assert 880 <= latency.delay_ms <= 1_000
    assert latency_of(state, "other").delay_ms == 100


def test_stragglers_as_frequent_as_the_quantile_do_not_set_the_delay() -> None:
    """Guards against a delay as long as the stragglers that it is meant for."""
    state = create_hedge_state(0.95, 5, 100)
    latency = latency_of(state, "s")
    rng = Random(1)
    for _ in range(3_000):
        record_latency(state, latency, 200 if rng.random() < 0.05 else rng.uniform(5, 15))
    assert latency.delay_ms < 20


def test_extra_legs_are_a_share_of_the_primary_ones() -> None:
    """Guards against hedges and retries that multiply the load."""
    state = create_hedge_state(0.95, 5, 100)
    spec = ACTIVE.content["budgets"]
    taken = 0
    for _ in range(1_000):
        earn_budget(state, spec, 10)
        taken += take_extra(state, 0) + take_extra(state, 0)
    assert taken == 500
    earn_budget(state, spec, 1_000_000)
    assert sum(take_extra(state, 0) for _ in range(100)) == spec["extra_legs_burst"]


def test_no_hedge_to_replicas_that_shed_or_have_queues() -> None:
    """Guards against extra load on endpoints that have too much already."""
    made = make_shared_state(VIEWS, ACTIVE)
    routes = build_routes(ACTIVE.content)
    for name in "yz":
        note_reply(made.routing, routes, name, LegOutcome.SHEDDING, 1, 90)
    state, _ = begin(made, make_request("a", deadline_ms=10_000), ACTIVE)
    assert not sent(on_timer(made, state, 100))
    busy = [VIEWS[0], *(make_view(name, {7: [("a", 0, 1)]}, busy=2, queued=9) for name in "yz")]
    see(made, busy, 1_150)
    assert not sent(on_timer(made, state, 1_200))
    see(made, VIEWS, 1_300)
    assert sent(on_timer(made, state, 1_400))


def test_no_hedges_to_endpoints_whose_own_legs_are_late() -> None:
    """Guards against hedges that add to an overload."""
    made = make_shared_state(VIEWS, ACTIVE)
    for name in "yz":
        for _ in range(5):
            note_overdue(made.routing, name, True, 0)
    state, _ = begin(made, make_request("a"), ACTIVE)
    assert not sent(on_timer(made, state, 100))
    for _ in range(2):
        note_overdue(made.routing, "z", False, 100)
    [leg] = sent(on_timer(made, state, 130))
    assert leg["endpoint"] == "z"


def test_legs_that_waited_longest_get_a_short_budget() -> None:
    """Guards against early hedges that use up the budget before the worst stragglers."""
    made = make_shared_state(VIEWS, ACTIVE, tokens=4)
    made.hedging.budget.burst = 10
    state, _ = begin(made, make_request("a"), ACTIVE)
    assert not sent(on_timer(made, state, 100))
    assert sent(on_timer(made, state, 400))


def test_a_failed_leg_waits_for_the_budget_and_is_then_sent() -> None:
    """Guards against retries beyond the budget, and against giving up before the deadline."""
    made = make_shared_state(VIEWS, ACTIVE, tokens=0)
    state, actions = begin(made, make_request("a"), ACTIVE)
    made.hedging.budget.tokens = 0
    [first] = sent(actions)
    assert not sent(on_reply(made, state, reply_to(first, LegOutcome.REFUSED), 1))
    assert not sent(on_timer(made, state, 21))
    made.hedging.budget.tokens = 1
    assert sent(on_timer(made, state, 61))


load_tests = function_suite(globals())
