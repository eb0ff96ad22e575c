"""Days of trouble on virtual time; each names the load pattern that it plays."""

from tests.common import function_suite
from tests.wisteriarock.dispatch.emulator import EmulatedEndpoint, Emulator
from tests.wisteriarock.samples import fan_out_route, plain_route


def _check_rules(day: Emulator) -> None:
    """Check what holds on every day: one answer each, attempts and budget within bounds."""
    assert not day.state.active
    assert day.most_runs() <= day.route.max_attempts
    assert day.extra_share() <= 0.2 + 0.05, day.extra_share()


def test_calm_day():
    """Guards against answers that wait or lack parts while nothing is wrong."""
    day = Emulator(fan_out_route(20))
    day.play(200, 40.0)
    _check_rules(day)
    assert day.worth(0, 200) > 0.97
    # Target: extra arrivals under half of the budget on calm days.
    assert day.extra_share() < 0.1


def test_pauses_of_single_endpoints():
    """Guards against pauses of 200 ms, each endpoint at its own time, setting the latency."""
    day = Emulator(fan_out_route(20))
    for index, endpoint in enumerate(day.endpoints.values()):
        for at_ms in range(0, 10_000, 4_500):

            def pause(endpoint: EmulatedEndpoint = endpoint) -> None:
                endpoint.paused_until_ms = day.loop.time() * 1000 + 200

            day.loop.call_at((at_ms + index * 110) / 1000, pause)
    day.play(200, 40.0)
    _check_rules(day)
    assert day.worth(0, 200) > 0.93, day.worth(0, 200)


def test_all_endpoints_of_a_shard_dark():
    """Guards against one dead shard costing more than its own part."""
    day = Emulator(fan_out_route(20))
    for number in range(2):
        day.endpoints[f"shard-3/{number}"].mode = "dark"
    day.play(200, 40.0)
    _check_rules(day)
    assert day.worth(0, 200) > 0.85, day.worth(0, 200)


def test_too_many_shards_dark_is_refused_at_once():
    """Guards against callers waiting for an answer that cannot come."""
    day = Emulator(fan_out_route(4))
    for name, endpoint in day.endpoints.items():
        if name.split("/")[0] in ("shard-0", "shard-1"):
            endpoint.mode = "dark"
    day.play(60, 100.0)
    late = [day.answers[b"r%d" % number] for number in range(30, 60)]
    assert all(answer.status == 503 and took_ms < 5 for took_ms, answer in late)
    assert all(b"retry" in dict(answer.headers) for _, answer in late)
    for endpoint in day.endpoints.values():
        endpoint.mode = "ok"
    day.play(60, 100.0, first=60)
    assert day.worth(70, 50) > 0.95


def test_slow_endpoints_of_many_shards():
    """Guards against slow replicas of one zone setting the latency of every fan-out."""
    day = Emulator(fan_out_route(20))
    for number in range(6):
        day.endpoints[f"shard-{number}/0"].work_ms = lambda: 200.0
    day.play(200, 40.0)
    _check_rules(day)
    assert day.worth(50, 150) > 0.95, day.worth(50, 150)


def test_shedding_endpoint_is_replaced_by_its_replica():
    """Guards against parts missing because one replica sheds everything."""
    day = Emulator(fan_out_route(20))
    day.endpoints["shard-5/0"].mode = "shed"
    day.play(150, 40.0)
    _check_rules(day)
    assert day.worth(20, 130) > 0.95


def test_full_queues_are_not_pressed():
    """Guards against the budget being burnt on endpoints that shed everything (inc-67e2)."""
    day = Emulator(fan_out_route(4), extra=1_000.0)
    for number in range(2):
        day.endpoints[f"shard-1/{number}"].mode = "shed"
    day.play(1, 100.0)
    arrivals = sum(len(day.endpoints[f"shard-1/{number}"].arrivals) for number in range(2))
    assert arrivals <= 8, arrivals


def test_plain_request_is_retried_after_a_lost_answer():
    """Guards against an idempotent request failing with the first endpoint."""
    day = Emulator(plain_route(), work_ms=150.0)
    day.endpoints["invoicing/0"].mode = "reset"
    day.play(40, 200.0)
    _check_rules(day)
    statuses = [answer.status for _, answer in day.answers.values()]
    assert statuses.count(200) >= 36, statuses


def test_request_that_is_not_idempotent_runs_at_most_once():
    """Guards against a second run after a lost answer or an error, and a false "not run"."""
    for mode in ("reset", "error", "dark"):
        day = Emulator(plain_route(idempotent=False, timeout_ms=2_000.0), work_ms=50.0)
        day.endpoints["invoicing/0"].mode = mode
        day.play(40, 100.0)
        assert day.most_runs() <= 1
        ran = {request_id for endpoint in day.endpoints.values() for request_id in endpoint.runs}
        for request_id, (_, answer) in day.answers.items():
            if answer.status in (429, 503):
                assert request_id not in ran, (mode, request_id)


def test_request_that_is_not_idempotent_moves_on_while_nothing_ran():
    """Guards against a refusal where another endpoint could have run the request."""
    for mode in ("shed", "refuse", "other"):
        day = Emulator(plain_route(idempotent=False), work_ms=50.0)
        day.endpoints["invoicing/0"].mode = mode
        day.play(30, 100.0)
        assert day.most_runs() <= 1
        statuses = [answer.status for _, answer in day.answers.values()]
        assert statuses.count(200) >= 27, (mode, statuses)


def test_shed_everywhere_is_refused_at_once_with_a_time_to_return():
    """Guards against a refusal that is held back."""
    day = Emulator(plain_route())
    for endpoint in day.endpoints.values():
        endpoint.mode = "shed"
    day.play(20, 100.0)
    for took_ms, answer in day.answers.values():
        assert answer.status == 503 and took_ms < 50
        assert b"retry" in dict(answer.headers)


def test_failure_of_the_endpoint_is_relayed_as_it_is():
    """Guards against an endpoint's failure reaching the caller with another status."""
    day = Emulator(plain_route(max_attempts=1))
    for endpoint in day.endpoints.values():
        endpoint.mode = "error"
    day.play(5, 100.0)
    for _, answer in day.answers.values():
        assert answer.status == 500 and answer.body == b"failed"


def test_route_timeout_ends_a_request():
    """Guards against a request that is held past the time that its route allows."""
    day = Emulator(plain_route(timeout_ms=400.0, max_attempts=1), time_left_ms=6_000.0)
    for endpoint in day.endpoints.values():
        endpoint.mode = "dark"
    day.play(1, 100.0)
    took_ms, answer = day.answers[b"r0"]
    assert answer.status == 504 and 395 <= took_ms <= 450


def test_caller_that_leaves_ends_its_legs():
    """Guards against endpoints working for a caller that has left."""
    day = Emulator(plain_route(), work_ms=3_000.0)
    leave = day.request(0)
    day.loop.run_until_ms(100.0)
    leave()
    day.loop.run_until_ms(600.0)
    assert not day.state.abandoned and not day.state.active
    assert b"r0" not in day.answers
    assert all(not endpoint.in_flight for endpoint in day.directory.by_id.values())


def test_misdirected_endpoint_is_reported():
    """Guards against an address that belongs to another endpoint staying in use."""
    day = Emulator(fan_out_route(4))
    day.endpoints["shard-2/0"].mode = "other"
    day.play(5, 100.0)
    assert "shard-2/0" in day.misdirected
    assert day.worth(0, 5) > 0.9


def test_budget_holds_when_everything_is_slow():
    """Guards against hedges that double the load of endpoints that are slow already."""
    day = Emulator(fan_out_route(20), extra=10.0)
    for endpoint in day.endpoints.values():
        endpoint.work_ms = lambda: 150.0
    day.play(200, 50.0)
    _check_rules(day)


def test_overload_drops_legs_that_nobody_waits_for():
    """Guards against queues full of legs whose queries were answered long ago."""
    day = Emulator(fan_out_route(10, min_coverage=0.5), work_ms=40.0)
    day.play(300, 12.0)
    # The load ends at 3.6 s; a calm request right after it is served at once.
    day.play(20, 100.0, first=300)
    assert day.worth(300, 20) > 0.95


def test_fan_out_goes_on_when_the_early_answer_found_too_few_parts():
    """Guards against a failure where a late answer is possible: first legs end with the target."""
    day = Emulator(fan_out_route(4, latency_target_ms=100.0, min_coverage=1.0), work_ms=20.0)
    slow = day.endpoints["shard-0/0"], day.endpoints["shard-0/1"]
    for endpoint in slow:
        endpoint.paused_until_ms = 150.0
    day.play(1, 100.0)
    took_ms, answer = day.answers[b"r0"]
    assert answer.status == 200 and took_ms < 400, (took_ms, answer)


def test_every_failed_request_leaves_a_line():
    """Guards against a failed request of which the log says nothing."""
    day = Emulator(fan_out_route(4))
    for endpoint in day.endpoints.values():
        endpoint.mode = "dark"
    day.play(20, 200.0)
    logged = {
        fields["request"] for event, fields in day.log.events if event in ("answered", "refused")
    }
    assert logged == set(day.answers)


def test_failures_name_the_endpoints_that_owe_a_reply():
    """Guards against a failed request whose log does not lead to the endpoint that caused it.

    Found with ids drawn from incident inc-c662: requests that are not idempotent ended at the
    route's timeout without any line on the endpoint that was silent.
    """
    day = Emulator(plain_route(idempotent=False, timeout_ms=500.0))
    for endpoint in day.endpoints.values():
        endpoint.mode = "dark"
    day.request(0)
    day.loop.run_until_ms(600.0)
    (ended,) = [fields for event, fields in day.log.events if event == "answered"]
    assert ended["status"] == 504 and ended["idempotent"] is False
    assert str(ended["waiting"]).startswith("invoicing/invoicing/"), ended["waiting"]
    assert str(ended["waiting"]).endswith(":500ms")
    day.loop.run_until_ms(3_000.0)
    for endpoint in day.directory.by_id.values():
        endpoint.is_unreachable = True
    day.request(1)
    (refused,) = [fields for event, fields in day.log.events if event == "refused"]
    assert refused["missing"] == "invoicing" and refused["route"] == "invoices"


load_tests = function_suite(globals())
