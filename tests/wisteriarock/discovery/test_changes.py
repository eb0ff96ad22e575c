"""Tests of following the store and applying its changes, without a store."""

import json

from wisteriaplatform.store import STORE_FORMAT
from wisteriarock.catalog.models import Catalog
from wisteriarock.discovery.changes import (
    apply_changes,
    apply_feed_answer,
    drop_lapsed_endpoints,
)
from wisteriarock.discovery.const import LAPSE_GRACE_MS
from wisteriarock.discovery.models import Directory
from wisteriarock.discovery.state import DiscoveryState
from wisteriarock.feed.decide import reset_history
from wisteriarock.feed.models import FeedAnswer, FeedState
from wisteriarock.observability.counters import Counters
from wisteriarock.store.eras import StoreEras
from wisteriarock.store.models import Item

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import operator_configuration
from tests.wisteriarock.dispatch.emulator import RecordingLog, VirtualLoop
from tests.wisteriarock.samples import at, make_rng

ENTRY = {
    "service": "shard-0",
    "address": "10.0.0.1:8000",
    "zone": "zone-a",
    "version": "v1",
    "concurrency": 2,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
}


def make_state() -> tuple[DiscoveryState, VirtualLoop]:
    """Return the state of an instance that has loaded the store up to revision 10."""
    loop = VirtualLoop()
    state = DiscoveryState(
        loop,  # type: ignore[arg-type]
        STORE_FORMAT,
        lambda: None,  # type: ignore[arg-type,return-value]
        Catalog(),
        Directory(),
        FeedState(),
        lambda changes: None,
        lambda configuration: None,
        RecordingLog(),  # type: ignore[arg-type]
        Counters(),
        make_rng(),
        StoreEras(STORE_FORMAT.decode_era),
    )
    reset_history(state.feed, at(10))
    return state, loop


def _make_entry(revision: int, **changes: object) -> Item:
    return Item("servers/e1", json.dumps({**ENTRY, **changes}).encode(), at(revision))


def make_answer(revision: int, failure_free_ms: float = 60_000.0) -> FeedAnswer:
    """Return the answer of a relay without changes."""
    return {
        "era": 0,
        "revision": revision,
        "copy_revision": 0,
        "is_full": False,
        "store_age_ms": 5.0,
        "calm_ms": failure_free_ms,
        "changes": [],
    }


def test_removed_endpoint_is_dropped_by_follower_after_failed_watch():
    """Guards against requests to an endpoint long after it left.

    A watch of the instance had failed, it followed relays from then on, and it never noticed that
    the outage of the store had ended, so the removal counted as a lapse.
    """
    state, loop = make_state()
    apply_changes(state, [_make_entry(11)], at(11))
    state.is_store_down = True
    apply_feed_answer(state, [Item("servers/e1", None, at(12))], make_answer(12))
    loop.run_until_ms(LAPSE_GRACE_MS + 1)
    drop_lapsed_endpoints(state)
    assert not state.directory.by_service["shard-0"]
    assert not state.is_store_down


def test_entry_lapsed_in_outage_seen_only_by_relay():
    """Guards against followers dropping endpoints after an outage that only the relay noticed."""
    state, loop = make_state()
    apply_changes(state, [_make_entry(11)], at(11))
    loop.run_until_ms(60_000.0)
    removal = Item("servers/e1", None, at(12))
    apply_feed_answer(state, [removal], make_answer(12, failure_free_ms=300.0))
    assert state.directory.by_service["shard-0"]
    apply_feed_answer(state, [_make_entry(13)], make_answer(13, failure_free_ms=900.0))
    loop.run_until_ms(60_000.0 + LAPSE_GRACE_MS + 1)
    drop_lapsed_endpoints(state)
    assert state.directory.by_service["shard-0"]


def test_malformed_entry_is_ignored():
    """Guards against malformed entries being used, or stopping the processing of the others."""
    for change in (
        {"service": 5},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:99999"},
        {"state": "asleep"},
        {"concurrency": "2"},
        {"concurrency": 0},
        {"seq": None},
        {"born": 1.5},
        {"born": True},
        {"zone": ""},
        {"cold_left_ms": "soon"},
    ):
        state, _ = make_state()
        apply_changes(state, [_make_entry(11, **change)], at(11))
        assert not state.directory.by_id, change
    state, _ = make_state()
    items = [Item("servers/bad", b"\xff\x00", at(11)), _make_entry(12)]
    apply_changes(state, items, at(12))
    assert list(state.directory.by_id) == ["e1"]


def test_configuration_and_entries_in_one_batch():
    """Guards against a change of the configuration being handled as an entry."""
    state, _ = make_state()
    value = json.dumps(operator_configuration(4)).encode()
    apply_changes(state, [Item("op/config", value, at(11)), _make_entry(12)], at(12))
    assert state.catalog.configuration is not None and state.catalog.configuration.version == 4
    assert list(state.directory.by_id) == ["e1"]


load_tests = function_suite(globals())
