"""Probes of the traffic with peers and endpoints, over 127.0.0.1 within this process."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import msgspec
from returns.result import Success
from wisteriarock.endpoints.controller import create_endpoints_controller
from wisteriarock.membership.models import Heartbeat
from wisteriarock.observability.metrics import create_metrics
from wisteriarock.peers.client import PeerClient
from wisteriarock.peers.const import HEARTBEAT_PATH
from wisteriarock.query.models import LegOutcome, LegReply

from . import samples
from .gauges import cpu_us_async
from .heartbeats import ENDPOINTS_PER_MEMBER, views_of
from .models import Effort, Probe
from .servers import (
    HOST,
    PEER,
    PEER_NUMBER,
    BareClient,
    connect_peer,
    counting_relay,
    now_ms,
    serve_endpoint,
    serve_peer,
)

# Endpoints of 2 slots each that are held at the other end of the legs.
HELD = 16
_TIMEOUT_MS = 10_000.0
_TIMEOUT_S = 60.0


def beat_of(number: int, changed: int, held: int, callers: int) -> Heartbeat:
    """Return a heartbeat with this many changed views, held endpoints and callers."""
    names = [samples.endpoint_of(n) for n in range(held)]
    return samples.heartbeat_of(number, views_of(changed), names, callers)


async def exchange(client: PeerClient, body: bytes, peer: str = PEER) -> None:
    """Send a heartbeat and read the answer.

    Raises
    ------
    RuntimeError
        If the peer refuses it.
    """
    answer = await client.post(peer, HEARTBEAT_PATH, body, _TIMEOUT_MS)
    if not isinstance(answer, Success):
        raise RuntimeError(f"The peer refused a heartbeat: {answer.failure()}.")


def _exchange_us(changed: int, effort: Effort) -> float:
    """Measure a heartbeat and an answer of the same form at both ends, taking excepted."""

    async def measure() -> float:
        body = msgspec.json.encode(beat_of(0, changed, ENDPOINTS_PER_MEMBER, 0))
        answer = beat_of(PEER_NUMBER, changed, ENDPOINTS_PER_MEMBER, 0)
        async with serve_peer(answer) as port, connect_peer(port) as client:
            return await cpu_us_async(lambda: exchange(client, body), effort)

    return asyncio.run(measure())


def _exchange_bytes(sizes: Callable[[int], tuple[int, int, int]]) -> Callable[[int, Effort], float]:
    """Measure the bytes of a heartbeat and its answer with their heads, on an open connection."""

    async def measure(size: int) -> float:
        body = msgspec.json.encode(beat_of(0, *sizes(size)))
        async with (
            serve_peer(beat_of(PEER_NUMBER, *sizes(size))) as port,
            counting_relay(port) as (relay_port, traffic),
            connect_peer(relay_port) as client,
        ):
            await exchange(client, body)
            before = traffic.size_bytes
            await exchange(client, body)
            return float(traffic.size_bytes - before)

    return lambda size, _: asyncio.run(measure(size))


def collector(count: int) -> tuple[Callable[[LegReply], None], asyncio.Future[None]]:
    """Return a sink of replies, and a future that is done when all came and were good."""
    future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    left = count

    def on_reply(reply: LegReply) -> None:
        nonlocal left
        left -= 1
        if reply["outcome"] != LegOutcome.OK and not future.done():
            future.set_exception(RuntimeError(f"A leg failed: {reply['outcome']}."))
        elif left == 0 and not future.done():
            future.set_result(None)

    return on_reply, future


async def _wait(future: Awaitable[None]) -> None:
    async with asyncio.timeout(_TIMEOUT_S):
        await future


def _peer_hop(legs: int, effort: Effort) -> float:
    """Measure legs in one request to their holder, which answers them at once, at both ends."""

    async def measure() -> float:
        batch = [samples.leg_of(number) for number in range(legs)]
        answer = samples.heartbeat_of(PEER_NUMBER, [], [])
        async with serve_peer(answer) as port, connect_peer(port) as client:

            async def work() -> None:
                on_reply, future = collector(legs)
                client.send_legs(PEER, batch, on_reply)
                await _wait(future)

            return await cpu_us_async(work, effort)

    return asyncio.run(measure())


def _peer_requests(requests: int, effort: Effort) -> float:
    """Measure requests of one leg each that are under way at once, at both ends."""

    async def measure() -> float:
        answer = samples.heartbeat_of(PEER_NUMBER, [], [])
        async with serve_peer(answer) as port, connect_peer(port) as client:

            async def work() -> None:
                on_reply, future = collector(requests)
                for number in range(requests):
                    client.send_legs(PEER, [samples.leg_of(number)], on_reply)
                await _wait(future)

            return await cpu_us_async(work, effort)

    return asyncio.run(measure())


def _endpoint_legs(legs: int, effort: Effort) -> float:
    """Measure legs from the holder's queue to its endpoints and back."""

    async def measure() -> float:
        async with serve_endpoint() as port:
            board = samples.board_of()
            board.bundle = samples.active_of(HELD, port=port)
            names = frozenset(samples.endpoint_of(n) for n in range(HELD))
            controller = create_endpoints_controller(
                board, create_metrics(), now_ms, Random(1), lambda: None
            )
            controller.set_held_endpoints(names, {})
            batch = [
                {**samples.leg_of(number), "endpoint": samples.endpoint_of(number % HELD)}
                for number in range(legs)
            ]

            async def work() -> None:
                on_reply, future = collector(legs)
                for leg in batch:
                    controller.execute_leg(leg, on_reply)  # type: ignore[arg-type]
                await _wait(future)

            try:
                return await cpu_us_async(work, effort)
            finally:
                await controller.close()

    return asyncio.run(measure())


def _bare_legs(legs: int, effort: Effort) -> float:
    """Measure the same requests to the same endpoint by a client that reads nothing."""

    async def measure() -> float:
        loop = asyncio.get_running_loop()
        body = msgspec.json.encode(samples.leg_of(0))
        head = b"POST /leg HTTP/1.1\r\nhost: 127.0.0.1\r\ncontent-length: %d\r\n\r\n" % len(body)
        async with serve_endpoint() as port:
            transports: list[tuple[asyncio.Transport, BareClient]] = []
            for _ in range(2 * HELD):
                transports.append(await loop.create_connection(BareClient, HOST, port))

            async def work() -> None:
                done = loop.create_future()
                left, unsent = legs, legs

                def sink(transport: asyncio.Transport) -> Callable[[], None]:
                    def on_reply() -> None:
                        nonlocal left
                        left -= 1
                        if left == 0:
                            done.set_result(None)
                        send(transport)

                    return on_reply

                def send(transport: asyncio.Transport) -> None:
                    nonlocal unsent
                    if unsent:
                        unsent -= 1
                        transport.write(head + body)

                for transport, client in transports:
                    client.on_reply = sink(transport)
                    send(transport)
                await _wait(done)

            try:
                return await cpu_us_async(work, effort)
            finally:
                for transport, _ in transports:
                    transport.abort()

    return asyncio.run(measure())


def traffic_probes() -> list[Probe]:
    """Return the probes of the traffic."""
    counts = (7, 70, 181, 700)
    batches = (1, 10, 70, 630)
    legs = (64, 128, 256, 512)
    both = "heartbeat exchange, bytes with heads, both ways"
    return [
        Probe(
            "heartbeat exchange over HTTP, both ends", "changed views", "us", counts, _exchange_us
        ),
        Probe(both, "held endpoints", "bytes", counts, _exchange_bytes(lambda n: (0, n, 0))),
        Probe(
            f"{both}; 7 held",
            "changed views",
            "bytes",
            counts,
            _exchange_bytes(lambda n: (n, ENDPOINTS_PER_MEMBER, 0)),
        ),
        Probe(
            f"{both}; 7 held",
            "callers",
            "bytes",
            counts,
            _exchange_bytes(lambda n: (0, ENDPOINTS_PER_MEMBER, n)),
        ),
        Probe("peer hop over HTTP, both ends", "legs in a request", "us", batches, _peer_hop),
        Probe(
            "peer hop over HTTP, 1 leg a request, both ends",
            "requests at once",
            "us",
            (8, 16, 32, 64),
            _peer_requests,
        ),
        Probe("legs to endpoints, endpoint's end included", "legs", "us", legs, _endpoint_legs),
        Probe("the same without the tier: bare protocol", "legs", "us", legs, _bare_legs),
    ]
