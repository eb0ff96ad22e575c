"""Requests to other instances."""

import asyncio
import itertools
import secrets
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from wisteriarock.blackboard.models import Blackboard
from wisteriarock.membership.decide import is_live
from wisteriarock.observability.logs import log_event
from wisteriarock.observability.metrics import Metrics
from wisteriarock.query.models import (
    Cancel,
    LegOutcome,
    LegReply,
    LegRequest,
    OnLegReply,
    SendLegs,
)
from wisteriarock.query.replies import reply_without_rows
from wisteriarock.wire.connection import (
    HttpChannel,
    close_channel,
    read_content,
    read_lines,
    read_long_content,
    request,
)
from wisteriarock.wire.silence import REPLY_MIN_BYTES_PER_S, inactivity_timeout

from .auth import sign
from .const import LEGS_PATH, PURPOSE_CONTROL, PURPOSE_LEGS, PURPOSE_QUERY, QUERY_PATH
from .diagnostics import pool_diagnostics
from .models import PeerError
from .pool import (
    PeerPool,
    acquire_channel,
    close_idle_opened_before,
    close_pool,
    create_pool,
    release_channel,
)

Call = Callable[[str, str, bytes, float], Awaitable[Result[bytes, PeerError]]]
_REPLY = msgspec.json.Decoder(LegReply)
_ENCODER = msgspec.json.Encoder()


class PeerClient(NamedTuple):
    """Closures that send requests to other instances.

    Attributes
    ----------
    send_legs : SendLegs
        Sends legs to their holder and reports each once. Cancelling closes the stream.
    post : callable
        `post(instance, path, body, timeout_ms)` returns the body of an answer with status 200.
    get : callable
        `get(instance, path, timeout_ms)` returns the same for a GET request.
    close : callable
        Cancels open leg streams and closes all connections.
    """

    send_legs: SendLegs
    post: Call
    get: Callable[[str, str, float], Awaitable[Result[bytes, PeerError]]]
    close: Callable[[], Awaitable[None]]


def peer_address(board: Blackboard, instance: str) -> tuple[str, int] | None:
    """Return the internal address of an instance from the settings, else from its heartbeats."""
    for peer in board.settings.peers:
        if peer["instance"] == instance:
            return peer["host"], peer["port"]
    member = board.members.get(instance)
    return (member.host, member.port) if member is not None else None


def wall_clock_ms() -> float:
    """Return the wall-clock time in milliseconds, as used in signed requests."""
    return time.time() * 1000


def create_peer_client(
    board: Blackboard,
    metrics: Metrics,
    now_ms: Callable[[], float],
    wall_ms: Callable[[], float] = wall_clock_ms,
) -> PeerClient:
    """Return the closures that send requests to other instances.

    Parameters
    ----------
    board : Blackboard
        Provides settings and members; the diagnostics are registered on it.
    metrics : Metrics
        Metrics to update.
    now_ms : callable
        Monotonic clock, in milliseconds.
    wall_ms : callable
        Wall clock, in milliseconds.
    """
    settings = board.settings
    tunables = settings.tunables
    run_id = secrets.token_hex(8)
    nonce_counter = itertools.count()
    pools: dict[tuple[str, str], PeerPool] = {}
    leg_bytes_sent = metrics.peer_bytes.labels(PURPOSE_LEGS, "sent")
    leg_bytes_received = metrics.peer_bytes.labels(PURPOSE_LEGS, "received")
    control_bytes_sent = metrics.peer_bytes.labels(PURPOSE_CONTROL, "sent")
    control_bytes_received = metrics.peer_bytes.labels(PURPOSE_CONTROL, "received")
    tasks: set[asyncio.Task[None]] = set()

    def sign_request(method: str, path: str, body: bytes) -> bytes:
        nonce = f"{run_id}-{next(nonce_counter)}"
        key = settings.peer_keys[0]
        headers = sign(key, method, path, settings.instance, int(wall_ms()), nonce, body)
        return "".join(f"{name}: {value}\r\n" for name, value in headers.items()).encode()

    def get_pool(instance: str, purpose: str) -> PeerPool | None:
        address = peer_address(board, instance)
        if address is None:
            return None
        pool = pools.get((instance, purpose))
        if pool is None or pool.address != address:
            if pool is not None:
                close_pool(pool)
            for key in [key for key in pools if peer_address(board, key[0]) is None]:
                close_pool(pools.pop(key))
            pool = create_pool(address, tunables.connect_timeout_ms)
            pools[instance, purpose] = pool
        return pool

    def is_suspected(instance: str) -> bool:
        member = board.members.get(instance)
        return member is None or not is_live(member, now_ms(), tunables.suspect_after_ms)

    async def exchange(
        channel: HttpChannel, method: str, path: str, body: bytes, on_data: Callable[[int], None]
    ) -> tuple[int, bytes]:
        # Only replies to GET, which are bundles, are so long that their parts matter.
        is_long = method == "GET"
        headers = sign_request(method, path, body)
        response = await request(channel, method, path, body, headers, stream=is_long)
        control_bytes_sent.inc(len(body))
        content = await (
            read_long_content(response, on_data) if is_long else read_content(response)
        )
        control_bytes_received.inc(len(content))
        return response.status_code, content

    async def call(
        method: str, instance: str, path: str, body: bytes, timeout_ms: float
    ) -> Result[bytes, PeerError]:
        pool = get_pool(instance, PURPOSE_QUERY if path == QUERY_PATH else PURPOSE_CONTROL)
        if pool is None:
            return Failure(PeerError.UNKNOWN_PEER)
        if path == QUERY_PATH and is_suspected(instance):
            return Failure(PeerError.SUSPECTED)
        channel: HttpChannel | None = None
        try:
            async with inactivity_timeout(timeout_ms / 1000, REPLY_MIN_BYTES_PER_S) as on_data:
                channel = await acquire_channel(pool, now_ms())
                status, content = await exchange(channel, method, path, body, on_data)
        except Exception as error:
            written = channel is not None and channel.connection.written
            if isinstance(error, TimeoutError) and written:
                close_idle_opened_before(pool, now_ms() - timeout_ms)
            return Failure(PeerError.LOST if written else PeerError.NOT_SENT)
        else:
            release_channel(pool, channel, now_ms())
            channel = None
        finally:
            if channel is not None:
                close_channel(channel)
                release_channel(pool, channel, now_ms())
        return Success(content) if status == 200 else Failure(PeerError.REFUSED)

    async def post(
        instance: str, path: str, body: bytes, timeout_ms: float
    ) -> Result[bytes, PeerError]:
        return await call("POST", instance, path, body, timeout_ms)

    async def get(instance: str, path: str, timeout_ms: float) -> Result[bytes, PeerError]:
        return await call("GET", instance, path, b"", timeout_ms)

    async def stream_legs(
        channel: HttpChannel, legs: list[LegRequest], on_line: Callable[[bytes], None]
    ) -> bool:
        """Send legs and pass on each line of the answer; return whether the peer accepted them."""
        body = _ENCODER.encode({"legs": legs})
        headers = sign_request("POST", LEGS_PATH, body)
        received_bytes = 0

        def on_chunk(size_bytes: int) -> None:
            nonlocal received_bytes
            received_bytes += size_bytes
            on_data(size_bytes)

        async with inactivity_timeout(tunables.peer_timeout_ms / 1000) as on_data:
            try:
                response = await request(channel, "POST", LEGS_PATH, body, headers, stream=True)
                on_data(0)
                if response.status_code != 200:
                    await read_content(response)
                    return False
                async for line in read_lines(response, on_chunk):
                    on_line(line)
            finally:
                leg_bytes_sent.inc(len(body) if channel.connection.written else 0)
                leg_bytes_received.inc(received_bytes)
        return True

    async def run_legs(
        pool: PeerPool,
        open_legs: dict[str, LegRequest],
        on_reply: OnLegReply,
        requested_at_ms: float,
    ) -> None:
        def on_line(line: bytes) -> None:
            reply = _REPLY.decode(line)
            if open_legs.pop(reply["leg_id"], None) is None:
                metrics.dropped_replies.labels("duplicate").inc()
                return
            try:
                on_reply(reply)
            except Exception as error:
                # An error in the callback must not be treated as a failure of the stream.
                callback_errors.append(error)
                raise

        callback_errors: list[Exception] = []
        channel: HttpChannel | None = None
        may_have_run = True
        try:
            channel = await acquire_channel(pool, now_ms())
            pool_wait_ms = now_ms() - requested_at_ms
            legs = [
                {**leg, "deadline_ms": max(0.0, leg["deadline_ms"] - pool_wait_ms)}
                for leg in open_legs.values()
            ]
            may_have_run = await stream_legs(channel, legs, on_line)  # type: ignore[arg-type]
        except Exception as error:
            may_have_run = channel is not None and channel.connection.written
            if isinstance(error, TimeoutError):
                close_idle_opened_before(pool, now_ms() - tunables.peer_timeout_ms)
        else:
            release_channel(pool, channel, now_ms())
            channel = None
        finally:
            if channel is not None:
                close_channel(channel)
                release_channel(pool, channel, now_ms())
        if callback_errors:
            raise callback_errors[0]
        while open_legs:
            _, leg = open_legs.popitem()
            on_reply(reply_without_rows(leg, LegOutcome.PEER_LOST, may_have_run))

    def on_done(task: asyncio.Task[None]) -> None:
        tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log_event("invariant_broken", part="peers", error=repr(error))
            context = {"message": "callback for leg replies failed", "exception": error}
            asyncio.get_running_loop().call_exception_handler(context)

    def send_legs(instance: str, legs: list[LegRequest], on_reply: OnLegReply) -> Cancel:
        open_legs = {leg["leg_id"]: leg for leg in legs}
        pool = None if is_suspected(instance) else get_pool(instance, PURPOSE_LEGS)
        if pool is None:

            def report_failure() -> None:
                while open_legs:
                    _, leg = open_legs.popitem()
                    on_reply(reply_without_rows(leg, LegOutcome.PEER_LOST, False))

            return asyncio.get_running_loop().call_soon(report_failure).cancel
        task = asyncio.create_task(run_legs(pool, open_legs, on_reply, now_ms()))
        tasks.add(task)
        task.add_done_callback(on_done)

        def cancel() -> None:
            open_legs.clear()
            task.cancel()

        return cancel

    async def close() -> None:
        for task in list(tasks):
            task.cancel()
        for pool in pools.values():
            close_pool(pool)

    board.diagnostics["peers"] = lambda: pool_diagnostics(pools, len(tasks))
    return PeerClient(send_legs, post, get, close)
