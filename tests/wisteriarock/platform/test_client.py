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

from tests.bundle_samples import make_rng
from tests.common import function_suite
from tests.http_stub import reply, serve_http

CLOSE = b""


@dataclass
class Served:
    """A client, the requests that came, and the client's clock in `time_ms`.

    A reply is sent once `gate` is set; `held` tells that one waits for that.
    """

    client: PlatformClient
    metrics: Metrics
    time_ms: list[float]
    requests: list[tuple[str, str, Any]]
    connections: list[asyncio.Task[None]]
    gate: asyncio.Event
    held: asyncio.Event


@asynccontextmanager
async def served(
    *replies: bytes, timeout_ms: float = 5_000, calls_per_s: float = 1_000
) -> AsyncIterator[Served]:
    """Run a server that gives the replies in turn, and a client of it whose clock a test moves."""
    waiting, requests = list(replies), list[tuple[str, str, Any]]()
    gate, held = asyncio.Event(), asyncio.Event()
    gate.set()

    async def handle(method: str, path: str, _: str, body: Any) -> bytes:
        requests.append((method, path, body))
        answer = waiting.pop(0)
        if not gate.is_set():
            held.set()
        await gate.wait()
        return answer

    async with serve_http(handle) as (port, connections):
        url, metrics, time_ms = f"http://127.0.0.1:{port}", create_metrics(), [0.0]
        client = create_platform_client(
            url, timeout_ms, calls_per_s, metrics, lambda: time_ms[0], make_rng()
        )
        try:
            yield Served(client, metrics, time_ms, requests, connections, gate, held)
        finally:
            await client.close()


def _error(result: Result[Any, PlatformError]) -> PlatformError:
    assert isinstance(result, Failure), result
    return result.failure()


async def test_calls_follow_the_wire_format() -> None:
    """Guards against a wire format other than that of section 5.3, and a connection per read."""
    listed = {"instances": [], "as_of_ms": 5.0}
    async with served(
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
        assert (await client.instances()).unwrap() == listed
        assert run.requests == [
            ("GET", "/v1/kv/a/b%20c", None),
            ("GET", "/v1/kv/a?after_revision=3&wait_ms=50", None),
            ("PUT", "/v1/kv/a", {"value": "x", "expected_revision": 4, "lease_id": "l1"}),
            ("DELETE", "/v1/kv/a", {"expected_revision": 5}),
            ("POST", "/v1/leases", {"ttl_ms": 900}),
            ("POST", "/v1/leases/l1/renew", {}),
            ("GET", "/v1/instances", None),
        ]
        assert len(run.connections) == 5, "one for all reads and one for each write"


async def test_each_answer_has_its_error() -> None:
    """Guards against a write that is reported as not done although it may have been."""
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
        async with served(answer, answer) as run:
            assert _error(await run.client.get("a")) is read_error, answer
            run.time_ms[0] += 60_000
            assert _error(await run.client.put("a", "x", 0)) is write_error, answer
    async with served(reply(204)) as run:
        assert _error(await run.client.watch("a", 1, 10)) is PlatformError.NO_CHANGE


async def test_nothing_is_written_when_the_connection_is_refused() -> None:
    """Guards against an unknown result where it is certain that nothing ran."""
    async with served() as run:
        pass
    assert _error(await run.client.put("a", "x", 0)) is PlatformError.UNAVAILABLE


async def test_a_write_with_a_lost_reply_is_not_sent_again() -> None:
    """Guards against aiosonic's own repeat of PUT and DELETE after a dropped connection."""
    ok = reply(200, {"value": "v", "revision": 1})
    async with served(ok, CLOSE, reply(200, {"revision": 2}), CLOSE) as run:
        # The read leaves a connection that a write must not use.
        assert isinstance(await run.client.get("a"), Success)
        assert _error(await run.client.put("a", "x", 1)) is PlatformError.UNKNOWN
        run.time_ms[0] += 60_000
        assert len(run.requests) == 2
        assert isinstance(await run.client.put("a", "x", 1), Success)
        assert _error(await run.client.delete("a", 2)) is PlatformError.UNKNOWN
        assert len(run.requests) == 4


async def test_a_late_reply_is_not_given_to_the_next_call() -> None:
    """Guards against a reused connection that still carries the reply to an earlier call."""
    late = reply(200, {"value": "late", "revision": 1})
    fresh = reply(200, {"value": "fresh", "revision": 2})
    first = reply(200, {"value": "first", "revision": 1})
    async with served(first, late, fresh, timeout_ms=200) as run:
        # Watches, whose time-out is long, where the call must succeed on a busy machine too.
        assert isinstance(await run.client.watch("a", 0, 60_000), Success)
        run.gate.clear()
        assert _error(await run.client.get("a")) is PlatformError.UNAVAILABLE
        run.time_ms[0] += 60_000
        run.gate.set()
        assert (await run.client.watch("b", 0, 60_000)).unwrap().value == "fresh"


async def test_a_cancelled_call_leaves_no_connection_behind() -> None:
    """Guards against the same mismatch after the caller, not a time-out, ended the call."""
    first = reply(200, {"value": "first", "revision": 1})
    fresh = reply(200, {"value": "fresh", "revision": 2})
    async with served(first, first, fresh) as run:
        await run.client.get("a")
        run.gate.clear()
        task = asyncio.create_task(run.client.get("a"))
        await run.held.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        run.gate.set()
        assert (await run.client.get("b")).unwrap().value == "fresh"


def _calls(metrics: Metrics, operation: str, result: str) -> float:
    labels = {"operation": operation, "result": result}
    return metrics.registry.get_sample_value("wisteriarock_platform_calls_total", labels) or 0.0


async def test_calls_beyond_the_budget_are_held_back_and_counted() -> None:
    """Guards against an instance that uses up the rate limits of the platform."""
    ok = reply(200, {"value": "v", "revision": 1})
    async with served(*[ok] * 7, calls_per_s=1) as run:
        results = [await run.client.get("a") for _ in range(8)]
        assert [isinstance(result, Success) for result in results] == [True] * 5 + [False] * 3
        assert _error(results[-1]) is PlatformError.OVER_RATE
        assert len(run.requests) == 5
        assert _calls(run.metrics, "get", "ok") == 5
        assert _calls(run.metrics, "get", "held_back") == 3
        run.time_ms[0] += 1_000
        assert isinstance(await run.client.get("a"), Success)


async def test_failures_hold_back_the_next_calls_for_a_growing_time() -> None:
    """Guards against instances that keep an overloaded platform down."""
    async with served(*[reply(503)] * 10, reply(200, {"value": "v", "revision": 1})) as run:
        gaps = []
        for _ in range(10):
            before, started_ms = len(run.requests), run.time_ms[0]
            while len(run.requests) == before:
                run.time_ms[0] += 5
                await run.client.get("a")
            gaps.append(run.time_ms[0] - started_ms)
        assert gaps[0] == 5
        assert 25 <= gaps[1] <= 60
        assert 1_000 <= max(gaps) <= 2_010
        run.time_ms[0] += 2_000
        assert isinstance(await run.client.get("a"), Success)


load_tests = function_suite(globals())
