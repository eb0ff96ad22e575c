"""Tests of the query state machine."""

from wisteriarock.query.decide import on_reply, on_timer
from wisteriarock.query.models import LegOutcome, LegReply
from wisteriarock.query.state import CancelLeg

from tests.common import function_suite
from tests.wisteriarock.query.fixtures import (
    answer,
    begin,
    make_bundle,
    make_request,
    make_shared_state,
    make_view,
    reply_to,
    see,
    sent,
)

A, B, C = ("a", 0, 1), ("b", 0, 1), ("c", 0, 1)
ACTIVE = make_bundle({"x": "north", "y": "east", "z": "west"}, "abc")
VIEWS = [make_view(name, {7: [A, B]}) for name in "xyz"]


def test_rows_are_merged_in_the_order_of_the_request() -> None:
    """Guards against answers that depend on the order in which replies arrive."""
    made = make_shared_state(VIEWS, ACTIVE)
    state, actions = begin(made, make_request("ba"), ACTIVE)
    first, second = sent(actions)
    on_reply(made, state, reply_to(second), 5)
    done = answer(on_reply(made, state, reply_to(first), 6))
    assert (done["outcome"], done["snapshot"]) == ("complete", 7)
    assert [row["shard"] for row in done["rows"]] == ["b", "a"]
    assert done["stats"]["legs"] == 2


def test_late_duplicate_and_mismatched_replies_are_dropped() -> None:
    """Guards against rows that were counted twice or belong to another request."""
    made = make_shared_state(VIEWS, ACTIVE)
    state, actions = begin(made, make_request("ab"), ACTIVE)
    first, second = sent(actions)
    crossed: list[LegReply] = [
        reply_to(first, shard="b"),
        reply_to(first, part=1),
        reply_to(first, parts=2),
        reply_to(first, snapshot=6),
        reply_to(first, endpoint="other"),
        reply_to(first, leg_id="r.0"),
    ]
    for reply in crossed:
        assert answer(on_reply(made, state, reply, 1)) is None
    on_reply(made, state, reply_to(first), 2)
    on_reply(made, state, reply_to(first), 3)
    done = answer(on_reply(made, state, reply_to(second), 4))
    assert len(done["rows"]) == 2
    assert not on_reply(made, state, reply_to(second), 5)
    assert made.dropped == {"mismatched": 6, "duplicate": 1, "late": 1}


def test_a_hedge_wins_and_the_loser_is_cancelled() -> None:
    """Guards against stragglers that decide the latency, and against legs left running."""
    made = make_shared_state(VIEWS, ACTIVE)
    state, actions = begin(made, make_request("a"), ACTIVE)
    [first] = sent(actions)
    [hedge] = sent(on_timer(made, state, 100))
    assert hedge["endpoint"] != first["endpoint"]
    actions = on_reply(made, state, reply_to(hedge), 110)
    assert CancelLeg(first["leg_id"], first["endpoint"]) in actions
    assert answer(actions)["stats"]["hedges"] == 1
    on_reply(made, state, reply_to(first), 111)
    assert made.dropped == {"late": 1}


def test_a_hedge_that_straggles_is_hedged_too_and_a_third_leg_never() -> None:
    """Guards against stragglers among hedges, and against ever more legs for a partition."""
    made = make_shared_state(VIEWS, ACTIVE)
    state, actions = begin(made, make_request("a"), ACTIVE)
    tried = {leg["endpoint"] for leg in sent(actions)}
    for now_ms in (100, 200):
        [leg] = sent(on_timer(made, state, now_ms))
        tried.add(leg["endpoint"])
    assert tried == {"x", "y", "z"}
    assert not sent(on_timer(made, state, 300))


def test_a_leg_that_may_have_run_is_not_sent_again_unless_it_may_be() -> None:
    """Guards against a booking that is run twice."""
    made = make_shared_state(VIEWS, ACTIVE)
    state, actions = begin(made, make_request("a", "booking"), ACTIVE)
    [first] = sent(actions)
    assert not sent(on_timer(made, state, 500))
    actions = on_reply(made, state, reply_to(first, LegOutcome.LOST), 600)
    assert not sent(actions)
    assert answer(actions)["outcome"] == "unknown"

    state, actions = begin(made, make_request("a", "booking"), ACTIVE)
    [first] = sent(actions)
    [second] = sent(on_reply(made, state, reply_to(first, LegOutcome.REFUSED), 1))
    assert second["endpoint"] != first["endpoint"]
    done = answer(on_reply(made, state, reply_to(second), 2))
    assert done["outcome"] == "complete"


def test_not_run_only_when_each_leg_says_so() -> None:
    """Guards against "not run" for a request that an endpoint may have run."""
    for last, outcome in (
        (LegOutcome.NOT_SENT, "not_run"),
        (LegOutcome.SHEDDING, "not_run"),
        (LegOutcome.PEER_LOST, "unknown"),
        (None, "unknown"),
    ):
        made = make_shared_state(VIEWS, ACTIVE)
        state, actions = begin(made, make_request("ab"), ACTIVE)
        first, second = sent(actions)
        for leg in sent(on_reply(made, state, reply_to(first, LegOutcome.REFUSED), 1)):
            for again in sent(on_reply(made, state, reply_to(leg, LegOutcome.REFUSED), 2)):
                on_reply(made, state, reply_to(again, LegOutcome.REFUSED), 3)
        made.hedging.budget.tokens = 0
        if last is not None:
            on_reply(made, state, reply_to(second, last), 4)
        done = answer(on_timer(made, state, 1_000))
        assert done["outcome"] == outcome, last
        assert len(done["coverage"]["missing"]) == 2


def test_a_request_that_can_not_start_says_why() -> None:
    """Guards against legs sent after the deadline, and against a misleading error."""
    for deadline_ms, views, code in ((0, VIEWS, "deadline_passed"), (9, [], "no_usable_snapshot")):
        _, actions = begin(
            make_shared_state(views, ACTIVE), make_request("a", deadline_ms=deadline_ms), ACTIVE
        )
        done = answer(actions)
        assert not sent(actions)
        assert (done["outcome"], done["error"]["code"]) == ("not_run", code)
        assert done["retry_after_ms"] is not None


def test_a_lost_snapshot_restarts_the_query_and_never_mixes() -> None:
    """Guards against an answer with rows of two snapshots."""
    made = make_shared_state([make_view("x", {7: [A, B]})], ACTIVE)
    state, actions = begin(made, make_request("ab"), ACTIVE)
    first, second = sent(actions)
    on_reply(made, state, reply_to(first), 1)
    see(made, [make_view("x", {8: [A, B]})], 2)
    actions = on_reply(made, state, reply_to(second, LegOutcome.SNAPSHOT_GONE), 2)
    new = sent(actions)
    assert [leg["snapshot"] for leg in new] == [8, 8]
    on_reply(made, state, reply_to(second), 3)
    for leg in new:
        done = answer(on_reply(made, state, reply_to(leg), 4))
    assert {row["snapshot"] for row in done["rows"]} == {done["snapshot"]} == {8}
    assert made.dropped == {"late": 1}


def test_late_in_the_query_a_lost_snapshot_leaves_the_shard_missing() -> None:
    """Guards against restarts that can't end before the deadline."""
    made = make_shared_state([make_view("x", {7: [A, B]})], ACTIVE)
    state, actions = begin(made, make_request("ab"), ACTIVE)
    first, second = sent(actions)
    on_reply(made, state, reply_to(first), 1)
    see(made, [make_view("x", {8: [A, B]})], 2)
    done = answer(on_reply(made, state, reply_to(second, LegOutcome.SNAPSHOT_GONE), 600))
    assert done["outcome"] == "partial"
    assert done["coverage"]["missing"] == [{"shard": "b", "reason": "snapshot_gone"}]


def test_a_request_that_may_not_repeat_is_not_restarted() -> None:
    """Guards against a second run of what other legs have run already."""
    made = make_shared_state([make_view("x", {7: [A, B]})], ACTIVE)
    state, actions = begin(made, make_request("ab", "booking"), ACTIVE)
    first, second = sent(actions)
    see(made, [make_view("x", {8: [A, B]})], 2)
    assert not sent(on_reply(made, state, reply_to(second, LegOutcome.SNAPSHOT_GONE), 2))
    done = answer(on_reply(made, state, reply_to(first), 3))
    assert (done["outcome"], done["snapshot"]) == ("partial", 7)


def test_early_coverage_answers_when_enough_shards_have() -> None:
    """Guards against a visitor who waits for the last shard, and against too little coverage."""
    made = make_shared_state(VIEWS, ACTIVE)
    state, actions = begin(made, make_request("ab", "early"), ACTIVE)
    first, _ = sent(actions)
    assert answer(on_timer(made, state, 50)) is None
    done = answer(on_reply(made, state, reply_to(first), 60))
    assert done["coverage"]["missing"] == [{"shard": "b", "reason": "answered_early"}]


def test_the_deadline_ends_the_query_with_what_is_there() -> None:
    """Guards against a split shard that counts as answered with one of its parts."""
    made = make_shared_state([make_view("x", {7: [A, ("b", 0, 2), ("b", 1, 2)]})], ACTIVE)
    state, actions = begin(made, make_request("abc"), ACTIVE)
    legs = sent(actions)
    for leg in legs[:2]:
        on_reply(made, state, reply_to(leg), 5)
    done = answer(on_timer(made, state, 1_000))
    assert done["outcome"] == "partial"
    assert done["coverage"] == {
        "answered": ["a"],
        "missing": [
            {"shard": "b", "reason": "deadline"},
            {"shard": "c", "reason": "no_replica"},
        ],
    }
    assert [row["shard"] for row in done["rows"]] == ["a"]


load_tests = function_suite(globals())
