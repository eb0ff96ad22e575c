"""Tests of the lane of calls to the store."""

import asyncio

from wisteriaplatform.store import STORE_FORMAT
from wisteriarock.http.models import Reply
from wisteriarock.observability.counters import Counters
from wisteriarock.store.client import StoreClient
from wisteriarock.store.models import StoreError, StoreErrorKind
from wisteriastandins.users.store_server import StoreServer

from tests.common import function_suite


async def test_calls_at_the_same_time_wait_for_each_other():
    """Guards against a stop that fails because a lease is being renewed at that moment.

    Found on popravka-search trouble-3: the release of the lease met its renewal on the same
    connection, the instance ended at once, and a running request was cut.
    """
    loop = asyncio.get_running_loop()
    store = StoreServer(loop)
    await store.start()
    store.put("op/config", {"version": 1})
    client = StoreClient(loop, "127.0.0.1", store.port, STORE_FORMAT.classify, Counters())
    call = STORE_FORMAT.encode_read("op/config", False)
    # The calls meet on a connection that is open already.
    assert isinstance(await client.call(call, 5_000.0), Reply)
    outcomes = await asyncio.gather(*(client.call(call, 5_000.0) for _ in range(3)))
    assert all(isinstance(outcome, Reply) for outcome in outcomes)
    await store.stop()


async def test_lost_reply_closes_the_connection():
    """Guards against a late reply being taken for the reply to the next call."""
    loop = asyncio.get_running_loop()
    store = StoreServer(loop)
    await store.start()
    store.put("op/config", {"version": 1})
    client = StoreClient(loop, "127.0.0.1", store.port, STORE_FORMAT.classify, Counters())
    store.mode = "silent"
    lost = await client.call(STORE_FORMAT.encode_read("op/config", False), 30.0)
    assert isinstance(lost, StoreError) and lost.kind is StoreErrorKind.TIMEOUT
    assert client.link is None
    store.mode = "ok"
    assert isinstance(
        await client.call(STORE_FORMAT.encode_read("op/config", False), 5_000.0), Reply
    )
    await store.stop()


async def test_errors_have_kinds():
    """Guards against errors that cannot be told apart."""
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
    taken = await client.call(STORE_FORMAT.encode_write("key", b"2", 0, 0), 5_000.0)
    assert isinstance(taken, StoreError) and taken.kind is StoreErrorKind.CONFLICT
    await store.stop()


load_tests = function_suite(globals())
