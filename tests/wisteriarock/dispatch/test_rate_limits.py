"""Tests of dispatch to endpoints that name a rate limit, with several instances on virtual time."""

import bisect

from wisteriarock.catalog.models import Route
from wisteriarock.http.front import Answer
from wisteriarock.http.models import Exchange
from wisteriarock.limits.endpoint_limit import EndpointLimit

from tests.common import function_suite
from tests.wisteriarock.dispatch.emulator import EmulatedEndpoint, Emulator
from tests.wisteriarock.samples import make_fan_out_route, make_single_service_route

WINDOW_MS = 4_000.0
# Time after which an instance that was told a limit has to keep to it.
REACTION_MS = 500.0
LIMITED_FROM_MS = 4_000.0


class WaitingPool:
    """Connection pool without a connection: exchanges wait."""

    def __init__(self, waiting: list[Exchange]) -> None:
        self.waiting = waiting

    def has_idle_connection(self, now_ms: float) -> bool:
        """Return whether an exchange could start at once."""
        return False

    def send(self, exchange: Exchange) -> None:
        """Queue an exchange."""
        self.waiting.append(exchange)


def create_instances(route: Route, count: int, replicas: int, work_ms: float) -> list[Emulator]:
    """Return instances that share their endpoints."""
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


def send_requests(instances: list[Emulator], per_s: float, for_ms: float) -> None:
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


def _check_limited_service(count: int, *, limit_per_s: float, per_s: float, for_ms: float) -> None:
    """Check that instances keep to the limits of two of the three endpoints of a service."""
    instances = create_instances(make_single_service_route(), count, 3, 190.0)
    limited = [instances[0].endpoints[f"invoicing/{number}"] for number in range(2)]
    for endpoint in limited:
        _limit(endpoint, limit_per_s)
    send_requests(instances, per_s, for_ms)
    for endpoint in limited:
        _check_limit(endpoint)


def _answers(instances: list[Emulator]) -> dict[bytes, tuple[float, Answer]]:
    return {key: value for instance in instances for key, value in instance.answers.items()}


def test_limited_shard_endpoint_is_not_sent_more_by_all_instances():
    """Guards against legs beyond a named limit (LIMIT on the day `capped`): fan-out."""
    instances = create_instances(make_fan_out_route(20), 8, 2, 20.0)
    endpoint = instances[0].endpoints["shard-3/0"]
    _limit(endpoint, 7.0)
    send_requests(instances, 45.0, 20_000.0)
    _check_limit(endpoint)


def test_limited_service_endpoints_are_not_sent_more_by_all_instances():
    """Guards against legs beyond a named limit (LIMIT on the day `capped`): plain service."""
    _check_limited_service(8, limit_per_s=1.0, per_s=11.3, for_ms=30_000.0)


def test_limit_holds_with_many_more_instances_than_it_allows_requests():
    """Guards against shares of less than one request each that add up to more than a limit."""
    _check_limited_service(60, limit_per_s=0.8, per_s=20.0, for_ms=60_000.0)


def test_requests_beyond_the_limits_of_a_service_are_refused_at_once():
    """Guards against requests that wait for a limit, and against a limit that is hardly used.

    Pattern: every endpoint of a service names half of the rate that callers ask for.
    """
    instances = create_instances(make_single_service_route(), 8, 3, 50.0)
    limited = list(instances[0].endpoints.values())
    for endpoint in limited:
        _limit(endpoint, 5.0)
    send_requests(instances, 30.0, 24_000.0)
    for endpoint in limited:
        _check_limit(endpoint)
    ran = {request_id for endpoint in limited for request_id in endpoint.runs}
    refused = {
        request_id: took_ms
        for request_id, (took_ms, answer) in _answers(instances).items()
        if answer.status == 503 and b"retry" in dict(answer.headers)
    }
    assert max(refused.values()) < 50.0 and not ran & set(refused)
    served = sum(
        LIMITED_FROM_MS + WINDOW_MS <= at_ms < 24_000.0
        for endpoint in limited
        for at_ms, _ in endpoint.senders
    )
    assert served / 16.0 > 0.7 * 3 * 5.0, served


def test_fan_out_is_refused_at_once_if_too_many_shards_have_used_up_their_limits():
    """Guards against fan-outs that use up the limits of some shards and miss those of others.

    Pattern: every endpoint of four out of ten shards names half of the rate that callers ask for.
    """
    instances = create_instances(make_fan_out_route(10, min_coverage=0.9), 8, 2, 10.0)
    for number in range(4):
        for replica in range(2):
            _limit(instances[0].endpoints[f"shard-{number}/{replica}"], 5.0)
    send_requests(instances, 20.0, 24_000.0)
    answers = _answers(instances)
    refused = [took for took, answer in answers.values() if answer.status == 503]
    assert refused and max(refused) < 5.0
    served = sum(answer.status == 200 for _, answer in answers.values())
    assert served + len(refused) >= 0.95 * len(answers), (served, len(refused), len(answers))
    for number in range(4):
        for replica in range(2):
            _check_limit(instances[0].endpoints[f"shard-{number}/{replica}"])


def test_endpoint_gets_its_full_load_again_after_its_limit_has_ended():
    """Guards against an endpoint that is left unused after it no longer names a limit."""
    instances = create_instances(make_fan_out_route(4), 8, 2, 10.0)
    endpoint = instances[0].endpoints["shard-0/0"]
    _limit(endpoint, 2.0)

    def end_limit() -> None:
        endpoint.limit_per_s = None

    endpoint.loop.call_at(12.0, end_limit)
    send_requests(instances, 30.0, 30_000.0)
    before = sum(at_ms < LIMITED_FROM_MS for at_ms, _ in endpoint.senders) / 4.0
    after = sum(22_000.0 <= at_ms < 30_000.0 for at_ms, _ in endpoint.senders) / 8.0
    assert after > 0.8 * before, (before, after)
    assert all(each.directory.by_id["shard-0/0"].rate_limit is None for each in instances)


def test_limit_named_by_another_endpoint_at_the_address_is_ignored():
    """Guards against applying the limit of an endpoint that has taken over an address."""
    (instance,) = create_instances(make_fan_out_route(4), 1, 2, 10.0)
    endpoint = instance.endpoints["shard-0/0"]
    endpoint.mode, endpoint.limit_per_s = "other", 1.0
    instance.send_requests(10, 100.0)
    assert endpoint.senders and instance.directory.by_id["shard-0/0"].rate_limit is None


def test_leg_that_waits_for_a_connection_keeps_to_a_limit_named_meanwhile():
    """Guards against legs sent beyond a limit because they were chosen before it was named."""
    (instance,) = create_instances(make_single_service_route(), 1, 1, 10.0)
    waiting: list[Exchange] = []
    instance.state.pool_of = lambda _: WaitingPool(waiting)  # type: ignore[assignment,return-value]
    for number in range(3):
        instance.request(number)
    endpoint = instance.directory.by_id["invoicing/0"]
    endpoint.rate_limit = EndpointLimit(1.0, 0.0)
    assert [exchange.encode() for exchange in waiting] == [None, None, None]
    instance.loop.run_until_ms(1_200.0)
    assert sum(exchange.encode() is not None for exchange in waiting) == 1


def test_leg_that_is_not_sent_does_not_count_towards_the_limit():
    """Guards against a limit that is used up by legs that never reached the endpoint."""
    (instance,) = create_instances(make_single_service_route(), 1, 1, 10.0)
    waiting: list[Exchange] = []
    instance.state.pool_of = lambda _: WaitingPool(waiting)  # type: ignore[assignment,return-value]
    endpoint = instance.directory.by_id["invoicing/0"]
    endpoint.rate_limit = EndpointLimit(1.0, 0.0)
    instance.loop.run_until_ms(2_000.0)
    for number in range(20):
        disconnect = instance.request(number)
        assert len(waiting) == number + 1, "the limit is used up"
        disconnect()


load_tests = function_suite(globals())
