"""Tests of the choice of endpoints under the troubles that it answers."""

from collections import Counter

from wisteriarock.balancing.const import UNREACHABLE_AFTER_MS, ZONE_SILENCE_MS
from wisteriarock.balancing.decide import (
    choose,
    find_lost_zones,
    find_unreachable,
    has_reachable,
    observe_broken,
    observe_connect_failed,
    observe_connected,
    observe_given_up,
    observe_reply,
    regain_zone,
    take_reported_loss,
    zones_out_of_reach,
)
from wisteriarock.balancing.models import Endpoint

from tests.common import function_suite
from tests.wisteriarock.samples import endpoint, seeded

EXPECTED_MS = 20.0


def _counts(endpoints: list[Endpoint], now_ms: float, runs: int = 200) -> Counter:
    rng = seeded()
    chosen = (choose(endpoints, (), "zone-a", EXPECTED_MS, now_ms, rng) for _ in range(runs))
    return Counter(found.endpoint_id for found in chosen if found is not None)


def test_own_zone_first_when_nothing_speaks_against_it():
    """Guards against needless traffic between zones."""
    near, far = endpoint("near"), endpoint("far", zone="zone-b")
    assert _counts([far, near], 0.0)["near"] == 200


def test_busy_endpoint_of_the_own_zone_is_passed_over():
    """Guards against a queue at the near replica while the far one is idle."""
    near, far = endpoint("near"), endpoint("far", zone="zone-b")
    near.in_flight = dict.fromkeys(range(3), 0.0)
    assert _counts([near, far], 1.0)["far"] == 200


def test_slow_endpoint_is_avoided_and_tried_again_later():
    """Guards against stragglers that keep their share, and against shunning them for good."""
    slow, other = endpoint("slow"), endpoint("other", zone="zone-b")
    for _ in range(8):
        observe_reply(slow, 180.0, EXPECTED_MS, is_error=False, now_ms=0.0)
    assert _counts([slow, other], 100.0)["slow"] == 0
    assert _counts([slow, other], 30_000.0)["slow"] > 0


def test_paused_endpoint_is_avoided_while_it_pauses():
    """Guards against every query meeting the same pause of 200 ms."""
    paused, other = endpoint("paused"), endpoint("other", zone="zone-b")
    paused.in_flight = {1: 0.0}
    assert _counts([paused, other], 60.0)["paused"] == 0
    paused.in_flight = {}
    observe_reply(paused, 22.0, EXPECTED_MS, is_error=False, now_ms=210.0)
    assert _counts([paused, other], 210.0)["paused"] > 0


def test_grey_endpoint_that_fails_quickly_does_not_attract_work():
    """Guards against fast errors making an endpoint look like the quickest one."""
    grey, other = endpoint("grey"), endpoint("other", zone="zone-b")
    for _ in range(6):
        observe_reply(grey, 1.0, EXPECTED_MS, is_error=True, now_ms=0.0)
    assert _counts([grey, other], 0.0)["grey"] == 0
    reset, good = endpoint("reset"), endpoint("good", zone="zone-b")
    for _ in range(6):
        observe_broken(reset, 0.0)
    assert _counts([reset, good], 0.0)["reset"] == 0


def test_dark_endpoint_becomes_unreachable_and_comes_back():
    """Guards against legs for an endpoint that answers nothing, and against losing it for good."""
    dark = endpoint("dark")
    observe_given_up(dark, 0.0, EXPECTED_MS, 250.0)
    assert not find_unreachable(dark, UNREACHABLE_AFTER_MS - 1)
    assert find_unreachable(dark, UNREACHABLE_AFTER_MS + 1)
    assert not has_reachable([dark])
    assert choose([dark], (), "zone-a", EXPECTED_MS, 800.0, seeded()) is None
    observe_connected(dark)
    assert has_reachable([dark])
    assert not find_unreachable(dark, 900.0)


def test_pause_is_no_reason_to_call_an_endpoint_unreachable():
    """Guards against an endpoint being dropped for a pause of 250 ms."""
    paused = endpoint("paused")
    paused.in_flight = {1: 0.0}
    assert not find_unreachable(paused, 250.0)


def test_refused_connections_make_an_endpoint_unreachable():
    """Guards against legs that wait for connections to a process that is gone."""
    gone = endpoint("gone")
    observe_connect_failed(gone)
    assert not find_unreachable(gone, 0.0)
    observe_connect_failed(gone)
    assert find_unreachable(gone, 0.0)


def test_partition_is_noticed_for_the_zone_as_a_whole():
    """Guards against a zone cut being learnt endpoint by endpoint."""
    cut = [endpoint(f"cut-{number}", zone="zone-b") for number in range(8)]
    near = [endpoint(f"near-{number}") for number in range(4)]
    for each in cut[:5]:
        each.in_flight = {1: 10.0}
    for each in near:
        each.heard_at_ms = 300.0
    assert find_lost_zones([*cut, *near], 10.0 + ZONE_SILENCE_MS) == ["zone-b"]
    assert not has_reachable(cut) and has_reachable(near)
    assert regain_zone([*cut, *near], "zone-b") == 8
    assert has_reachable(cut)


def test_zone_of_which_one_endpoint_replies_is_not_lost():
    """Guards against pauses that meet being taken for a partition."""
    slow = [endpoint(f"slow-{number}", zone="zone-b") for number in range(8)]
    for each in slow[:7]:
        each.in_flight = {1: 10.0}
    slow[7].heard_at_ms = 200.0
    assert find_lost_zones(slow, 20.0 + ZONE_SILENCE_MS) == []


def test_reported_loss_is_not_believed_of_a_zone_that_was_heard():
    """Guards against endpoints given up because a neighbour is cut off from them."""
    endpoints = [endpoint("b", zone="zone-b"), endpoint("c", zone="zone-c")]
    endpoints[1].heard_at_ms = 900.0
    assert take_reported_loss(endpoints, ["zone-b", "zone-c"], 800.0) == ["zone-b"]
    assert [each.is_unreachable for each in endpoints] == [True, False]
    regain_zone(endpoints, "zone-b")
    assert not endpoints[0].is_unreachable


def test_zone_behind_a_cut_that_resets_connections_is_out_of_reach():
    """Guards against a cut-off instance that has nothing to report, as in incident inc-deeb."""
    own = [endpoint(f"a{number}") for number in range(2)]
    other = [endpoint(f"b{number}", zone="zone-b") for number in range(4)]
    for each in (*own, *other[:2]):
        for _ in range(2):
            observe_connect_failed(each)
        find_unreachable(each, 0.0)
    assert zones_out_of_reach([*own, *other], "zone-a") == ["zone-b"]
    observe_connected(other[0])
    assert zones_out_of_reach([*own, *other], "zone-a") == []


load_tests = function_suite(globals())
