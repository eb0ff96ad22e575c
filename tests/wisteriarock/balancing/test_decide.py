"""Tests of endpoint selection and reachability under endpoint and network faults."""

from collections import Counter

from wisteriarock.balancing.const import UNREACHABLE_AFTER_MS, ZONE_SILENCE_MS
from wisteriarock.balancing.decide import (
    apply_reported_zone_loss,
    choose_endpoint,
    find_unreachable_zones,
    has_reachable,
    mark_if_unreachable,
    mark_lost_zones,
    mark_reachable,
    observe_abandoned_leg,
    observe_connect_failure,
    observe_incomplete_reply,
    observe_reply,
    restore_zone,
)
from wisteriarock.balancing.models import Endpoint

from tests.common import function_suite
from tests.wisteriarock.samples import make_endpoint, make_rng

EXPECTED_MS = 20.0


def _count_choices(endpoints: list[Endpoint], now_ms: float, choices: int = 200) -> Counter:
    rng = make_rng()
    chosen = (
        choose_endpoint(endpoints, (), "zone-a", EXPECTED_MS, now_ms, rng) for _ in range(choices)
    )
    return Counter(
        chosen_endpoint.endpoint_id for chosen_endpoint in chosen if chosen_endpoint is not None
    )


def test_own_zone_is_preferred():
    """Guards against unnecessary traffic between zones."""
    near, far = make_endpoint("near"), make_endpoint("far", zone="zone-b")
    assert _count_choices([far, near], 0.0)["near"] == 200


def test_busy_endpoint_of_own_zone_is_skipped():
    """Guards against queueing on a replica in the local zone while a remote replica is idle."""
    near, far = make_endpoint("near"), make_endpoint("far", zone="zone-b")
    near.in_flight = dict.fromkeys(range(3), 0.0)
    assert _count_choices([near, far], 1.0)["far"] == 200


def test_slow_endpoint_is_avoided_and_tried_again_later():
    """Guards against legs sent to a slow endpoint, and against excluding it permanently."""
    slow, other = make_endpoint("slow"), make_endpoint("other", zone="zone-b")
    for _ in range(8):
        observe_reply(slow, 180.0, EXPECTED_MS, is_error=False, now_ms=0.0)
    assert _count_choices([slow, other], 100.0)["slow"] == 0
    assert _count_choices([slow, other], 30_000.0)["slow"] > 0


def test_paused_endpoint_is_avoided_while_it_pauses():
    """Guards against sending further queries to an endpoint during a pause of 200 ms."""
    paused, other = make_endpoint("paused"), make_endpoint("other", zone="zone-b")
    paused.in_flight = {1: 0.0}
    assert _count_choices([paused, other], 60.0)["paused"] == 0
    paused.in_flight = {}
    observe_reply(paused, 22.0, EXPECTED_MS, is_error=False, now_ms=210.0)
    assert _count_choices([paused, other], 210.0)["paused"] > 0


def test_fast_errors_do_not_attract_legs():
    """Guards against fast errors giving an endpoint the lowest estimated latency."""
    failing, other = make_endpoint("failing"), make_endpoint("other", zone="zone-b")
    for _ in range(6):
        observe_reply(failing, 1.0, EXPECTED_MS, is_error=True, now_ms=0.0)
    assert _count_choices([failing, other], 0.0)["failing"] == 0
    reset, good = make_endpoint("reset"), make_endpoint("good", zone="zone-b")
    for _ in range(6):
        observe_incomplete_reply(reset, 0.0)
    assert _count_choices([reset, good], 0.0)["reset"] == 0


def test_silent_endpoint_becomes_unreachable_and_recovers():
    """Guards against legs sent to a silent endpoint, and against excluding it permanently."""
    silent = make_endpoint("silent")
    observe_abandoned_leg(silent, 0.0, EXPECTED_MS, 250.0)
    assert not mark_if_unreachable(silent, UNREACHABLE_AFTER_MS - 1)
    assert mark_if_unreachable(silent, UNREACHABLE_AFTER_MS + 1)
    assert not has_reachable([silent])
    assert choose_endpoint([silent], (), "zone-a", EXPECTED_MS, 800.0, make_rng()) is None
    mark_reachable(silent)
    assert has_reachable([silent])
    assert not mark_if_unreachable(silent, 900.0)


def test_paused_endpoint_stays_reachable():
    """Guards against an endpoint becoming unreachable because of a pause of 250 ms."""
    paused = make_endpoint("paused")
    paused.in_flight = {1: 0.0}
    assert not mark_if_unreachable(paused, 250.0)


def test_refused_connections_make_an_endpoint_unreachable():
    """Guards against legs waiting for connections to a terminated process."""
    gone = make_endpoint("gone")
    observe_connect_failure(gone)
    assert not mark_if_unreachable(gone, 0.0)
    observe_connect_failure(gone)
    assert mark_if_unreachable(gone, 0.0)


def test_partition_marks_whole_zone():
    """Guards against detecting a network partition only endpoint by endpoint."""
    cut = [make_endpoint(f"cut-{number}", zone="zone-b") for number in range(8)]
    near = [make_endpoint(f"near-{number}") for number in range(4)]
    for each in cut[:5]:
        each.in_flight = {1: 10.0}
    for each in near:
        each.last_reply_at_ms = 300.0
    assert mark_lost_zones([*cut, *near], 10.0 + ZONE_SILENCE_MS) == ["zone-b"]
    assert not has_reachable(cut) and has_reachable(near)
    assert restore_zone([*cut, *near], "zone-b") == 8
    assert has_reachable(cut)


def test_zone_with_one_replying_endpoint_is_not_lost():
    """Guards against mistaking simultaneous pauses for a partition."""
    slow = [make_endpoint(f"slow-{number}", zone="zone-b") for number in range(8)]
    for each in slow[:7]:
        each.in_flight = {1: 10.0}
    slow[7].last_reply_at_ms = 200.0
    assert mark_lost_zones(slow, 20.0 + ZONE_SILENCE_MS) == []


def test_reported_loss_is_ignored_for_replying_zone():
    """Guards against excluding reachable endpoints because a peer is partitioned from them."""
    endpoints = [make_endpoint("b", zone="zone-b"), make_endpoint("c", zone="zone-c")]
    endpoints[1].last_reply_at_ms = 900.0
    assert apply_reported_zone_loss(endpoints, ["zone-b", "zone-c"], 800.0) == ["zone-b"]
    assert [each.is_unreachable for each in endpoints] == [True, False]
    restore_zone(endpoints, "zone-b")
    assert not endpoints[0].is_unreachable


def test_zone_with_reset_connections_is_unreachable():
    """Guards against an isolated instance that reports no lost zone (incident inc-deeb)."""
    own = [make_endpoint(f"a{number}") for number in range(2)]
    other = [make_endpoint(f"b{number}", zone="zone-b") for number in range(4)]
    for each in (*own, *other[:2]):
        for _ in range(2):
            observe_connect_failure(each)
        mark_if_unreachable(each, 0.0)
    assert find_unreachable_zones([*own, *other], "zone-a") == ["zone-b"]
    mark_reachable(other[0])
    assert find_unreachable_zones([*own, *other], "zone-a") == []


def test_endpoint_with_an_idle_connection_is_preferred():
    """Guards against a new connection for each leg where an instance has few queries."""
    idle, cold = make_endpoint("idle"), make_endpoint("cold")
    rng = make_rng()

    def choose(now_ms: float) -> str:
        chosen = choose_endpoint(
            [cold, idle], (), "zone-a", 20.0, now_ms, rng, lambda each: each is idle
        )
        assert chosen is not None
        return chosen.endpoint_id

    assert {choose(0.0) for _ in range(50)} == {"idle"}
    idle.in_flight = {1: 0.0, 2: 0.0}
    assert choose(1.0) == "cold"


load_tests = function_suite(globals())
