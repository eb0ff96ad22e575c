"""Tests of the era that replies of the store name."""

import asyncio

from wisteriaplatform.store import STORE_FORMAT, decode_era
from wisteriarock.http.models import Reply
from wisteriarock.observability.counters import Counters
from wisteriarock.store.client import StoreClient
from wisteriarock.store.eras import StoreEras
from wisteriarock.store.models import StoreError, StoreErrorKind
from wisteriastandins.users.store_server import StoreServer

from tests.common import function_suite


def test_only_one_whole_number_is_an_era():
    """Guards against an exception, or a wrong era, at a header that is no era."""
    assert decode_era([]) is None
    assert decode_era([(b"STORE-era", b" 7 ")]) == 7
    for values in ([b""], [b"-1"], [b"x"], [b"1.5"], [b"9" * 400], [b"\xb2"], [b"1", b"1"]):
        assert isinstance(decode_era([(b"Store-Era", value) for value in values]), str), values


def test_eras_only_rise():
    """Guards against an instance that goes back to a former era."""
    eras, returns, reasons = StoreEras(decode_era), list[tuple[int, int]](), list[str]()
    eras.on_return = lambda former, era: returns.append((former, era))
    eras.on_invalid = reasons.append
    assert eras.observe([]) and eras.observe([(b"Store-Era", b"3")])
    assert not eras.observe([(b"Store-Era", b"2")])
    assert eras.observe([(b"Store-Era", b"nonsense")]) and len(reasons) == 1
    eras.learn(5)
    eras.learn(4)
    assert (eras.known, returns) == (5, [(0, 3), (3, 5)])


async def test_reply_of_a_former_era_is_dropped():
    """Guards against old content from a stale read, or a reply that was late."""
    loop = asyncio.get_running_loop()
    store, eras = StoreServer(loop), StoreEras(decode_era)
    await store.start()
    store.state.era = 3
    client = StoreClient(loop, "127.0.0.1", store.port, STORE_FORMAT.classify, Counters(), eras)
    call = STORE_FORMAT.encode_list("op/", "", False)
    assert isinstance(await client.call(call, 5_000.0), Reply)
    assert eras.known == 3
    eras.learn(4)
    dropped = await client.call(call, 5_000.0)
    assert isinstance(dropped, StoreError) and dropped.kind is StoreErrorKind.FORMER_ERA
    await store.stop()


load_tests = function_suite(globals())
