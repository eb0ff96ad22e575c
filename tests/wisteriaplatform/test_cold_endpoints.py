"""Tests of cold endpoints with a store, endpoints and instances on loopback."""

from wisteriarock.front.cold import cold_limit_sharers, record_instance_count
from wisteriarock.front.diagnostics import dump
from wisteriarock.front.instance import Instance
from wisteriarock.gathering.models import Gatherer

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import (
    Deployment,
    deployment,
    operator_configuration,
    request_bytes,
    send,
    wait_until,
)

WARMUP_S = 600.0


async def _state_cold_rate(running: Deployment, per_s: float) -> None:
    """Write a configuration whose services state a rate for cold endpoints."""
    configuration = operator_configuration(4)
    services = configuration["services"]
    assert isinstance(services, list)
    stated = {"warmup_s": WARMUP_S, "cold_per_s": per_s}
    changed = [{**service, **stated} for service in services]
    running.store.put("op/config", {**configuration, "services": changed})
    catalog = running.instance.catalog
    await wait_until(lambda: catalog.configuration and catalog.configuration.version == 4)


def _cold_for_ms(instance: Instance, endpoint_id: str) -> float:
    return instance.directory.by_id[endpoint_id].cold_until_ms - instance.loop.time() * 1000


async def test_known_endpoint_that_turns_cold_gets_no_more_than_its_share():
    """Guards against an entry that is only read when an endpoint is new (FAILBACK)."""
    async with deployment() as running:
        await _state_cold_rate(running, 1.0)
        record_instance_count(running.instance, 50)
        running.instance.cold_sharers.counted_at_ms -= 60_000.0
        for name in ("invoicing.0", "shard-0.0"):
            entry = running.endpoints[name].make_entry(cold_left_ms=600_000, seq=2)
            running.store.put(f"servers/{name}", entry)
        await wait_until(lambda: _cold_for_ms(running.instance, "shard-0.0") > 0)
        for number in range(40):
            path = ("/lookup/x", "/blend/x")[number % 2]
            assert (await send(running.port, request_bytes(path, f"r-{number}"))).status == 200
        assert len(running.endpoints["invoicing.0"].requests) <= 2
        assert len(running.endpoints["shard-0.0"].requests) <= 2
        endpoints = dump(running.instance)["endpoints"]
        assert isinstance(endpoints, dict)
        assert endpoints["invoicing.0"]["cold_rate_per_s"] == 1.0
        assert endpoints["invoicing.0"]["cold_for_ms"] > 0
        assert endpoints["invoicing.1"]["cold_rate_per_s"] is None


async def test_endpoint_that_could_not_be_reached_counts_as_cold():
    """Guards against full load on an endpoint that has started again before its entry says so.

    Without a stated rate, it is used as before.
    """
    for per_s in (0.0, 5.0):
        async with deployment() as running:
            await _state_cold_rate(running, per_s)
            returning = running.endpoints["invoicing.0"]
            known = running.instance.directory.by_id["invoicing.0"]
            await returning.stop()
            number = 0
            while not known.is_unreachable:
                number += 1
                await send(running.port, request_bytes("/lookup/x", f"r-{number}"))
            await returning.start()
            await wait_until(lambda known=known: not known.is_unreachable)
            assert (_cold_for_ms(running.instance, "invoicing.0") > 0) == bool(per_s)


async def test_endpoints_of_an_evacuated_zone_return_cold():
    """Guards against a zone that gets its whole load at the end of its evacuation."""
    async with deployment() as running:
        await _state_cold_rate(running, 5.0)
        running.store.put("op/evacuate/zone-a", {})
        by_id = running.instance.directory.by_id
        await wait_until(lambda: all(each.is_evacuated for each in by_id.values()))
        running.store.remove("op/evacuate/zone-a")
        await wait_until(lambda: not any(each.is_evacuated for each in by_id.values()))
        assert all(_cold_for_ms(running.instance, name) > 0 for name in by_id)


async def test_shares_of_cold_limits_hold_in_sum_when_counts_are_wrong():
    """Guards against shares that grow because instances or zones are no longer counted (FAILBACK).

    Loads: a zone that is cut off goes on sending, a gatherer takes over from another one.
    """
    async with deployment() as running:
        instance = running.instance
        assert cold_limit_sharers(instance, "shard-0") is None, "not counted yet"
        now_ms = instance.loop.time() * 1000
        zones = ["zone-a", "zone-b", "zone-c"]
        instance.feed_state.instance_counts = dict.fromkeys(zones, (27, now_ms))
        record_instance_count(instance, 81)
        record_instance_count(instance, 54)
        assert cold_limit_sharers(instance, "invoicing") is None, "counted just now"
        instance.cold_sharers.counted_at_ms -= 60_000.0
        assert cold_limit_sharers(instance, "invoicing") == 81
        # Endpoints tell of a zone whose instances were never counted.
        del instance.feed_state.instance_counts["zone-c"]
        instance.directory.by_id["invoicing.0"].zone = "zone-b"
        instance.directory.by_id["invoicing.1"].zone = "zone-c"
        record_instance_count(instance, 54)
        assert cold_limit_sharers(instance, "invoicing") == 81 * 3 / 2
        instance.instance_count, instance.gatherer_count = 81, 12
        instance.gathered_services = frozenset({"shard-0"})
        instance.feed_state.instance_counts = dict.fromkeys(zones, (27, now_ms - 600_000.0))
        instance.feed_state.gatherer_counts = dict.fromkeys(zones, 4)
        record_instance_count(instance, 27)
        for name, share in (("front-1", 0.3), ("front-2", 0.1 / 78)):
            instance.dispatch.gatherers.gatherers = (Gatherer(name, "127.0.0.1", 1, 1.0),)
            sharers = cold_limit_sharers(instance, "shard-0")
            assert sharers is not None and abs(1.0 / sharers - share) < 1e-9


load_tests = function_suite(globals())
