"""Tests of dispatch under faults, with emulated endpoints on virtual time."""

from tests.common import function_suite
from tests.wisteriarock.dispatch.emulator import EmulatedEndpoint, Emulator
from tests.wisteriarock.samples import make_fan_out_route, make_single_service_route


def _check_invariants(emulator: Emulator) -> None:
    """Check that all queries ended and that attempts and extra legs are within their limits."""
    assert not emulator.state.active
    assert emulator.max_runs_per_request() <= emulator.route.max_attempts
    assert emulator.extra_leg_share() <= 0.2 + 0.05, emulator.extra_leg_share()


def test_no_faults():
    """Guards against slow or partial answers without any fault."""
    emulator = Emulator(make_fan_out_route(20))
    emulator.send_requests(200, 40.0)
    _check_invariants(emulator)
    assert emulator.mean_answer_score(0, 200) > 0.97
    # Target: less than half of the extra-leg budget without faults.
    assert emulator.extra_leg_share() < 0.1


def test_pauses_of_single_endpoints():
    """Guards against slow answers when endpoints pause for 200 ms at different times."""
    emulator = Emulator(make_fan_out_route(20))
    for index, endpoint in enumerate(emulator.endpoints.values()):
        for at_ms in range(0, 10_000, 4_500):

            def pause(endpoint: EmulatedEndpoint = endpoint) -> None:
                endpoint.paused_until_ms = emulator.loop.time() * 1000 + 200

            emulator.loop.call_at((at_ms + index * 110) / 1000, pause)
    emulator.send_requests(200, 40.0)
    _check_invariants(emulator)
    assert emulator.mean_answer_score(0, 200) > 0.93, emulator.mean_answer_score(0, 200)


def test_one_shard_without_replies():
    """Guards against a silent shard affecting more than its own part."""
    emulator = Emulator(make_fan_out_route(20))
    for number in range(2):
        emulator.endpoints[f"shard-3/{number}"].mode = "silent"
    emulator.send_requests(200, 40.0)
    _check_invariants(emulator)
    assert emulator.mean_answer_score(0, 200) > 0.85, emulator.mean_answer_score(0, 200)


def test_too_many_silent_shards_are_refused_immediately():
    """Guards against callers waiting for a coverage that cannot be reached."""
    emulator = Emulator(make_fan_out_route(4))
    for name, endpoint in emulator.endpoints.items():
        if name.split("/")[0] in ("shard-0", "shard-1"):
            endpoint.mode = "silent"
    emulator.send_requests(60, 100.0)
    late = [emulator.answers[b"r%d" % number] for number in range(30, 60)]
    assert all(answer.status == 503 and took_ms < 5 for took_ms, answer in late)
    assert all(b"retry" in dict(answer.headers) for _, answer in late)
    for endpoint in emulator.endpoints.values():
        endpoint.mode = "ok"
    emulator.send_requests(60, 100.0, first=60)
    assert emulator.mean_answer_score(70, 50) > 0.95


def test_failing_shards_beside_a_silent_one_are_not_waited_for():
    """Guards against a caller that waits for its deadline after too many shards have failed.

    It has time to try again when it is told at once.
    """
    emulator = Emulator(make_fan_out_route(4))
    for name, mode in (("shard-0", "error"), ("shard-1", "error"), ("shard-2", "silent")):
        for number in range(2):
            emulator.endpoints[f"{name}/{number}"].mode = mode
    emulator.send_requests(1, 100.0)
    took_ms, answer = emulator.answers[b"r0"]
    assert answer.status == 502 and took_ms < 200, (answer.status, took_ms)


def test_one_failing_shard_beside_a_silent_one_is_answered():
    """Guards against giving up a query that still gets the parts that it needs."""
    emulator = Emulator(make_fan_out_route(4))
    for number in range(2):
        emulator.endpoints[f"shard-0/{number}"].mode = "error"
    emulator.endpoints["shard-2/0"].mode = "silent"
    emulator.send_requests(1, 100.0)
    _, answer = emulator.answers[b"r0"]
    assert answer.status == 200 and dict(answer.headers)[b"parts"] == b"3"


def _end_the_first_leg(emulator: Emulator) -> None:
    """End the endpoint that gets the leg of the first shard, before any endpoint replies."""
    for number in range(2):
        endpoint = emulator.endpoints[f"shard-0/{number}"]
        if endpoint.busy:
            endpoint.end()
            return
    emulator.loop.after_ms(0.5, lambda: _end_the_first_leg(emulator))


def test_end_of_an_endpoint_before_any_reply_is_no_reason_to_give_up():
    """Guards against a failure at once while the leg for the ended endpoint waits for a survivor.

    Shards whose endpoints are full for a moment do not change that.
    """
    for shards, min_coverage, full in ((4, 1.0, 0), (20, 1.0, 0), (4, 0.75, 1), (90, 0.95, 4)):
        emulator = Emulator(make_fan_out_route(shards, min_coverage=min_coverage))
        crowded = [
            emulator.endpoints[f"shard-{shard}/{number}"]
            for shard in range(1, full + 1)
            for number in range(2)
        ]
        for endpoint in crowded:
            endpoint.mode = "shed"
            emulator.loop.after_ms(25.0, lambda each=endpoint: setattr(each, "mode", "ok"))
        emulator.loop.after_ms(0.0, lambda each=emulator: _end_the_first_leg(each))
        emulator.send_requests(1, 100.0)
        _, answer = emulator.answers[b"r0"]
        assert answer.status == 200, (shards, min_coverage, full, answer.status)


def test_slow_endpoints_of_many_shards():
    """Guards against slow replicas in one zone delaying every fan-out."""
    emulator = Emulator(make_fan_out_route(20))
    for number in range(6):
        emulator.endpoints[f"shard-{number}/0"].work_ms = lambda: 200.0
    emulator.send_requests(200, 40.0)
    _check_invariants(emulator)
    assert emulator.mean_answer_score(50, 150) > 0.95, emulator.mean_answer_score(50, 150)


def test_shedding_endpoint_is_replaced_by_its_replica():
    """Guards against missing parts because one replica sheds all legs."""
    emulator = Emulator(make_fan_out_route(20))
    emulator.endpoints["shard-5/0"].mode = "shed"
    emulator.send_requests(150, 40.0)
    _check_invariants(emulator)
    assert emulator.mean_answer_score(20, 130) > 0.95


def test_shedding_endpoints_are_not_flooded():
    """Guards against using up the budget on endpoints that shed all legs (incident inc-67e2)."""
    emulator = Emulator(make_fan_out_route(4), extra=1_000.0)
    for number in range(2):
        emulator.endpoints[f"shard-1/{number}"].mode = "shed"
    emulator.send_requests(1, 100.0)
    arrivals = sum(len(emulator.endpoints[f"shard-1/{number}"].arrivals) for number in range(2))
    assert arrivals <= 8, arrivals


def test_plain_request_is_retried_after_a_lost_answer():
    """Guards against an idempotent request failing because its first endpoint fails."""
    emulator = Emulator(make_single_service_route(), work_ms=150.0)
    emulator.endpoints["invoicing/0"].mode = "reset"
    emulator.send_requests(40, 200.0)
    _check_invariants(emulator)
    statuses = [answer.status for _, answer in emulator.answers.values()]
    assert statuses.count(200) >= 36, statuses


def test_non_idempotent_request_runs_at_most_once():
    """Guards against a second run after a lost reply or an error, and against a wrong 503."""
    for mode in ("reset", "error", "silent"):
        emulator = Emulator(
            make_single_service_route(idempotent=False, timeout_ms=2_000.0), work_ms=50.0
        )
        emulator.endpoints["invoicing/0"].mode = mode
        emulator.send_requests(40, 100.0)
        assert emulator.max_runs_per_request() <= 1
        ran = {
            request_id for endpoint in emulator.endpoints.values() for request_id in endpoint.runs
        }
        for request_id, (_, answer) in emulator.answers.items():
            if answer.status in (429, 503):
                assert request_id not in ran, (mode, request_id)


def test_non_idempotent_request_is_retried_if_it_did_not_run():
    """Guards against refusing a request that another endpoint could have run."""
    for mode in ("shed", "refuse", "other"):
        emulator = Emulator(make_single_service_route(idempotent=False), work_ms=50.0)
        emulator.endpoints["invoicing/0"].mode = mode
        emulator.send_requests(30, 100.0)
        assert emulator.max_runs_per_request() <= 1
        statuses = [answer.status for _, answer in emulator.answers.values()]
        assert statuses.count(200) >= 27, (mode, statuses)


def test_request_shed_everywhere_is_refused_with_retry_after():
    """Guards against a delayed refusal."""
    emulator = Emulator(make_single_service_route())
    for endpoint in emulator.endpoints.values():
        endpoint.mode = "shed"
    emulator.send_requests(20, 100.0)
    for took_ms, answer in emulator.answers.values():
        assert answer.status == 503 and took_ms < 50
        assert b"retry" in dict(answer.headers)


def test_endpoint_failure_is_forwarded_unchanged():
    """Guards against forwarding an endpoint's failure with a different status."""
    emulator = Emulator(make_single_service_route(max_attempts=1))
    for endpoint in emulator.endpoints.values():
        endpoint.mode = "error"
    emulator.send_requests(5, 100.0)
    for _, answer in emulator.answers.values():
        assert answer.status == 500 and answer.body == b"failed"


def test_route_timeout_ends_a_request():
    """Guards against a request that outlasts the timeout of its route."""
    emulator = Emulator(
        make_single_service_route(timeout_ms=400.0, max_attempts=1), time_left_ms=6_000.0
    )
    for endpoint in emulator.endpoints.values():
        endpoint.mode = "silent"
    emulator.send_requests(1, 100.0)
    took_ms, answer = emulator.answers[b"r0"]
    assert answer.status == 504 and 395 <= took_ms <= 450


def test_disconnected_caller_ends_its_legs():
    """Guards against endpoints working for a disconnected caller."""
    emulator = Emulator(make_single_service_route(), work_ms=3_000.0)
    disconnect = emulator.request(0)
    emulator.loop.run_until_ms(100.0)
    disconnect()
    emulator.loop.run_until_ms(600.0)
    assert not emulator.state.abandoned and not emulator.state.active
    assert b"r0" not in emulator.answers
    assert all(not endpoint.in_flight for endpoint in emulator.directory.by_id.values())


def test_misdirected_endpoint_is_reported():
    """Guards against using an address that now belongs to another endpoint."""
    emulator = Emulator(make_fan_out_route(4))
    emulator.endpoints["shard-2/0"].mode = "other"
    emulator.send_requests(5, 100.0)
    assert "shard-2/0" in emulator.misdirected
    assert emulator.mean_answer_score(0, 5) > 0.9


def test_budget_holds_when_everything_is_slow():
    """Guards against hedges that double the load of slow endpoints."""
    emulator = Emulator(make_fan_out_route(20), extra=10.0)
    for endpoint in emulator.endpoints.values():
        endpoint.work_ms = lambda: 150.0
    emulator.send_requests(200, 50.0)
    _check_invariants(emulator)


def test_overload_drops_legs_of_answered_queries():
    """Guards against endpoint queues filled with legs of answered queries."""
    emulator = Emulator(make_fan_out_route(10, min_coverage=0.5), work_ms=40.0)
    emulator.send_requests(300, 12.0)
    # The overload ends at 3.6 s; the requests that follow are answered in time.
    emulator.send_requests(20, 100.0, first=300)
    assert emulator.mean_answer_score(300, 20) > 0.95


def test_fan_out_continues_if_early_answer_lacks_parts():
    """Guards against failing at the latency target when an answer is possible before the timeout.

    The first legs expire at the early answer time, so that later legs have to supply the parts.
    """
    emulator = Emulator(
        make_fan_out_route(4, latency_target_ms=100.0, min_coverage=1.0), work_ms=20.0
    )
    slow = emulator.endpoints["shard-0/0"], emulator.endpoints["shard-0/1"]
    for endpoint in slow:
        endpoint.paused_until_ms = 150.0
    emulator.send_requests(1, 100.0)
    took_ms, answer = emulator.answers[b"r0"]
    assert answer.status == 200 and took_ms < 400, (took_ms, answer)


def test_every_failed_request_is_logged():
    """Guards against a failed request that is not logged."""
    emulator = Emulator(make_fan_out_route(4))
    for endpoint in emulator.endpoints.values():
        endpoint.mode = "silent"
    emulator.send_requests(20, 200.0)
    logged = {
        fields["request"]
        for event, fields in emulator.log.events
        if event in ("answered", "refused")
    }
    assert logged == set(emulator.answers)


def test_failure_log_lists_unanswered_endpoints():
    """Guards against a failure log line that does not name the endpoint that caused it.

    In incident inc-c662, non-idempotent requests timed out and nothing in the log named the silent
    endpoint.
    """
    emulator = Emulator(make_single_service_route(idempotent=False, timeout_ms=500.0))
    for endpoint in emulator.endpoints.values():
        endpoint.mode = "silent"
    emulator.request(0)
    emulator.loop.run_until_ms(600.0)
    (ended,) = [fields for event, fields in emulator.log.events if event == "answered"]
    assert ended["status"] == 504 and ended["idempotent"] is False
    assert str(ended["waiting"]).startswith("invoicing/invoicing/"), ended["waiting"]
    assert str(ended["waiting"]).endswith(":500ms")
    emulator.loop.run_until_ms(3_000.0)
    for endpoint in emulator.directory.by_id.values():
        endpoint.is_unreachable = True
    emulator.request(1)
    (refused,) = [fields for event, fields in emulator.log.events if event == "refused"]
    assert refused["missing"] == "invoicing" and refused["route"] == "invoices"


load_tests = function_suite(globals())
