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
from wisteriarock.wire.connection import BoundedConnection
from wisteriarock.wire.silence import REPLY_MIN_BYTES_PER_S, inactivity_timeout

from .const import (
    MAX_IDLE_CONNECTIONS,
    MAX_REPLY_BYTES,
    MIN_CALL_BURST,
    RESULT_HELD_BACK,
    RESULT_OK,
    RETRY_BACKOFF_MAX_MS,
    RETRY_BACKOFF_MIN_MS,
)
from .models import InstanceList, KeyValue, PlatformError

T = TypeVar("T")

# Exceptions that aiosonic raises if a connection fails or a reply is malformed.
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
    """Calls to the platform. Expected failures are returned, not raised.

    `get(key)` and `watch(key, after_revision, wait_ms)` return a `KeyValue`; a watch without a
    change fails with `NO_CHANGE`. `put(key, value, expected_revision, lease_id=None)` returns the
    new revision, `delete(key, expected_revision)` None, and `create_lease(ttl_ms)` the lease's id.
    A write that fails with `UNKNOWN` may have taken effect; no write is sent twice.
    """

    get: Callable[[str], Awaitable[Result[KeyValue, PlatformError]]]
    watch: Callable[[str, int, int], Awaitable[Result[KeyValue, PlatformError]]]
    put: Callable[..., Awaitable[Result[int, PlatformError]]]
    delete: Callable[[str, int], Awaitable[Result[None, PlatformError]]]
    create_lease: Callable[[int], Awaitable[Result[str, PlatformError]]]
    renew_lease: Callable[[str], Awaitable[Result[None, PlatformError]]]
    list_instances: Callable[[], Awaitable[Result[InstanceList, PlatformError]]]
    close: Callable[[], Awaitable[None]]


def _create_connection() -> HTTPClient:
    """Return a client with a pool of one connection, so that it can be closed on its own."""
    # The caller sets a timeout for the whole call. With timeouts of its own, aiosonic would use
    # asyncio.wait_for, which before Python 3.12 can lose a cancellation while the connection opens.
    timeouts = Timeouts(sock_connect=None, sock_read=None, request_timeout=None)
    pools = {":default": PoolConfig(size=1)}
    return HTTPClient(
        connector=TCPConnector(
            pool_configs=pools, timeouts=timeouts, connection_cls=BoundedConnection
        )
    )


async def _exchange(
    connection: HTTPClient, method: str, url: str, body: bytes | None, timeout_s: float
) -> _Reply | None:
    """Send a request and read the whole reply; return None if the reply is too long.

    The timeout is the longest time without any byte of the body.
    """
    headers = {"Content-Type": "application/json"} if body is not None else {}
    async with (
        inactivity_timeout(timeout_s, REPLY_MIN_BYTES_PER_S) as on_data,
        connection.stream(method, url, headers=headers, data=body or b"") as response,
    ):
        body_bytes = bytearray()
        async for chunk in response.iter_bytes():
            on_data(len(chunk))
            body_bytes += chunk
            if len(body_bytes) > MAX_REPLY_BYTES:
                return None
        return _Reply(response.status_code, bytes(body_bytes))


def _classify_read_status(status: int) -> PlatformError:
    errors = {
        204: PlatformError.NO_CHANGE,
        404: PlatformError.NOT_FOUND,
        409: PlatformError.CONFLICT,
        429: PlatformError.OVER_RATE,
    }
    return errors.get(status, PlatformError.UNAVAILABLE)


def _classify_write_status(status: int) -> PlatformError:
    # The platform answers 503 only if it did not run the call. Any other 5xx may come from a proxy
    # in front of a platform that did run it.
    if status >= 500 and status != 503:
        return PlatformError.UNKNOWN
    return _classify_read_status(status)


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
        URL of the platform, without a path.
    timeout_ms : float
        Longest time without a part of the reply; for a watch, its waiting time is added.
    calls_per_s : float
        Rate limit. A call that exceeds it fails at once with `OVER_RATE`.
    metrics : Metrics
        `platform_calls` counts all calls, including those held back by rate limit or backoff.
    now_ms : callable
        Monotonic clock in milliseconds.
    rng : random.Random
        Source of the jitter of the backoff.

    Returns
    -------
    PlatformClient
        The client. After a failure, calls fail at once with `UNAVAILABLE` during a backoff.
    """
    call_budget = create_bucket(calls_per_s, max(MIN_CALL_BURST, calls_per_s), now_ms())
    idle_connections: list[HTTPClient] = []
    failures = 0
    blocked_until_ms = 0.0

    def record_result(failed: bool) -> None:
        nonlocal failures, blocked_until_ms
        if not failed:
            failures = 0
            blocked_until_ms = 0.0
            return
        # The exponent is limited so that a long outage does not overflow the float.
        backoff_ms = min(RETRY_BACKOFF_MAX_MS, RETRY_BACKOFF_MIN_MS * 2.0 ** min(failures, 20))
        failures += 1
        blocked_until_ms = now_ms() + backoff_ms * rng.uniform(0.5, 1.0)

    async def send_request(
        method: str, path: str, body: bytes | None, wait_ms: float
    ) -> Result[_Reply, PlatformError]:
        """Send a request; fail with UNAVAILABLE if it was not sent, UNKNOWN if it may have been."""
        # aiosonic repeats a PUT or DELETE if a reused connection drops, but not on a new one. Each
        # write therefore gets a new connection.
        is_reusable = method == "GET"
        connection = (
            idle_connections.pop() if is_reusable and idle_connections else _create_connection()
        )
        reply: _Reply | None = None
        try:
            url = base_url + path
            reply = await _exchange(connection, method, url, body, (timeout_ms + wait_ms) / 1000)
        except (ConnectionPoolAcquireTimeout, ConnectionRefusedError):
            return Failure(PlatformError.UNAVAILABLE)
        except EXCHANGE_ERRORS:
            return Failure(PlatformError.UNKNOWN)
        finally:
            # Also runs if the caller is cancelled. A connection whose reply was not read completely
            # is closed, because the next request on it would receive that reply.
            if reply is not None and is_reusable and len(idle_connections) < MAX_IDLE_CONNECTIONS:
                idle_connections.append(connection)
            else:
                await connection.aclose()
        return Success(reply) if reply is not None else Failure(PlatformError.UNKNOWN)

    async def call(
        operation: str,
        method: str,
        path: str,
        body: Any,
        decode_reply: Callable[[_Reply], Result[T, PlatformError]],
        wait_ms: float = 0.0,
    ) -> Result[T, PlatformError]:
        now = now_ms()
        if now < blocked_until_ms:
            metrics.platform_calls.labels(operation, RESULT_HELD_BACK).inc()
            return Failure(PlatformError.UNAVAILABLE)
        if not try_consume(call_budget, 1, now):
            metrics.platform_calls.labels(operation, RESULT_HELD_BACK).inc()
            return Failure(PlatformError.OVER_RATE)
        encoded = None if body is None else msgspec.json.encode(body)
        send_result = await send_request(method, path, encoded, wait_ms)
        result: Result[T, PlatformError]
        if not isinstance(send_result, Success):
            error = PlatformError.UNAVAILABLE if method == "GET" else send_result.failure()
            result = Failure(error)
        elif send_result.unwrap().status != 200:
            status = send_result.unwrap().status
            result = Failure(
                _classify_read_status(status) if method == "GET" else _classify_write_status(status)
            )
        else:
            result = decode_reply(send_result.unwrap())
        outcome = RESULT_OK if isinstance(result, Success) else result.failure().value
        metrics.platform_calls.labels(operation, outcome).inc()
        record_result(
            outcome in (PlatformError.UNAVAILABLE, PlatformError.UNKNOWN, PlatformError.OVER_RATE)
        )
        return result

    def json_decoder(
        kind: type[T], decode_error: PlatformError
    ) -> Callable[[_Reply], Result[T, PlatformError]]:
        def decode_reply(reply: _Reply) -> Result[T, PlatformError]:
            # Unknown fields, which a later version of the platform may add, are ignored. Checking
            # the instance list for them would also take much of the time limit of a poll.
            try:
                return Success(msgspec.json.decode(reply.body, type=kind))
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
                return Failure(decode_error)

        return decode_reply

    def read_key_value(reply: _Reply) -> Result[KeyValue, PlatformError]:
        decoded = json_decoder(_ValueReply, PlatformError.UNAVAILABLE)(reply)
        return decoded.map(lambda fields: KeyValue(fields["value"], fields["revision"]))

    def ignore_body(_: _Reply) -> Result[None, PlatformError]:
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
        decode_reply = json_decoder(_RevisionReply, PlatformError.UNKNOWN)
        written = await call("put", "PUT", key_path(key), body, decode_reply)
        return written.map(lambda fields: fields["revision"])

    async def delete(key: str, expected_revision: int) -> Result[None, PlatformError]:
        body = {"expected_revision": expected_revision}
        return await call("delete", "DELETE", key_path(key), body, ignore_body)

    async def create_lease(ttl_ms: int) -> Result[str, PlatformError]:
        decode_reply = json_decoder(_LeaseReply, PlatformError.UNKNOWN)
        created = await call("create_lease", "POST", "/v1/leases", {"ttl_ms": ttl_ms}, decode_reply)
        return created.map(lambda fields: fields["lease_id"])

    async def renew_lease(lease_id: str) -> Result[None, PlatformError]:
        path = f"/v1/leases/{quote(lease_id, safe='')}/renew"
        return await call("renew_lease", "POST", path, {}, ignore_body)

    async def list_instances() -> Result[InstanceList, PlatformError]:
        decode_reply = json_decoder(InstanceList, PlatformError.UNAVAILABLE)
        return await call("instances", "GET", "/v1/instances", None, decode_reply)

    async def close() -> None:
        while idle_connections:
            await idle_connections.pop().aclose()

    return PlatformClient(get, watch, put, delete, create_lease, renew_lease, list_instances, close)
