"""Client of the platform's key-value service and instance list."""

import asyncio
import random
import zlib
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypedDict, TypeVar
from urllib.parse import quote

import msgspec
from aiosonic import HTTPClient, TCPConnector
from aiosonic.exceptions import AiosonicError, ConnectionPoolAcquireTimeout
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts
from returns.result import Failure, Result, Success

from wisteriarock.limits.token_bucket import create_bucket, try_consume
from wisteriarock.observability.metrics import Metrics

from .const import (
    ATTR_HELD_BACK,
    ATTR_OK,
    BACKOFF_FIRST_MS,
    BACKOFF_MAX_MS,
    MAX_IDLE_CONNECTIONS,
    MAX_REPLY_BYTES,
    MIN_BURST_CALLS,
)
from .models import InstanceList, KeyValue, PlatformError

T = TypeVar("T")

# What aiosonic lets through when a connection fails or a reply is malformed.
EXCHANGE_ERRORS = (
    AiosonicError,
    OSError,
    EOFError,
    ValueError,
    TimeoutError,
    asyncio.LimitOverrunError,
    zlib.error,
)


class _ValueReply(TypedDict):
    value: str
    revision: int


class _RevisionReply(TypedDict):
    revision: int


class _LeaseReply(TypedDict):
    lease_id: str


class _Reply(NamedTuple):
    status: int
    body: bytes


class PlatformClient(NamedTuple):
    """Calls to the platform. None raises for an expected failure.

    `get(key)` and `watch(key, after_revision, wait_ms)` return a `KeyValue`; a watch without a
    change returns `NO_CHANGE`. `put(key, value, expected_revision, lease_id=None)` returns the new
    revision, `delete(key, expected_revision)` nothing. `create_lease(ttl_ms)` returns its id.
    `UNKNOWN` from a write means that it may have taken effect; no write is sent twice.
    """

    get: Callable[[str], Awaitable[Result[KeyValue, PlatformError]]]
    watch: Callable[[str, int, int], Awaitable[Result[KeyValue, PlatformError]]]
    put: Callable[..., Awaitable[Result[int, PlatformError]]]
    delete: Callable[[str, int], Awaitable[Result[None, PlatformError]]]
    create_lease: Callable[[int], Awaitable[Result[str, PlatformError]]]
    renew_lease: Callable[[str], Awaitable[Result[None, PlatformError]]]
    instances: Callable[[], Awaitable[Result[InstanceList, PlatformError]]]
    close: Callable[[], Awaitable[None]]


def _create_connection() -> HTTPClient:
    """Return a client with one connection, so that closing it closes exactly that connection."""
    # The caller bounds the whole call. With a limit of its own aiosonic uses asyncio.wait_for,
    # which before Python 3.12 loses a cancellation that arrives as the connection opens.
    timeouts = Timeouts(sock_connect=None, sock_read=None, request_timeout=None)
    pools = {":default": PoolConfig(size=1)}
    return HTTPClient(connector=TCPConnector(pool_configs=pools, timeouts=timeouts))


async def _exchange(
    connection: HTTPClient, method: str, url: str, body: bytes | None, timeout_s: float
) -> _Reply | None:
    """Send one request and read its whole reply; None when the reply is too long."""
    headers = {"Content-Type": "application/json"} if body is not None else {}
    async with asyncio.timeout(timeout_s):
        async with connection.stream(method, url, headers=headers, data=body or b"") as response:
            parts = bytearray()
            async for chunk in response.iter_bytes():
                parts += chunk
                if len(parts) > MAX_REPLY_BYTES:
                    return None
            return _Reply(response.status_code, bytes(parts))


def _read_error(status: int) -> PlatformError:
    errors = {
        204: PlatformError.NO_CHANGE,
        404: PlatformError.NOT_FOUND,
        409: PlatformError.CONFLICT,
        429: PlatformError.OVER_RATE,
    }
    return errors.get(status, PlatformError.UNAVAILABLE)


def _write_error(status: int) -> PlatformError:
    # The platform itself answers 503 without running the call. Any other 5xx may come from
    # something between here and a platform that ran it.
    if status >= 500 and status != 503:
        return PlatformError.UNKNOWN
    return _read_error(status)


def create_platform_client(
    base_url: str,
    timeout_ms: float,
    calls_per_s: float,
    metrics: Metrics,
    now_ms: Callable[[], float],
    rng: random.Random,
) -> PlatformClient:
    """Return a client of the platform.

    Parameters
    ----------
    base_url : str
        URL without a path.
    timeout_ms : float
        Longest time of a call; a watch has its waiting time in addition.
    calls_per_s : float
        Budget of calls. A call over it fails at once with `OVER_RATE`.
    metrics : Metrics
        `platform_calls` counts each call, and each one that was held back.
    now_ms : callable
        Monotonic clock in milliseconds.
    rng : random.Random
        Source of jitter.

    Returns
    -------
    PlatformClient
        Its closures. After a failure calls fail at once with `UNAVAILABLE` for a back-off time.
    """
    budget = create_bucket(calls_per_s, max(MIN_BURST_CALLS, calls_per_s), now_ms())
    idle: list[HTTPClient] = []
    failures = 0
    blocked_until_ms = 0.0

    def note_result(failed: bool) -> None:
        nonlocal failures, blocked_until_ms
        if not failed:
            failures = 0
            blocked_until_ms = 0.0
            return
        # The exponent is bounded so that a long outage does not overflow the float.
        full_ms = min(BACKOFF_MAX_MS, BACKOFF_FIRST_MS * 2.0 ** min(failures, 20))
        failures += 1
        blocked_until_ms = now_ms() + full_ms * rng.uniform(0.5, 1.0)

    async def send(
        method: str, path: str, body: bytes | None, wait_ms: float
    ) -> Result[_Reply, PlatformError]:
        """Send one request; UNAVAILABLE when it was not written, UNKNOWN when it may have been."""
        # aiosonic sends a PUT or DELETE again when a reused connection drops. A write therefore
        # gets a new connection, for which it does not.
        reuse = method == "GET"
        connection = idle.pop() if reuse and idle else _create_connection()
        reply: _Reply | None = None
        try:
            url = base_url + path
            reply = await _exchange(connection, method, url, body, (timeout_ms + wait_ms) / 1000)
        except (ConnectionPoolAcquireTimeout, ConnectionRefusedError):
            return Failure(PlatformError.UNAVAILABLE)
        except EXCHANGE_ERRORS:
            return Failure(PlatformError.UNKNOWN)
        finally:
            # Also runs when the caller is cancelled. Without its whole reply read, the connection
            # would give that reply to the next request.
            if reply is not None and reuse and len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(connection)
            else:
                await connection.aclose()
        return Success(reply) if reply is not None else Failure(PlatformError.UNKNOWN)

    async def call(
        operation: str,
        method: str,
        path: str,
        body: Any,
        read: Callable[[_Reply], Result[T, PlatformError]],
        wait_ms: float = 0.0,
    ) -> Result[T, PlatformError]:
        now = now_ms()
        if now < blocked_until_ms:
            metrics.platform_calls.labels(operation, ATTR_HELD_BACK).inc()
            return Failure(PlatformError.UNAVAILABLE)
        if not try_consume(budget, 1, now):
            metrics.platform_calls.labels(operation, ATTR_HELD_BACK).inc()
            return Failure(PlatformError.OVER_RATE)
        encoded = None if body is None else msgspec.json.encode(body)
        sent = await send(method, path, encoded, wait_ms)
        result: Result[T, PlatformError]
        if not isinstance(sent, Success):
            error = PlatformError.UNAVAILABLE if method == "GET" else sent.failure()
            result = Failure(error)
        elif sent.unwrap().status != 200:
            status = sent.unwrap().status
            result = Failure(_read_error(status) if method == "GET" else _write_error(status))
        else:
            result = read(sent.unwrap())
        outcome = ATTR_OK if isinstance(result, Success) else result.failure().value
        metrics.platform_calls.labels(operation, outcome).inc()
        note_result(
            outcome in (PlatformError.UNAVAILABLE, PlatformError.UNKNOWN, PlatformError.OVER_RATE)
        )
        return result

    def reader(kind: type[T], bad: PlatformError) -> Callable[[_Reply], Result[T, PlatformError]]:
        def read(reply: _Reply) -> Result[T, PlatformError]:
            # Fields that a later platform adds are ignored. Looking for them in the list of
            # instances would also cost much of the time that a poll may take.
            try:
                return Success(msgspec.json.decode(reply.body, type=kind))
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
                return Failure(bad)

        return read

    def read_key_value(reply: _Reply) -> Result[KeyValue, PlatformError]:
        decoded = reader(_ValueReply, PlatformError.UNAVAILABLE)(reply)
        return decoded.map(lambda found: KeyValue(found["value"], found["revision"]))

    def read_nothing(_: _Reply) -> Result[None, PlatformError]:
        return Success(None)

    def key_path(key: str) -> str:
        return "/v1/kv/" + quote(key, safe="/")

    async def get(key: str) -> Result[KeyValue, PlatformError]:
        return await call("get", "GET", key_path(key), None, read_key_value)

    async def watch(key: str, after_revision: int, wait_ms: int) -> Result[KeyValue, PlatformError]:
        path = f"{key_path(key)}?after_revision={after_revision}&wait_ms={wait_ms}"
        return await call("watch", "GET", path, None, read_key_value, wait_ms)

    async def put(
        key: str, value: str, expected_revision: int, lease_id: str | None = None
    ) -> Result[int, PlatformError]:
        body = {"value": value, "expected_revision": expected_revision, "lease_id": lease_id}
        read = reader(_RevisionReply, PlatformError.UNKNOWN)
        written = await call("put", "PUT", key_path(key), body, read)
        return written.map(lambda found: found["revision"])

    async def delete(key: str, expected_revision: int) -> Result[None, PlatformError]:
        body = {"expected_revision": expected_revision}
        return await call("delete", "DELETE", key_path(key), body, read_nothing)

    async def create_lease(ttl_ms: int) -> Result[str, PlatformError]:
        read = reader(_LeaseReply, PlatformError.UNKNOWN)
        created = await call("create_lease", "POST", "/v1/leases", {"ttl_ms": ttl_ms}, read)
        return created.map(lambda found: found["lease_id"])

    async def renew_lease(lease_id: str) -> Result[None, PlatformError]:
        path = f"/v1/leases/{quote(lease_id, safe='')}/renew"
        return await call("renew_lease", "POST", path, {}, read_nothing)

    async def instances() -> Result[InstanceList, PlatformError]:
        read = reader(InstanceList, PlatformError.UNAVAILABLE)
        return await call("instances", "GET", "/v1/instances", None, read)

    async def close() -> None:
        while idle:
            await idle.pop().aclose()

    return PlatformClient(get, watch, put, delete, create_lease, renew_lease, instances, close)
