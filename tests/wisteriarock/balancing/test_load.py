"""Tests of the estimate that load reports and lasting speed go into."""

import math
import random
from collections import Counter

from wisteriarock.balancing.const import (
    COLD_FACTOR,
    CROSS_ZONE_PENALTY_MS,
    ERROR_PENALTY_FACTOR,
    JITTER_SHARE,
    OBSERVATION_DECAY_MS,
    STALL_PENALTY_FACTOR,
)
from wisteriarock.balancing.decide import (
    choose_endpoint,
    estimate_cost_ms,
    observe_incomplete_reply,
    observe_reply,
    silence_ms,
)
from wisteriarock.balancing.diagnostics import choice_source, describe_load, load_spread
from wisteriarock.balancing.load import expected_load, expected_pace
from wisteriarock.balancing.models import Endpoint, LoadReport

from tests.common import function_suite
from tests.wisteriarock.samples import make_endpoint, make_rng

EXPECTED_MS = 20.0
IDLE = LoadReport(1, 0, 2, 1.0)


def _report(
    endpoint: Endpoint, report: LoadReport, now_ms: float, elapsed_ms: float = EXPECTED_MS
) -> None:
    observe_reply(endpoint, elapsed_ms, EXPECTED_MS, is_error=False, now_ms=now_ms, report=report)


def _count_choices(endpoints: list[Endpoint], now_ms: float) -> Counter:
    rng = make_rng()
    chosen = [
        choose_endpoint(endpoints, (), "zone-a", EXPECTED_MS, now_ms, rng) for _ in range(200)
    ]
    return Counter(each.endpoint_id for each in chosen if each is not None)


def _cost_without_reports_ms(
    endpoint: Endpoint, zone: str, expected_ms: float, now_ms: float, rng: random.Random
) -> float:
    """Return the estimate as it was before endpoints could report their load."""
    weight = math.exp((endpoint.observed_at_ms - now_ms) / OBSERVATION_DECAY_MS)
    ratio = 1.0 + (endpoint.slow_ratio - 1.0) * weight
    if endpoint.cold_until_ms > now_ms:
        ratio *= COLD_FACTOR
    cost = expected_ms * ratio * (1.0 + len(endpoint.in_flight) / endpoint.slots)
    cost += CROSS_ZONE_PENALTY_MS if endpoint.zone != zone else 0.0
    if endpoint.error_rate:
        cost += expected_ms * ERROR_PENALTY_FACTOR * endpoint.error_rate * weight
    silent_ms = silence_ms(endpoint, now_ms)
    if silent_ms > 30.0 and silent_ms > 2.0 * expected_ms * ratio:
        cost += expected_ms * STALL_PENALTY_FACTOR
    return cost + expected_ms * JITTER_SHARE * rng.random()


def test_estimate_without_reports_and_setting_is_unchanged():
    """Guards against other decisions on deployments that do not ask for even load."""
    events = random.Random(7)
    endpoints = [make_endpoint(f"e{n}", zone=f"zone-{'abc'[n % 3]}") for n in range(6)]
    endpoints[0].cold_until_ms = 900.0
    rng, same_rng = make_rng(), make_rng()
    for step in range(2_000):
        now_ms = 7.0 * step
        endpoint = events.choice(endpoints)
        if events.random() < 0.5:
            endpoint.in_flight[step] = now_ms
        elif endpoint.in_flight:
            sent_at_ms = endpoint.in_flight.pop(next(iter(endpoint.in_flight)))
            is_error = events.random() < 0.1
            elapsed_ms = now_ms - sent_at_ms
            observe_reply(endpoint, elapsed_ms, 20.0, is_error=is_error, now_ms=now_ms)
        elif events.random() < 0.1:
            observe_incomplete_reply(endpoint, now_ms)
        before_ms = _cost_without_reports_ms(endpoint, "zone-a", 20.0, now_ms, same_rng)
        assert estimate_cost_ms(endpoint, "zone-a", 20.0, now_ms, rng) == before_ms


def test_reported_queue_is_avoided_until_it_has_ended():
    """Guards against legs to an endpoint that other instances have overrun, and for too long."""
    busy, other = make_endpoint("busy"), make_endpoint("other", zone="zone-b")
    _report(busy, LoadReport(2, 6, 2, 1.0), 0.0)
    _report(other, IDLE, 0.0)
    assert _count_choices([busy, other], 10.0)["busy"] == 0
    assert _count_choices([busy, other], 2_000.0)["busy"] == 200


def test_report_counts_legs_sent_since():
    """Guards against all legs of an instance to an endpoint that said once that it is idle."""
    idle = make_endpoint("idle")
    _report(idle, IDLE, 100.0)
    assert expected_load(idle, EXPECTED_MS, 100.0) == 0.0
    idle.in_flight = {1: 101.0, 2: 102.0, 3: 103.0}
    assert expected_load(idle, EXPECTED_MS, 104.0) >= 1.5
    # A leg that the endpoint had when it reported is not counted twice.
    idle.in_flight = {1: 90.0}
    _report(idle, LoadReport(2, 0, 2, 1.0), 100.0)
    assert expected_load(idle, EXPECTED_MS, 100.0) == 0.5


def test_old_pace_says_little_but_a_fault_lasts():
    """Guards against avoiding an endpoint for a slowness of 400 ms, and against a short memory."""
    uneven, faulty = make_endpoint("uneven"), make_endpoint("faulty")
    for each, pace in ((uneven, 2.5), (faulty, 12.0)):
        for number in range(5):
            _report(each, IDLE, 10.0 * number)
        _report(each, LoadReport(1, 0, 2, pace), 100.0, EXPECTED_MS * pace)
    assert expected_pace(uneven, 110.0) > 2.2
    assert expected_pace(uneven, 700.0) < 1.3
    assert expected_pace(faulty, 1_100.0) > 6.0


def test_endpoint_that_reports_falsely_is_not_believed():
    """Guards against legs to a slow endpoint that reports to be idle, and to be fast."""
    liar, other = make_endpoint("liar"), make_endpoint("other", zone="zone-b")
    for number in range(6):
        _report(liar, LoadReport(0, 0, 2, 0.0), 50.0 * number, 8 * EXPECTED_MS)
        _report(other, IDLE, 50.0 * number)
    assert _count_choices([liar, other], 400.0)["liar"] == 0
    huge = make_endpoint("huge")
    _report(huge, LoadReport(10**9 - 1, 10**9 - 1, 10**9 - 1, 1e7), 0.0)
    assert math.isfinite(expected_load(huge, EXPECTED_MS, 1.0))
    assert _count_choices([huge, other], 60_000.0)["huge"] == 200


def test_metrics_show_the_spread_of_load():
    """Guards against metrics that take an old report, or no report, for an idle endpoint."""
    busy, idle, silent = make_endpoint("busy"), make_endpoint("idle"), make_endpoint("silent")
    assert load_spread([[busy, idle]], 0.0) == 1.0
    _report(busy, LoadReport(3, 0, 2), 0.0)
    _report(idle, IDLE, 0.0)
    silent.in_flight = {1: 0.0}
    assert load_spread([[busy, idle], [silent]], 10.0) == 2.0
    assert abs(load_spread([[busy, idle, silent]], 10.0) - 2.0) < 1e-9
    assert load_spread([[busy, idle]], 60_000.0) == 1.0
    sources = [choice_source(each, 60_000.0) for each in (busy, silent)]
    assert sources == ["old_report", "observation"] and choice_source(idle, 1.0) == "report"
    described = describe_load(busy, 40.0)
    assert described is not None and described["running"] == 2 and described["age_ms"] == 40
    assert describe_load(silent, 0.0) is None


load_tests = function_suite(globals())
