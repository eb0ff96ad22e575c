"""End-to-end tests on loopback of keys: callers, instances, endpoints and the store."""

import asyncio
import json
import os

from wisteriarock.customers.const import KEY_NEWS_AGE_MAX_MS
from wisteriarock.discovery.changes import apply_configuration
from wisteriarock.gathering.decide import replace_gatherers
from wisteriarock.gathering.models import Gatherer
from wisteriastandins.users.response import read_response

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import (
    Deployment,
    another_instance,
    deployment,
    operator_configuration,
    request_bytes,
    send,
    wait_until,
)

_KEY = "Authorization: Token secret-1\r\n"
_TENANTS = [
    {"name": "school", "api_keys": ["secret-1", "secret-2"], "priority": 0},
    {"name": "choir", "api_keys": ["secret-3"], "rate_per_s": 0},
]


async def _put(running: Deployment, version: int, tenants: list[dict[str, object]]) -> None:
    configuration = operator_configuration(version, tenants=tenants)
    configuration["routes"][1]["public"] = True  # type: ignore[index]
    running.store.put("op/config", configuration)
    await wait_until(lambda: running.instance.catalog.configuration.version == version)


def _arrived(running: Deployment) -> list[dict[bytes, bytes]]:
    """Return the headers of the requests that ran; a repeated header shows as a joined value."""
    arrived = []
    for endpoint in running.endpoints.values():
        for request in endpoint.requests:
            headers: dict[bytes, bytes] = {}
            for name, value in request.headers:
                key = name.lower()
                headers[key] = headers[key] + b"," + value if key in headers else value
            arrived.append(headers)
        endpoint.requests.clear()
    return arrived


async def test_endpoint_learns_the_customer_and_never_the_key():
    """Guards against a key or a forged name at an endpoint, also in trailers and on public routes.

    Fan-outs go directly and through a gatherer.
    """
    async with deployment() as running, another_instance(running, "front-2") as gatherer:
        await _put(running, 4, _TENANTS)
        await wait_until(lambda: gatherer.catalog.customers)
        forged = "tenant: choir\r\nTENANT: choir\r\nConnection: Tenant\r\n"
        chunked = "Transfer-Encoding: chunked\r\nTrailer: Tenant\r\n"
        trailers = b"1\r\nx\r\n0\r\nTenant: choir\r\n\r\n"
        for path, expected, legs in (("/blend/x", b"school", 4), ("/lookup/x", None, 1)):
            raw = request_bytes(path, more=_KEY + forged)
            assert (await send(running.port, raw)).status == 200
            ran = _arrived(running)
            assert [each.get(b"tenant") for each in ran] == [expected] * legs
            assert not any(b"authorization" in each for each in ran)
        raw = request_bytes("/book/x", method="POST", more=_KEY + chunked) + trailers
        assert (await send(running.port, raw)).status == 200
        assert [each.get(b"tenant") for each in _arrived(running)] == [b"school"]
        chosen = Gatherer("front-2", *gatherer.feed.address, 1.0)
        replace_gatherers(running.instance.dispatch.gatherers, (chosen,))
        assert (await send(running.port, request_bytes("/blend/x", more=_KEY))).status == 200
        ran = _arrived(running)
        assert [each.get(b"tenant") for each in ran] == [b"school"] * 4
        assert not any(b"authorization" in each for each in ran)
        assert not running.instance.pools or running.instance.gatherer_pools
        raw = b"GET /dump HTTP/1.1\r\nHost: m\r\n\r\n"
        assert b"secret" not in (await send(running.metrics_port, raw)).body
        running.instance.log.flush()
        assert b"secret" not in os.read(running.log, 2**20)


async def test_requests_without_a_known_key_do_not_run():
    """Guards against running a request whose key no configuration holds."""
    async with deployment() as running:
        await _put(running, 4, _TENANTS)
        for more in ("", "Authorization: Token other\r\n", "Authorization: Basic secret-1\r\n"):
            response = await send(running.port, request_bytes("/blend/x", more=more))
            assert response.status == 401 and response.headers["www-authenticate"] == "Token"
            # What a route allows is known only once there is a route.
            assert (await send(running.port, request_bytes("/none/x", more=more))).status == 404
            assert (await send(running.port, request_bytes("/lookup/x", more=more))).status == 200
        assert len(_arrived(running)) == 3


async def test_no_key_is_valid_once_the_last_customer_has_left():
    """Guards against routes open to any caller, and keys at endpoints, after that, review/7.

    An empty list of customers was taken for an absent one.
    """
    async with deployment() as running:
        await _put(running, 4, _TENANTS)
        assert (await send(running.port, request_bytes("/blend/x", more=_KEY))).status == 200
        _arrived(running)
        await _put(running, 5, [])
        for more in (_KEY, "Authorization: Token never-held\r\n", ""):
            for path in ("/blend/x", "/book/x"):
                assert (await send(running.port, request_bytes(path, more=more))).status == 401
            assert (await send(running.port, request_bytes("/lookup/x", more=more))).status == 200
        ran = _arrived(running)
        assert len(ran) == 3 and not any(b"authorization" in each for each in ran)
        await _put(running, 6, _TENANTS)
        assert (await send(running.port, request_bytes("/blend/x", more=_KEY))).status == 200


async def test_unknown_key_may_be_new_while_the_news_is_old():
    """Guards against a 401 for a key that was added after this instance lost the store."""
    async with deployment() as running:
        await _put(running, 4, _TENANTS)
        running.instance.dispatch.news_age_ms = lambda: KEY_NEWS_AGE_MAX_MS + 1.0
        more = "Authorization: Token other\r\n"
        response = await send(running.port, request_bytes("/blend/x", more=more))
        assert response.status == 503 and float(response.headers["retry-after"]) > 0
        assert not _arrived(running)
        assert (await send(running.port, request_bytes("/blend/x", more=_KEY))).status == 200


async def test_withdrawn_key_ends_requests_that_wait():
    """Guards against running a withdrawn key for a request that waited behind another one."""
    async with deployment() as running:
        await _put(running, 4, _TENANTS)
        running.endpoints["invoicing.0"].service_ms = 150.0
        running.endpoints["invoicing.1"].service_ms = 150.0
        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        requests = [request_bytes("/book/1", f"r-{number}", more=_KEY) for number in range(2)]
        writer.write(b"".join(requests))
        await wait_until(lambda: running.instance.dispatch.active)
        value = json.dumps(operator_configuration(5, tenants=_TENANTS[1:])).encode()
        apply_configuration(running.instance.discovery, value, 5)
        assert [(await read_response(reader)).status for _ in range(2)] == [200, 401]
        writer.close()
        assert len(_arrived(running)) == 1
        # An older version, as from a slow read, does not bring the key back.
        running.store.put("op/config", operator_configuration(4, tenants=_TENANTS))
        await _put(running, 6, _TENANTS[1:])
        assert (await send(running.port, request_bytes("/book/1", more=_KEY))).status == 401


async def test_nothing_runs_before_the_first_load_has_caught_up():
    """Guards against a key of a stale first read, on requests released before the catch-up."""
    async with deployment() as running:
        await _put(running, 4, _TENANTS)
        running.instance.discovery.is_loaded = False
        running.instance.held_requests.is_open = False
        response = await send(running.port, request_bytes("/blend/x", more=_KEY))
        assert response.status == 503 and "retry-after" in response.headers
        assert not _arrived(running)


async def test_headers_are_forwarded_as_before_without_customers():
    """Guards against a deployment without customers that loses its own credentials."""
    async with deployment() as running:
        more = "Authorization: Basic abc\r\nTenant: theirs\r\n"
        assert (await send(running.port, request_bytes("/lookup/x", more=more))).status == 200
        (headers,) = _arrived(running)
        assert headers[b"authorization"] == b"Basic abc" and headers[b"tenant"] == b"theirs"
        metrics = b"GET /dump HTTP/1.1\r\nHost: m\r\n\r\n"
        assert json.loads((await send(running.metrics_port, metrics)).body)


load_tests = function_suite(globals())
