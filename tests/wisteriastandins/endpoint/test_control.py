"""Tests of endpoint stand-ins over sockets."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any

from wisteriastandins.endpoint.control import start_endpoints
from wisteriastandins.endpoint.models import EndpointsConfig

from tests.common import function_suite
from tests.wisteriastandins.common import call, connect, receive, send

from .test_legs import make_endpoint_config, make_leg_body


@asynccontextmanager
async def run_endpoint(**changes: Any) -> AsyncIterator[tuple[int, int]]:
    """Run one endpoint and yield its port and its control port."""
    config = EndpointsConfig(
        zone="a",
        control_host="127.0.0.1",
        control_port=0,
        seed=1,
        endpoints=[make_endpoint_config(**changes)],
    )
    started = await start_endpoints(config)
    try:
        _, record = await call(started.port, "GET", "/record")
        yield record["endpoints"]["desk-01-a"]["port"], started.port
    finally:
        await started.stop()


async def apply_fault(control: int, **change: Any) -> None:
    status, body = await call(control, "POST", "/control", {"match": "desk-*", "set": change})
    assert (status, body) == (200, {"matched": ["desk-01-a"]}), body


async def wait_for(control: int, name: str, value: int) -> dict[str, Any]:
    """Poll the record until a counter has a value, and return the endpoint's record."""
    while True:
        _, record = await call(control, "GET", "/record")
        endpoint_record: dict[str, Any] = record["endpoints"]["desk-01-a"]
        if endpoint_record["counters"][name] == value:
            return endpoint_record
        await asyncio.sleep(0.001)


async def test_a_leg_is_answered_and_recorded() -> None:
    """Guards against a wire format that differs from section 5.2 of the design page."""
    async with run_endpoint(service_median_ms=0) as (port, control):
        status, body = await call(port, "POST", "/leg", make_leg_body(idempotent=False))
        assert (status, body["leg_id"], len(body["rows"])) == (200, "r.0", 4)
        assert set(body) == {"leg_id", "shard", "part", "parts", "snapshot", "rows"}
        status, body = await call(port, "POST", "/leg", make_leg_body(snapshot=7))
        expected = {"leg_id": "r.0", "code": "snapshot_gone", "executed": False}
        assert (status, body) == (410, expected)
        refused: list[Any] = [
            {**make_leg_body(), "extra": 1},
            {"leg_id": "r.0"},
            [],
            make_leg_body(part="0"),
        ]
        for wrong in refused:
            status, body = await call(port, "POST", "/leg", wrong)
            assert (status, body["code"], body["executed"]) == (400, "bad_request", False)
        endpoint_record = await wait_for(control, "finished", 1)
        assert [entry["count"] for entry in endpoint_record["executed"]] == [1]


async def test_closing_the_connection_cancels() -> None:
    """Guards against slots that stay occupied after the caller has disconnected."""
    async with run_endpoint(slots=1, service_median_ms=1e7) as (port, control):
        first, second = await connect(port), await connect(port)
        send(first, "POST", "/leg", make_leg_body(0, deadline_ms=1e6))
        await wait_for(control, "started", 1)
        send(second, "POST", "/leg", make_leg_body(1, deadline_ms=1e6))
        await wait_for(control, "received", 2)
        first.writer.close()
        endpoint_record = await wait_for(control, "started", 2)
        assert (endpoint_record["busy"], endpoint_record["waiting"]) == (1, 0)
        second.writer.close()
        endpoint_record = await wait_for(control, "cancelled_running", 2)
        assert endpoint_record["busy"] == 0


async def test_deadlines_on_the_wire() -> None:
    """Guards against a leg past its deadline that is reported as not run or keeps its slot."""
    async with run_endpoint(slots=1, service_median_ms=1e7) as (port, control):
        blocking, overdue = await connect(port), await connect(port)
        send(blocking, "POST", "/leg", make_leg_body(0, deadline_ms=1e6))
        await wait_for(control, "started", 1)
        assert (await call(port, "POST", "/leg", make_leg_body(1, deadline_ms=1)))[0] == 408
        blocking.writer.close()
        await wait_for(control, "cancelled_running", 1)
        send(overdue, "POST", "/leg", make_leg_body(2, deadline_ms=1))
        with suppress(ConnectionResetError):
            assert await overdue.reader.read() == b""
        endpoint_record = await wait_for(control, "deadline_running", 1)
        assert endpoint_record["busy"] == 0


async def test_connections_beyond_the_cap_are_closed() -> None:
    """Guards against an endpoint that serves more connections than its cap."""
    async with run_endpoint(connection_cap=1, connect_cost_ms=1, service_median_ms=0) as (
        port,
        control,
    ):
        first = await connect(port)
        send(first, "POST", "/leg", make_leg_body())
        assert (await receive(first))[0] == 200
        second = await connect(port)
        with suppress(ConnectionResetError):
            assert await second.reader.read() == b""
        endpoint_record = await wait_for(control, "connections_refused", 1)
        assert endpoint_record["counters"]["most_connections"] == 1


async def test_silent_connections_stay_open() -> None:
    """Guards against silent connections that are closed, and against silent new connections."""
    async with run_endpoint(service_median_ms=0, slots=0) as (port, control):
        old = await connect(port)
        send(old, "POST", "/leg", make_leg_body(0, deadline_ms=1e6))
        await wait_for(control, "most_waiting", 1)
        await apply_fault(control, silence=True)
        await apply_fault(control, slots=1)
        await wait_for(control, "finished", 1)
        send(old, "GET", "/report")
        assert (await call(port, "GET", "/report"))[0] == 200
        endpoint_record = await wait_for(control, "reports", 1)
        assert endpoint_record["connections"] >= 1
        assert not old.reader.at_eof() and not old.reader._buffer  # type: ignore[attr-defined]


async def test_kill_refuse_and_restart() -> None:
    """Guards against a stopped endpoint that answers, or restarts with the same incarnation."""
    async with run_endpoint(service_median_ms=1e7) as (port, control):
        before = (await call(port, "GET", "/report"))[1]["incarnation"]
        connection = await connect(port)
        send(connection, "POST", "/leg", make_leg_body(deadline_ms=1e6))
        await wait_for(control, "started", 1)
        for fault in ({"refuse": True}, {"down": True}):
            await apply_fault(control, **fault)
            try:
                await connect(port)
                raise AssertionError("the endpoint accepts connections")
            except ConnectionRefusedError:
                pass
        endpoint_record = await wait_for(control, "cancelled_running", 1)
        assert endpoint_record["down"]
        await apply_fault(control, down=False)
        _, report = await call(port, "GET", "/report")
        assert (report["incarnation"] != before, report["busy"]) == (True, 0)


load_tests = function_suite(globals())
