"""Tests of what an instance does with an older copy that the store has come back from."""

import json

from wisteriarock.discovery.changes import (
    apply_changes,
    apply_feed_answer,
    apply_returned_copy,
    drop_lapsed_endpoints,
    end_unconfirmed_evacuations,
)
from wisteriarock.discovery.const import LAPSE_GRACE_MS, RETURN_SETTLE_MS
from wisteriarock.discovery.state import DiscoveryState
from wisteriarock.feed.decide import changes_after, decode_answer, encode_answer, parse_position
from wisteriarock.store.models import Item, Position

from tests.common import function_suite
from tests.wisteriarock.discovery.test_changes import ENTRY, make_state
from tests.wisteriarock.samples import at

EVACUATION = "op/evacuate/zone-a"


def _entry(name: str, position: Position, **changes: object) -> Item:
    return Item(f"servers/{name}", json.dumps({**ENTRY, **changes}).encode(), position)


def _listed(state: DiscoveryState) -> list[str]:
    """Return the endpoints that may get requests."""
    return [each.endpoint_id for each in state.directory.by_service.get("shard-0", ())]


def _return(state: DiscoveryState, *items: Item) -> None:
    apply_returned_copy(state, list(items), Position(1, 8), 8)


def test_revisions_of_former_eras_are_not_compared():
    """Guards against changes that are dropped because their revision was known before."""
    state, _ = make_state()
    _return(state)
    apply_changes(state, [_entry("e1", Position(1, 9))], Position(1, 9))
    assert _listed(state) == ["e1"]
    apply_changes(state, [_entry("late", at(99))], at(99))
    assert _listed(state) == ["e1"] and state.feed.position == Position(1, 9)


def test_endpoint_that_the_copy_lacks_is_used_for_a_while():
    """Guards against endpoints that get no requests until they have written their entry again."""
    state, loop = make_state()
    apply_changes(state, [_entry("back", at(11)), _entry("gone", at(12))], at(12))
    _return(state)
    assert _listed(state) == ["back", "gone"]
    loop.run_until_ms(LAPSE_GRACE_MS / 2)
    apply_changes(state, [_entry("back", Position(1, 9))], Position(1, 9))
    loop.run_until_ms(LAPSE_GRACE_MS + 1)
    drop_lapsed_endpoints(state)
    assert _listed(state) == ["back"]


def test_endpoint_that_drains_or_has_left_is_not_used_again():
    """Guards against requests to an endpoint that a copy still shows as ready."""
    state, _ = make_state()
    entries = [_entry("drains", at(11)), _entry("left", at(11)), _entry("again", at(11), born=5)]
    apply_changes(state, entries, at(11))
    removed = [Item("servers/left", None, at(13)), Item("servers/again", None, at(13))]
    apply_changes(state, [_entry("drains", at(12), state="draining"), *removed], at(13))
    assert _listed(state) == []
    _return(
        state,
        _entry("drains", Position(1, 6)),
        _entry("left", Position(1, 7)),
        _entry("again", Position(1, 8), born=5),
    )
    assert _listed(state) == []
    # What is written after the return counts.
    started_anew = _entry("again", Position(1, 9), born=9)
    apply_changes(state, [started_anew, _entry("drains", Position(1, 10))], Position(1, 10))
    assert _listed(state) == ["again", "drains"]


def test_former_process_of_an_endpoint_is_not_used():
    """Guards against an address that the endpoint had before it was started again."""
    state, _ = make_state()
    apply_changes(state, [_entry("e1", at(11), born=9, address="10.0.0.2:8000")], at(11))
    _return(state, _entry("e1", Position(1, 7), born=5))
    assert state.directory.by_id["e1"].host == "10.0.0.2"


def test_evacuation_that_the_copy_lacks_is_obeyed_for_a_while():
    """Guards against requests to an evacuated zone before the operator has written it again."""
    for is_written_again in (True, False):
        state, loop = make_state()
        apply_changes(state, [_entry("e1", at(11)), Item(EVACUATION, b"{}", at(12))], at(12))
        _return(state, _entry("e1", Position(1, 7)))
        assert _listed(state) == []
        if is_written_again:
            apply_changes(state, [Item(EVACUATION, b"{}", Position(1, 9))], Position(1, 9))
        loop.run_until_ms(RETURN_SETTLE_MS + 1)
        end_unconfirmed_evacuations(state)
        assert _listed(state) == ([] if is_written_again else ["e1"])


def test_evacuation_that_has_ended_is_not_begun_again():
    """Guards against an evacuation that only the copy shows."""
    state, _ = make_state()
    apply_changes(state, [_entry("e1", at(11)), Item(EVACUATION, b"{}", at(11))], at(11))
    apply_changes(state, [Item(EVACUATION, None, at(12))], at(12))
    _return(state, _entry("e1", Position(1, 7)), Item(EVACUATION, b"{}", Position(1, 8)))
    assert _listed(state) == ["e1"]
    apply_changes(state, [Item(EVACUATION, b"{}", Position(1, 9))], Position(1, 9))
    assert _listed(state) == []


def test_follower_of_a_former_era_gets_everything():
    """Guards against a follower that keeps what its relay never knew, or takes a copy for news."""
    relay, _ = make_state()
    follower, loop = make_state()
    apply_changes(relay, [_entry("shared", at(11)), Item(EVACUATION, b"{}", at(12))], at(12))
    items = [_entry("shared", at(11)), _entry("ahead", at(13))]
    apply_changes(follower, [*items, Item(EVACUATION, b"{}", at(14))], at(14))
    _return(relay, _entry("shared", Position(1, 7)))
    apply_changes(relay, [_entry("new", Position(1, 9))], Position(1, 9))
    answer = changes_after(relay.feed, follower.feed.position, 0.0, 60_000.0)
    assert answer is not None and answer["is_full"]
    decoded = decode_answer(encode_answer(answer))
    assert decoded is not None and decoded[0] is not None
    apply_feed_answer(follower, decoded[0], decoded[1])
    assert follower.feed.position == Position(1, 9)
    assert set(follower.directory.by_id) == {"shared", "ahead", "new"}
    assert _listed(follower) == []
    loop.run_until_ms(RETURN_SETTLE_MS + 1)
    drop_lapsed_endpoints(follower)
    end_unconfirmed_evacuations(follower)
    assert sorted(_listed(follower)) == ["new", "shared"]
    assert changes_after(relay.feed, Position(1, 9), 0.0, 0.0)["changes"] == []


def test_relay_that_started_after_the_return_cannot_list_everything():
    """Guards against a follower that takes a part of the store for all of it."""
    state, _ = make_state()
    state.feed.history_start = state.feed.position = Position(1, 8)
    assert changes_after(state.feed, at(99), 0.0, 0.0) is None


def test_positions_of_followers_are_checked():
    """Guards against an exception at a malformed call of a follower."""
    assert parse_position("3.120", 4) == Position(3, 120)
    assert parse_position("120", 4) == Position(4, 120)
    huge = "9" * 400
    for text in ("", ".", "1.", ".1", "-1.2", "1.2.3", "x", "1.x", "\u0661", huge, "1." + huge):
        assert parse_position(text, 4) is None, text


load_tests = function_suite(globals())
