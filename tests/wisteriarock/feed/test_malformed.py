"""Tests of malformed registrations of relays and malformed messages between instances."""

import json
import zlib

from wisteriarock.feed.const import RELAY_KEY_PREFIX
from wisteriarock.feed.decide import apply_relay_item, changes_after, decode_answer, encode_answer
from wisteriarock.feed.models import FeedState
from wisteriarock.gathering.decide import (
    decode_fragment_answer,
    decode_fragment_request,
    decode_gatherers,
)
from wisteriarock.store.models import Item

from tests.common import function_suite
from tests.wisteriarock.samples import at

NESTED_TEXT = b"[" * 100_000


def test_malformed_registrations_name_no_relay():
    """Guards against an exception, or a connect call that raises, at a registration."""
    valid = {"instance": "front-1", "address": "10.1.0.9:7380", "instances": 3, "gatherers": 0}
    texts = [json.dumps({**valid, "address": "10.1.0.9:99999"}).encode()]
    texts += [json.dumps({**valid, "address": "front.example:7380"}).encode()]
    texts += [json.dumps({**valid, "instance": "front \ud83d"}).encode()]
    texts += [json.dumps({**valid, "instance": "front\r\nX: 1"}).encode()]
    texts += [json.dumps({**valid, "instances": float("inf")}).encode()]
    texts += [NESTED_TEXT, b"\xff", b"[]", b"7"]
    for text in texts:
        state = FeedState("zone-a")
        assert apply_relay_item(state, Item(RELAY_KEY_PREFIX + "zone-a", text, at(5)), 0.0)
        assert state.relays == {}, text[:80]
    state = FeedState("zone-a")
    item = Item(RELAY_KEY_PREFIX + "zone-a", json.dumps(valid).encode(), at(5))
    assert apply_relay_item(state, item, 0.0)
    assert state.relays["zone-a"].port == 7380


def test_malformed_answers_of_relays_are_refused():
    """Guards against an exception that ends the task of a follower."""
    answer = changes_after(FeedState(), at(0), 1.0, 1.0)
    assert answer is not None
    assert decode_answer(encode_answer(answer)) is not None
    for field in ("era", "revision", "store_age_ms", "calm_ms"):
        text = json.dumps({**answer, field: "NUMBER"})
        for number in ("Infinity", "9" * 400, "9" * 5_000, "null"):
            spoilt = text.replace('"NUMBER"', number).encode()
            decoded = decode_answer(zlib.compress(spoilt))
            assert decoded is None or isinstance(decoded[1]["revision"], int)
    assert decode_answer(zlib.compress(NESTED_TEXT)) is None


def test_malformed_gatherers_are_refused():
    """Guards against a connect call that raises when a fragment is sent."""
    for row in (
        ["front-1", "10.1.0.9:99999", 1.0],
        ["front-1", "front.example:7380", 1.0],
        ["front-1", "10.1.0.9:7380", float("inf")],
        ["front-1", "10.1.0.9:7380", float("nan")],
        ["front-1", "10.1.0.9:7380", None],
        ["front \ud83d", "10.1.0.9:7380", 1.0],
        ["front-1"],
        7,
    ):
        try:
            decode_gatherers([row])
        except (ValueError, TypeError):
            continue
        raise AssertionError(f"{row} was accepted")


def test_malformed_fragments_are_refused():
    """Guards against an exception that closes the connection between two instances."""
    assert decode_fragment_request(NESTED_TEXT) is None
    assert decode_fragment_answer(NESTED_TEXT) is None


load_tests = function_suite(globals())
