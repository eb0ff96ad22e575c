"""Tests of requests that wait for a connection to an endpoint which leaves meanwhile."""

import asyncio

from wisteriarock.front.const import CONNECTION_LIMIT_DEFAULT
from wisteriarock.http.front import CallerRequest
from wisteriastandins.users.endpoint import StubEndpoint

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import (
    Deployment,
    deployment,
    request_bytes,
    send,
    wait_until,
)

REQUESTS = 10
CONNECTIONS = int(CONNECTION_LIMIT_DEFAULT)


def _book(running: Deployment) -> "asyncio.Future[list[int]]":
    """Send requests that may run once, all at the same time."""

    async def send_one(number: int) -> int:
        raw = request_bytes("/book/x", f"r-{number}", "POST", b"one")
        return (await send(running.port, raw)).status

    return asyncio.gather(*(send_one(number) for number in range(REQUESTS)))


class _Gate:
    """Endpoints of a service that answer nothing until the gate is opened."""

    def __init__(self, running: Deployment) -> None:
        self.arrived: dict[str, list[bytes]] = {}
        self.endpoints = [
            endpoint for name, endpoint in running.endpoints.items() if "invoicing" in name
        ]
        for endpoint in self.endpoints:
            endpoint.service_ms = 300.0
            self.arrived[endpoint.endpoint_id] = []
            endpoint.on_arrival = self._observer(endpoint)

    def _observer(self, endpoint: StubEndpoint):  # noqa: ANN202
        def observe(request: CallerRequest, stamp: bytes) -> None:
            self.arrived[endpoint.endpoint_id].append(dict(request.headers)[b"Request-Id"])

        return observe

    def counts(self) -> list[int]:
        return [len(ids) for ids in self.arrived.values()]


def _waiting(running: Deployment, name: str) -> int:
    pool = running.instance.pools.get(name)
    return len(pool.waiting) if pool is not None else 0


async def test_waiting_requests_leave_a_draining_endpoint():
    """Guards against requests that reach an endpoint long after it began to drain."""
    async with deployment() as running:
        gate = _Gate(running)
        first, second = (endpoint.endpoint_id for endpoint in gate.endpoints)
        answers = _book(running)
        await wait_until(lambda: _waiting(running, first) and _waiting(running, second))
        await wait_until(lambda: gate.counts() == [CONNECTIONS, CONNECTIONS])
        entry = gate.endpoints[0].make_entry(state="draining")
        running.store.put(f"servers/{first}", entry)
        await wait_until(lambda: running.instance.directory.by_id[first].is_draining)
        assert not _waiting(running, first)
        reached = len(gate.arrived[first])
        assert await answers == [200] * REQUESTS
        assert len(gate.arrived[first]) == reached
        assert sum(gate.counts()) == REQUESTS
        # The connections are kept again once it serves.
        running.store.put(f"servers/{first}", gate.endpoints[0].make_entry(seq=3))
        await wait_until(lambda: not running.instance.directory.by_id[first].is_draining)
        assert not running.instance.pools[first].is_retired


async def test_waiting_requests_leave_an_unreachable_endpoint():
    """Guards against requests that wait for an endpoint which no longer answers."""
    async with deployment() as running:
        gate = _Gate(running)
        silent = gate.endpoints[0]
        silent.mode = "silent"
        gate.endpoints[1].service_ms = 20.0
        answers = _book(running)
        await wait_until(lambda: _waiting(running, silent.endpoint_id))
        endpoint = running.instance.directory.by_id[silent.endpoint_id]
        await wait_until(lambda: endpoint.is_unreachable)
        assert not _waiting(running, silent.endpoint_id)
        statuses = await answers
        # Only those that were sent to it have an unknown end.
        assert len(gate.arrived[silent.endpoint_id]) == statuses.count(504) == CONNECTIONS
        assert statuses.count(200) == REQUESTS - CONNECTIONS


load_tests = function_suite(globals())
