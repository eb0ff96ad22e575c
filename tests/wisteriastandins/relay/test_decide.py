"""Tests of release times and byte limits of a link."""

import random

from hypothesis import given
from hypothesis import strategies as st
from wisteriastandins.relay.decide import control_error, enqueue, pop_due
from wisteriastandins.relay.models import Action, LinkControl, LinkState, Pipe

from tests.common import function_suite


@given(st.lists(st.tuples(st.integers(0, 20), st.binary(min_size=1, max_size=4))), st.integers())
def test_order_is_kept_and_no_chunk_is_early(chunks: list[tuple[int, bytes]], seed: int) -> None:
    """Guards against jitter that reorders the chunks of a stream."""
    link, pipe = LinkState(5, 10, random.Random(seed)), Pipe()
    now_ms = 0
    for gap_ms, data in chunks:
        now_ms += gap_ms
        enqueue(pipe, link, data, now_ms)
        assert now_ms + 5 <= pipe.last_release_ms <= now_ms + 15
    enqueue(pipe, link, b"", now_ms)
    taken, ended = b"", False
    for tick_ms in range(now_ms + 20):
        data, ended = pop_due(pipe, tick_ms)
        taken += data
    assert taken == b"".join(data for _, data in chunks)
    assert ended or not pipe.queue
    assert pipe.queued_bytes == 0


def test_the_byte_limit_cuts_within_a_chunk() -> None:
    """Guards against forwarding bytes beyond the limit."""
    link, pipe = LinkState(0, 0, random.Random(1)), Pipe(bytes_left=5)
    for data in (b"abc", b"def"):
        enqueue(pipe, link, data, 0)
    assert pop_due(pipe, 0) == (b"abcde", False)
    assert pipe.bytes_left == 0


def test_a_lost_chunk_holds_up_the_next() -> None:
    """Guards against a lost chunk that is overtaken by a later one."""
    link, pipe = LinkState(5, 0, random.Random(1), loss_share=1), Pipe()
    enqueue(pipe, link, b"a", 0)
    link.loss_share = 0
    enqueue(pipe, link, b"b", 100)
    assert [at_ms for at_ms, _ in pipe.queue] == [205, 205]


def test_actions_need_their_fields() -> None:
    """Guards against accepting an action that lacks its fields and has no effect."""
    assert control_error(LinkControl(match="*", action=Action.DELAY, delay_ms=1)) == "jitter_ms"
    assert control_error(LinkControl(match="*", action=Action.CUT_AFTER_BYTES)) == "bytes"
    assert control_error(LinkControl(match="*", action=Action.CUT)) is None


load_tests = function_suite(globals())
