"""Tests of replies of the store that take long because the link to it is slow."""

import contextlib
from collections.abc import AsyncIterator

from wisteriarock.discovery.reads import check_store
from wisteriarock.feed.const import STORE_CHECK_TIMEOUT_MS
from wisteriastandins.users.slow_link import SlowLink

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import (
    Deployment,
    another_instance,
    deployment,
    operator_configuration,
    wait_until,
)

# The slowest link of a machine, and a configuration that takes 0.8 s over it.
LINK_BITS_PER_S = 10_000_000
CONFIGURATION_BYTES = 720_000
# Calls that an instance repeats are given up by then.
CALLS_MAX = 30


def large_configuration(version: int) -> dict[str, object]:
    """Return a configuration whose transfer takes longer than any wait for the store's reply."""
    return operator_configuration(version, notes="x" * CONFIGURATION_BYTES)


@contextlib.asynccontextmanager
async def slow_link(running: Deployment, bits_per_s: float) -> AsyncIterator[SlowLink]:
    """Start a slow link to the store of a deployment."""
    link = SlowLink(running.store.port, bits_per_s)
    await link.start()
    try:
        yield link
    finally:
        await link.stop()


async def test_instance_starts_with_a_large_configuration():
    """Guards against instances that never serve again after a restart, review/6.

    A whole page of a listing had 600 ms, and its bytes were dropped after that.
    """
    async with deployment() as running, slow_link(running, LINK_BITS_PER_S) as link:
        running.store.put("op/config", large_configuration(4))
        async with another_instance(running, "front-2", link.port) as instance:
            calls = running.store.calls
            await wait_until(lambda: instance.discovery.is_loaded or len(calls) > CALLS_MAX)
            assert instance.discovery.is_loaded
            assert instance.catalog.configuration is not None
            assert instance.catalog.configuration.version == 4


async def test_large_change_after_an_outage_is_applied():
    """Guards against an old configuration that stays in force after an outage, review/6.

    The first watch after a failure had 501 ms in all.
    """
    async with deployment(store_bits_per_s=LINK_BITS_PER_S) as running:
        discovery, calls = running.instance.discovery, running.store.calls
        running.store.mode = "busy"
        await wait_until(lambda: discovery.is_store_down)
        running.store.put("op/config", large_configuration(4))
        calls.clear()
        running.store.mode = "ok"
        catalog = running.instance.catalog
        await wait_until(
            lambda: catalog.configuration.version == 4 or calls.count("/api/kv-watch") > CALLS_MAX
        )
        assert catalog.configuration is not None and catalog.configuration.version == 4


async def test_store_that_is_sending_is_not_silent():
    """Guards against an instance that takes itself for cut off while it receives a large reply.

    The reply to a check waits behind the large one on the link of the machine.
    """
    async with deployment(store_bits_per_s=LINK_BITS_PER_S / 4) as running:
        discovery = running.instance.discovery
        data_at_ms = discovery.client.data_at_ms
        running.store.put("op/config", large_configuration(4))
        await wait_until(lambda: discovery.client.data_at_ms > data_at_ms)
        assert await check_store(discovery, STORE_CHECK_TIMEOUT_MS)
        assert not discovery.is_store_silent


load_tests = function_suite(globals())
