"""Tests of the query state machine."""

from wisteriarock.query.decide import on_reply, on_timer
from wisteriarock.query.models import LegOutcome, LegReply
from wisteriarock.query.state import CancelLeg

from tests.common import function_suite
from tests.wisteriarock.query.fixtures import (
    get_answer,
    make_bundle,
    make_request,
    make_shared_state,
    make_view,
    reply_to,
    sent_legs,
    start_sample_query,
    update_views,
)

A, B, C = ("a", 0, 1), ("b", 0, 1), ("c", 0, 1)
ACTIVE = make_bundle({"x": "north", "y": "east", "z": "west"}, "abc")
VIEWS = [make_view(name, {7: [A, B]}) for name in "xyz"]


def test_rows_are_merged_in_the_order_of_the_request() -> None:
    """Guards against answers that depend on the order in which replies arrive."""
    shared = make_shared_state(VIEWS, ACTIVE)
    state, actions = start_sample_query(shared, make_request("ba"), ACTIVE)
    first, second = sent_legs(actions)
    on_reply(shared, state, reply_to(second), 5)
    final_answer = get_answer(on_reply(shared, state, reply_to(first), 6))
    assert (final_answer["outcome"], final_answer["snapshot"]) == ("complete", 7)
    assert [row["shard"] for row in final_answer["rows"]] == ["b", "a"]
    assert final_answer["stats"]["legs"] == 2


def test_late_duplicate_and_mismatched_replies_are_dropped() -> None:
    """Guards against merging rows twice or rows of another request."""
    shared = make_shared_state(VIEWS, ACTIVE)
    state, actions = start_sample_query(shared, make_request("ab"), ACTIVE)
    first, second = sent_legs(actions)
    mismatched_replies: list[LegReply] = [
        reply_to(first, shard="b"),
        reply_to(first, part=1),
        reply_to(first, parts=2),
        reply_to(first, snapshot=6),
        reply_to(first, endpoint="other"),
        reply_to(first, leg_id="r.0"),
    ]
    for reply in mismatched_replies:
        assert get_answer(on_reply(shared, state, reply, 1)) is None
    on_reply(shared, state, reply_to(first), 2)
    on_reply(shared, state, reply_to(first), 3)
    final_answer = get_answer(on_reply(shared, state, reply_to(second), 4))
    assert len(final_answer["rows"]) == 2
    assert not on_reply(shared, state, reply_to(second), 5)
    assert shared.dropped == {"mismatched": 6, "duplicate": 1, "late": 1}


def test_a_hedge_wins_and_the_loser_is_cancelled() -> None:
    """Guards against stragglers that determine the latency, and against legs left running."""
    shared = make_shared_state(VIEWS, ACTIVE)
    state, actions = start_sample_query(shared, make_request("a"), ACTIVE)
    [first] = sent_legs(actions)
    [hedge] = sent_legs(on_timer(shared, state, 100))
    assert hedge["endpoint"] != first["endpoint"]
    actions = on_reply(shared, state, reply_to(hedge), 110)
    assert CancelLeg(first["leg_id"], first["endpoint"]) in actions
    assert get_answer(actions)["stats"]["hedges"] == 1
    on_reply(shared, state, reply_to(first), 111)
    assert shared.dropped == {"late": 1}


def test_a_straggling_hedge_is_hedged_once_more() -> None:
    """Guards against stragglers among hedges, and against unlimited legs for a partition."""
    shared = make_shared_state(VIEWS, ACTIVE)
    state, actions = start_sample_query(shared, make_request("a"), ACTIVE)
    tried = {leg["endpoint"] for leg in sent_legs(actions)}
    for now_ms in (100, 200):
        [leg] = sent_legs(on_timer(shared, state, now_ms))
        tried.add(leg["endpoint"])
    assert tried == {"x", "y", "z"}
    assert not sent_legs(on_timer(shared, state, 300))


def test_a_non_idempotent_leg_is_retried_only_if_it_has_not_run() -> None:
    """Guards against a booking that is run twice."""
    shared = make_shared_state(VIEWS, ACTIVE)
    state, actions = start_sample_query(shared, make_request("a", "booking"), ACTIVE)
    [first] = sent_legs(actions)
    assert not sent_legs(on_timer(shared, state, 500))
    actions = on_reply(shared, state, reply_to(first, LegOutcome.LOST), 600)
    assert not sent_legs(actions)
    assert get_answer(actions)["outcome"] == "unknown"

    state, actions = start_sample_query(shared, make_request("a", "booking"), ACTIVE)
    [first] = sent_legs(actions)
    [second] = sent_legs(on_reply(shared, state, reply_to(first, LegOutcome.REFUSED), 1))
    assert second["endpoint"] != first["endpoint"]
    final_answer = get_answer(on_reply(shared, state, reply_to(second), 2))
    assert final_answer["outcome"] == "complete"


def test_outcome_is_not_run_only_if_no_leg_may_have_run() -> None:
    """Guards against the outcome `not_run` for a request that an endpoint may have run."""
    for last, outcome in (
        (LegOutcome.NOT_SENT, "not_run"),
        (LegOutcome.SHEDDING, "not_run"),
        (LegOutcome.PEER_LOST, "unknown"),
        (None, "unknown"),
    ):
        shared = make_shared_state(VIEWS, ACTIVE)
        state, actions = start_sample_query(shared, make_request("ab"), ACTIVE)
        first, second = sent_legs(actions)
        for leg in sent_legs(on_reply(shared, state, reply_to(first, LegOutcome.REFUSED), 1)):
            for second_retry in sent_legs(
                on_reply(shared, state, reply_to(leg, LegOutcome.REFUSED), 2)
            ):
                on_reply(shared, state, reply_to(second_retry, LegOutcome.REFUSED), 3)
        shared.hedging.budget.tokens = 0
        if last is not None:
            on_reply(shared, state, reply_to(second, last), 4)
        final_answer = get_answer(on_timer(shared, state, 1_000))
        assert final_answer["outcome"] == outcome, last
        assert len(final_answer["coverage"]["missing"]) == 2


def test_a_request_that_cannot_start_reports_the_reason() -> None:
    """Guards against legs sent after the deadline, and against a misleading error."""
    for deadline_ms, views, code in ((0, VIEWS, "deadline_passed"), (9, [], "no_usable_snapshot")):
        _, actions = start_sample_query(
            make_shared_state(views, ACTIVE), make_request("a", deadline_ms=deadline_ms), ACTIVE
        )
        final_answer = get_answer(actions)
        assert not sent_legs(actions)
        assert (final_answer["outcome"], final_answer["error"]["code"]) == ("not_run", code)
        assert final_answer["retry_after_ms"] is not None


def test_a_lost_snapshot_restarts_the_query_without_mixing_rows() -> None:
    """Guards against an answer with rows of two snapshots."""
    shared = make_shared_state([make_view("x", {7: [A, B]})], ACTIVE)
    state, actions = start_sample_query(shared, make_request("ab"), ACTIVE)
    first, second = sent_legs(actions)
    on_reply(shared, state, reply_to(first), 1)
    update_views(shared, [make_view("x", {8: [A, B]})], 2)
    actions = on_reply(shared, state, reply_to(second, LegOutcome.SNAPSHOT_GONE), 2)
    new = sent_legs(actions)
    assert [leg["snapshot"] for leg in new] == [8, 8]
    on_reply(shared, state, reply_to(second), 3)
    for leg in new:
        final_answer = get_answer(on_reply(shared, state, reply_to(leg), 4))
    assert {row["snapshot"] for row in final_answer["rows"]} == {final_answer["snapshot"]} == {8}
    assert shared.dropped == {"late": 1}


def test_a_snapshot_lost_late_leaves_the_shard_missing() -> None:
    """Guards against restarts that can't finish before the deadline."""
    shared = make_shared_state([make_view("x", {7: [A, B]})], ACTIVE)
    state, actions = start_sample_query(shared, make_request("ab"), ACTIVE)
    first, second = sent_legs(actions)
    on_reply(shared, state, reply_to(first), 1)
    update_views(shared, [make_view("x", {8: [A, B]})], 2)
    final_answer = get_answer(
        on_reply(shared, state, reply_to(second, LegOutcome.SNAPSHOT_GONE), 600)
    )
    assert final_answer["outcome"] == "partial"
    assert final_answer["coverage"]["missing"] == [{"shard": "b", "reason": "snapshot_gone"}]


def test_a_non_idempotent_request_is_not_restarted() -> None:
    """Guards against running a non-idempotent request again on another snapshot."""
    shared = make_shared_state([make_view("x", {7: [A, B]})], ACTIVE)
    state, actions = start_sample_query(shared, make_request("ab", "booking"), ACTIVE)
    first, second = sent_legs(actions)
    update_views(shared, [make_view("x", {8: [A, B]})], 2)
    assert not sent_legs(on_reply(shared, state, reply_to(second, LegOutcome.SNAPSHOT_GONE), 2))
    final_answer = get_answer(on_reply(shared, state, reply_to(first), 3))
    assert (final_answer["outcome"], final_answer["snapshot"]) == ("partial", 7)


def test_early_answer_is_sent_at_the_minimum_coverage() -> None:
    """Guards against waiting for the last shard, and against answers with too little coverage."""
    shared = make_shared_state(VIEWS, ACTIVE)
    state, actions = start_sample_query(shared, make_request("ab", "early"), ACTIVE)
    first, _ = sent_legs(actions)
    assert get_answer(on_timer(shared, state, 50)) is None
    final_answer = get_answer(on_reply(shared, state, reply_to(first), 60))
    assert final_answer["coverage"]["missing"] == [{"shard": "b", "reason": "answered_early"}]


def test_the_deadline_ends_the_query_with_the_complete_shards() -> None:
    """Guards against a split shard that counts as answered after only one of its parts."""
    shared = make_shared_state([make_view("x", {7: [A, ("b", 0, 2), ("b", 1, 2)]})], ACTIVE)
    state, actions = start_sample_query(shared, make_request("abc"), ACTIVE)
    legs = sent_legs(actions)
    for leg in legs[:2]:
        on_reply(shared, state, reply_to(leg), 5)
    final_answer = get_answer(on_timer(shared, state, 1_000))
    assert final_answer["outcome"] == "partial"
    assert final_answer["coverage"] == {
        "answered": ["a"],
        "missing": [
            {"shard": "b", "reason": "deadline"},
            {"shard": "c", "reason": "no_replica"},
        ],
    }
    assert [row["shard"] for row in final_answer["rows"]] == ["a"]


load_tests = function_suite(globals())
