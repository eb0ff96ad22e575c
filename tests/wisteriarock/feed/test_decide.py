"""Tests of relay answers, the choice of relays and the number of instances."""

import json
import zlib

from wisteriarock.feed.const import (
    ANSWER_MAX_BYTES,
    FEED_TIMEOUT_MS,
    FOLLOWER_TIMEOUT_MS,
    HISTORY_MAX_BYTES,
    HISTORY_MAX_CHANGES,
    INSTANCE_COUNT_TTL_MS,
    RELAY_KEY_PREFIX,
)
from wisteriarock.feed.decide import (
    accept_gatherers,
    apply_relay_item,
    changes_after,
    choose_relays,
    count_gatherers,
    count_instances,
    count_own_zone_instances,
    decode_answer,
    encode_answer,
    encode_relay_value,
    encoded_changes,
    has_live_feed,
    is_root,
    record_changes,
    reset_history,
    standby_answer,
    update_gatherers,
)
from wisteriarock.feed.models import FeedState
from wisteriarock.gathering.models import FanOutShape, Gatherer
from wisteriarock.store.models import Item

from tests.common import function_suite
from tests.wisteriarock.samples import at


def _make_item(revision: int, value: bytes | None = b"v") -> Item:
    return Item(f"key-{revision}", value, at(revision))


def _add_relay(state: FeedState, zone: str, instances: int, now_ms: float = 0.0) -> None:
    value = encode_relay_value(f"front-{zone}", "10.0.0.1", 7_380, instances)
    apply_relay_item(state, Item(RELAY_KEY_PREFIX + zone, value, at(5)), now_ms)


def test_changes_of_two_sources_are_applied_once():
    """Guards against a change applied twice, or lost, when two relays deliver it."""
    state = FeedState()
    reset_history(state, at(10))
    assert [
        item.position.revision
        for item in record_changes(state, [_make_item(11), _make_item(12)], at(12))
    ] == [11, 12]
    assert [
        item.position.revision
        for item in record_changes(state, [_make_item(11), _make_item(12), _make_item(13)], at(13))
    ] == [13]
    assert record_changes(state, [_make_item(12)], at(12)) == []
    assert state.position.revision == 13


def test_answer_round_trip():
    """Guards against values or removals that are altered between instances."""
    state = FeedState()
    reset_history(state, at(10))
    record_changes(state, [_make_item(11, b"\x00\xff"), _make_item(12, None)], at(14))
    answer = changes_after(state, at(10), 20.0, 30.0)
    assert answer is not None
    decoded = decode_answer(encode_answer(answer))
    assert decoded is not None
    items, fields = decoded
    assert items == [_make_item(11, b"\x00\xff"), _make_item(12, None)]
    assert (fields["revision"], fields["store_age_ms"], fields["calm_ms"]) == (14, 20.0, 30.0)
    for malformed in (b"", b"{}", b"[]", b'{"changes": [1]}', b"\xff"):
        assert decode_answer(malformed) is None
        assert decode_answer(zlib.compress(malformed)) is None
    non_latin = json.dumps(
        {"revision": 1, "store_age_ms": 0, "calm_ms": 0, "changes": [["k", "\u0142", 1]]}
    )
    assert decode_answer(zlib.compress(non_latin.encode())) is None


def test_oversized_answer_is_not_decompressed():
    """Guards against a small answer that decompresses to more than the memory of an instance."""
    huge = zlib.compress(b" " * (ANSWER_MAX_BYTES + 1) + b"{}", 9)
    assert len(huge) < 100_000
    assert decode_answer(huge) is None


def test_standby_answer_carries_no_changes():
    """Guards against sending every change across zones although the local zone's relay has it."""
    state = FeedState()
    reset_history(state, at(10))
    record_changes(state, [_make_item(11, b"v" * 100_000)], at(11))
    body = encode_answer(standby_answer(state, 1.0, 2.0))
    assert len(body) < 200
    decoded = decode_answer(body)
    assert decoded is not None and decoded[0] is None and decoded[1]["revision"] == 11


def test_concurrent_followers_share_an_encoded_answer():
    """Guards against a relay that encodes a large configuration once for each follower."""
    state = FeedState()
    reset_history(state, at(10))
    record_changes(state, [_make_item(11)], at(11))
    first = encoded_changes(state, at(10), 0.0, 0.0, 1_000.0)
    assert encoded_changes(state, at(10), 0.0, 0.0, 1_010.0) is first
    record_changes(state, [_make_item(12)], at(12))
    decoded = decode_answer(encoded_changes(state, at(10), 0.0, 0.0, 1_011.0) or b"")
    assert decoded is not None and decoded[0] == [_make_item(11), _make_item(12)]
    assert encoded_changes(state, at(9), 0.0, 0.0, 1_011.0) is None


def test_changes_before_the_history_are_refused():
    """Guards against a follower that misses changes because the relay started later."""
    state = FeedState()
    reset_history(state, at(10))
    assert changes_after(state, at(9), 0.0, 0.0) is None
    record_changes(
        state, [_make_item(revision) for revision in range(11, 12 + HISTORY_MAX_CHANGES)], at(5_000)
    )
    assert changes_after(state, at(10), 0.0, 0.0) is None
    answer = changes_after(state, at(11), 0.0, 0.0)
    assert answer is not None and len(answer["changes"]) == HISTORY_MAX_CHANGES


def test_history_of_large_values_is_bounded():
    """Guards against a relay running out of memory when large versions follow quickly."""
    state = FeedState()
    reset_history(state, at(0))
    for revision in range(1, 41):
        record_changes(state, [_make_item(revision, b"c" * 200_000)], at(revision))
    value_bytes = sum(len(item.value or b"") for item in state.history)
    assert value_bytes <= HISTORY_MAX_BYTES
    start = state.history_start
    assert changes_after(state, start, 0.0, 0.0) is not None
    assert changes_after(state, at(start.revision - 1), 0.0, 0.0) is None


def test_relays_of_own_and_next_zone_are_followed():
    """Guards against all instances following one relay, or an instance following itself."""
    state = FeedState()
    for zone in ("a", "b", "c"):
        _add_relay(state, zone, 3)
    assert [relay.zone for relay in choose_relays(state, "a", "me")] == ["a", "b"]
    assert [relay.zone for relay in choose_relays(state, "c", "me")] == ["c", "a"]
    assert [relay.zone for relay in choose_relays(state, "a", "front-a")] == ["b"]
    apply_relay_item(state, Item(RELAY_KEY_PREFIX + "b", None, at(9)), 0.0)
    assert [relay.zone for relay in choose_relays(state, "a", "me")] == ["a", "c"]
    apply_relay_item(state, Item(RELAY_KEY_PREFIX + "c", b"not json", at(9)), 0.0)
    assert [relay.zone for relay in choose_relays(state, "a", "me")] == ["a"]


def test_number_of_instances_is_not_underestimated():
    """Guards against many instances that each use the budget share of a few."""
    state = FeedState()
    assert count_instances(state, 0.0) is None
    _add_relay(state, "a", 3)
    assert count_instances(state, 0.0) == 3
    # A new relay that does not know its followers yet makes the total unknown.
    _add_relay(state, "b", 0)
    assert count_instances(state, 0.0) is None
    _add_relay(state, "b", 2)
    assert count_instances(state, 0.0) == 5


def test_count_of_a_zone_without_relay_expires():
    """Guards against instance budgets that grow because a relay was killed."""
    state = FeedState()
    _add_relay(state, "a", 3)
    _add_relay(state, "b", 3)
    count_instances(state, 0.0)
    apply_relay_item(state, Item(RELAY_KEY_PREFIX + "b", None, at(9)), 0.0)
    assert count_instances(state, 1_000.0) == 6
    assert count_instances(state, INSTANCE_COUNT_TTL_MS + 1_000) == 3


def test_feed_ends_as_soon_as_every_relay_refuses():
    """Guards against waiting for relays that are cut off from the store."""
    state = FeedState()
    assert not has_live_feed(state, 0.0)
    state.relay_answered_at_ms = {0: 0.0, 1: 0.0}
    assert has_live_feed(state, 1_000.0)
    state.relay_answered_at_ms.pop(0)
    assert has_live_feed(state, 1_000.0)
    state.relay_answered_at_ms.pop(1)
    assert not has_live_feed(state, 1_000.0)
    state.relay_answered_at_ms = {0: 0.0}
    assert not has_live_feed(state, FEED_TIMEOUT_MS)
    state.relay_answered_at_ms, state.lease = {0: 0.0}, 5
    assert not has_live_feed(state, 10.0)


def test_relay_counts_its_followers():
    """Guards against counting instances that left, and against a new relay counting none."""
    state = FeedState()
    _add_relay(state, "a", 4)
    state.lease, state.relay_since_ms = 7, 0.0
    assert count_own_zone_instances(state, "a", 100.0) == 4
    state.followers = {"f1": 0.0, "f2": FOLLOWER_TIMEOUT_MS}
    assert count_own_zone_instances(state, "a", FOLLOWER_TIMEOUT_MS + 1) == 2


def test_relays_follow_the_root():
    """Guards against a watch of the store by the relay of each zone, and against a circle."""
    state = FeedState("zone-b")
    for zone in ("zone-a", "zone-b", "zone-c"):
        _add_relay(state, zone, 4)
    assert not is_root(state)
    state.lease = 7
    assert [relay.zone for relay in choose_relays(state, "zone-b", "front-zone-b")] == ["zone-a"]
    state.relay_answered_at_ms[0] = 1_000.0
    assert has_live_feed(state, 1_200.0)
    assert not has_live_feed(state, 1_000.0 + FEED_TIMEOUT_MS)
    del state.relays["zone-a"]
    assert is_root(state) and not has_live_feed(state, 1_200.0)
    assert choose_relays(state, "zone-b", "front-zone-b") == []


def test_new_relay_counts_itself_before_its_registration_arrives():
    """Guards against two new relays that follow each other, so that none watches the store."""
    state = FeedState("zone-a")
    state.lease = 7
    _add_relay(state, "zone-b", 4)
    assert is_root(state) and choose_relays(state, "zone-a", "front-zone-a") == []


def test_gatherers_pass_from_the_relay_to_its_zone():
    """Guards against gatherers of another zone, and against an incomplete choice by a new relay."""
    relay, follower = FeedState("zone-a"), FeedState("zone-a")
    relay.lease, relay.relay_since_ms = 7, 0.0
    own = Gatherer("front-1", "10.0.0.1", 7_380, 1.0)
    shape = FanOutShape(87, 120)
    update_gatherers(relay, own, shape, 195, FOLLOWER_TIMEOUT_MS - 1)
    assert relay.gatherers is None
    update_gatherers(relay, own, shape, 195, FOLLOWER_TIMEOUT_MS + 1)
    assert relay.gatherers == (own,)
    answer = changes_after(relay, at(0), 0.0, 0.0)
    assert answer is not None
    decoded = decode_answer(encode_answer(answer))
    assert decoded is not None and accept_gatherers(follower, decoded[1])
    assert follower.gatherers == (own,)
    other_zone = FeedState("zone-b")
    assert accept_gatherers(other_zone, decoded[1]) and other_zone.gatherers is None
    malformed = decoded[1] | {"gatherers": [["front-1"]]}
    assert not accept_gatherers(follower, malformed)


def test_gatherers_are_counted_over_all_zones():
    """Guards against budget shares for fewer gatherers than there are."""
    state = FeedState("zone-a")
    value = encode_relay_value("front-a", "10.0.0.1", 7_380, 40, 3)
    apply_relay_item(state, Item(RELAY_KEY_PREFIX + "zone-a", value, at(5)), 0.0)
    _add_relay(state, "zone-b", 2)
    assert count_instances(state, 0.0) == 42
    assert count_gatherers(state, 0.0) == 5


load_tests = function_suite(globals())
