"""Tests of endpoints that say in their replies that they leave, or that they want a pause."""

import asyncio
from unittest import mock

from wisteriarock.front import housekeeping
from wisteriastandins.users.endpoint import StubEndpoint

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import (
    Deployment,
    deployment,
    request_bytes,
    send,
    wait_until,
)


def _invoicing(running: Deployment) -> list[StubEndpoint]:
    return [each for name, each in running.endpoints.items() if name.startswith("invoicing")]


async def _send_many(running: Deployment, count: int, prefix: str) -> list[int]:
    sends = [
        send(running.port, request_bytes("/lookup/x", f"{prefix}-{number}"))
        for number in range(count)
    ]
    return [response.status for response in await asyncio.gather(*sends)]


async def test_endpoint_that_says_it_leaves_gets_nothing_more():
    """Guards against requests to an endpoint that leaves, while its entry still says ready."""
    async with deployment() as running:
        leaving, other = _invoicing(running)
        leaving.is_leaving = True
        known = running.instance.directory.by_id[leaving.endpoint_id]
        number = 0
        while not known.is_draining:
            number += 1
            response = await send(running.port, request_bytes("/lookup/x", f"r-{number}"))
            assert response.status == 200
        reached = len(leaving.requests)
        # A heartbeat of its entry does not bring it back.
        running.store.put(f"servers/{leaving.endpoint_id}", leaving.make_entry(seq=7))
        running.store.put("servers/last", other.make_entry(address="127.0.0.1:9", zone="zone-z"))
        await wait_until(lambda: "last" in running.instance.directory.by_id)
        running.store.remove("servers/last")
        await wait_until(lambda: "last" not in running.instance.directory.by_id)
        assert await _send_many(running, 20, "s") == [200] * 20
        assert len(leaving.requests) == reached
        # A new process under the same id is not leaving.
        leaving.is_leaving = False
        running.store.put(f"servers/{leaving.endpoint_id}", leaving.make_entry(born=9_000))
        await wait_until(lambda: not _is_draining(running, leaving))
        other.mode = "error"
        while len(leaving.requests) == reached:
            number += 1
            await send(running.port, request_bytes("/lookup/x", f"r-{number}"))


def _is_draining(running: Deployment, endpoint: StubEndpoint) -> bool:
    return running.instance.directory.by_id[endpoint.endpoint_id].is_draining


async def test_endpoint_that_wants_a_pause_gets_one():
    """Guards against requests to an endpoint that turned this instance away for a time."""
    async with deployment() as running:
        paused, other = _invoicing(running)
        arrivals: list[bytes] = []
        paused.on_arrival = lambda request, stamp: arrivals.append(stamp)
        paused.mode, paused.pause_s = "shed", 600.0
        known = running.instance.directory.by_id[paused.endpoint_id]
        number = 0
        while not arrivals:
            number += 1
            response = await send(running.port, request_bytes("/lookup/x", f"r-{number}"))
            # Turned away there, it is served by the other one.
            assert response.status == 200
        assert known.pause.is_probing
        paused.mode = "ok"
        # Endpoints share the event loop with the instance here: while the machine is busy, all are
        # silent together, which is no part of this test.
        with mock.patch.object(housekeeping, "mark_if_unreachable", return_value=False):
            assert await _send_many(running, 20, "s") == [200] * 20
        assert len(arrivals) == 1
        # With the other one paused as well, requests are refused at once, with a time that fits.
        other.mode, other.pause_s = "shed", 900.0
        responses = [
            await send(running.port, request_bytes("/lookup/x", f"t-{number}")) for number in (1, 2)
        ]
        assert [response.status for response in responses] == [503, 503]
        assert 500 < float(responses[1].headers["retry-after"]) < 620
        assert len(arrivals) == 1
        # Its end: one request at a time until it has replied.
        known.pause.until_ms = running.instance.loop.time() * 1000
        assert await _send_many(running, 1, "u") == [200]
        assert len(arrivals) == 2 and not known.pause.is_probing


load_tests = function_suite(globals())
