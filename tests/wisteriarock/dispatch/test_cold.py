"""Tests of dispatch to cold endpoints, with several instances on virtual time."""

import zlib

from wisteriarock.catalog.decide import adopt
from wisteriarock.discovery.decide import apply_entry
from wisteriarock.http.models import Exchange
from wisteriarock.limits.cold_limit import ColdBound
from wisteriarock.limits.const import COLD_LEG_WAIT_MAX_MS

from tests.common import function_suite
from tests.wisteriarock.dispatch.emulator import EmulatedEndpoint, Emulator
from tests.wisteriarock.dispatch.test_rate_limits import (
    WaitingPool,
    create_instances,
    send_requests,
)
from tests.wisteriarock.samples import (
    make_configuration,
    make_entry,
    make_fan_out_route,
    make_single_service_route,
)

BOUND = ColdBound(1.5, 5.0)
COLD_FROM_MS, WARMUP_MS = 4_000.0, 5_000.0
# Time after which news of a cold endpoint has reached an instance.
NEWS_MS = 300.0


def _limit_cold(instances: list[Emulator], per_s: float, sharers: float | None) -> None:
    """State a rate for cold endpoints in the configuration of all instances."""
    for instance in instances:
        configuration = make_configuration(2, instance.route)
        services = tuple(
            service._replace(warmup_ms=WARMUP_MS, cold_rate_per_s=per_s)
            for service in configuration.services
        )
        adopt(instance.state.catalog, configuration._replace(services=services), 0.0)
        instance.state.cold_bound = BOUND
        instance.state.cold_sharers = lambda service: sharers


def _turn_cold(instances: list[Emulator], suffix: str) -> None:
    """Report endpoints as cold to all instances, each at its own time."""
    first = instances[0]
    for instance in instances:
        at_ms = COLD_FROM_MS + NEWS_MS * first.rng.random()

        def report(instance: Emulator = instance) -> None:
            now_ms = instance.loop.time() * 1000
            for name, endpoint in instance.directory.by_id.items():
                if name.endswith(suffix):
                    left_ms = COLD_FROM_MS + NEWS_MS + WARMUP_MS - now_ms
                    entry = make_entry(
                        name, endpoint.service, cold_left_ms=left_ms, port=1, started_at_unix_ms=1
                    )
                    assert apply_entry(instance.directory, entry, now_ms) == []

        instance.loop.call_at(at_ms / 1000, report)


def _check_cold(endpoint: EmulatedEndpoint, per_s: float) -> int:
    """Check all seconds in which all instances know that an endpoint is cold; return its legs."""
    start_ms, end_ms = COLD_FROM_MS + NEWS_MS, COLD_FROM_MS + NEWS_MS + WARMUP_MS
    times_ms = [at_ms for at_ms, _ in endpoint.senders if start_ms <= at_ms < end_ms]
    for last_ms in times_ms:
        got = sum(last_ms - 1_000.0 < at_ms <= last_ms for at_ms in times_ms)
        assert got <= BOUND.overshoot * per_s + BOUND.slack, f"{got} legs at {last_ms:.0f} ms"
    return len(times_ms)


def _check_returned_zone(count: int, per_s: float, demand_per_s: float, least: float) -> None:
    instances = create_instances(make_fan_out_route(6), count, 2, 10.0)
    _limit_cold(instances, per_s, float(count))
    _turn_cold(instances, "/0")
    send_requests(instances, demand_per_s, 14_000.0)
    cold = [each for name, each in instances[0].endpoints.items() if name.endswith("/0")]
    got = [_check_cold(endpoint, per_s) for endpoint in cold]
    assert sum(got) >= len(got) * least * per_s * WARMUP_MS / 1000, "cold endpoints idle"
    statuses = [answer.status for each in instances for _, answer in each.answers.values()]
    assert statuses.count(200) >= 0.97 * len(statuses)


def test_whole_zone_that_returns_cold_gets_no_more_than_it_takes():
    """Guards against requests beyond the bound of cold endpoints (FAILBACK): few instances."""
    _check_returned_zone(4, 6.0, 60.0, 0.5)


def test_whole_zone_that_returns_cold_with_many_instances():
    """Guards against shares of less than a request that add up to more than the bound."""
    _check_returned_zone(60, 6.0, 60.0, 0.1)


def test_only_endpoint_turns_cold():
    """Guards against queued requests for an endpoint that turns cold and has no substitute.

    What it does not take is refused at once, with the time to come back.
    """
    instances = create_instances(make_single_service_route(), 3, 1, 10.0)
    _limit_cold(instances, 6.0, 3.0)
    _turn_cold(instances, "/0")
    send_requests(instances, 60.0, 12_000.0)
    assert _check_cold(instances[0].endpoints["invoicing/0"], 6.0) >= 0.7 * 6.0 * 5
    refused = [
        (took_ms, answer)
        for each in instances
        for took_ms, answer in each.answers.values()
        if answer.status == 503
    ]
    assert refused and all(took_ms == 0 for took_ms, _ in refused)
    assert all(b"retry" in dict(answer.headers) for _, answer in refused)


def test_no_herd_meets_an_endpoint_that_turns_warm():
    """Guards against the load of all instances reaching an endpoint as soon as it is warm."""
    instances = create_instances(make_single_service_route(), 8, 2, 10.0)
    _limit_cold(instances, 5.0, 8.0)
    _turn_cold(instances, "/0")
    send_requests(instances, 200.0, 14_000.0)
    endpoint = instances[0].endpoints["invoicing/0"]
    warm_at_ms = COLD_FROM_MS + NEWS_MS + WARMUP_MS
    steps = [
        sum(start_ms <= at_ms - warm_at_ms < start_ms + 250 for at_ms, _ in endpoint.senders)
        for start_ms in (-250, 0, 250, 500, 750, 1_000)
    ]
    assert steps[1] <= 10 and steps[2] <= 16, steps
    assert steps[1] < steps[-1], steps
    events = [name for name, _ in instances[0].log.events]
    assert events.count("endpoint_cold") == events.count("endpoint_warm") == 1


def test_unknown_number_of_instances_sends_nothing_to_a_cold_endpoint():
    """Guards against restarted instances that each take the whole limit."""
    (instance,) = create_instances(make_single_service_route(), 1, 2, 10.0)
    _limit_cold([instance], 6.0, None)
    instance.directory.by_id["invoicing/0"].cold_until_ms = 60_000.0
    instance.send_requests(200, 20.0)
    assert not instance.endpoints["invoicing/0"].senders
    assert {answer.status for _, answer in instance.answers.values()} == {200}


def test_instance_that_was_paused_takes_endpoints_as_cold():
    """Guards against an instance that resumes with its full load at endpoints that turned cold.

    Pattern: a suspended machine, whose steady clock does not count the time.
    """
    for per_s in (0.0, 6.0):
        (instance,) = create_instances(make_single_service_route(), 1, 2, 10.0)
        _limit_cold([instance], per_s, 1.0)
        state, paused_ms = instance.state, [0.0]
        state.has_cold_rates = bool(per_s)
        state.uptime_ms = lambda: instance.loop.time() * 1000 + paused_ms[0]  # noqa: B023
        instance.send_requests(10, 20.0)
        assert not any(name == "resumed" for name, _ in instance.log.events)
        paused_ms[0] = 4_000.0
        state.alive_at_ms = instance.loop.time() * 1000
        instance.send_requests(100, 10.0, first=10)
        assert any(name == "resumed" for name, _ in instance.log.events) == bool(per_s)
        sent = sum(len(endpoint.senders) for endpoint in instance.endpoints.values())
        assert sent <= 10 + 2 * 14 if per_s else sent == 110


def test_legs_that_waited_for_a_connection_do_not_reach_a_cold_endpoint_together():
    """Guards against legs acquired over seconds that are sent when a connection opens.

    Pattern: the endpoints of a zone come back and accept connections late.
    """
    (instance,) = create_instances(make_single_service_route(), 1, 1, 10.0)
    _limit_cold([instance], 6.0, 1.0)
    instance.directory.by_id["invoicing/0"].cold_until_ms = 60_000.0
    waiting: list[Exchange] = []
    instance.state.pool_of = lambda _: WaitingPool(waiting)  # type: ignore[assignment,return-value]
    for number in range(30):
        instance.request(number)
        instance.loop.run_until_ms(100.0 * (number + 1))
    assert len(waiting) > 12
    sent = [exchange.encode() is not None for exchange in waiting]
    assert sum(sent) <= 2 and all(sent[-1:])
    instance.loop.run_until_ms(instance.loop.time() * 1000 + COLD_LEG_WAIT_MAX_MS)


def test_same_choices_without_cold_limits_and_evacuations():
    """Guards against other decisions in deployments that state none (checksums of 7057ab7)."""
    for seed, checksum in ((1, 498288162), (2, 2887052254)):
        emulator = Emulator(make_fan_out_route(8), 3, 20.0, seed=seed)
        emulator.endpoints["shard-2/0"].limit_per_s = 3.0
        emulator.endpoints["shard-3/1"].mode = "shed"
        emulator.directory.by_id["shard-4/0"].cold_until_ms = 2_000.0
        silent = emulator.endpoints["shard-5/0"]
        emulator.loop.call_at(1.0, lambda silent=silent: setattr(silent, "mode", "silent"))
        emulator.send_requests(300, 12.0)
        lines = [
            f"{name} {at_ms:.1f} {request_id.decode()}"
            for name, endpoint in sorted(emulator.endpoints.items())
            for at_ms, request_id in endpoint.arrivals
        ]
        assert zlib.crc32("\n".join(lines).encode()) == checksum


load_tests = function_suite(globals())
