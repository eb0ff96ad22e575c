"""Tests of merging, budget, latency estimates and query times."""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from wisteriarock.dispatch.budget import ExtraLegBudget, credit_request, has_budget, try_spend
from wisteriarock.dispatch.const import (
    ANSWER_MARGIN_MS,
    EARLY_ANSWER_MIN_HEDGE_DELAYS,
    TIMER_DELAY_MAX_MS,
)
from wisteriarock.dispatch.decide import (
    answer_margin_ms,
    average_timer_delay_ms,
    create_latency,
    hedge_delay_ms,
    needed_parts,
    record_latency,
    record_own_part,
    retry_after_ms,
    set_query_times,
)
from wisteriarock.dispatch.merge import RECORD_BYTES, merge_records
from wisteriarock.dispatch.models import Query, RequestHead, RouteLatency
from wisteriarock.http.front import CallerRequest

from tests.common import function_suite
from tests.wisteriarock.samples import make_fan_out_route, make_rng, make_single_service_route


@settings(
    derandomize=True,
    max_examples=50,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.lists(st.binary(max_size=100), max_size=6), st.integers(1, 8))
def test_merge_gives_the_greatest_records(bodies: list[bytes], top_count: int) -> None:
    """Guards against lost, extra or unordered records, and against remainders kept as records."""
    records = [
        body[at : at + RECORD_BYTES]
        for body in bodies
        for at in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    expected = b"".join(sorted(records, reverse=True)[:top_count])
    assert merge_records(bodies, top_count) == expected


def test_merge_keeps_duplicates():
    """Guards against dropping equal records of different shards."""
    assert merge_records([b"B" * 16 + b"A" * 16, b"B" * 16], 3) == b"B" * 32 + b"A" * 16


def test_needed_parts_round_up():
    """Guards against accepting less than the minimum coverage of a route due to rounding."""
    assert needed_parts(make_fan_out_route(20, min_coverage=0.89)) == 18
    assert needed_parts(make_fan_out_route(20, min_coverage=0.75)) == 15
    assert needed_parts(make_fan_out_route(100, min_coverage=0.89)) == 89
    assert needed_parts(make_fan_out_route(3, min_coverage=0.0)) == 1
    assert needed_parts(make_single_service_route()) == 1


def test_bursts_of_all_instances_stay_inside_the_fixed_budget():
    """Guards against every instance spending the whole fixed budget."""
    budgets = [ExtraLegBudget(0.2, 56.0, 10.0, 11) for _ in range(11)]
    spent_count = sum(try_spend(budget, "s", 0.0) for budget in budgets for _ in range(100))
    assert spent_count <= 56


def _spend_full_budget(seconds: int, requests_per_s: int) -> list[int]:
    """Return the spending per 100 ms of 11 instances that spend their whole budget."""
    budgets = [ExtraLegBudget(0.2, 56.0, 10.0, 11) for _ in range(11)]
    spent = []
    for tick in range(seconds * 10):
        now_ms = tick * 100.0
        for number in range(requests_per_s // 10):
            credit_request(budgets[(tick + number) % 11], "s")
        spent_count = 0
        for budget in budgets:
            while has_budget(budget, "s", now_ms) and try_spend(budget, "s", now_ms):
                spent_count += 1
        spent.append(spent_count)
    return spent


def test_budget_holds_in_every_window():
    """Guards against extra legs of all instances exceeding the published budget."""
    for requests_per_s in (0, 20, 100):
        spent = _spend_full_budget(60, requests_per_s)
        allowed = 0.2 * requests_per_s * 10 + 56
        for start in range(len(spent) - 100):
            assert sum(spent[start : start + 100]) <= allowed, (requests_per_s, start)


def test_fixed_budget_can_be_used_again_in_later_windows():
    """Guards against a fixed budget that is not refilled in later windows."""
    spent = _spend_full_budget(60, 20)
    # 40 extra legs are allowed for the requests and 56 from the fixed budget. At least 90 % and
    # 30 % of these have to be used.
    assert sum(spent[-100:]) >= 0.2 * 200 * 0.9 + 56 * 0.3


def test_hedge_delay_follows_the_quantile():
    """Guards against a hedge delay that hedges far too many or too few legs."""
    latency = create_latency(make_fan_out_route(20))
    hedged = 0
    for number in range(20_000):
        elapsed_ms = 20.0 + (number * 7_919 % 1_000) / 50
        if number > 5_000:
            hedged += elapsed_ms > latency.hedge_delay_ms
        record_latency(latency, elapsed_ms)
    assert 0.04 < hedged / 15_000 < 0.13


def _make_query(time_left_ms: float, latency: RouteLatency) -> Query:
    request = CallerRequest(b"GET", b"/blend/1", [], b"", 1_000.0, False)
    head = RequestHead(b"r", "shop.example", "/blend/1", time_left_ms)
    route = make_fan_out_route(4)
    query = Query(request, head, route, route.shards, latency, lambda answer: None)
    set_query_times(query, time_left_ms, 22.0)
    return query


def test_caller_retry_is_answered_within_first_target():
    """Guards against a late answer to a retry because earlier attempts are not counted."""
    latency = create_latency(make_fan_out_route(4))
    latency.hedge_delay_ms = 30.0
    first = _make_query(1_500.0, latency)
    assert first.early_answer_at_ms == 1_000.0 + 200.0 - ANSWER_MARGIN_MS
    repeat = _make_query(1_420.0, latency)
    assert repeat.early_answer_at_ms == first.early_answer_at_ms - 80.0
    # Legs keep a minimum time; after the target, the early answer is not brought forward.
    assert (
        _make_query(1_330.0, latency).early_answer_at_ms
        == 1_000.0 + EARLY_ANSWER_MIN_HEDGE_DELAYS * 30.0
    )
    assert _make_query(900.0, latency).early_answer_at_ms == first.early_answer_at_ms


def test_retry_after_fits_time_left():
    """Guards against a Retry-After that leaves the caller no time for a retry."""
    rng = make_rng()
    for time_left_ms in (150.0, 600.0, 1_500.0, 6_000.0):
        for _ in range(50):
            wait_ms = retry_after_ms(rng, time_left_ms, None)
            assert 50.0 <= wait_ms <= max(50.0, time_left_ms / 3)
    spread = {round(retry_after_ms(rng, 6_000.0, None)) for _ in range(50)}
    assert len(spread) > 20


def test_retry_after_of_isolated_instance_covers_balancer_removal():
    """Guards against retries that the load balancer routes to the same isolated instance."""
    rng = make_rng()
    assert retry_after_ms(rng, 9_000.0, 0.0) >= 2_000.0
    assert retry_after_ms(rng, 9_000.0, 1_900.0) <= 400.0
    assert retry_after_ms(rng, 1_500.0, 0.0) == 500.0


def test_near_callers_are_answered_later():
    """Guards against leaving parts out for a caller that is near and still has time."""
    assert answer_margin_ms(1.0, 0.0, None) == ANSWER_MARGIN_MS
    assert answer_margin_ms(1.0, 0.0, 2.0) == 10.0
    for round_trip_ms in (0.05, 0.5, 2.0, 5.0, 6.0):
        # A request, its answer and a new connection take two round trips; merging takes time too.
        spare_ms = answer_margin_ms(1.0, 0.0, round_trip_ms) - 2 * round_trip_ms
        assert spare_ms >= 4.0 + round_trip_ms, round_trip_ms
    # Callers 3 ms away and more are answered as without their round trip.
    for round_trip_ms in (6.0, 6.4, 300.0):
        assert answer_margin_ms(1.0, 0.0, round_trip_ms) == ANSWER_MARGIN_MS


def test_slow_instances_answer_earlier():
    """Guards against early answers that a slow or busy processor sends after the target."""
    assert answer_margin_ms(1.0, 0.0) == answer_margin_ms(2.15, 0.0) == ANSWER_MARGIN_MS
    assert 5.0 < answer_margin_ms(0.12, 0.0) - ANSWER_MARGIN_MS < 15.0
    delay_ms = 0.0
    for _ in range(30):
        delay_ms = average_timer_delay_ms(delay_ms, 25.0)
    assert 24.0 < delay_ms <= 25.0
    assert answer_margin_ms(1.0, delay_ms) == ANSWER_MARGIN_MS + delay_ms
    assert average_timer_delay_ms(0.0, 1e6) <= TIMER_DELAY_MAX_MS
    assert average_timer_delay_ms(0.0, -5.0) == 0.0


def test_hedges_wait_for_half_of_the_legs():
    """Guards against a hedge for each leg of a fan-out whose legs are all late for one reason.

    Pattern: few queries for each instance; connections are not open yet and estimates are empty.
    """
    query = _make_query(1_500.0, create_latency(make_fan_out_route(8)))
    query.own_legs = 8
    query.latency.hedge_delay_ms = 60.0
    assert hedge_delay_ms(query) is None
    assert [record_own_part(query, 1_000.0 + 10.0 * number) for number in range(1, 6)] == [
        False,
        False,
        False,
        True,
        False,
    ]
    assert query.half_time_ms == 40.0 and hedge_delay_ms(query) == 60.0
    query.latency.hedge_delay_ms = 150.0
    assert hedge_delay_ms(query) == 80.0


def test_small_fan_outs_are_hedged_by_the_estimate():
    """Guards against a plain request that is never hedged, as it has no legs to compare with."""
    query = _make_query(1_500.0, create_latency(make_fan_out_route(2)))
    query.own_legs = 2
    assert hedge_delay_ms(query) == query.latency.hedge_delay_ms


load_tests = function_suite(globals())
