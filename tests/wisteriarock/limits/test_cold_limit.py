"""Tests of the limit of a cold endpoint, in sum over instances."""

import bisect
import math
import random

from hypothesis import given, settings
from hypothesis import strategies as st
from wisteriarock.limits.cold_limit import ColdBound, share_cold_limit, update_cold_limit
from wisteriarock.limits.const import COLD_LEG_WAIT_MAX_MS, WARM_RAMP_MS
from wisteriarock.limits.endpoint_limit import EndpointLimit, Share, try_acquire

from tests.common import function_suite

BOUND = ColdBound(1.5, 5.0)


def _share(per_s: float, sharers: float) -> Share:
    return share_cold_limit(BOUND, per_s, sharers)


def _send_all(
    per_s: float,
    instances: int,
    known: float,
    demand_per_s: float,
    rng: random.Random,
    faults: float = 0.002,
) -> list[float]:
    """Return the times at which instances send to a cold endpoint, in order.

    All of them want to send `demand_per_s` requests in sum, evenly and, every two seconds, many at
    the same moment. A leg may wait for a connection. Some instances start again with an empty
    share, and some pause.
    """
    limits = [EndpointLimit(per_s, 0.0, _share) for _ in range(instances)]
    for limit in limits:
        limit.bucket.refilled_at_ms = rng.choice((0.0, -10_000.0))
    paused_until_ms = [0.0] * instances
    sent_ms = []
    for tick in range(8 * 50):
        now_ms = tick * 20.0
        wanted = demand_per_s * 0.02 + (2 * demand_per_s if tick % 100 == 0 else 0.0)
        for _ in range(int(wanted) + (rng.random() < wanted % 1)):
            chosen = rng.randrange(instances)
            event = rng.random()
            if event < faults:
                limits[chosen] = EndpointLimit(per_s, now_ms, _share)
            elif event < 2 * faults:
                paused_until_ms[chosen] = now_ms + 3_000.0
            if now_ms < paused_until_ms[chosen]:
                continue
            if try_acquire(limits[chosen], known, now_ms, rng):
                wait_ms = COLD_LEG_WAIT_MAX_MS * rng.choice((0.0, 0.0, rng.random(), 1.0))
                sent_ms.append(now_ms + wait_ms)
    return sorted(sent_ms)


def _most_in_a_second(times_ms: list[float]) -> int:
    return max(
        (
            index + 1 - bisect.bisect_right(times_ms, end_ms - 1_000.0)
            for index, end_ms in enumerate(times_ms)
        ),
        default=0,
    )


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    per_s=st.floats(0.2, 60.0),
    instances=st.integers(1, 120),
    known_share=st.floats(0.75, 2.0),
    demand=st.floats(0.5, 20.0),
    seed=st.integers(0, 2**32),
)
def test_instances_together_keep_to_the_bound_of_a_cold_endpoint(
    per_s: float, instances: int, known_share: float, demand: float, seed: int
):
    """Guards against more requests in a second than a cold endpoint takes (FAILBACK).

    Loads: bursts, restarts, pauses, and a number of instances that is known wrongly.
    """
    known = max(1.0, instances * known_share)
    times_ms = _send_all(per_s, instances, known, demand * per_s, random.Random(seed))
    assert _most_in_a_second(times_ms) <= BOUND.overshoot * per_s + BOUND.slack


def test_second_gatherer_of_a_zone_keeps_the_sum_below_the_bound():
    """Guards against a hand-over between gatherers in which both query a cold endpoint."""
    for per_s in (0.5, 2.0, 5.0, 20.0, 100.0):
        sharers = 3 / 0.9
        share = _share(per_s, sharers)
        assert share.burst >= 1.0
        held = share.burst + share.rate_per_s * (1 + COLD_LEG_WAIT_MAX_MS / 1000)
        assert 4 * math.floor(held) <= BOUND.overshoot * per_s + BOUND.slack


def test_cold_endpoint_gets_what_it_takes():
    """Guards against a cold endpoint that idles while the others are loaded.

    Few instances share the whole rate. Many get less of it, as their sum is left to chance.
    """
    for instances, per_s, least in ((1, 5.0, 0.8), (3, 5.0, 0.8), (8, 5.0, 0.7), (81, 5.0, 0.15)):
        rng = random.Random(1)
        times_ms = _send_all(per_s, instances, float(instances), 20 * per_s, rng, 0.0)
        assert len(times_ms) >= least * per_s * 8.0, instances


def test_share_begins_with_what_was_not_used():
    """Guards against an endpoint that was down and idles at its return.

    An endpoint that has just had load gets no whole share on top of it.
    """
    rng = random.Random(1)
    for unused_since_ms, expected in ((9_990.0, False), (0.0, True)):
        limit = update_cold_limit(None, 5.0, 20_000.0, 10_000.0, _share, unused_since_ms)
        assert limit is not None
        assert try_acquire(limit, 3.0, 10_000.0, rng) == expected
        sent = sum(try_acquire(limit, 3.0, 10_000.0, rng) for _ in range(9))
        assert sent + expected <= _share(5.0, 3.0).burst


def test_unstated_bound_is_the_stated_rate():
    """Guards against requests beyond the rate where no overshoot is published."""
    for sharers in (1.0, 3.0, 50.0):
        share = share_cold_limit(ColdBound(), 4.0, sharers)
        assert sharers * math.floor(share.burst + share.rate_per_s) <= 4.0


def test_limit_rises_before_it_ends():
    """Guards against a herd that meets an endpoint at the moment at which it turns warm."""
    limit = update_cold_limit(None, 5.0, 1_000.0, 0.0, _share, 0.0)
    assert limit is not None and limit.per_s == 5.0 and limit.bucket.tokens == 0.0
    rates = []
    for now_ms in range(1_000, 1_000 + int(WARM_RAMP_MS), 100):
        assert update_cold_limit(limit, 5.0, 1_000.0, float(now_ms), _share, 0.0) is limit
        rates.append(limit.per_s)
    assert rates[0] == 5.0 and rates == sorted(rates) and rates[-1] > 25.0
    assert update_cold_limit(limit, 5.0, 1_000.0, 1_000.0 + WARM_RAMP_MS, _share, 0.0) is None
    # Cold again at any moment: the limit is back at once.
    assert (
        update_cold_limit(limit, 5.0, 9_000.0, 1_500.0, _share, 0.0) is limit and limit.per_s == 5.0
    )
    assert update_cold_limit(None, 0.0, 1_000.0, 0.0, _share, 0.0) is None
    # An endpoint that was not cold has no limit after its start.
    assert update_cold_limit(None, 5.0, 1_000.0, 1_000.0, _share, 0.0) is None


load_tests = function_suite(globals())
