"""Tests of replica selection."""

from random import Random

from wisteriarock.membership.models import EndpointState
from wisteriarock.query.models import LegOutcome
from wisteriarock.routing.decide import (
    apply_view,
    build_routes,
    can_accept_extra_leg,
    choose_replica,
    rank_replicas,
    record_leg_cancelled,
    record_leg_reply,
    record_leg_sent,
    record_lost_race,
)
from wisteriarock.routing.models import RoutingState

from tests.common import function_suite
from tests.wisteriarock.query.fixtures import make_bundle, make_routing_state, make_view

ZONES = {"n1": "north", "n2": "north", "e1": "east", "w1": "west"}
ROUTES = build_routes(make_bundle(ZONES, "a").content)


def _record_failures(state: RoutingState, name: str, times: int, now_ms: float) -> None:
    for _ in range(times):
        record_leg_sent(state, name)
        record_leg_reply(state, ROUTES, name, LegOutcome.REFUSED, 1, now_ms)


def _ranked(state: RoutingState, now_ms: float = 0) -> list[str]:
    return rank_replicas(state, ROUTES, ZONES, now_ms, Random(1))


def test_own_zone_is_preferred_unless_overloaded() -> None:
    """Guards against needless cross-zone legs, and against queues in the local zone."""
    state = make_routing_state()
    record_leg_sent(state, "n1")
    assert _ranked(state)[:2] == ["n2", "n1"]
    for _ in range(3):
        record_leg_sent(state, "n1")
        record_leg_sent(state, "n2")
    assert set(_ranked(state)[:2]) == {"e1", "w1"}
    for _ in range(3):
        record_leg_cancelled(state, "n2")
    assert _ranked(state)[0] == "n2"


def test_the_faster_of_equally_loaded_replicas_is_preferred() -> None:
    """Guards against a slow endpoint that gets as many legs as the others."""
    state = make_routing_state()
    for name, elapsed_ms in (("n1", 80), ("n2", 10)):
        record_leg_sent(state, name)
        record_leg_reply(state, ROUTES, name, LegOutcome.OK, elapsed_ms, 0)
    assert _ranked(state)[0] == "n2"
    firsts = {rank_replicas(state, ROUTES, ZONES, 20_000, Random(i))[0] for i in range(20)}
    assert firsts == {"n1", "n2"}, "an expired latency still affects the ranking"


def test_reported_load_counts_less_with_its_age() -> None:
    """Guards against routing by an outdated load report."""
    state = make_routing_state()
    apply_view(state, make_view("n1", {}, busy=2, queued=4), 0)
    assert _ranked(state, 100)[0] == "n2"
    assert _ranked(state, 100)[-1] == "n1"
    assert "n1" in _ranked(state, 2_100)[:2]


def test_failing_replicas_rank_last_and_draining_ones_are_excluded() -> None:
    """Guards against legs to endpoints that shed load, are cold or are draining."""
    state = make_routing_state()
    apply_view(state, make_view("n1", {}, state=EndpointState.COLD), 0)
    record_leg_sent(state, "n2")
    record_leg_reply(state, ROUTES, "n2", LegOutcome.SHEDDING, 1, 0)
    apply_view(state, make_view("w1", {}, state=EndpointState.DRAINING), 0)
    assert _ranked(state, 1) == ["e1", "n2", "n1"]
    assert not can_accept_extra_leg(state, ROUTES, "n2", 1)
    record_leg_sent(state, "e1")
    record_leg_reply(state, ROUTES, "e1", LegOutcome.DRAINING, 1, 0)
    assert "e1" not in _ranked(state, 1)
    assert choose_replica(state, ROUTES, ["w1"], 1, Random(1)) is None


def test_ejection_after_five_failures_in_a_row_for_five_seconds() -> None:
    """Guards against legs to a failing endpoint, and against its permanent ejection."""
    state = make_routing_state()
    _record_failures(state, "n1", 4, 0)
    record_leg_reply(state, ROUTES, "n1", LegOutcome.OK, 1, 0)
    _record_failures(state, "n1", 4, 0)
    assert _ranked(state)[0] == "n1"
    _record_failures(state, "n1", 1, 0)
    assert _ranked(state, 4_999)[-1] == "n1"
    assert _ranked(state, 5_000)[0] in {"n1", "n2"}


def test_at_most_half_of_a_service_and_never_its_only_replica_is_ejected() -> None:
    """Guards against ejections that make a service unavailable."""
    state = make_routing_state()
    for name in ZONES:
        _record_failures(state, name, 9, 0)
    assert set(_ranked(state)[2:]) == {"n1", "n2"}
    assert rank_replicas(state, ROUTES, ["n1"], 0, Random(1)) == ["n1"]
    alone = build_routes(make_bundle({"n1": "north"}, "a").content)
    for _ in range(9):
        record_leg_reply(state, alone, "n1", LegOutcome.REFUSED, 1, 9_000)
    assert can_accept_extra_leg(state, alone, "n1", 9_000)


def test_a_silent_endpoint_whose_legs_are_cancelled_is_ejected() -> None:
    """Guards against hedging every leg to a silent endpoint indefinitely."""
    state = make_routing_state()
    for _ in range(5):
        record_leg_sent(state, "n1")
        record_lost_race(state, ROUTES, "n1", 0)
    assert _ranked(state)[-1] == "n1"


def test_a_lost_holder_is_avoided_without_ejecting_its_endpoints() -> None:
    """Guards against legs through a dead holder that membership has not yet replaced."""
    state = make_routing_state()
    for name, holder in (("n1", "dead"), ("n2", "dead"), ("e1", "e1"), ("w1", "e1")):
        apply_view(state, make_view(name, {}, holder=holder), 0)
    for _ in range(9):
        record_leg_reply(state, ROUTES, "n1", LegOutcome.PEER_LOST, 1, 0)
    assert set(_ranked(state, 1)[:2]) == {"e1", "w1"}
    apply_view(state, make_view("n1", {}, holder="new"), 2)
    assert _ranked(state, 3)[0] == "n1"


def test_a_restarted_endpoint_gets_a_slow_start() -> None:
    """Guards against full load on an endpoint with empty caches."""
    state = make_routing_state()
    apply_view(state, make_view("n1", {}), 0)
    apply_view(state, make_view("n1", {}, incarnation="2"), 1_000)
    record_leg_sent(state, "n2")
    assert _ranked(state, 1_001)[0] == "n2"
    assert not can_accept_extra_leg(state, ROUTES, "n1", 1_001)
    assert _ranked(state, 4_000)[0] == "n1"


load_tests = function_suite(globals())
