"""End-to-end tests on loopback: callers, instances, endpoints and the store."""

import asyncio
import json
import math
import os
from types import SimpleNamespace

from wisteriarock.balancing.decide import apply_reported_zone_loss
from wisteriarock.discovery.reads import check_store
from wisteriarock.feed.controller import stop as stop_feed
from wisteriarock.feed.following import report_lost_zones
from wisteriarock.feed.lease import load_relays
from wisteriarock.feed.state import is_relay
from wisteriarock.front.app import drain
from wisteriarock.front.housekeeping import verify_lost_zones
from wisteriarock.front.instance import Instance
from wisteriarock.front.listeners import ListenerName
from wisteriarock.front.rotation import update_readiness
from wisteriarock.http.front import CallerConnection
from wisteriarock.http.models import Reply
from wisteriarock.store.models import StoreError
from wisteriastandins.users.response import read_response
from wisteriastandins.users.store_server import StoreServer

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import (
    another_instance,
    deployment,
    operator_configuration,
    records,
    request_bytes,
    send,
    wait_until,
)


async def test_fan_out_merges_all_parts():
    """Guards against an answer that lacks parts, proofs or the highest-ranked records."""
    async with deployment() as running:
        response = await send(running.port, request_bytes("/blend/x?y=1"))
        assert response.status == 200
        assert response.body == records("d", "c", "b")
        stamps = response.headers["part-stamps"].split(", ")
        assert len(stamps) == 4 and len({stamp.split(".")[0] for stamp in stamps}) == 4
        assert response.headers["missing-parts"] == "0"
        ran = [each for each in running.endpoints.values() if each.requests]
        assert len(ran) == 4
        for endpoint in ran:
            request = endpoint.requests[0]
            headers = dict(request.headers)
            assert request.target == b"/blend/x?y=1"
            assert headers[b"Request-Id"] == b"r-1"
            assert 0 < int(headers[b"Deadline-Ms"]) <= 2_000


async def test_plain_request_is_forwarded_unchanged():
    """Guards against a changed method, path, body or header, and against hop-by-hop headers."""
    async with deployment() as running:
        more = "X-Note: kept\r\nConnection: keep-alive, X-Hop\r\nX-Hop: dropped\r\n"
        raw = request_bytes("/book/7?a=%2f", "r-9", "POST", b"body " * 100, more)
        response = await send(running.port, raw)
        assert response.status == 200
        assert response.headers["server-stamp"] and response.headers["request-id"] == "r-9"
        (request,) = [each for one in running.endpoints.values() for each in one.requests]
        headers = {name.lower(): value for name, value in request.headers}
        assert (request.method, request.target) == (b"POST", b"/book/7?a=%2f")
        assert request.body == b"body " * 100
        assert headers[b"x-note"] == b"kept" and b"x-hop" not in headers


async def test_chunked_body_arrives_whole():
    """Guards against losing a chunked body or forwarding it with its framing."""
    async with deployment() as running:
        head = request_bytes("/book/7", "r-9", "POST", more="Transfer-Encoding: chunked\r\n")
        response = await send(running.port, head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        assert response.status == 200
        (request,) = [each for one in running.endpoints.values() for each in one.requests]
        assert request.body == b"abcde"


async def test_missing_part_is_counted():
    """Guards against an answer that reports parts it does not contain."""
    async with deployment() as running:
        for number in range(2):
            running.endpoints[f"shard-2.{number}"].mode = "error"
        response = await send(running.port, request_bytes("/blend/x"))
        assert response.status == 200
        assert response.headers["missing-parts"] == "1"
        assert response.body == records("d", "b", "a")
        assert "shard-2" not in response.headers["part-stamps"]


async def test_too_few_parts_fail_the_request():
    """Guards against a success status below the minimum coverage of the route."""
    async with deployment() as running:
        for name, endpoint in running.endpoints.items():
            if name.startswith(("shard-1", "shard-2")):
                endpoint.mode = "error"
        response = await send(running.port, request_bytes("/blend/x"))
        assert response.status == 502


async def test_configuration_takes_effect_and_never_goes_back():
    """Guards against keeping an old version in use, and against going back to an older one."""
    async with deployment() as running:
        newer = operator_configuration(9)
        newer["routes"] = newer["routes"][:1]
        running.store.put("op/config", newer)
        await wait_until(lambda: running.instance.catalog.configuration.version == 9)
        assert (await send(running.port, request_bytes("/lookup/1"))).status == 404
        running.store.put("op/config", operator_configuration(5))
        running.store.put("op/config", b"not json")
        running.store.put("servers/marker", b"not json")
        calls = len(running.store.calls)
        await wait_until(lambda: len(running.store.calls) > calls + 2)
        assert running.instance.catalog.configuration.version == 9


async def test_dropped_history_causes_a_reload():
    """Guards against an instance that misses all changes after the store dropped its history."""
    async with deployment() as running:
        running.store.put("servers/other", b"{}")
        running.store.put("op/config", operator_configuration(11))
        running.store.discard_history()
        await wait_until(lambda: running.instance.catalog.configuration.version == 11)


async def test_store_is_followed_again_after_an_outage():
    """Guards against missing changes after an outage of the store, or dropping endpoints in it."""
    async with deployment() as running:
        running.store.mode = "busy"
        await running.store.stop()
        await wait_until(lambda: running.instance.discovery.is_store_down)
        assert (await send(running.port, request_bytes("/blend/x"))).status == 200
        running.store.put("op/config", operator_configuration(12))
        running.store.mode = "ok"
        await running.store.start()
        await wait_until(lambda: running.instance.catalog.configuration.version == 12)
        assert len(running.instance.directory.by_id) == 10


async def test_draining_endpoint_gets_no_new_requests():
    """Guards against sending requests to an endpoint that has reported that it is draining."""
    async with deployment() as running:
        leaving = running.endpoints["shard-0.0"]
        running.store.put("servers/shard-0.0", leaving.make_entry(state="draining", seq=2))
        known = running.instance.directory.by_id["shard-0.0"]
        await wait_until(lambda: known.is_draining)
        for number in range(5):
            response = await send(running.port, request_bytes("/blend/x", f"r-{number}"))
            assert response.headers["missing-parts"] == "0"
        assert not leaving.requests


async def test_address_of_another_endpoint_is_not_used():
    """Guards against a request being run by another endpoint that now has the address."""
    async with deployment(replicas=1) as running:
        reused = running.endpoints["shard-0.0"]
        reused.endpoint_id = "other"
        response = await send(running.port, request_bytes("/blend/x"))
        assert response.status == 200 and response.headers["missing-parts"] == "1"
        assert not reused.requests
        assert "shard-0.0" not in running.instance.directory.by_id


async def test_malformed_requests_never_reach_an_endpoint():
    """Guards against forwarding smuggled, oversized or malformed requests."""
    async with deployment() as running:
        good = request_bytes("/lookup/1").decode()
        cases = {
            "two lengths": (
                good.replace("\r\n\r\n", "\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"),
                400,
            ),
            "length and chunks": (
                good.replace(
                    "\r\n\r\n",
                    "\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                ),
                400,
            ),
            "no request id": (good.replace("Request-Id: r-1\r\n", ""), 400),
            "two hosts": (good.replace("\r\n\r\n", "\r\nHost: other\r\n\r\n"), 400),
            "large headers": (good.replace("\r\n\r\n", "\r\nX: " + "x" * 5_000 + "\r\n\r\n"), 431),
            "large body": (
                good.replace("\r\n\r\n", "\r\nContent-Length: 20000\r\n\r\n" + "b" * 20_000),
                413,
            ),
            "bad time": (good.replace("2000", "-5"), 400),
            "no protocol": ("hello\r\n\r\n", 400),
        }
        for name, (raw, status) in cases.items():
            response = await send(running.port, raw.encode())
            assert response.status == status, (name, response)
        assert not any(endpoint.requests for endpoint in running.endpoints.values())


async def test_pipelined_requests_are_answered_in_order():
    """Guards against answers in the wrong order on a pipelined connection."""
    async with deployment() as running:
        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        running.endpoints["invoicing.0"].service_ms = 40.0
        writer.write(request_bytes("/lookup/1", "r-1") + request_bytes("/blend/1", "r-2"))
        first, second = await read_response(reader), await read_response(reader)
        assert first.headers["request-id"] == "r-1"
        assert "part-stamps" in second.headers
        writer.close()


async def test_head_is_answered_without_a_body():
    """Guards against a HEAD request that waits for a body until its time is up."""
    async with deployment() as running:
        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        for number, path in enumerate(("/lookup/x", "/none/x", "/lookup/x")):
            method = "GET" if number == 2 else "HEAD"
            writer.write(request_bytes(path, f"r-{number}", method))
        statuses = [(await read_response(reader)).status for _ in range(3)]
        assert statuses == [200, 404, 200]
        writer.close()


async def test_drain_cuts_no_request():
    """Guards against a planned stop that cuts a running request or refuses new ones too early."""
    async with deployment() as running:
        for number in range(2):
            running.endpoints[f"invoicing.{number}"].service_ms = 100.0
        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        writer.write(request_bytes("/lookup/1", "r-1"))
        await wait_until(lambda: running.instance.dispatch.active)
        stop = asyncio.create_task(drain(running.instance, running.listeners))
        response = await read_response(reader)
        assert response.status == 200 and response.headers["connection"] == "close"
        # New connections still arrive until the load balancer has noticed.
        assert (await send(running.ready_port, request_bytes("/api/ready"))).status == 503
        assert (await send(running.port, request_bytes("/lookup/2", "r-2"))).status == 200
        writer.close()
        await stop


async def test_request_late_in_a_planned_stop_is_refused_and_not_passed_on():
    """Guards against a request that is taken late in a stop and cut off at its end.

    The caller's connection is not idle when the listener closes, as half of its request is there.
    """
    async with deployment() as running:
        instance = running.instance
        grace_ms = 60_000.0
        instance.settings = instance.settings._replace(drain_grace_ms=grace_ms)
        for number in range(2):
            running.endpoints[f"invoicing.{number}"].service_ms = 1_500.0
        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        raw = request_bytes("/book/1", "r-late", "POST", b"body")
        writer.write(raw[:40])
        await wait_until(lambda: any(not each.is_idle() for each in _callers(instance)))
        before_ms = instance.loop.time() * 1000
        stop = asyncio.create_task(drain(instance, running.listeners))
        await wait_until(lambda: ListenerName.CALLERS not in running.listeners.servers)
        stops_at_ms = instance.dispatch.stops_at_ms
        assert stops_at_ms is not None and 0.9 * grace_ms < stops_at_ms - before_ms <= grace_ms
        # As if the rest came in the last moment of the stop, however busy the machine is.
        instance.dispatch.stops_at_ms = instance.loop.time() * 1000 + 200.0
        writer.write(raw[40:])
        response = await read_response(reader)
        assert response.status == 503 and response.headers["connection"] == "close"
        await stop
        assert not any(endpoint.requests for endpoint in running.endpoints.values())
        writer.close()


async def test_requests_still_running_at_the_end_of_a_planned_stop_are_answered():
    """Guards against a planned stop that ends with connections closed without an answer."""
    async with deployment() as running:
        instance = running.instance
        instance.settings = instance.settings._replace(drain_grace_ms=1_500.0)
        patient = operator_configuration(4)
        for route in patient["routes"]:
            route["timeout_ms"] = 20_000
        running.store.put("op/config", patient)
        await wait_until(lambda: instance.catalog.configuration.version == 4)
        for number in range(2):
            running.endpoints[f"invoicing.{number}"].mode = "silent"
        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        raw = request_bytes("/book/1", "r-1", "POST", b"body")
        writer.write(raw.replace(b"Deadline-Ms: 2000", b"Deadline-Ms: 20000"))
        await wait_until(lambda: instance.dispatch.active)
        await drain(instance, running.listeners)
        for connection in list(_callers(instance)):
            connection.close()
        response = await read_response(reader)
        assert response.status == 504 and response.headers["connection"] == "close"
        writer.close()


def _callers(instance: Instance) -> set[CallerConnection]:
    return instance.caller_listener.connections


async def test_second_instance_follows_the_relay_of_the_first():
    """Guards against every instance watching the store, and a stopped relay without successor."""
    async with deployment() as running:
        await wait_until(lambda: is_relay(running.instance.feed))
        async with another_instance(running, "front-2") as second:
            await wait_until(second.discovery.has_live_feed)
            running.store.put("op/config", operator_configuration(21))
            await wait_until(lambda: second.catalog.configuration.version == 21)
            assert not is_relay(second.feed)
            await stop_feed(running.instance.feed)
            await wait_until(lambda: is_relay(second.feed))
            running.store.put("op/config", operator_configuration(22))
            await wait_until(lambda: second.catalog.configuration.version == 22)


async def test_follower_reads_the_store_when_the_relay_is_refused():
    """Guards against a stale configuration on an instance that could still read the store.

    The store refuses the relay, which keeps answering its followers that nothing has changed.
    """
    async with deployment() as running:
        await wait_until(lambda: is_relay(running.instance.feed))
        second_store = StoreServer(asyncio.get_running_loop(), running.store.state)
        await second_store.start()
        async with another_instance(running, "front-2", second_store.port) as second:
            await wait_until(second.discovery.has_live_feed)
            running.store.mode = "busy"
            await wait_until(lambda: running.instance.feed.is_cut_off)
            await wait_until(lambda: not second.discovery.has_live_feed())
            running.store.put("op/config", operator_configuration(31))
            await wait_until(lambda: second.catalog.configuration.version == 31)
            assert running.instance.catalog.configuration.version == 3
        await second_store.stop()


async def test_standby_relay_replaces_the_relay_of_the_own_zone():
    """Guards against missing changes when the relay of the local zone stops responding."""
    async with deployment() as running:
        await wait_until(lambda: is_relay(running.instance.feed))
        async with another_instance(running, "front-2", zone="zone-b") as other:
            await wait_until(lambda: is_relay(other.feed))
            async with another_instance(running, "front-3") as follower:
                await wait_until(lambda: 1 in follower.feed_state.relay_answered_at_ms)
                running.instance.peer_listener.handle = lambda *_: lambda: None
                running.store.put("op/config", operator_configuration(41))
                await wait_until(lambda: follower.catalog.configuration.version == 41)
                assert not is_relay(follower.feed)


async def test_followers_stay_with_a_relay_after_the_store_drops_its_history():
    """Guards against all followers reloading everything when the store drops its history.

    In a deployment of 85 instances this caused 340 listings within a second.
    """
    async with deployment() as running:
        await wait_until(lambda: is_relay(running.instance.feed))
        async with another_instance(running, "front-2") as second:
            await wait_until(second.discovery.has_live_feed)
            running.store.remove("servers/shard-1.0")
            running.store.put("op/config", operator_configuration(51))
            running.store.discard_history()
            await wait_until(lambda: second.catalog.configuration.version == 51)
            await wait_until(lambda: len(second.directory.by_service["shard-1"]) == 1)
            assert second.feed_state.history_start.revision < running.store.state.discarded_revision


async def test_isolation_is_reported_to_other_instances_of_the_zone():
    """Guards against callers being kept in an isolated zone by an instance without requests.

    Without the report, one of four instances noticed the isolation 1.3 s after the others, and the
    load balancer moves callers to another zone only when no instance is ready.
    """
    async with deployment() as running:
        await wait_until(lambda: is_relay(running.instance.feed))
        for endpoint in running.endpoints.values():
            entry = endpoint.make_entry(zone="zone-b", born=2_000)
            running.store.put(f"servers/{endpoint.endpoint_id}", entry)
        async with another_instance(running, "front-2") as second:
            await wait_until(second.discovery.has_live_feed)
            await wait_until(lambda: len(second.directory.by_service.get("invoicing", [])) == 2)
            running.store.mode = "silent"
            for instance in (running.instance, second):
                for endpoint in instance.directory.by_id.values():
                    endpoint.next_probe_at_ms = math.inf
            lost = running.instance.directory.by_id.values()
            apply_reported_zone_loss(lost, ["zone-b"], math.inf)
            await wait_until(lambda: not update_readiness(second))
            assert second.dispatch.isolated_since_ms is not None


async def test_cut_zones_are_reported_while_the_store_is_being_checked():
    """Guards against instances of a cut zone that check the store one after the other."""
    async with deployment() as running:
        await wait_until(lambda: is_relay(running.instance.feed))
        for endpoint in running.endpoints.values():
            entry = endpoint.make_entry(zone="zone-b", born=2_000)
            running.store.put(f"servers/{endpoint.endpoint_id}", entry)
        endpoints = running.instance.directory.by_id
        await wait_until(lambda: {each.zone for each in endpoints.values()} == {"zone-b"})
        for endpoint in endpoints.values():
            endpoint.next_probe_at_ms = math.inf
        apply_reported_zone_loss(endpoints.values(), ["zone-b"], math.inf)
        await wait_until(lambda: running.instance.feed_state.lost_zones == ("zone-b",))
        assert update_readiness(running.instance), "the store answers"


async def test_concurrent_checks_of_the_store_are_one():
    """Guards against a check that starts only when the one before it has timed out."""
    async with deployment() as running:
        await wait_until(lambda: update_readiness(running.instance))
        running.store.mode = "silent"
        state = running.instance.discovery
        await wait_until(lambda: state.running_check is None)
        client, timeouts_ms = state.check_client, []

        async def record_call(data: bytes, timeout_ms: float) -> Reply | StoreError:
            timeouts_ms.append(timeout_ms)
            return await client.call(data, timeout_ms)

        state.check_client = SimpleNamespace(call=record_call)
        answers = await asyncio.gather(*(check_store(state, 50.0) for _ in range(3)))
        state.check_client = client
        assert answers == [False] * 3 and state.is_store_silent
        assert timeouts_ms == [50.0]


async def test_reported_zone_loss_is_ignored_while_the_store_answers():
    """Guards against a whole zone becoming not ready because one instance is isolated."""
    async with deployment() as running:
        await wait_until(lambda: update_readiness(running.instance))
        await verify_lost_zones(running.instance, ["zone-a"])
        assert update_readiness(running.instance)


async def test_claim_of_a_taken_relay_role_costs_one_read():
    """Guards against a lease and a write by each instance whose zone already has a relay."""
    async with deployment() as running:
        await wait_until(lambda: is_relay(running.instance.feed))
        async with another_instance(running, "front-2") as second:
            second.feed_state.relays.clear()
            leases = running.store.calls.count("/api/kv-lease")
            await load_relays(second.feed)
            assert second.feed_state.relays["zone-a"].instance == "front-1"
            assert running.store.calls.count("/api/kv-lease") == leases


async def test_metrics_and_dump():
    """Guards against metrics and a state dump that are missing or wrong."""
    async with deployment() as running:
        await send(running.port, request_bytes("/blend/x"))
        raw = b"GET /%s HTTP/1.1\r\nHost: m\r\n\r\n"
        text = (await send(running.metrics_port, raw % b"metrics")).body.decode()
        assert 'wisteriarock_answers_total{route="blend",status="200"} 1.0' in text
        assert 'wisteriarock_answer_seconds_bucket{le="0.2",route="blend"}' in text
        assert 'wisteriarock_answer_seconds_bucket{le="+Inf",route="blend"} 1.0' in text
        dump = json.loads((await send(running.metrics_port, raw % b"dump")).body)
        assert dump["configuration_version"] == 3 and len(dump["endpoints"]) == 10


async def test_failed_request_can_be_found_in_the_log():
    """Guards against a failed request whose cause is not in the log."""
    async with deployment(replicas=1) as running:
        running.endpoints["invoicing.0"].mode = "shed"
        response = await send(running.port, request_bytes("/lookup/1", "lost-1"))
        assert response.status == 503 and float(response.headers["retry-after"]) > 0
        running.instance.log.flush()
        lines = os.read(running.log, 100_000).decode().splitlines()
        request_lines = [line for line in lines if "request=lost-1" in line]
        assert any("event=leg_failed" in line and "status 503" in line for line in request_lines)
        assert any("event=answered" in line and "status=503" in line for line in request_lines)


async def test_lost_zones_are_reported_to_the_relay():
    """Guards against a report of a cut-off instance that never reaches its zone's relay."""
    async with deployment() as running, another_instance(running, "front-2") as other:
        await wait_until(lambda: is_relay(running.instance.feed) or is_relay(other.feed))
        relay = running.instance if is_relay(running.instance.feed) else other
        follower = other if relay is running.instance else running.instance
        await wait_until(lambda: "zone-a" in follower.feed_state.relays)
        await report_lost_zones(follower.feed, ["zone-b", "zone-c"])
        assert relay.feed_state.lost_zones == ("zone-b", "zone-c")


load_tests = function_suite(globals())
