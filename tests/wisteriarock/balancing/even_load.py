"""Program that compares ways to choose among endpoints, on virtual time.

Run with `python -m tests.wisteriarock.balancing.even_load`; prints the tables of
`docs/measurements/even-load.md`.
"""

import random
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from wisteriarock.balancing.const import CROSS_ZONE_PENALTY_MS
from wisteriarock.balancing.decide import choose_endpoint, estimate_cost_ms
from wisteriarock.balancing.models import Endpoint, LoadReport

from tests.wisteriarock.balancing.crowd import (
    WINDOW_MS,
    Choose,
    Crowd,
    Figures,
    Load,
    choose_evenly,
    mean_figures,
)

SEEDS = (1, 2, 3, 4)
DURATION_MS = 60_000.0
# Sharpness of the random choice by expected cost.
SPARE_ROOM_POWER = 8
SUBSET_SIZE = 2

_PLAIN = Load(81, 3, 6, 120.0, 0.6, swing=0.55, noise_share=0.1, noise_ms=400.0)
_SHARD = Load(
    3,
    3,
    2,
    20.0,
    0.15,
    swing=0.55,
    speeds=(0.8, 1.0, 1.3),
    noise_share=0.1,
    noise_ms=400.0,
    pause_ms=150.0,
)
_FEW = Load(8, 7, 3, 90.0, 0.7, swing=0.3)
LOADS = {
    "81 instances, 3 endpoints of 6 slots": _PLAIN,
    "the same, one endpoint 5 times slower for 10 s": _PLAIN._replace(
        utilization=0.3, slow_factor=5.0
    ),
    "the same, and it reports to be idle and as fast as usual": _PLAIN._replace(
        utilization=0.3,
        slow_factor=5.0,
        spoil=lambda number, report: (LoadReport(1, 0, report.slots) if number == 0 else report),
    ),
    "3 gatherers, 3 uneven endpoints that pause": _SHARD,
    "the same at half of the slots": _SHARD._replace(utilization=0.5),
    "the same, one endpoint reports to be idle and fast": _SHARD._replace(
        utilization=0.5, spoil=lambda number, report: _lie(number, report)
    ),
    "8 instances, 7 endpoints of 3 slots": _FEW,
    "the same, one zone with twice the demand": _FEW._replace(
        utilization=0.6, zone_demand=(2.0, 1.0, 1.0)
    ),
    "27 instances, 4 endpoints of 4 slots": Load(
        27, 4, 4, 180.0, 0.6, swing=0.55, cross_zone_ms=0.5
    ),
    "the same, news 2 s late": Load(
        27, 4, 4, 180.0, 0.6, swing=0.55, cross_zone_ms=0.5, news_delay_ms=2_000.0
    ),
    "1 instance, 3 endpoints of 6 slots": Load(1, 3, 6, 60.0, 0.5),
    "900 instances, 30 endpoints of 4 slots": Load(900, 30, 4, 60.0, 0.7, swing=0.3),
    "900 instances, one zone with twice the demand": Load(
        900, 30, 4, 60.0, 0.5, swing=0.3, zone_demand=(2.0, 1.0, 1.0)
    ),
}


# Shards of the deployments at hand: 12 requests a second on three endpoints.
BOUND_LOADS = {
    "12 requests a second, zones 0.5 ms apart": _SHARD._replace(
        work_ms=12.5,
        utilization=0.025,
        noise_share=0.15,
        noise_ms=600.0,
        cross_zone_ms=0.5,
        work_spread=0.35,
        reports=False,
    ),
    "12 requests a second, zones 4.5 ms apart": _SHARD._replace(
        work_ms=8.5,
        utilization=0.017,
        pause_ms=120.0,
        pause_interval_ms=3_000.0,
        work_spread=0.35,
    ),
    "the same, 48 requests a second": _SHARD._replace(
        work_ms=8.5,
        utilization=0.068,
        pause_ms=120.0,
        pause_interval_ms=3_000.0,
        work_spread=0.35,
    ),
}


class Way(NamedTuple):
    """A way to choose, and what instances know when they do."""

    title: str
    choose: Choose
    reports: bool = True
    is_even: bool = True


def _lie(number: int, report: LoadReport) -> LoadReport:
    return LoadReport(1, 0, report.slots, 0.5) if number == 0 else report


def _cost_ms(
    endpoint: Endpoint, zone: str, expected_ms: float, now_ms: float, rng: random.Random
) -> float:
    return estimate_cost_ms(endpoint, zone, expected_ms, now_ms, rng, is_even=True)


def _least_cost(
    endpoints: Sequence[Endpoint], zone: str, expected_ms: float, now_ms: float, rng: random.Random
) -> Endpoint:
    chosen = choose_endpoint(endpoints, (), zone, expected_ms, now_ms, rng)
    assert chosen is not None
    return chosen


def _two_choices(
    endpoints: Sequence[Endpoint], zone: str, expected_ms: float, now_ms: float, rng: random.Random
) -> Endpoint:
    two = rng.sample(list(endpoints), min(2, len(endpoints)))
    return min(two, key=lambda each: _cost_ms(each, zone, expected_ms, now_ms, rng))


def _spare_room(
    endpoints: Sequence[Endpoint], zone: str, expected_ms: float, now_ms: float, rng: random.Random
) -> Endpoint:
    costs = [_cost_ms(each, zone, expected_ms, now_ms, rng) for each in endpoints]
    weights = [(min(costs) / cost) ** SPARE_ROOM_POWER for cost in costs]
    return rng.choices(list(endpoints), weights)[0]


def _subset(
    endpoints: Sequence[Endpoint], zone: str, expected_ms: float, now_ms: float, rng: random.Random
) -> Endpoint:
    """Choose among the endpoints that rendezvous hashing gives the instance."""

    def score(endpoint: Endpoint) -> float:
        share = random.Random(f"{id(endpoints)}{endpoint.endpoint_id}").random()
        return share * (2.0 if endpoint.zone == zone else 1.0)

    chosen = sorted(endpoints, key=score, reverse=True)[:SUBSET_SIZE]
    return choose_evenly(chosen, zone, expected_ms, now_ms, rng)


def _face_value(
    endpoints: Sequence[Endpoint], zone: str, expected_ms: float, now_ms: float, rng: random.Random
) -> Endpoint:
    """Choose the least load by the reports as if they were of this moment."""

    def cost_ms(endpoint: Endpoint) -> float:
        report = endpoint.load or LoadReport(0, 0, endpoint.slots)
        load = (report.running + report.waiting + len(endpoint.in_flight)) / report.slots
        penalty_ms = CROSS_ZONE_PENALTY_MS if endpoint.zone != zone else 0.0
        return expected_ms * report.pace * (1.0 + load) + penalty_ms + rng.random()

    return min(endpoints, key=cost_ms)


WAYS = (
    Way("least cost, one average ratio (before)", _least_cost, reports=False, is_even=False),
    Way("least cost, lasting speed and trouble apart", choose_evenly, reports=False),
    Way("**the same with reports by age (kept)**", choose_evenly),
    Way("reports taken for current", _face_value),
    Way("the better of two random ones", _two_choices),
    Way("random by spare room", _spare_room),
    Way("two endpoints for each instance", _subset),
)


def measure(load: Load, way: Way) -> Figures:
    """Return the mean figures of a way under a load."""
    load = load._replace(reports=way.reports, is_even=way.is_even)
    duration_ms = min(DURATION_MS, 1e7 / load.instances)
    return mean_figures([Crowd(load, way.choose, seed).run(duration_ms) for seed in SEEDS])


def _by_chance(crowd: Crowd) -> Choose:
    return lambda endpoints, zone, expected_ms, now_ms, rng: rng.choice(endpoints)


def _by_zone(crowd: Crowd) -> Choose:
    def choose(
        endpoints: Sequence[Endpoint],
        zone: str,
        expected_ms: float,
        now_ms: float,
        rng: random.Random,
    ) -> Endpoint:
        return next(each for each in endpoints if each.zone == zone)

    return choose


def _by_shortest_latency(crowd: Crowd) -> Choose:
    """Choose by the speed, pace, pause and queue that each endpoint has at this moment."""
    load = crowd.load

    def choose(
        endpoints: Sequence[Endpoint],
        zone: str,
        expected_ms: float,
        now_ms: float,
        rng: random.Random,
    ) -> Endpoint:
        def latency_ms(number: int) -> float:
            is_near = endpoints[number].zone == zone
            way_ms = 2.0 * (load.one_way_ms if is_near else load.cross_zone_ms)
            return way_ms + crowd.servers[number].expected_ms(load.work_ms, now_ms)

        return endpoints[min(range(len(endpoints)), key=latency_ms)]

    return choose


def _by_fewest_requests(crowd: Crowd) -> Choose:
    """Choose the endpoint that all instances have sent the fewest requests to in this second."""
    sent: Counter[tuple[int, str]] = Counter()

    def choose(
        endpoints: Sequence[Endpoint],
        zone: str,
        expected_ms: float,
        now_ms: float,
        rng: random.Random,
    ) -> Endpoint:
        second = int(now_ms // WINDOW_MS)
        chosen = min(
            endpoints, key=lambda each: (sent[second, each.endpoint_id], each.zone != zone)
        )
        sent[second, chosen.endpoint_id] += 1
        return chosen

    return choose


# Ways that no instance has, for what is possible.
BOUNDS = {
    "by chance": _by_chance,
    "always the own zone": _by_zone,
    "knows all, shortest latency": _by_shortest_latency,
    "knows all, fewest requests in this second": _by_fewest_requests,
}


def measure_bound(load: Load, make_choose: Callable[[Crowd], Choose]) -> Figures:
    """Return the mean figures under a load of a way that may know more than an instance does."""
    runs = []
    for seed in SEEDS:
        crowd = Crowd(load, choose_evenly, seed)
        crowd.choose = make_choose(crowd)
        runs.append(crowd.run(DURATION_MS))
    return mean_figures(runs)


def print_bounds() -> None:
    """Print how even the requests can be, and what that costs callers, for each load."""
    for title, load in BOUND_LOADS.items():
        print(f"\n### {title}\n")
        print("| way | busiest / mean, requests in 1 s | latency mean, p99 ms | other zone |")
        print("|---|---|---|---|")
        rows = {way.title: measure(load, way) for way in (WAYS[0], WAYS[2])}
        for name, make_choose in BOUNDS.items():
            rows[name] = measure_bound(load, make_choose)
        for name, each in rows.items():
            print(
                f"| {name} | {each.busiest_arrivals_ratio:.2f}"
                f" | {each.latency_mean_ms:.1f}, {each.latency_p99_ms:.0f}"
                f" | {each.cross_zone_share:.2f} |"
            )


def main() -> None:
    """Print a table for each load, and what is possible."""
    print_bounds()
    for title, load in LOADS.items():
        print(f"\n### {title}\n")
        print(
            "| way | busiest / mean | waits while others idle | wait mean, p99 ms |"
            " latency mean, p99 ms | other zone |"
        )
        print("|---|---|---|---|---|---|")
        for way in WAYS:
            each = measure(load, way)
            print(
                f"| {way.title} | {each.busiest_ratio:.2f} | {each.overrun_share:.3f}"
                f" | {each.wait_mean_ms:.1f}, {each.wait_p99_ms:.0f}"
                f" | {each.latency_mean_ms:.1f}, {each.latency_p99_ms:.0f}"
                f" | {each.cross_zone_share:.2f} |"
            )


if __name__ == "__main__":
    main()
