"""Probes of traffic with peers and endpoints over 127.0.0.1, with both ends in this process."""

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
from .heartbeats import ENDPOINTS_PER_MEMBER, make_changed_views
from .models import Effort, Probe
from .servers import (
    HOST,
    PEER,
    PEER_NUMBER,
    BareClient,
    connect_peer,
    now_ms,
    run_counting_relay,
    serve_endpoint,
    serve_peer,
)

# Endpoints that execute the legs, with 2 slots each.
HELD_ENDPOINTS = 16
_HEARTBEAT_TIMEOUT_MS = 10_000.0
_LEGS_TIMEOUT_S = 60.0


def make_sized_heartbeat(number: int, changed: int, held: int, callers: int) -> Heartbeat:
    """Return a heartbeat with these numbers of changed views, held endpoints and callers."""
    names = [samples.make_endpoint_name(n) for n in range(held)]
    return samples.make_heartbeat(number, make_changed_views(changed), names, callers)


async def send_heartbeat(client: PeerClient, body: bytes, peer: str = PEER) -> None:
    """Send a heartbeat and read the answer.

    Raises
    ------
    RuntimeError
        If the peer rejects the heartbeat.
    """
    answer = await client.post(peer, HEARTBEAT_PATH, body, _HEARTBEAT_TIMEOUT_MS)
    if not isinstance(answer, Success):
        raise RuntimeError(f"The peer rejected a heartbeat: {answer.failure()}.")


def _measure_exchange(changed: int, effort: Effort) -> float:
    """Measure a heartbeat and an answer of the same size at both ends, without applying them."""

    async def measure() -> float:
        body = msgspec.json.encode(make_sized_heartbeat(0, changed, ENDPOINTS_PER_MEMBER, 0))
        answer = make_sized_heartbeat(PEER_NUMBER, changed, ENDPOINTS_PER_MEMBER, 0)
        async with serve_peer(answer) as port, connect_peer(port) as client:
            return await cpu_us_async(lambda: send_heartbeat(client, body), effort)

    return asyncio.run(measure())


def _make_exchange_bytes_measure(
    sizes: Callable[[int], tuple[int, int, int]],
) -> Callable[[int, Effort], float]:
    """Return a function that counts the bytes of a heartbeat and its answer with HTTP headers.

    The connection is opened by an earlier heartbeat.
    """

    async def measure(size: int) -> float:
        body = msgspec.json.encode(make_sized_heartbeat(0, *sizes(size)))
        async with (
            serve_peer(make_sized_heartbeat(PEER_NUMBER, *sizes(size))) as port,
            run_counting_relay(port) as (relay_port, traffic),
            connect_peer(relay_port) as client,
        ):
            await send_heartbeat(client, body)
            before = traffic.size_bytes
            await send_heartbeat(client, body)
            return float(traffic.size_bytes - before)

    return lambda size, _: asyncio.run(measure(size))


def make_reply_collector(count: int) -> tuple[Callable[[LegReply], None], asyncio.Future[None]]:
    """Return a reply handler, and a future that completes after `count` successful replies."""
    future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    remaining = count

    def on_reply(reply: LegReply) -> None:
        nonlocal remaining
        remaining -= 1
        if reply["outcome"] != LegOutcome.OK and not future.done():
            future.set_exception(RuntimeError(f"A leg failed: {reply['outcome']}."))
        elif remaining == 0 and not future.done():
            future.set_result(None)

    return on_reply, future


async def _wait_with_timeout(future: Awaitable[None]) -> None:
    async with asyncio.timeout(_LEGS_TIMEOUT_S):
        await future


def _measure_peer_hop(legs: int, effort: Effort) -> float:
    """Measure legs in one request to a holder that answers them immediately, at both ends."""

    async def measure() -> float:
        batch = [samples.make_leg(number) for number in range(legs)]
        answer = samples.make_heartbeat(PEER_NUMBER, [], [])
        async with serve_peer(answer) as port, connect_peer(port) as client:

            async def work() -> None:
                on_reply, future = make_reply_collector(legs)
                client.send_legs(PEER, batch, on_reply)
                await _wait_with_timeout(future)

            return await cpu_us_async(work, effort)

    return asyncio.run(measure())


def _measure_peer_requests(requests: int, effort: Effort) -> float:
    """Measure concurrent requests of one leg each, at both ends."""

    async def measure() -> float:
        answer = samples.make_heartbeat(PEER_NUMBER, [], [])
        async with serve_peer(answer) as port, connect_peer(port) as client:

            async def work() -> None:
                on_reply, future = make_reply_collector(requests)
                for number in range(requests):
                    client.send_legs(PEER, [samples.make_leg(number)], on_reply)
                await _wait_with_timeout(future)

            return await cpu_us_async(work, effort)

    return asyncio.run(measure())


def _measure_endpoint_legs(legs: int, effort: Effort) -> float:
    """Measure legs from the holder's queue to its endpoints and back."""

    async def measure() -> float:
        async with serve_endpoint() as port:
            board = samples.make_board()
            board.bundle = samples.make_active_bundle(HELD_ENDPOINTS, port=port)
            names = frozenset(samples.make_endpoint_name(n) for n in range(HELD_ENDPOINTS))
            controller = create_endpoints_controller(
                board, create_metrics(), now_ms, Random(1), lambda: None
            )
            controller.set_held_endpoints(names, {})
            batch = [
                {
                    **samples.make_leg(number),
                    "endpoint": samples.make_endpoint_name(number % HELD_ENDPOINTS),
                }
                for number in range(legs)
            ]

            async def work() -> None:
                on_reply, future = make_reply_collector(legs)
                for leg in batch:
                    controller.execute_leg(leg, on_reply)  # type: ignore[arg-type]
                await _wait_with_timeout(future)

            try:
                return await cpu_us_async(work, effort)
            finally:
                await controller.close()

    return asyncio.run(measure())


def _measure_bare_legs(legs: int, effort: Effort) -> float:
    """Measure the same requests to the same endpoint by a client that does not parse replies."""

    async def measure() -> float:
        loop = asyncio.get_running_loop()
        body = msgspec.json.encode(samples.make_leg(0))
        head = b"POST /leg HTTP/1.1\r\nhost: 127.0.0.1\r\ncontent-length: %d\r\n\r\n" % len(body)
        async with serve_endpoint() as port:
            transports: list[tuple[asyncio.Transport, BareClient]] = []
            for _ in range(2 * HELD_ENDPOINTS):
                transports.append(await loop.create_connection(BareClient, HOST, port))

            async def work() -> None:
                done = loop.create_future()
                remaining, unsent = legs, legs

                def make_reply_handler(transport: asyncio.Transport) -> Callable[[], None]:
                    def on_reply() -> None:
                        nonlocal remaining
                        remaining -= 1
                        if remaining == 0:
                            done.set_result(None)
                        send(transport)

                    return on_reply

                def send(transport: asyncio.Transport) -> None:
                    nonlocal unsent
                    if unsent:
                        unsent -= 1
                        transport.write(head + body)

                for transport, client in transports:
                    client.on_reply = make_reply_handler(transport)
                    send(transport)
                await _wait_with_timeout(done)

            try:
                return await cpu_us_async(work, effort)
            finally:
                for transport, _ in transports:
                    transport.abort()

    return asyncio.run(measure())


def traffic_probes() -> list[Probe]:
    """Return the probes of traffic with peers and endpoints."""
    counts = (7, 70, 181, 700)
    batches = (1, 10, 70, 630)
    legs = (64, 128, 256, 512)
    exchange_title = "heartbeat exchange, bytes with heads, both ways"
    return [
        Probe(
            "heartbeat exchange over HTTP, both ends",
            "changed views",
            "us",
            counts,
            _measure_exchange,
        ),
        Probe(
            exchange_title,
            "held endpoints",
            "bytes",
            counts,
            _make_exchange_bytes_measure(lambda n: (0, n, 0)),
        ),
        Probe(
            f"{exchange_title}; 7 held",
            "changed views",
            "bytes",
            counts,
            _make_exchange_bytes_measure(lambda n: (n, ENDPOINTS_PER_MEMBER, 0)),
        ),
        Probe(
            f"{exchange_title}; 7 held",
            "callers",
            "bytes",
            counts,
            _make_exchange_bytes_measure(lambda n: (0, ENDPOINTS_PER_MEMBER, n)),
        ),
        Probe(
            "peer hop over HTTP, both ends", "legs in a request", "us", batches, _measure_peer_hop
        ),
        Probe(
            "peer hop over HTTP, 1 leg a request, both ends",
            "requests at once",
            "us",
            (8, 16, 32, 64),
            _measure_peer_requests,
        ),
        Probe(
            "legs to endpoints, endpoint's end included", "legs", "us", legs, _measure_endpoint_legs
        ),
        Probe("the same without the tier: bare protocol", "legs", "us", legs, _measure_bare_legs),
    ]
