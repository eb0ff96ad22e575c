"""Tests of the choice among endpoints under loads that many instances answer at the same time.

Without reports and setting, instances choose as they did before; the comparisons are with that.
"""

import functools
from collections import Counter
from collections.abc import Sequence
from random import Random

from wisteriarock.balancing.decide import choose_endpoint, observe_reply
from wisteriarock.balancing.diagnostics import choice_source
from wisteriarock.balancing.models import Endpoint, LoadReport

from tests.common import function_suite
from tests.wisteriarock.balancing.crowd import Crowd, Figures, Load, choose_evenly, mean_figures
from tests.wisteriarock.samples import make_endpoint, make_rng

EXPECTED_MS = 20.0
DURATION_MS = 30_000.0
SEEDS = (1, 2, 3)
# Endpoints of a service with a copy in each zone, queried by a gatherer of each.
SHARD = Load(3, 3, 2, 20.0, 0.5, swing=0.55, speeds=(0.8, 1.0, 1.3), pause_ms=150.0)
SERVICE = Load(8, 7, 3, 90.0, 0.6, swing=0.3)
# The target: the part of the load of the busiest endpoint above the mean falls by a third, or the
# time that requests wait does.
TARGET_SHARE = 2 / 3


def _choose_as_before(
    endpoints: Sequence[Endpoint], zone: str, expected_ms: float, now_ms: float, rng: Random
) -> Endpoint:
    chosen = choose_endpoint(endpoints, (), zone, expected_ms, now_ms, rng)
    assert chosen is not None
    return chosen


@functools.cache
def _play_before(load: Load) -> Figures:
    return mean_figures([Crowd(load, _choose_as_before, seed).run(DURATION_MS) for seed in SEEDS])


def _play_before_and_after(load: Load) -> tuple[Figures, Figures]:
    before = _play_before(load._replace(reports=False, is_even=False, spoil=None))
    after = [Crowd(load, choose_evenly, seed).run(DURATION_MS) for seed in SEEDS]
    return before, mean_figures(after)


def test_all_instances_see_the_same_idle_endpoint():
    """Guards against a herd of instances on the endpoint that was idle in the news of all."""
    chosen: Counter[str] = Counter()
    for seed in range(80):
        rng = Random(seed)
        endpoints = [make_endpoint(f"e{number}") for number in range(4)]
        for each in endpoints:
            running = 1 if each.endpoint_id == "e0" else 2
            report = LoadReport(running, 0, 2)
            observe_reply(each, 20.0, 20.0, is_error=False, now_ms=0.0, report=report)
        for _ in range(5):
            now_ms = rng.uniform(150.0, 2_000.0)
            chosen[choose_evenly(endpoints, "zone-a", EXPECTED_MS, now_ms, rng).endpoint_id] += 1
    assert chosen["e0"] <= 0.5 * chosen.total(), chosen
    assert min(chosen[f"e{number}"] for number in range(4)) > 0, chosen


def test_endpoint_returns_from_a_pause():
    """Guards against avoiding an endpoint for seconds after a pause, and against overrunning it."""
    paused, other = make_endpoint("paused"), make_endpoint("other", zone="zone-b")
    report = LoadReport(1, 0, 2)
    observe_reply(paused, 160.0, EXPECTED_MS, is_error=False, now_ms=0.0, report=report)
    choices = [
        choose_evenly([paused, other], "zone-a", EXPECTED_MS, 5.0, make_rng()) for _ in range(20)
    ]
    assert choices == [paused] * 20
    # The queue that built up meanwhile is left to drain first.
    queued = LoadReport(2, 8, 2)
    observe_reply(paused, 160.0, EXPECTED_MS, is_error=False, now_ms=5.0, report=queued)
    assert choose_evenly([paused, other], "zone-a", EXPECTED_MS, 10.0, make_rng()) is other


def test_one_zone_has_twice_the_demand():
    """Guards against overrun endpoints in one zone while those of the others idle."""
    before, after = _play_before_and_after(SERVICE._replace(zone_demand=(2.0, 1.0, 1.0)))
    assert after.wait_mean_ms <= TARGET_SHARE * before.wait_mean_ms, (before, after)
    assert after.busiest_ratio - 1.0 <= TARGET_SHARE * (before.busiest_ratio - 1.0)
    assert after.cross_zone_share <= before.cross_zone_share


def test_endpoints_of_unlike_speed():
    """Guards against overrunning slow endpoints, and against taking chance for slowness."""
    for reports in (True, False):
        before, after = _play_before_and_after(SHARD._replace(reports=reports, utilization=0.15))
        assert after.wait_mean_ms <= TARGET_SHARE * before.wait_mean_ms, (reports, before, after)
        assert after.cross_zone_share <= TARGET_SHARE * before.cross_zone_share
    load = Load(1, 3, 6, 60.0, 0.3, speeds=(0.8, 1.0, 1.3), reports=False)
    crowd = Crowd(load, choose_evenly)
    crowd.run(DURATION_MS)
    speeds = [each.speed_ratio for each in crowd.views[0]]
    assert speeds == sorted(speeds) and speeds[2] > 1.3 * speeds[0], speeds


def test_news_is_two_seconds_old():
    """Guards against old reports that are taken for current and gather the load in turns."""
    load = Load(27, 4, 4, 180.0, 0.6, swing=0.55, cross_zone_ms=0.5, news_delay_ms=2_000.0)
    before, after = _play_before_and_after(load)
    assert after.wait_mean_ms <= before.wait_mean_ms, (before, after)
    assert after.busiest_ratio <= before.busiest_ratio


def test_one_endpoint_reports_falsely():
    """Guards against legs drawn to an endpoint that says it is idle and fast."""

    def lie(number: int, report: LoadReport) -> LoadReport:
        return LoadReport(1, 0, 2, 0.5) if number == 0 else report

    before, after = _play_before_and_after(SHARD._replace(spoil=lie))
    assert after.wait_mean_ms <= before.wait_mean_ms, (before, after)
    assert after.shares[0] <= 0.5, after


def test_slow_endpoint_reports_to_be_idle():
    """Guards against a report of no load that hides a slow endpoint from sparse instances."""
    liar, other = make_endpoint("liar"), make_endpoint("other", zone="zone-b")
    idle, loaded = LoadReport(1, 0, 2), LoadReport(2, 0, 2)

    def choose(now_ms: float) -> Endpoint:
        return choose_evenly([liar, other], "zone-a", 120.0, now_ms, make_rng())

    for number in range(10):
        observe_reply(liar, 120.0, 120.0, is_error=False, now_ms=10.0 * number, report=idle)
    observe_reply(liar, 800.0, 120.0, is_error=False, now_ms=1_000.0, report=idle)
    assert choice_source(liar, 1_000.0) == "contradicted"
    for now_ms in (1_000.0, 4_000.0):
        observe_reply(other, 120.0, 120.0, is_error=False, now_ms=now_ms, report=loaded)
        assert choose(now_ms) is other, now_ms
    observe_reply(liar, 120.0, 120.0, is_error=False, now_ms=4_100.0, report=idle)
    assert choose(4_800.0) is liar


def test_pause_does_not_contradict_a_report():
    """Guards against avoiding an endpoint for seconds for the replies that a pause held up."""
    paused = make_endpoint("paused")
    report = LoadReport(1, 0, 2)
    for now_ms in (200.0, 201.0, 202.0):
        observe_reply(paused, 160.0, EXPECTED_MS, is_error=False, now_ms=now_ms, report=report)
    assert not paused.is_contradicted
    # A leg sent after the pause that is as slow is a fault.
    observe_reply(paused, 100.0, EXPECTED_MS, is_error=False, now_ms=310.0, report=report)
    assert paused.is_contradicted


def test_many_instances_with_few_legs_each_meet_a_false_report():
    """Guards against a slow endpoint that draws a leg of each instance by reporting to be idle."""

    def lie(number: int, report: LoadReport) -> LoadReport:
        return LoadReport(1, 0, report.slots) if number == 0 else report

    load = Load(81, 3, 6, 120.0, 0.3, swing=0.55, slow_factor=5.0, slow_from_ms=10_000.0)
    before, after = _play_before_and_after(load._replace(spoil=lie))
    assert after.wait_mean_ms <= before.wait_mean_ms, (before, after)
    before, after = _play_before_and_after(load)
    assert after.wait_mean_ms <= before.wait_mean_ms, (before, after)


def test_hundreds_of_instances_and_unlike_demand_of_zones():
    """Guards against queues in the busiest zone that instances with few reports do not learn of."""
    load = Load(300, 30, 4, 60.0, 0.5, zone_demand=(2.0, 1.0, 1.0))
    before, after = _play_before_and_after(load)
    assert after.wait_mean_ms <= TARGET_SHARE * before.wait_mean_ms, (before, after)
    assert after.busiest_ratio <= before.busiest_ratio, (before, after)
    # Legs to other zones are sent all the time and not by turns.
    assert after.cross_zone_swing <= 0.5 * after.cross_zone_share, (before, after)


def test_uneven_demand_of_zones_and_two_copies_in_one():
    """Guards against swinging between zones whose demand swings (rasio-cyd-grown)."""
    load = Load(
        27, 4, 4, 120.0, 0.6, swing=0.55, cross_zone_ms=0.5, noise_share=0.15, noise_ms=600.0
    )
    before, after = _play_before_and_after(load)
    assert after.wait_mean_ms <= TARGET_SHARE * before.wait_mean_ms, (before, after)
    assert after.cross_zone_swing <= before.cross_zone_swing, (before, after)
    before, after = _play_before_and_after(load._replace(reports=False))
    assert after.wait_mean_ms <= before.wait_mean_ms, (before, after)
    assert after.latency_p99_ms <= 1.05 * before.latency_p99_ms, (before, after)


def test_endpoint_slows_down_for_some_hundred_milliseconds():
    """Guards against further legs to an endpoint that holds one up, without reports."""
    slow, other = make_endpoint("slow"), make_endpoint("other", zone="zone-b")
    slow.in_flight = {1: 0.0}

    def choose(now_ms: float) -> Endpoint:
        return choose_evenly([slow, other], "zone-a", EXPECTED_MS, now_ms, make_rng())

    assert choose(20.0) is slow
    assert choose(30.0) is other
    # A large request does not stall an endpoint that replies to others.
    slow.last_reply_at_ms = 10.0
    assert choose(30.0) is slow
    slow.in_flight = {}
    observe_reply(slow, 2.5 * EXPECTED_MS, EXPECTED_MS, is_error=False, now_ms=50.0, is_even=True)
    assert choose(51.0) is slow


def test_large_service_is_not_agreed_on():
    """Guards against hundreds of instances that all compare all endpoints and pick the same."""
    rng = make_rng()
    endpoints = [make_endpoint(f"e{number}") for number in range(40)]
    for each in endpoints[1:]:
        each.in_flight = {1: 0.0}
    chosen = Counter(
        choose_evenly(endpoints, "zone-a", EXPECTED_MS, 1.0, rng).endpoint_id for _ in range(400)
    )
    assert chosen["e0"] < 200, chosen["e0"]
    excluded = [each.endpoint_id for each in endpoints[:39]]
    last = choose_endpoint(endpoints, excluded, "zone-a", EXPECTED_MS, 1.0, rng, is_even=True)
    assert last is endpoints[39]


load_tests = function_suite(globals())
