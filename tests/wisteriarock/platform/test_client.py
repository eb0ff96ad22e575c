"""Tests of the platform client against a scripted server on loopback."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success
from wisteriarock.observability.metrics import Metrics, create_metrics
from wisteriarock.platform.client import PlatformClient, create_platform_client
from wisteriarock.platform.models import KeyValue, PlatformError
from wisteriastandins.users.slow_link import SlowLink

from tests.bundle_samples import make_rng
from tests.common import function_suite
from tests.http_stub import reply, serve_http

CLOSE = b""


@dataclass
class ClientUnderTest:
    """A client, the requests that its server received, and the client's clock in `time_ms`.

    The server sends replies only while `reply_gate` is set. `reply_held` is set once a reply waits
    for it.
    """

    client: PlatformClient
    metrics: Metrics
    time_ms: list[float]
    requests: list[tuple[str, str, Any]]
    connections: list[asyncio.Task[None]]
    reply_gate: asyncio.Event
    reply_held: asyncio.Event


@asynccontextmanager
async def run_client(
    *replies: bytes, timeout_ms: float = 5_000, calls_per_s: float = 1_000
) -> AsyncIterator[ClientUnderTest]:
    """Run a server that sends the replies in order, and a client with a clock set by the test."""
    remaining, requests = list(replies), list[tuple[str, str, Any]]()
    reply_gate, reply_held = asyncio.Event(), asyncio.Event()
    reply_gate.set()

    async def handle(method: str, path: str, _: str, body: Any) -> bytes:
        requests.append((method, path, body))
        answer = remaining.pop(0)
        if not reply_gate.is_set():
            reply_held.set()
        await reply_gate.wait()
        return answer

    async with serve_http(handle) as (port, connections):
        url, metrics, time_ms = f"http://127.0.0.1:{port}", create_metrics(), [0.0]
        client = create_platform_client(
            url, timeout_ms, calls_per_s, metrics, lambda: time_ms[0], make_rng()
        )
        try:
            yield ClientUnderTest(
                client, metrics, time_ms, requests, connections, reply_gate, reply_held
            )
        finally:
            await client.close()


def _error(result: Result[Any, PlatformError]) -> PlatformError:
    assert isinstance(result, Failure), result
    return result.failure()


async def test_calls_follow_the_wire_format() -> None:
    """Guards against a wrong wire format (design page, section 5.3) and a connection per read."""
    listed = {"instances": [], "as_of_ms": 5.0}
    async with run_client(
        reply(200, {"value": "v", "revision": 3}),
        reply(200, {"value": "w", "revision": 4}),
        reply(200, {"revision": 5}),
        reply(200, {"revision": 6}),
        reply(200, {"lease_id": "l1"}),
        reply(200, {}),
        reply(200, listed),
    ) as run:
        client = run.client
        assert (await client.get("a/b c")).unwrap() == KeyValue("v", 3)
        assert (await client.watch("a", 3, 50)).unwrap() == KeyValue("w", 4)
        assert (await client.put("a", "x", 4, "l1")).unwrap() == 5
        assert isinstance(await client.delete("a", 5), Success)
        assert (await client.create_lease(900)).unwrap() == "l1"
        assert isinstance(await client.renew_lease("l1"), Success)
        assert (await client.list_instances()).unwrap() == listed
        assert run.requests == [
            ("GET", "/v1/kv/a/b%20c", None),
            ("GET", "/v1/kv/a?after_revision=3&wait_ms=50", None),
            ("PUT", "/v1/kv/a", {"value": "x", "expected_revision": 4, "lease_id": "l1"}),
            ("DELETE", "/v1/kv/a", {"expected_revision": 5}),
            ("POST", "/v1/leases", {"ttl_ms": 900}),
            ("POST", "/v1/leases/l1/renew", {}),
            ("GET", "/v1/instances", None),
        ]
        assert len(run.connections) == 5, "one for all reads, one for each write"


async def test_each_failed_reply_has_its_error() -> None:
    """Guards against a write reported as not executed although it may have been."""
    lost = (PlatformError.UNAVAILABLE, PlatformError.UNKNOWN)
    cases: list[tuple[bytes, PlatformError, PlatformError]] = [
        (reply(404), PlatformError.NOT_FOUND, PlatformError.NOT_FOUND),
        (reply(409, {"revision": 1}), PlatformError.CONFLICT, PlatformError.CONFLICT),
        (reply(429), PlatformError.OVER_RATE, PlatformError.OVER_RATE),
        (reply(503), PlatformError.UNAVAILABLE, PlatformError.UNAVAILABLE),
        (reply(500), *lost),
        (reply(200, {"other": 1}), *lost),
        (b"HTTP/1.1 200 X\r\n\r\n", *lost),
        (b"HTTP/1.1 200 X\r\nContent-Encoding: gzip\r\nContent-Length: 3\r\n\r\nxyz", *lost),
        (b"HTTP/1.1 " + b"x" * 70_000, *lost),
        (b"HTTP/1.1 200 X\r\nContent-Length: many\r\n\r\n", *lost),
        (b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n", *lost),
        (b"nonsense\r\n\r\n", *lost),
        (CLOSE, *lost),
    ]
    for answer, read_error, write_error in cases:
        async with run_client(answer, answer) as run:
            assert _error(await run.client.get("a")) is read_error, answer
            run.time_ms[0] += 60_000
            assert _error(await run.client.put("a", "x", 0)) is write_error, answer
    async with run_client(reply(204)) as run:
        assert _error(await run.client.watch("a", 1, 10)) is PlatformError.NO_CHANGE


async def test_refused_connection_is_unavailable_for_a_write() -> None:
    """Guards against an unknown result of a write that was certainly not executed."""
    async with run_client() as run:
        pass
    assert _error(await run.client.put("a", "x", 0)) is PlatformError.UNAVAILABLE


async def test_write_with_a_lost_reply_is_not_repeated() -> None:
    """Guards against aiosonic repeating a PUT or DELETE after a dropped connection."""
    ok = reply(200, {"value": "v", "revision": 1})
    async with run_client(ok, CLOSE, reply(200, {"revision": 2}), CLOSE) as run:
        # The read leaves an idle connection, which a write must not use.
        assert isinstance(await run.client.get("a"), Success)
        assert _error(await run.client.put("a", "x", 1)) is PlatformError.UNKNOWN
        run.time_ms[0] += 60_000
        assert len(run.requests) == 2
        assert isinstance(await run.client.put("a", "x", 1), Success)
        assert _error(await run.client.delete("a", 2)) is PlatformError.UNKNOWN
        assert len(run.requests) == 4


async def test_late_reply_is_not_returned_to_the_next_call() -> None:
    """Guards against reusing a connection on which the reply to an earlier call is pending."""
    late = reply(200, {"value": "late", "revision": 1})
    fresh = reply(200, {"value": "fresh", "revision": 2})
    first = reply(200, {"value": "first", "revision": 1})
    async with run_client(first, late, fresh, timeout_ms=200) as run:
        # Calls that must succeed are watches: their timeout is long enough for a busy machine.
        assert isinstance(await run.client.watch("a", 0, 60_000), Success)
        run.reply_gate.clear()
        assert _error(await run.client.get("a")) is PlatformError.UNAVAILABLE
        run.time_ms[0] += 60_000
        run.reply_gate.set()
        assert (await run.client.watch("b", 0, 60_000)).unwrap().value == "fresh"


async def test_cancelled_call_leaves_no_idle_connection() -> None:
    """Guards against reusing a connection with a pending reply after a call was cancelled."""
    first = reply(200, {"value": "first", "revision": 1})
    fresh = reply(200, {"value": "fresh", "revision": 2})
    async with run_client(first, first, fresh) as run:
        await run.client.get("a")
        run.reply_gate.clear()
        task = asyncio.create_task(run.client.get("a"))
        await run.reply_held.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        run.reply_gate.set()
        assert (await run.client.get("b")).unwrap().value == "fresh"


def _calls(metrics: Metrics, operation: str, result: str) -> float:
    labels = {"operation": operation, "result": result}
    return metrics.registry.get_sample_value("wisteriarock_platform_calls_total", labels) or 0.0


async def test_calls_beyond_the_budget_are_held_back_and_counted() -> None:
    """Guards against an instance that exceeds the rate limits of the platform."""
    ok = reply(200, {"value": "v", "revision": 1})
    async with run_client(*[ok] * 7, calls_per_s=1) as run:
        results = [await run.client.get("a") for _ in range(8)]
        assert [isinstance(result, Success) for result in results] == [True] * 5 + [False] * 3
        assert _error(results[-1]) is PlatformError.OVER_RATE
        assert len(run.requests) == 5
        assert _calls(run.metrics, "get", "ok") == 5
        assert _calls(run.metrics, "get", "held_back") == 3
        run.time_ms[0] += 1_000
        assert isinstance(await run.client.get("a"), Success)


async def test_failures_increase_the_backoff() -> None:
    """Guards against instances that overload a platform after an outage."""
    async with run_client(*[reply(503)] * 10, reply(200, {"value": "v", "revision": 1})) as run:
        backoffs_ms = []
        for _ in range(10):
            request_count, started_at_ms = len(run.requests), run.time_ms[0]
            while len(run.requests) == request_count:
                run.time_ms[0] += 5
                await run.client.get("a")
            backoffs_ms.append(run.time_ms[0] - started_at_ms)
        assert backoffs_ms[0] == 5
        assert 25 <= backoffs_ms[1] <= 60
        assert 1_000 <= max(backoffs_ms) <= 2_010
        run.time_ms[0] += 2_000
        assert isinstance(await run.client.get("a"), Success)


async def test_value_that_arrives_slowly_is_read() -> None:
    """Guards against bundles that never arrive, as the transfer takes longer than the timeout."""
    text = "v" * 200_000

    async def handle(*_: object) -> bytes:
        return reply(200, {"value": text, "revision": 3})

    async with serve_http(handle) as (port, _):
        link = SlowLink(port, 1_600_000)
        await link.start()
        url, metrics = f"http://127.0.0.1:{link.port}", create_metrics()
        client = create_platform_client(url, 500, 1_000, metrics, lambda: 0.0, make_rng())
        assert await client.get("bundle") == Success(KeyValue(text, 3))
        await client.close()
        await link.stop()


load_tests = function_suite(globals())
