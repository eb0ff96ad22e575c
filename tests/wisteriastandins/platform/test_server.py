"""Tests of the platform stand-in over sockets."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from wisteriastandins.platform.server import start_platform

from tests.common import function_suite
from tests.wisteriastandins.common import call, connect, receive, send

from .test_decide import make_platform_config

KEY = "/v1/kv/bundle/head"
WATCH = f"{KEY}?after_revision=%d&wait_ms=%d"


@asynccontextmanager
async def run_platform(**changes: Any) -> AsyncIterator[int]:
    """Run a platform and yield its port."""
    started = await start_platform(make_platform_config(**changes))
    try:
        yield started.port
    finally:
        await started.stop()


async def control(port: int, **change: Any) -> None:
    assert await call(port, "POST", "/control", change) == (200, {})


async def result_count(port: int, name: str) -> int:
    _, record = await call(port, "GET", "/record")
    count: int = record["results"].get(name, 0) + record["calls"].get(name, 0)
    return count


async def wait_for(port: int, name: str, value: int) -> None:
    """Poll the record until a count has a value."""
    while True:
        if await result_count(port, name) == value:
            return
        await asyncio.sleep(0.001)


def make_put_body(revision: int, value: str = "v") -> dict[str, Any]:
    return {"value": value, "expected_revision": revision}


async def test_a_watch_ends_with_the_change() -> None:
    """Guards against a watch that keeps waiting although its key has changed."""
    async with run_platform(latency_ms=1) as port:
        watcher = await connect(port)
        send(watcher, "GET", WATCH % (0, 600_000))
        await wait_for(port, "watch", 1)
        assert await call(port, "PUT", KEY, make_put_body(0)) == (200, {"revision": 1})
        assert await receive(watcher) == (200, {"value": "v", "revision": 1})
        send(watcher, "GET", WATCH % (1, 1))
        assert await receive(watcher) == (204, None)
        assert (await call(port, "GET", f"{KEY}?after_revision=x"))[0] == 400


async def test_a_lease_that_expires_wakes_the_watch() -> None:
    """Guards against a lease that ends only at the next call."""
    async with run_platform() as port:
        _, lease = await call(port, "POST", "/v1/leases", {"ttl_ms": 1})
        leased = {**make_put_body(0), "lease_id": lease["lease_id"]}
        status, _ = await call(port, "PUT", KEY, leased)
        if status == 200:
            assert (await call(port, "GET", WATCH % (1, 600_000)))[0] == 404
        path = f"/v1/leases/{lease['lease_id']}"
        assert (await call(port, "POST", f"{path}/renew"))[0] == 404
        assert (await call(port, "DELETE", path))[0] == 404


async def test_outages() -> None:
    """Guards against an outage that lets calls through, or cannot be ended."""
    async with run_platform() as port:
        watcher, unanswered = await connect(port), await connect(port)
        send(watcher, "GET", WATCH % (0, 600_000))
        await wait_for(port, "watch", 1)
        await control(port, outage="error")
        assert (await receive(watcher))[0] == 503
        assert (await call(port, "PUT", KEY, make_put_body(0)))[0] == 503
        await control(port, outage="no_answer")
        send(unanswered, "PUT", KEY, make_put_body(0))
        await wait_for(port, "put no_answer", 1)
        await control(port, outage="none")
        assert (await call(port, "GET", KEY))[0] == 404
        assert not unanswered.reader.at_eof()


async def test_a_write_takes_effect_although_its_reply_is_lost() -> None:
    """Guards against a lost reply whose write did not take effect."""
    async with run_platform() as port:
        await control(port, lost_replies=1)
        writer = await connect(port)
        send(writer, "PUT", KEY, make_put_body(0))
        assert await writer.reader.read() == b""
        assert await call(port, "GET", KEY) == (200, {"value": "v", "revision": 1})
        assert await call(port, "PUT", KEY, make_put_body(1)) == (200, {"revision": 2})


async def test_calls_beyond_the_rate_are_refused() -> None:
    """Guards against a limit that skips reads or writes, or is shared by both."""
    async with run_platform(writes_per_s=1, reads_per_s=2) as port:
        statuses = [(await call(port, "POST", "/v1/leases", {"ttl_ms": 1e6}))[0] for _ in range(2)]
        assert statuses == [200, 429]
        statuses = [(await call(port, "GET", path))[0] for path in (KEY, WATCH % (0, 1), KEY)]
        assert statuses == [404, 204, 429]
        assert await result_count(port, "get 429") == 1


load_tests = function_suite(globals())
