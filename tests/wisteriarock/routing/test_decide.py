"""Tests of the order of replicas."""

from random import Random

from wisteriarock.membership.models import EndpointState
from wisteriarock.query.models import LegOutcome
from wisteriarock.routing.decide import (
    apply_view,
    build_routes,
    choose,
    may_take_extra,
    note_cancelled,
    note_lost_race,
    note_reply,
    note_sent,
    rank,
)
from wisteriarock.routing.models import RoutingState

from tests.common import function_suite
from tests.wisteriarock.query.fixtures import make_bundle, make_routing_state, make_view

ZONES = {"n1": "north", "n2": "north", "e1": "east", "w1": "west"}
ROUTES = build_routes(make_bundle(ZONES, "a").content)


def _fail(state: RoutingState, name: str, times: int, now_ms: float) -> None:
    for _ in range(times):
        note_sent(state, name)
        note_reply(state, ROUTES, name, LegOutcome.REFUSED, 1, now_ms)


def _order(state: RoutingState, now_ms: float = 0) -> list[str]:
    return rank(state, ROUTES, ZONES, now_ms, Random(1))


def test_own_zone_comes_first_until_it_is_overloaded() -> None:
    """Guards against cross-zone legs that are not needed, and against a queue at home."""
    state = make_routing_state()
    note_sent(state, "n1")
    assert _order(state)[:2] == ["n2", "n1"]
    for _ in range(3):
        note_sent(state, "n1")
        note_sent(state, "n2")
    assert set(_order(state)[:2]) == {"e1", "w1"}
    for _ in range(3):
        note_cancelled(state, "n2")
    assert _order(state)[0] == "n2"


def test_of_equally_loaded_replicas_the_faster_one_is_preferred() -> None:
    """Guards against an endpoint that is slow and gets as much as the others."""
    state = make_routing_state()
    for name, elapsed_ms in (("n1", 80), ("n2", 10)):
        note_sent(state, name)
        note_reply(state, ROUTES, name, LegOutcome.OK, elapsed_ms, 0)
    assert _order(state)[0] == "n2"
    firsts = {rank(state, ROUTES, ZONES, 20_000, Random(i))[0] for i in range(20)}
    assert firsts == {"n1", "n2"}, "an old observation still decides"


def test_reported_load_counts_less_with_its_age() -> None:
    """Guards against a report that steers legs away long after it was true."""
    state = make_routing_state()
    apply_view(state, make_view("n1", {}, busy=2, queued=4), 0)
    assert _order(state, 100)[0] == "n2"
    assert _order(state, 100)[-1] == "n1"
    assert "n1" in _order(state, 2_100)[:2]


def test_troubled_replicas_come_last_and_leaving_ones_never() -> None:
    """Guards against work for endpoints that refuse it, are cold, or are leaving."""
    state = make_routing_state()
    apply_view(state, make_view("n1", {}, state=EndpointState.COLD), 0)
    note_sent(state, "n2")
    note_reply(state, ROUTES, "n2", LegOutcome.SHEDDING, 1, 0)
    apply_view(state, make_view("w1", {}, state=EndpointState.DRAINING), 0)
    assert _order(state, 1) == ["e1", "n2", "n1"]
    assert not may_take_extra(state, ROUTES, "n2", 1)
    note_sent(state, "e1")
    note_reply(state, ROUTES, "e1", LegOutcome.DRAINING, 1, 0)
    assert "e1" not in _order(state, 1)
    assert choose(state, ROUTES, ["w1"], 1, Random(1)) is None


def test_ejection_after_five_failures_in_a_row_for_five_seconds() -> None:
    """Guards against legs to an endpoint that fails, and against its loss for good."""
    state = make_routing_state()
    _fail(state, "n1", 4, 0)
    note_reply(state, ROUTES, "n1", LegOutcome.OK, 1, 0)
    _fail(state, "n1", 4, 0)
    assert _order(state)[0] == "n1"
    _fail(state, "n1", 1, 0)
    assert _order(state, 4_999)[-1] == "n1"
    assert _order(state, 5_000)[0] in {"n1", "n2"}


def test_ejection_spares_half_of_a_service_and_the_last_replica() -> None:
    """Guards against an ejection that takes a service away."""
    state = make_routing_state()
    for name in ZONES:
        _fail(state, name, 9, 0)
    assert set(_order(state)[2:]) == {"n1", "n2"}
    assert rank(state, ROUTES, ["n1"], 0, Random(1)) == ["n1"]
    alone = build_routes(make_bundle({"n1": "north"}, "a").content)
    for _ in range(9):
        note_reply(state, alone, "n1", LegOutcome.REFUSED, 1, 9_000)
    assert may_take_extra(state, alone, "n1", 9_000)


def test_a_silent_endpoint_whose_legs_are_cancelled_is_ejected() -> None:
    """Guards against hedging every leg of a silent endpoint for ever."""
    state = make_routing_state()
    for _ in range(5):
        note_sent(state, "n1")
        note_lost_race(state, ROUTES, "n1", 0)
    assert _order(state)[-1] == "n1"


def test_a_lost_holder_is_avoided_and_its_endpoints_are_not_blamed() -> None:
    """Guards against legs through a dead holder until membership has noticed."""
    state = make_routing_state()
    for name, holder in (("n1", "dead"), ("n2", "dead"), ("e1", "e1"), ("w1", "e1")):
        apply_view(state, make_view(name, {}, holder=holder), 0)
    for _ in range(9):
        note_reply(state, ROUTES, "n1", LegOutcome.PEER_LOST, 1, 0)
    assert set(_order(state, 1)[:2]) == {"e1", "w1"}
    apply_view(state, make_view("n1", {}, holder="new"), 2)
    assert _order(state, 3)[0] == "n1"


def test_a_restarted_endpoint_starts_slowly() -> None:
    """Guards against full load on an endpoint with empty caches."""
    state = make_routing_state()
    apply_view(state, make_view("n1", {}), 0)
    apply_view(state, make_view("n1", {}, incarnation="2"), 1_000)
    note_sent(state, "n2")
    assert _order(state, 1_001)[0] == "n2"
    assert not may_take_extra(state, ROUTES, "n1", 1_001)
    assert _order(state, 4_000)[0] == "n1"


load_tests = function_suite(globals())
