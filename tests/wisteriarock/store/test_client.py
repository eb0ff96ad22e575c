"""Tests of the client of the store."""

import asyncio

from wisteriaplatform.store import STORE_FORMAT
from wisteriarock.http.models import Reply
from wisteriarock.observability.counters import Counters
from wisteriarock.store.client import StoreClient
from wisteriarock.store.models import StoreError, StoreErrorKind
from wisteriastandins.users.store_server import StoreServer

from tests.common import function_suite


async def test_concurrent_calls_are_queued():
    """Guards against a shutdown that fails because a lease is being renewed at that moment.

    The release of the lease collided with its renewal on the same connection, the instance exited
    at once, and a running request was cut off.
    """
    loop = asyncio.get_running_loop()
    store = StoreServer(loop)
    await store.start()
    store.put("op/config", {"version": 1})
    client = StoreClient(loop, "127.0.0.1", store.port, STORE_FORMAT.classify, Counters())
    call = STORE_FORMAT.encode_read("op/config", False)
    # Opens the connection, so that the calls below share it.
    assert isinstance(await client.call(call, 5_000.0), Reply)
    outcomes = await asyncio.gather(*(client.call(call, 5_000.0) for _ in range(3)))
    assert all(isinstance(outcome, Reply) for outcome in outcomes)
    await store.stop()


async def test_timeout_closes_the_connection():
    """Guards against a late reply being matched to the next call."""
    loop = asyncio.get_running_loop()
    store = StoreServer(loop)
    await store.start()
    store.put("op/config", {"version": 1})
    client = StoreClient(loop, "127.0.0.1", store.port, STORE_FORMAT.classify, Counters())
    store.mode = "silent"
    timed_out = await client.call(STORE_FORMAT.encode_read("op/config", False), 30.0)
    assert isinstance(timed_out, StoreError) and timed_out.kind is StoreErrorKind.TIMEOUT
    assert client.connection is None
    store.mode = "ok"
    assert isinstance(
        await client.call(STORE_FORMAT.encode_read("op/config", False), 5_000.0), Reply
    )
    await store.stop()


async def test_failures_map_to_error_kinds():
    """Guards against failures being reported as the wrong kind."""
    loop = asyncio.get_running_loop()
    store = StoreServer(loop)
    await store.start()
    client = StoreClient(loop, "127.0.0.1", store.port, STORE_FORMAT.classify, Counters())
    missing = await client.call(STORE_FORMAT.encode_read("op/none", False), 5_000.0)
    assert isinstance(missing, StoreError) and missing.kind is StoreErrorKind.NOT_FOUND
    store.mode = "busy"
    refused = await client.call(STORE_FORMAT.encode_read("op/none", False), 5_000.0)
    assert isinstance(refused, StoreError) and refused.kind is StoreErrorKind.REFUSED
    store.mode = "ok"
    store.put("key", b"1")
    conflict = await client.call(STORE_FORMAT.encode_write("key", b"2", 0, 0), 5_000.0)
    assert isinstance(conflict, StoreError) and conflict.kind is StoreErrorKind.CONFLICT
    await store.stop()


load_tests = function_suite(globals())
