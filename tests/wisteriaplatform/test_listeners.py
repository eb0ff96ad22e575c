"""Tests of an instance whose addresses are in use when it starts."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator

from wisteriarock.feed.state import is_relay, offered_capacity_cores

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import (
    another_instance,
    deployment,
    request_bytes,
    send,
    wait_until,
)

RELAY_CLAIM_S = 1.5


@contextlib.contextmanager
def _taken_address() -> Iterator[tuple[socket.socket, tuple[str, int]]]:
    """Listen on a free address, as a process of another owner does."""
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        yield taken, taken.getsockname()


def _free_address() -> tuple[str, int]:
    with _taken_address() as (_, address):
        return address


async def _send_until_answered(address: tuple[str, int]) -> int:
    """Send a request; on a refused connection, send it again."""
    while True:
        with contextlib.suppress(OSError):
            response = await send(address[1], request_bytes("/lookup/x", "r-1"))
            return response.status
        await asyncio.sleep(0.01)


async def test_taken_metrics_address_does_not_keep_callers_from_service():
    """Guards against a process that ends at each start while another one has its metrics port."""
    async with deployment() as running:
        front = _free_address()
        with _taken_address() as (taken, address):
            async with another_instance(running, "front-2", front=front, metrics=address) as second:
                await wait_until(lambda: second.discovery.is_loaded)
                assert await _send_until_answered(front) == 200
                assert second.counters.counts["listen_failures", "metrics"] >= 1
                taken.close()
                request = b"GET /dump HTTP/1.1\r\nHost: x\r\n\r\n"
                while True:
                    with contextlib.suppress(OSError):
                        assert (await send(address[1], request)).status == 200
                        break
                    await asyncio.sleep(0.01)


async def test_taken_peer_address_does_not_keep_callers_from_service():
    """Guards against an instance that offers itself to others while they cannot reach it."""
    async with deployment() as running:
        front = _free_address()
        with _taken_address() as (taken, address):
            # The zone has no other instance, so this one claims its relay lease once it may.
            async with another_instance(
                running, "front-2", zone="zone-b", front=front, peer=address
            ) as second:
                await wait_until(lambda: second.discovery.is_loaded)
                assert await _send_until_answered(front) == 200
                await asyncio.sleep(RELAY_CLAIM_S)
                assert not is_relay(second.feed)
                assert offered_capacity_cores(second.feed) == 0.0
                taken.close()
                await wait_until(lambda: is_relay(second.feed))
                assert offered_capacity_cores(second.feed) > 0.0


async def test_taken_front_address_is_used_as_soon_as_it_is_free():
    """Guards against a process that ends at each start while its predecessor has its address."""
    async with deployment() as running:
        with _taken_address() as (taken, address):
            async with another_instance(running, "front-2", front=address) as second:
                await wait_until(lambda: second.counters.counts["listen_failures", "callers"] >= 2)
                taken.close()
                assert await _send_until_answered(address) == 200


load_tests = function_suite(globals())
