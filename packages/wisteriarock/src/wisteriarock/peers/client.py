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
from wisteriarock.wire.connection import HttpChannel, close_channel, request
from wisteriarock.wire.silence import inactivity_timeout

from .auth import sign
from .const import PATH_LEGS, PATH_QUERY, PURPOSE_CONTROL, PURPOSE_LEGS, PURPOSE_QUERY
from .diagnostics import dump_pools
from .models import PeerError
from .pool import PeerPool, acquire, close_older, close_pool, create_pool, give_back

Call = Callable[[str, str, bytes, float], Awaitable[Result[bytes, PeerError]]]
_REPLY = msgspec.json.Decoder(LegReply)
_ENCODER = msgspec.json.Encoder()


class PeerClient(NamedTuple):
    """Closures that talk to other instances.

    Attributes
    ----------
    send_legs : SendLegs
        Sends legs to their holder; each is reported once. Cancelling closes the stream.
    post : callable
        `post(instance, path, body, timeout_ms)` returns the body of a 200 answer.
    get : callable
        `get(instance, path, timeout_ms)` alike.
    close : callable
        Closes every connection.
    """

    send_legs: SendLegs
    post: Call
    get: Callable[[str, str, float], Awaitable[Result[bytes, PeerError]]]
    close: Callable[[], Awaitable[None]]


def peer_address(board: Blackboard, instance: str) -> tuple[str, int] | None:
    """Return the internal address of an instance: from the settings, else from its heartbeats."""
    for peer in board.settings.peers:
        if peer["instance"] == instance:
            return peer["host"], peer["port"]
    member = board.members.get(instance)
    return (member.host, member.port) if member is not None else None


def wall_clock_ms() -> float:
    """Return the wall-clock time in milliseconds, for the time in signed requests."""
    return time.time() * 1000


def create_peer_client(
    board: Blackboard,
    metrics: Metrics,
    now_ms: Callable[[], float],
    wall_ms: Callable[[], float] = wall_clock_ms,
) -> PeerClient:
    """Return the closures that talk to other instances.

    Parameters
    ----------
    board : Blackboard
        Read: settings and members. The diagnostics are registered there.
    metrics : Metrics
        Counted into.
    now_ms : callable
        Monotonic clock.
    wall_ms : callable
        Wall clock.
    """
    settings = board.settings
    tunables = settings.tunables
    run_id = secrets.token_hex(8)
    numbers = itertools.count()
    pools: dict[tuple[str, str], PeerPool] = {}
    legs_sent = metrics.peer_bytes.labels(PURPOSE_LEGS, "sent")
    legs_received = metrics.peer_bytes.labels(PURPOSE_LEGS, "received")
    control_sent = metrics.peer_bytes.labels(PURPOSE_CONTROL, "sent")
    control_received = metrics.peer_bytes.labels(PURPOSE_CONTROL, "received")
    tasks: set[asyncio.Task[None]] = set()

    def signed(method: str, path: str, body: bytes) -> bytes:
        nonce = f"{run_id}-{next(numbers)}"
        key = settings.peer_keys[0]
        headers = sign(key, method, path, settings.instance, int(wall_ms()), nonce, body)
        return "".join(f"{name}: {value}\r\n" for name, value in headers.items()).encode()

    def pool_of(instance: str, purpose: str) -> PeerPool | None:
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

    def suspected(instance: str) -> bool:
        member = board.members.get(instance)
        return member is None or not is_live(member, now_ms(), tunables.suspect_after_ms)

    async def exchange(wire: HttpChannel, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        response = await request(wire, method, path, body, signed(method, path, body))
        control_sent.inc(len(body))
        content: bytes = await response.content()
        control_received.inc(len(content))
        return response.status_code, content

    async def call(
        method: str, instance: str, path: str, body: bytes, timeout_ms: float
    ) -> Result[bytes, PeerError]:
        pool = pool_of(instance, PURPOSE_QUERY if path == PATH_QUERY else PURPOSE_CONTROL)
        if pool is None:
            return Failure(PeerError.UNKNOWN_PEER)
        if path == PATH_QUERY and suspected(instance):
            return Failure(PeerError.SUSPECTED)
        wire: HttpChannel | None = None
        try:
            async with inactivity_timeout(timeout_ms / 1000):
                wire = await acquire(pool, now_ms())
                status, content = await exchange(wire, method, path, body)
        except Exception as error:
            written = wire is not None and wire.connection.written
            if isinstance(error, TimeoutError) and written:
                close_older(pool, now_ms() - timeout_ms)
            return Failure(PeerError.LOST if written else PeerError.NOT_SENT)
        else:
            give_back(pool, wire, now_ms())
            wire = None
        finally:
            if wire is not None:
                close_channel(wire)
                give_back(pool, wire, now_ms())
        return Success(content) if status == 200 else Failure(PeerError.REFUSED)

    async def post(
        instance: str, path: str, body: bytes, timeout_ms: float
    ) -> Result[bytes, PeerError]:
        return await call("POST", instance, path, body, timeout_ms)

    async def get(instance: str, path: str, timeout_ms: float) -> Result[bytes, PeerError]:
        return await call("GET", instance, path, b"", timeout_ms)

    async def stream(
        wire: HttpChannel, legs: list[LegRequest], on_line: Callable[[bytes], None]
    ) -> bool:
        """Send legs and pass on each line of the answer; tell whether the peer took them."""
        body = _ENCODER.encode({"legs": legs})
        headers = signed("POST", PATH_LEGS, body)
        received_bytes = 0
        async with inactivity_timeout(tunables.peer_timeout_ms / 1000) as heard:
            try:
                response = await request(wire, "POST", PATH_LEGS, body, headers, stream=True)
                heard()
                if response.status_code != 200:
                    await response.content()
                    return False
                rest = b""
                async for chunk in response.read_chunks():
                    heard()
                    received_bytes += len(chunk)
                    *lines, rest = (rest + chunk).split(b"\n")
                    for line in lines:
                        if line:
                            on_line(line)
            finally:
                legs_sent.inc(len(body) if wire.connection.written else 0)
                legs_received.inc(received_bytes)
        return True

    async def run_legs(
        pool: PeerPool, open_legs: dict[str, LegRequest], on_reply: OnLegReply, sent_ms: float
    ) -> None:
        def on_line(line: bytes) -> None:
            reply = _REPLY.decode(line)
            if open_legs.pop(reply["leg_id"], None) is None:
                metrics.dropped_replies.labels("duplicate").inc()
                return
            try:
                on_reply(reply)
            except Exception as error:
                # A fault of the taker must not pass for a fault of the stream.
                faults.append(error)
                raise

        faults: list[Exception] = []
        wire: HttpChannel | None = None
        may_have_run = True
        try:
            wire = await acquire(pool, now_ms())
            waited_ms = now_ms() - sent_ms
            legs = [
                {**leg, "deadline_ms": max(0.0, leg["deadline_ms"] - waited_ms)}
                for leg in open_legs.values()
            ]
            may_have_run = await stream(wire, legs, on_line)  # type: ignore[arg-type]
        except Exception as error:
            may_have_run = wire is not None and wire.connection.written
            if isinstance(error, TimeoutError):
                close_older(pool, now_ms() - tunables.peer_timeout_ms)
        else:
            give_back(pool, wire, now_ms())
            wire = None
        finally:
            if wire is not None:
                close_channel(wire)
                give_back(pool, wire, now_ms())
        if faults:
            raise faults[0]
        while open_legs:
            _, leg = open_legs.popitem()
            on_reply(reply_without_rows(leg, LegOutcome.PEER_LOST, may_have_run))

    def on_done(task: asyncio.Task[None]) -> None:
        tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log_event("invariant_broken", part="peers", error=repr(error))
            context = {"message": "a taker of leg replies failed", "exception": error}
            asyncio.get_running_loop().call_exception_handler(context)

    def send_legs(instance: str, legs: list[LegRequest], on_reply: OnLegReply) -> Cancel:
        open_legs = {leg["leg_id"]: leg for leg in legs}
        pool = None if suspected(instance) else pool_of(instance, PURPOSE_LEGS)
        if pool is None:

            def fail() -> None:
                while open_legs:
                    _, leg = open_legs.popitem()
                    on_reply(reply_without_rows(leg, LegOutcome.PEER_LOST, False))

            return asyncio.get_running_loop().call_soon(fail).cancel
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

    board.diagnostics["peers"] = lambda: dump_pools(pools, len(tasks))
    return PeerClient(send_legs, post, get, close)
