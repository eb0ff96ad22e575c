"""Tests of the delay and the budget of hedges."""

from random import Random

from wisteriarock.query.decide import on_reply, on_timer
from wisteriarock.query.hedging import (
    create_hedge_state,
    deposit_budget,
    get_service_latency,
    record_latency,
    withdraw_budget,
)
from wisteriarock.query.models import LegOutcome
from wisteriarock.routing.decide import build_routes, record_leg_reply, record_overdue

from tests.common import function_suite
from tests.wisteriarock.query.fixtures import (
    make_bundle,
    make_request,
    make_shared_state,
    make_view,
    reply_to,
    sent_legs,
    start_sample_query,
    update_views,
)

ACTIVE = make_bundle({"x": "north", "y": "east", "z": "west"}, "ab")
VIEWS = [make_view(name, {7: [("a", 0, 1)]}) for name in "xyz"]


def test_the_delay_follows_the_quantile_of_the_service() -> None:
    """Guards against hedges that are sent far too early or too late."""
    state = create_hedge_state(0.95, 5, 100)
    latency = get_service_latency(state, "s")
    for _ in range(19):
        record_latency(state, latency, 1)
    assert latency.hedge_delay_ms == 100
    record_latency(state, latency, 1)
    assert latency.hedge_delay_ms == 5
    rng = Random(1)
    for _ in range(3_000):
        record_latency(state, latency, rng.uniform(0, 100))
    assert 88 <= latency.hedge_delay_ms <= 100
    for _ in range(3_000):
        record_latency(state, latency, rng.uniform(0, 1_000))
    assert 880 <= latency.hedge_delay_ms <= 1_000
    assert get_service_latency(state, "other").hedge_delay_ms == 100


def test_stragglers_as_frequent_as_the_quantile_do_not_set_the_delay() -> None:
    """Guards against a hedge delay as long as the stragglers' latency."""
    state = create_hedge_state(0.95, 5, 100)
    latency = get_service_latency(state, "s")
    rng = Random(1)
    for _ in range(3_000):
        record_latency(state, latency, 200 if rng.random() < 0.05 else rng.uniform(5, 15))
    assert latency.hedge_delay_ms < 20


def test_extra_legs_are_limited_to_a_share_of_primary_legs() -> None:
    """Guards against hedges and retries that multiply the load."""
    state = create_hedge_state(0.95, 5, 100)
    spec = ACTIVE.content["budgets"]
    withdrawn = 0
    for _ in range(1_000):
        deposit_budget(state, spec, 10)
        withdrawn += withdraw_budget(state, 0) + withdraw_budget(state, 0)
    assert withdrawn == 500
    deposit_budget(state, spec, 1_000_000)
    assert sum(withdraw_budget(state, 0) for _ in range(100)) == spec["extra_legs_burst"]


def test_no_hedge_to_replicas_that_shed_or_queue_legs() -> None:
    """Guards against extra load on overloaded endpoints."""
    shared = make_shared_state(VIEWS, ACTIVE)
    routes = build_routes(ACTIVE.content)
    for name in "yz":
        record_leg_reply(shared.routing, routes, name, LegOutcome.SHEDDING, 1, 90)
    state, _ = start_sample_query(shared, make_request("a", deadline_ms=10_000), ACTIVE)
    assert not sent_legs(on_timer(shared, state, 100))
    busy = [VIEWS[0], *(make_view(name, {7: [("a", 0, 1)]}, busy=2, queued=9) for name in "yz")]
    update_views(shared, busy, 1_150)
    assert not sent_legs(on_timer(shared, state, 1_200))
    update_views(shared, VIEWS, 1_300)
    assert sent_legs(on_timer(shared, state, 1_400))


def test_no_hedges_to_endpoints_with_overdue_primary_legs() -> None:
    """Guards against hedges that add to an overload."""
    shared = make_shared_state(VIEWS, ACTIVE)
    for name in "yz":
        for _ in range(5):
            record_overdue(shared.routing, name, True, 0)
    state, _ = start_sample_query(shared, make_request("a"), ACTIVE)
    assert not sent_legs(on_timer(shared, state, 100))
    for _ in range(2):
        record_overdue(shared.routing, "z", False, 100)
    [leg] = sent_legs(on_timer(shared, state, 130))
    assert leg["endpoint"] == "z"


def test_a_short_budget_is_reserved_for_the_oldest_legs() -> None:
    """Guards against early hedges that exhaust the budget needed for the slowest legs."""
    shared = make_shared_state(VIEWS, ACTIVE, tokens=4)
    shared.hedging.budget.burst = 10
    state, _ = start_sample_query(shared, make_request("a"), ACTIVE)
    assert not sent_legs(on_timer(shared, state, 100))
    assert sent_legs(on_timer(shared, state, 400))


def test_a_retry_waits_for_budget() -> None:
    """Guards against retries beyond the budget, and against giving up before the deadline."""
    shared = make_shared_state(VIEWS, ACTIVE, tokens=0)
    state, actions = start_sample_query(shared, make_request("a"), ACTIVE)
    shared.hedging.budget.tokens = 0
    [first] = sent_legs(actions)
    assert not sent_legs(on_reply(shared, state, reply_to(first, LegOutcome.REFUSED), 1))
    assert not sent_legs(on_timer(shared, state, 21))
    shared.hedging.budget.tokens = 1
    assert sent_legs(on_timer(shared, state, 61))


load_tests = function_suite(globals())
