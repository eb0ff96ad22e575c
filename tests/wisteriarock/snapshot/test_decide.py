"""Tests of the holding index and the choice of a snapshot."""

from hypothesis import given, settings
from hypothesis import strategies as st
from wisteriarock.membership.models import EndpointState, EndpointView
from wisteriarock.query.models import Partition
from wisteriarock.routing.decide import build_routes
from wisteriarock.snapshot.decide import (
    find_usable_replicas,
    pin_snapshot,
    refresh_index,
    set_routes,
)
from wisteriarock.snapshot.models import HoldingIndex

from tests.common import function_suite
from tests.wisteriarock.query.fixtures import make_bundle, make_view

NAMES = ("x", "y", "z")
ROUTES = build_routes(make_bundle(dict.fromkeys(NAMES, "north"), "abc").content)
LIVE = frozenset({"e0"})


def _index(*views: EndpointView) -> HoldingIndex:
    index = HoldingIndex()
    set_routes(index, ROUTES, LIVE)
    refresh_index(index, {item["endpoint"]: item for item in views}, 0)
    return index


def test_newest_complete_snapshot_wins_over_newer_incomplete_ones() -> None:
    """Guards against missing shards although an older snapshot has all of them."""
    x = make_view("x", {7: [("a", 0, 1), ("b", 0, 1)], 8: [("a", 0, 1)]})
    y = make_view("y", {6: [("a", 0, 1), ("b", 0, 1)], 7: [("b", 0, 1)]})
    pinned = pin_snapshot(_index(x, y), ("a", "b"))
    assert (pinned.snapshot, pinned.missing) == (7, {})
    [b] = pinned.shards["b"]
    assert set(b.endpoints) == {"x", "y"}
    assert pin_snapshot(_index(x, y), ("a", "b"), newer_than=7).snapshot == 8


def test_without_a_complete_snapshot_the_newest_with_best_coverage_is_used() -> None:
    """Guards against choosing a newest snapshot that has only a few shards yet."""
    x = make_view("x", {6: [("a", 0, 1), ("b", 0, 1)], 7: [("a", 0, 1), ("b", 0, 1)]})
    y = make_view("y", {8: [("a", 0, 1)]})
    pinned = pin_snapshot(_index(x, y), ("a", "b", "c"))
    assert (pinned.snapshot, pinned.missing) == (7, {"c": "no_replica"})
    empty = pin_snapshot(_index(), ("a",))
    assert (empty.snapshot, empty.missing) == (None, {"a": "no_replica"})


def test_a_shard_needs_all_parts_with_one_value_of_parts() -> None:
    """Guards against partitions of two layouts that overlap or leave a gap."""
    x = make_view("x", {7: [("a", 0, 2), ("b", 0, 2), ("c", 0, 2)]})
    y = make_view("y", {7: [("a", 0, 1), ("b", 1, 3)]})
    pinned = pin_snapshot(_index(x, y), ("a", "b", "c"))
    assert pinned.missing == {"b": "inconsistent_parts", "c": "part_missing"}
    assert [replica.partition for replica in pinned.shards["a"]] == [Partition("a", 0, 1)]


def test_snapshots_with_very_long_numbers_are_ignored() -> None:
    """Guards against a report whose snapshot has more digits than `int` takes."""
    view = make_view("x", {7: [("a", 0, 1)]})
    view["holdings"]["9" * 5_000] = [("a", 0, 1)]
    assert pin_snapshot(_index(view), ("a",)).snapshot == 7


def test_unusable_holdings_are_ignored() -> None:
    """Guards against plans with endpoints that drain, are unknown or have no live holder."""
    held = {7: [("a", 0, 1)]}
    for unusable in (
        make_view("x", held, state=EndpointState.DRAINING),
        make_view("x", held, state=EndpointState.GONE),
        make_view("x", held, holder="dead"),
        make_view("stranger", held),
        make_view("x", {7: [("a", 1, 1), ("a", 0, 0), ("d", 0, 1)]}),
    ):
        assert pin_snapshot(_index(unusable), ("a", "d")).snapshot is None, unusable


def test_changed_live_holders_invalidate_cached_plans() -> None:
    """Guards against a cached plan that outlives the holder it depends on."""
    index = _index(make_view("x", {7: [("a", 0, 1)]}, holder="e1"))
    assert pin_snapshot(index, ("a",)).snapshot is None
    set_routes(index, ROUTES, frozenset({"e0", "e1"}))
    assert pin_snapshot(index, ("a",)).snapshot == 7
    assert find_usable_replicas(index, ROUTES, 7, Partition("a", 0, 1)) == ["x"]


_HOLDINGS = st.dictionaries(
    st.integers(1, 3),
    st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 2), st.integers(1, 3)), max_size=4),
    max_size=3,
)
_STATES = st.sampled_from([EndpointState.READY, EndpointState.COLD, EndpointState.DRAINING])
_STEPS = st.lists(st.dictionaries(st.sampled_from(NAMES), st.tuples(_HOLDINGS, _STATES)))


@settings(deadline=None)
@given(_STEPS)
def test_an_updated_index_equals_a_rebuilt_one(
    steps: list[dict[str, tuple[dict[int, list[tuple[str, int, int]]], EndpointState]]],
) -> None:
    """Guards against stale or lost entries when views change or are removed."""
    index = _index()
    for step in steps:
        views = {name: make_view(name, held, state=state) for name, (held, state) in step.items()}
        refresh_index(index, views, 0)
        rebuilt = _index(*views.values())
        assert index.snapshots == rebuilt.snapshots
        for snapshot in index.snapshots:
            assert index.replicas[snapshot].keys() == rebuilt.replicas[snapshot].keys()
        pinned, expected = pin_snapshot(index, "abc"), pin_snapshot(rebuilt, "abc")
        assert pinned.missing == expected.missing
        for shard, plan in pinned.shards.items():
            actual_replicas = [(replica.partition, set(replica.endpoints)) for replica in plan]
            expected_replicas = [(r.partition, set(r.endpoints)) for r in expected.shards[shard]]
            assert actual_replicas == expected_replicas


load_tests = function_suite(globals())
