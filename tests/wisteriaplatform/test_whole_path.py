"""Tests of the whole path on loopback: callers, one instance, endpoints and the store."""

import asyncio
import json
import math
import os

from wisteriarock.balancing.decide import take_reported_loss
from wisteriarock.feed.controller import is_relay, load_relays
from wisteriarock.feed.controller import stop as stop_feed
from wisteriarock.front.app import drain
from wisteriarock.front.housekeeping import verify_lost_zones
from wisteriarock.front.instance import update_ready
from wisteriastandins.users.response import read_response
from wisteriastandins.users.store_server import StoreServer

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import (
    another_instance,
    deployment,
    operators_configuration,
    records,
    request_bytes,
    send,
    wait_until,
)


async def test_fan_out_merges_all_parts():
    """Guards against an answer that lacks parts, proofs or the greatest records."""
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
    """Guards against a body in chunks being lost or forwarded with its framing."""
    async with deployment() as running:
        head = request_bytes("/book/7", "r-9", "POST", more="Transfer-Encoding: chunked\r\n")
        response = await send(running.port, head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        assert response.status == 200
        (request,) = [each for one in running.endpoints.values() for each in one.requests]
        assert request.body == b"abcde"


async def test_missing_part_is_counted():
    """Guards against an answer that claims parts that are not in it."""
    async with deployment() as running:
        for number in range(2):
            running.endpoints[f"shard-2.{number}"].mode = "error"
        response = await send(running.port, request_bytes("/blend/x"))
        assert response.status == 200
        assert response.headers["missing-parts"] == "1"
        assert response.body == records("d", "b", "a")
        assert "shard-2" not in response.headers["part-stamps"]


async def test_too_few_parts_are_no_success():
    """Guards against a success below the coverage that the route asks for."""
    async with deployment() as running:
        for name, endpoint in running.endpoints.items():
            if name.startswith(("shard-1", "shard-2")):
                endpoint.mode = "error"
        response = await send(running.port, request_bytes("/blend/x"))
        assert response.status == 502


async def test_configuration_takes_effect_and_never_goes_back():
    """Guards against requests handled by an older version, and against a version that returns."""
    async with deployment() as running:
        newer = operators_configuration(9)
        newer["routes"] = newer["routes"][:1]
        running.store.put("op/config", newer)
        await wait_until(lambda: running.instance.catalog.configuration.version == 9)
        assert (await send(running.port, request_bytes("/lookup/1"))).status == 404
        running.store.put("op/config", operators_configuration(5))
        running.store.put("op/config", b"not json")
        running.store.put("servers/marker", b"not json")
        calls = len(running.store.calls)
        await wait_until(lambda: len(running.store.calls) > calls + 2)
        assert running.instance.catalog.configuration.version == 9


async def test_history_that_is_gone_is_read_anew():
    """Guards against an instance that hears nothing after the store forgot its history."""
    async with deployment() as running:
        running.store.put("servers/other", b"{}")
        running.store.put("op/config", operators_configuration(11))
        running.store.forget_history()
        await wait_until(lambda: running.instance.catalog.configuration.version == 11)


async def test_store_that_comes_back_is_followed_again():
    """Guards against changes missed after an outage, and against endpoints lost in it."""
    async with deployment() as running:
        running.store.mode = "busy"
        await running.store.stop()
        await wait_until(lambda: running.instance.discovery.is_store_down)
        assert (await send(running.port, request_bytes("/blend/x"))).status == 200
        running.store.put("op/config", operators_configuration(12))
        running.store.mode = "ok"
        await running.store.start()
        await wait_until(lambda: running.instance.catalog.configuration.version == 12)
        assert len(running.instance.directory.by_id) == 10


async def test_draining_endpoint_gets_no_new_work():
    """Guards against work for an endpoint that reported that it leaves."""
    async with deployment() as running:
        leaving = running.endpoints["shard-0.0"]
        running.store.put("servers/shard-0.0", leaving.entry(state="draining", seq=2))
        known = running.instance.directory.by_id["shard-0.0"]
        await wait_until(lambda: known.is_draining)
        for number in range(5):
            response = await send(running.port, request_bytes("/blend/x", f"r-{number}"))
            assert response.headers["missing-parts"] == "0"
        assert not leaving.requests


async def test_address_of_another_endpoint_is_not_used():
    """Guards against a request run by a service that took over an address."""
    async with deployment(replicas=1) as running:
        reused = running.endpoints["shard-0.0"]
        reused.endpoint_id = "other"
        response = await send(running.port, request_bytes("/blend/x"))
        assert response.status == 200 and response.headers["missing-parts"] == "1"
        assert not reused.requests
        assert "shard-0.0" not in running.instance.directory.by_id


async def test_improper_requests_never_reach_an_endpoint():
    """Guards against smuggled, oversized or broken requests being passed on."""
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
    """Guards against answers that change places on one connection."""
    async with deployment() as running:
        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        running.endpoints["invoicing.0"].work_ms = 40.0
        writer.write(request_bytes("/lookup/1", "r-1") + request_bytes("/blend/1", "r-2"))
        first, second = await read_response(reader), await read_response(reader)
        assert first.headers["request-id"] == "r-1"
        assert "part-stamps" in second.headers
        writer.close()


async def test_stop_cuts_no_request():
    """Guards against a planned stop that ends a running request or an idle caller's next one."""
    async with deployment() as running:
        for number in range(2):
            running.endpoints[f"invoicing.{number}"].work_ms = 100.0
        reader, writer = await asyncio.open_connection("127.0.0.1", running.port)
        writer.write(request_bytes("/lookup/1", "r-1"))
        await wait_until(lambda: running.instance.dispatch.active)
        stop = asyncio.create_task(drain(running.instance, running.servers))
        response = await read_response(reader)
        assert response.status == 200 and response.headers["connection"] == "close"
        # New connections still arrive until the balancer has noticed.
        assert (await send(running.ready_port, request_bytes("/api/ready"))).status == 503
        assert (await send(running.port, request_bytes("/lookup/2", "r-2"))).status == 200
        writer.close()
        await stop


async def test_second_instance_is_fed_by_the_first():
    """Guards against each instance watching the store, and against losing the relay for good."""
    async with deployment() as running:
        await wait_until(lambda: is_relay(running.instance.feed))
        async with another_instance(running, "front-2") as second:
            await wait_until(second.discovery.has_live_feed)
            running.store.put("op/config", operators_configuration(21))
            await wait_until(lambda: second.catalog.configuration.version == 21)
            assert not is_relay(second.feed)
            await stop_feed(running.instance.feed)
            await wait_until(lambda: is_relay(second.feed))
            running.store.put("op/config", operators_configuration(22))
            await wait_until(lambda: second.catalog.configuration.version == 22)


async def test_follower_asks_the_store_when_it_turns_the_relay_away():
    """Guards against an older configuration on an instance that the store would serve.

    Found on the fresh day 46f3 of cdq-search (CONFIG): the store refused the two relays that an
    instance followed, and these went on answering that nothing had changed.
    """
    async with deployment() as running:
        await wait_until(lambda: is_relay(running.instance.feed))
        other_way = StoreServer(asyncio.get_running_loop(), running.store.state)
        await other_way.start()
        async with another_instance(running, "front-2", other_way.port) as second:
            await wait_until(second.discovery.has_live_feed)
            running.store.mode = "busy"
            await wait_until(lambda: running.instance.feed.is_cut_off)
            await wait_until(lambda: not second.discovery.has_live_feed())
            running.store.put("op/config", operators_configuration(31))
            await wait_until(lambda: second.catalog.configuration.version == 31)
            assert running.instance.catalog.configuration.version == 3
        await other_way.stop()


async def test_standby_relay_steps_in_for_the_own_zones_relay():
    """Guards against changes that are missed when the relay of the own zone falls silent."""
    async with deployment() as running:
        await wait_until(lambda: is_relay(running.instance.feed))
        async with another_instance(running, "front-2", zone="zone-b") as other:
            await wait_until(lambda: is_relay(other.feed))
            async with another_instance(running, "front-3") as follower:
                await wait_until(lambda: 1 in follower.feed_state.relay_answered_at_ms)
                running.instance.peer_front.handle = lambda *_: lambda: None
                running.store.put("op/config", operators_configuration(41))
                await wait_until(lambda: follower.catalog.configuration.version == 41)
                assert not is_relay(follower.feed)


async def test_followers_stay_with_a_relay_whose_history_was_forgotten():
    """Guards against all followers reading everything when the store forgets its history.

    Found on popravka-search-grown scale-1: 85 instances read 340 listings within a second.
    """
    async with deployment() as running:
        await wait_until(lambda: is_relay(running.instance.feed))
        async with another_instance(running, "front-2") as second:
            await wait_until(second.discovery.has_live_feed)
            running.store.remove("servers/shard-1.0")
            running.store.put("op/config", operators_configuration(51))
            running.store.forget_history()
            await wait_until(lambda: second.catalog.configuration.version == 51)
            await wait_until(lambda: len(second.directory.by_service["shard-1"]) == 1)
            assert second.feed_state.history_start_revision < running.store.state.history_from


async def test_neighbours_learn_that_their_zone_is_cut_off():
    """Guards against callers kept in a zone that is cut off by an instance without requests.

    Found on popravka-search trouble-3: one of four instances noticed 1.3 s after the others, and
    the balancer moves callers only when none is ready.
    """
    async with deployment() as running:
        await wait_until(lambda: is_relay(running.instance.feed))
        for endpoint in running.endpoints.values():
            entry = endpoint.entry(zone="zone-b", born=2_000)
            running.store.put(f"servers/{endpoint.endpoint_id}", entry)
        async with another_instance(running, "front-2") as second:
            await wait_until(second.discovery.has_live_feed)
            await wait_until(lambda: len(second.directory.by_service.get("invoicing", [])) == 2)
            running.store.mode = "silent"
            for instance in (running.instance, second):
                for endpoint in instance.directory.by_id.values():
                    endpoint.next_probe_ms = math.inf
            lost = running.instance.directory.by_id.values()
            take_reported_loss(lost, ["zone-b"], math.inf)
            await wait_until(lambda: not update_ready(second))
            assert second.dispatch.isolated_since_ms is not None


async def test_report_of_a_lost_zone_is_not_believed_while_the_store_answers():
    """Guards against a whole zone leaving the rotation because one instance is cut off."""
    async with deployment() as running:
        await wait_until(lambda: update_ready(running.instance))
        await verify_lost_zones(running.instance, ["zone-a"])
        assert update_ready(running.instance)


async def test_late_claim_costs_one_read():
    """Guards against a lease and a write of each instance that finds its zone's relay taken."""
    async with deployment() as running:
        await wait_until(lambda: is_relay(running.instance.feed))
        async with another_instance(running, "front-2") as second:
            second.feed_state.relays.clear()
            leases = running.store.calls.count("/api/kv-lease")
            await load_relays(second.feed)
            assert second.feed_state.relays["zone-a"].instance == "front-1"
            assert running.store.calls.count("/api/kv-lease") == leases


async def test_metrics_and_dump():
    """Guards against an instance whose state cannot be seen."""
    async with deployment() as running:
        await send(running.port, request_bytes("/blend/x"))
        raw = b"GET /%s HTTP/1.1\r\nHost: m\r\n\r\n"
        text = (await send(running.metrics_port, raw % b"metrics")).body.decode()
        assert 'wisteriarock_answers_total{route="blend",status="200"} 1.0' in text
        assert 'wisteriarock_answer_seconds_bucket{le="0.2",route="blend"} 1.0' in text
        dump = json.loads((await send(running.metrics_port, raw % b"dump")).body)
        assert dump["configuration_version"] == 3 and len(dump["endpoints"]) == 10


async def test_failed_request_can_be_found_in_the_log():
    """Guards against a failure that the log does not explain."""
    async with deployment(replicas=1) as running:
        running.endpoints["invoicing.0"].mode = "shed"
        response = await send(running.port, request_bytes("/lookup/1", "lost-1"))
        assert response.status == 503 and float(response.headers["retry-after"]) > 0
        running.instance.log.flush()
        lines = os.read(running.log, 100_000).decode().splitlines()
        found = [line for line in lines if "request=lost-1" in line]
        assert any("event=leg_failed" in line and "status 503" in line for line in found)
        assert any("event=answered" in line and "status=503" in line for line in found)


load_tests = function_suite(globals())
