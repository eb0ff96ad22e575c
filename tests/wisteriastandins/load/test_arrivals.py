"""Tests of arrivals and capacity."""

from collections import Counter

from wisteriastandins.load.arrivals import capacity_per_s, generate_arrivals, mean_legs_per_request
from wisteriastandins.load.models import LoadOptions
from wisteriastandins.topology.customers import CUSTOMERS

from tests.common import function_suite
from tests.wisteriastandins.plans import make_cascade_plan, make_load_plan

PLAN = make_cascade_plan()


def test_the_same_seed_gives_the_same_requests() -> None:
    """Guards against runs that cannot be reproduced."""
    options = LoadOptions(rate_per_s=500, warm_up_s=1, duration_s=3, seed=5)
    first, second = list(generate_arrivals(PLAN, options, "a")), list(
        generate_arrivals(PLAN, options, "a")
    )
    assert first == second
    assert list(generate_arrivals(PLAN, options._replace(seed=6), "a")) != first
    assert len({arrival.request_id for arrival in first}) == len(first)


def test_rate_and_mix_match_the_options() -> None:
    """Guards against a load that differs from the reported one."""
    options = LoadOptions(rate_per_s=1000, warm_up_s=0, duration_s=20, seed=5)
    drawn = list(generate_arrivals(PLAN, options, "a"))
    assert 19_000 < len(drawn) < 21_000
    assert all(0 < arrival.scheduled_ms < 20_000 for arrival in drawn)
    kinds = Counter(arrival.kind for arrival in drawn)
    assert 0.57 < kinds["blend_finder"] / len(drawn) < 0.63
    invoice = next(arrival for arrival in drawn if arrival.kind == "invoice_lookup")
    assert not invoice.repeatable and len(invoice.shards) == 1
    assert invoice.params["lot"].startswith(invoice.shards[0])


def test_capacity_saturates_the_busiest_service() -> None:
    """Guards against a capacity that overloads a service, or leaves all of them underused."""
    for customer in CUSTOMERS.values():
        plan = make_load_plan(customer)
        rate_per_s, legs = capacity_per_s(plan), mean_legs_per_request(plan)
        busy = [
            rate_per_s * legs[s["shard"]] * s["mean_service_ms"] / 1000 / s["slots"]
            for s in plan["services"]
        ]
        assert abs(max(busy) - 1) < 1e-9


load_tests = function_suite(globals())
