"""Tests of dispatch to endpoints that name a rate limit, with several instances on virtual time."""

import bisect

from wisteriarock.catalog.models import Route

from tests.common import function_suite
from tests.wisteriarock.dispatch.emulator import EmulatedEndpoint, Emulator
from tests.wisteriarock.samples import make_fan_out_route, make_single_service_route

WINDOW_MS = 4_000.0
# Time after which an instance that was told a limit has to keep to it.
REACTION_MS = 500.0
LIMITED_FROM_MS = 4_000.0


def _create_instances(route: Route, count: int, replicas: int, work_ms: float) -> list[Emulator]:
    first = Emulator(route, replicas, work_ms, instances=count)
    others = [
        Emulator(
            route,
            replicas,
            work_ms,
            seed=number,
            name=f"front-{number}",
            shared=first,
            instances=count,
        )
        for number in range(2, count + 1)
    ]
    return [first, *others]


def _send_requests(instances: list[Emulator], per_s: float, for_ms: float) -> None:
    """Send requests at a rate to randomly chosen instances, and wait until all have ended."""
    loop, rng = instances[0].loop, instances[0].rng
    at_ms, number = 0.0, 0
    while at_ms < for_ms:
        instance = rng.choice(instances)
        loop.call_at(
            at_ms / 1000, lambda instance=instance, number=number: instance.request(number) and None
        )
        at_ms += rng.expovariate(per_s) * 1000
        number += 1
    loop.run_until_ms(for_ms + 8_000.0)


def _limit(endpoint: EmulatedEndpoint, per_s: float) -> None:
    def name_limit() -> None:
        endpoint.limit_per_s = per_s

    endpoint.loop.call_at(LIMITED_FROM_MS / 1000, name_limit)


def _check_limit(endpoint: EmulatedEndpoint) -> None:
    """Check all windows that end once the limit has been named for the length of a window."""
    assert endpoint.limit_per_s is not None and endpoint.told_at_ms
    allowed = 1.5 * endpoint.limit_per_s * WINDOW_MS / 1000 + 5
    counted = [
        at_ms
        for at_ms, instance in endpoint.senders
        if at_ms >= endpoint.told_at_ms.get(instance, at_ms) + REACTION_MS
    ]
    for index, end_ms in enumerate(counted):
        if end_ms < min(endpoint.told_at_ms.values()) + WINDOW_MS:
            continue
        got = index + 1 - bisect.bisect_left(counted, end_ms - WINDOW_MS)
        assert got <= allowed, f"{got} legs in 4 s, {allowed:.1f} allowed, at {end_ms:.0f} ms"


def test_limited_shard_endpoint_is_not_sent_more_by_all_instances():
    """Guards against legs beyond a named limit (LIMIT on the day `capped`): fan-out."""
    instances = _create_instances(make_fan_out_route(20), 8, 2, 20.0)
    endpoint = instances[0].endpoints["shard-3/0"]
    _limit(endpoint, 7.0)
    _send_requests(instances, 45.0, 20_000.0)
    _check_limit(endpoint)


def test_limited_service_endpoints_are_not_sent_more_by_all_instances():
    """Guards against legs beyond a named limit (LIMIT on the day `capped`): plain service."""
    instances = _create_instances(make_single_service_route(), 8, 3, 190.0)
    limited = [instances[0].endpoints[f"invoicing/{number}"] for number in range(2)]
    for endpoint in limited:
        _limit(endpoint, 1.0)
    _send_requests(instances, 11.3, 30_000.0)
    for endpoint in limited:
        _check_limit(endpoint)


def test_limit_holds_with_many_more_instances_than_it_allows_requests():
    """Guards against shares of less than one request each that add up to more than a limit."""
    instances = _create_instances(make_single_service_route(), 60, 3, 190.0)
    limited = [instances[0].endpoints[f"invoicing/{number}"] for number in range(2)]
    for endpoint in limited:
        _limit(endpoint, 0.8)
    _send_requests(instances, 20.0, 60_000.0)
    for endpoint in limited:
        _check_limit(endpoint)


load_tests = function_suite(globals())
