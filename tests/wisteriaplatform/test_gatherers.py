"""End-to-end tests on loopback of fan-outs that a gatherer queries for another instance."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from wisteriarock.feed.state import is_relay
from wisteriarock.front.instance import Instance, limit_sharers
from wisteriarock.front.readiness import Phase
from wisteriarock.gathering.decide import replace_gatherers
from wisteriarock.gathering.models import Gatherer

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import (
    Deployment,
    another_instance,
    deployment,
    records,
    request_bytes,
    send,
    wait_until,
)


@contextlib.asynccontextmanager
async def _deployment_with_gatherer() -> AsyncIterator[tuple[Deployment, Instance]]:
    """Start a deployment whose instance hands all shards to a second instance."""
    async with deployment() as running, another_instance(running, "front-2") as gatherer:
        await wait_until(lambda: gatherer.discovery.is_loaded)
        chosen = Gatherer("front-2", *gatherer.feed.address, 1.0)
        replace_gatherers(running.instance.dispatch.gatherers, (chosen,))
        yield running, gatherer


def _arrivals(running: Deployment) -> int:
    return sum(len(endpoint.requests) for endpoint in running.endpoints.values())


async def test_fan_out_by_a_gatherer():
    """Guards against an answer that differs from that of an instance of its own."""
    async with _deployment_with_gatherer() as (running, gatherer):
        for number in range(3):
            response = await send(running.port, request_bytes("/blend/x?y=1", f"r-{number}"))
            assert response.status == 200
            assert response.body == records("d", "c", "b")
            assert len(set(response.headers["part-stamps"].split(", "))) == 4
            assert response.headers["missing-parts"] == "0"
        assert not running.instance.pools, "the instance connected to endpoints itself"
        assert _arrivals(running) == 12
        ((_, pool),) = running.instance.gatherer_pools.items()
        assert pool.opened_total == 1
        for endpoint in running.endpoints.values():
            for request in endpoint.requests:
                headers = dict(request.headers)
                assert request.target == b"/blend/x?y=1" and headers[b"Request-Id"][:2] == b"r-"
                assert 0 < int(headers[b"Deadline-Ms"]) <= 2_000
        assert not gatherer.dispatch.active


async def test_draining_gatherer_refuses_fragments():
    """Guards against requests that a planned stop of a gatherer harms or sends twice."""
    async with _deployment_with_gatherer() as (running, gatherer):
        gatherer.phase = Phase.DRAINING
        response = await send(running.port, request_bytes("/blend/x"))
        assert response.status == 200 and response.headers["missing-parts"] == "0"
        assert _arrivals(running) == 4


async def test_paused_gatherer_runs_nothing_afterwards():
    """Guards against legs of a gatherer that was paused, after another has sent them.

    The body of a fragment is only sent to a gatherer that has accepted its header, so that a
    process that wakes up finds a closed connection and no work.
    """
    async with _deployment_with_gatherer() as (running, gatherer):
        silent: list[asyncio.StreamWriter] = []

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            silent.append(writer)
            received = await reader.read()
            assert received.startswith(b"POST /fragment") and b"blend" not in received

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        paused = Gatherer("front-2", "127.0.0.1", port, 1.0)
        replace_gatherers(running.instance.dispatch.gatherers, (paused,))
        response = await send(running.port, request_bytes("/blend/x"))
        assert response.status == 200 and response.headers["missing-parts"] == "0"
        assert silent and _arrivals(running) == 4
        assert not gatherer.dispatch.active
        for writer in silent:
            writer.close()
        server.close()


async def test_caller_that_leaves_ends_the_fragment():
    """Guards against a gatherer that works on for a caller that has left."""
    async with _deployment_with_gatherer() as (running, gatherer):
        for endpoint in running.endpoints.values():
            endpoint.mode = "silent"
        _, writer = await asyncio.open_connection("127.0.0.1", running.port)
        writer.write(request_bytes("/blend/x"))
        await wait_until(lambda: gatherer.dispatch.active)
        writer.close()
        await wait_until(lambda: not gatherer.dispatch.active)
        assert not running.instance.dispatch.active


async def test_malformed_fragments_are_rejected():
    """Guards against a message of a peer that stops a process."""
    async with deployment() as running:
        for body in (b"", b"{}", b'{"shards": []}', b"[1]", b"\xff"):
            head = b"POST /fragment HTTP/1.1\r\nHost: front-1\r\nContent-Length: %d\r\n\r\n"
            response = await send(running.peer_port, head % len(body) + body)
            assert response.status == 400
        assert (await send(running.port, request_bytes("/blend/x"))).status == 200


async def test_relay_tells_its_zone_the_gatherers():
    """Guards against followers that never learn of the gatherers that the relay chose."""
    async with deployment() as running, another_instance(running, "front-2") as follower:
        await wait_until(lambda: is_relay(running.instance.feed) or is_relay(follower.feed))
        relay = running.instance if is_relay(running.instance.feed) else follower
        other = follower if relay is running.instance else running.instance
        chosen = Gatherer("front-2", "127.0.0.1", 7_380, 2.15)
        relay.feed_state.gatherers = (chosen,)
        await wait_until(lambda: other.feed_state.gatherers == (chosen,))


async def test_rate_limits_hold_in_sum_while_all_gatherers_of_a_zone_are_suspended():
    """Guards against instances that all take a gatherer's share of a limit (LIMIT)."""
    async with _deployment_with_gatherer() as (running, _):
        instance = running.instance
        instance.gathered_services = {"shard-0"}
        instance.instance_count, instance.gatherer_count = 195, 15
        now_ms = instance.loop.time() * 1000
        zones = [instance.settings.zone, *(f"zone-{number}" for number in range(4))]
        instance.feed_state.instance_counts = dict.fromkeys(zones, (39, now_ms))
        instance.feed_state.gatherer_counts = dict.fromkeys(zones, 3)
        suspended_until_ms = instance.dispatch.gatherers.suspended_until_ms
        suspended_until_ms["front-2"] = now_ms + 60_000.0
        share = 1.0 / limit_sharers(instance, "shard-0")
        assert 39 * share < 0.25, "the zone takes more than its share"
        instance.dispatch.gatherers.gatherers = ()
        assert 1.0 / limit_sharers(instance, "shard-0") > 0.1, "no gatherers: queries itself"


load_tests = function_suite(globals())
