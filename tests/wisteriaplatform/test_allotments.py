"""End-to-end tests on loopback of allotments over several instances."""

import contextlib
import json
from collections.abc import AsyncIterator

from wisteriarock.front.instance import Instance

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
_OTHER_KEY = "Authorization: Token secret-2\r\n"
_RATE_PER_S = 4.0


def _tenants(rate_per_s: float = _RATE_PER_S) -> list[dict[str, object]]:
    return [
        {"name": "school", "api_keys": ["secret-1"], "rate_per_s": rate_per_s, "burst": 4},
        {"name": "choir", "api_keys": ["secret-2"], "rate_per_s": 100, "burst": 100},
    ]


@contextlib.asynccontextmanager
async def _two_zones() -> AsyncIterator[tuple[Deployment, list[Instance]]]:
    """Start three instances in two zones, with relays that know each other."""
    async with (
        deployment() as running,
        another_instance(running, "front-2") as second,
        another_instance(running, "front-3", zone="zone-b") as third,
    ):
        instances = [running.instance, second, third]
        running.store.put("op/config", operator_configuration(4, tenants=_tenants()))
        for instance in instances:
            await wait_until(lambda instance=instance: instance.catalog.customers)
            await wait_until(lambda instance=instance: len(instance.feed_state.relays) == 2)
            instance.instance_count = len(instances)
        await wait_until(lambda: all(each.allotments.local.relay for each in instances))
        yield running, instances


async def test_instances_of_two_zones_hold_a_customer_to_its_allotment():
    """Guards against an allotment for each instance, and against refusing other customers."""
    async with _two_zones() as (running, instances):
        statuses = []
        while not all("school" in each.allotments.local.orders for each in instances):
            response = await send(running.port, request_bytes("/lookup/1", more=_KEY))
            statuses.append(response.status)
            assert len(statuses) < 5_000
        statuses.clear()
        while 429 not in statuses:
            response = await send(running.port, request_bytes("/lookup/1", more=_KEY))
            statuses.append(response.status)
        assert float(response.headers["retry-after"]) > 0
        response = await send(running.port, request_bytes("/lookup/1", more=_OTHER_KEY))
        assert response.status == 200
        raw = b"GET /%s HTTP/1.1\r\nHost: m\r\n\r\n"
        dump = json.loads((await send(running.metrics_port, raw % b"dump")).body)
        row = dump["allotments"]["customers"]["school"]
        assert row["rate_per_s"] == _RATE_PER_S and row["refused_over_allotment"] >= 1
        assert row["admitted_share"] < 1 and dump["allotments"]["order_age_ms"] is not None
        text = (await send(running.metrics_port, raw % b"metrics")).body.decode()
        assert "wisteriarock_customers_limited 1.0" in text
        # Once the customer is calm, all instances admit all of its requests again.
        await wait_until(lambda: not any(each.allotments.local.orders for each in instances))
        assert (await send(running.port, request_bytes("/lookup/1", more=_KEY))).status == 200


async def test_orders_hold_on_without_the_store():
    """Guards against customers that are set free, or all refused, by an outage of the store."""
    async with _two_zones() as (running, instances):
        running.store.mode = "silent"
        statuses = []
        while not all("school" in each.allotments.local.orders for each in instances):
            response = await send(running.port, request_bytes("/lookup/1", more=_KEY))
            statuses.append(response.status)
            assert len(statuses) < 5_000
        assert 200 in statuses


async def test_no_task_without_customers():
    """Guards against messages between instances that no configuration calls for."""
    async with deployment() as running:
        assert (await send(running.port, request_bytes("/lookup/1"))).status == 200
        names = {task.get_name() for task in running.instance.tasks}
        assert not any(name.startswith("allotment") for name in names)
        assert not running.instance.allotments.local.usage


load_tests = function_suite(globals())
