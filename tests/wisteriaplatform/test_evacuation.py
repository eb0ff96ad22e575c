"""Tests of evacuations with a store, endpoints and instances on loopback."""

import asyncio

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import (
    Deployment,
    another_instance,
    deployment,
    request_bytes,
    send,
    wait_until,
)

KEY = "op/evacuate/zone-b"


async def _move_second_copies(running: Deployment) -> None:
    """Register the second copy of each service in another zone."""
    for name, endpoint in running.endpoints.items():
        if name.endswith(".1"):
            entry = endpoint.make_entry(zone="zone-b", born=5_000)
            running.store.put(f"servers/{name}", entry)
    by_id = running.instance.directory.by_id
    await wait_until(lambda: by_id["invoicing.1"].zone == "zone-b")


def _arrivals(running: Deployment) -> int:
    return sum(len(each.requests) for name, each in running.endpoints.items() if name[-1] == "1")


async def _send_many(running: Deployment, prefix: str, count: int = 12) -> list[int]:
    paths = ("/lookup/x", "/blend/x")
    sends = [
        send(running.port, request_bytes(paths[number % 2], f"{prefix}-{number}"))
        for number in range(count)
    ]
    return [response.status for response in await asyncio.gather(*sends)]


async def test_evacuated_zone_gets_nothing_until_the_key_is_removed():
    """Guards against requests to an evacuated zone (EVAC), also after a reload of the store."""
    async with deployment() as running:
        await _move_second_copies(running)
        directory = running.instance.directory
        running.store.put(KEY, {})
        await wait_until(lambda: directory.by_id["invoicing.1"].is_evacuated)
        before = _arrivals(running)
        assert await _send_many(running, "a") == [200] * 12
        running.store.discard_history()
        running.store.put("servers/last", running.endpoints["invoicing.0"].make_entry())
        await wait_until(lambda: "last" in directory.by_id)
        assert await _send_many(running, "b") == [200] * 12
        assert _arrivals(running) == before
        # An evacuation that ends while the history is lost ends all the same.
        running.store.remove(KEY)
        running.store.discard_history()
        await wait_until(lambda: not directory.by_id["invoicing.1"].is_evacuated)
        number = 0
        while _arrivals(running) == before:
            number += 1
            await _send_many(running, f"c{number}")


async def test_instance_that_starts_during_an_evacuation_obeys_it():
    """Guards against a restarted instance that only learns of later evacuations."""
    async with deployment() as running:
        await _move_second_copies(running)
        running.store.put(KEY, {})
        async with another_instance(running, "front-2") as other:
            await wait_until(lambda: other.discovery.is_loaded)
            endpoints = other.directory.by_id.values()
            assert sorted(each.endpoint_id for each in endpoints if each.is_evacuated) == [
                name for name in sorted(running.endpoints) if name.endswith(".1")
            ]


async def test_only_copy_in_an_evacuated_zone():
    """Guards against requests that wait for, or reach, the only copy in an evacuated zone.

    A plain request is refused at once. A fan-out that does not need the shard leaves it out.
    """
    async with deployment() as running:
        await _move_second_copies(running)
        directory = running.instance.directory
        for name in ("invoicing.0", "shard-0.0"):
            running.store.remove(f"servers/{name}")
        await wait_until(lambda: "shard-0.0" not in directory.by_id)
        running.store.put(KEY, {})
        await wait_until(lambda: directory.by_id["invoicing.1"].is_evacuated)
        before = _arrivals(running)
        lookup = await send(running.port, request_bytes("/lookup/x", "r-1"))
        blend = await send(running.port, request_bytes("/blend/x", "r-2"))
        assert (lookup.status, blend.status) == (503, 200)
        assert blend.headers["missing-parts"] == "1"
        assert _arrivals(running) == before


async def test_requests_that_wait_for_a_connection_leave_an_evacuated_zone():
    """Guards against waiting requests that reach a zone long after its evacuation."""
    async with deployment() as running:
        await _move_second_copies(running)
        directory = running.instance.directory
        evacuated, other = running.endpoints["invoicing.1"], running.endpoints["invoicing.0"]
        running.store.put(f"servers/{other.endpoint_id}", other.make_entry(state="draining"))
        await wait_until(lambda: directory.by_id["invoicing.0"].is_draining)
        evacuated.mode = "silent"
        sends = [
            asyncio.create_task(send(running.port, request_bytes("/lookup/x", f"r-{number}")))
            for number in range(20)
        ]
        pool = running.instance.pools
        await wait_until(lambda: "invoicing.1" in pool and pool["invoicing.1"].waiting)
        running.store.put(f"servers/{other.endpoint_id}", other.make_entry())
        await wait_until(lambda: not directory.by_id["invoicing.0"].is_draining)
        running.store.put(KEY, {})
        await wait_until(lambda: directory.by_id["invoicing.1"].is_evacuated)
        assert not pool["invoicing.1"].waiting
        # What was written to a connection before arrives first.
        for _ in range(20):
            await asyncio.sleep(0.005)
        reached = len(evacuated.requests)
        await asyncio.gather(*sends)
        assert len(evacuated.requests) == reached
        assert other.requests


load_tests = function_suite(globals())
