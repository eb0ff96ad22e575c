"""Tests of instances that missed more changes of the store than fit into one reply."""

from wisteriarock.feed.state import is_relay
from wisteriarock.http.const import REPLY_MAX_BYTES

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import (
    Deployment,
    another_instance,
    deployment,
    operator_configuration,
    send,
    wait_until,
)

PADDING = "x" * 200_000


def _put_large_changes(running: Deployment) -> int:
    """Write more versions than one reply of a watch can hold; return the last one."""
    version = 10
    for _ in range(2 * REPLY_MAX_BYTES // len(PADDING)):
        version += 1
        running.store.put("op/config", operator_configuration(version, padding=PADDING))
    return version


async def test_changes_that_are_too_many_for_one_reply_are_listed():
    """Guards against an instance that asks for the same changes until the store forgets them."""
    async with deployment() as running:
        instance = running.instance
        running.store.mode = "busy"
        await wait_until(lambda: instance.discovery.is_store_down)
        version = _put_large_changes(running)
        running.store.mode = "ok"
        await wait_until(lambda: instance.catalog.configuration.version == version)
        assert instance.counters.counts["store_failures", "too_large"] == 1
        running.store.put("op/config", operator_configuration(version + 1))
        await wait_until(lambda: instance.catalog.configuration.version == version + 1)


async def test_relay_whose_watch_fails_refuses_its_followers():
    """Guards against followers that take a relay's old revision for the newest one.

    A small read of the store succeeds meanwhile.
    """
    async with deployment() as running, another_instance(running, "front-2") as follower:
        relay = running.instance
        await wait_until(lambda: is_relay(relay.feed) or is_relay(follower.feed))
        relay = relay if is_relay(relay.feed) else follower
        port = relay.feed.address[1]
        poll = b"GET /feed?after=0&instance=x&zone=zone-b HTTP/1.1\r\nHost: x\r\n\r\n"
        assert (await send(port, poll)).status != 503
        relay.discovery.is_store_down = True
        assert await relay.feed.check_store(5_000.0)
        relay.discovery.is_store_down = True
        assert (await send(port, poll)).status == 503


load_tests = function_suite(globals())
