"""Tests of liveness, heartbeat intervals and the assignment of endpoints."""

from collections import Counter

from wisteriarock.membership.decide import (
    Candidate,
    find_vacant_zones,
    holder_of,
    is_heartbeat_due,
    is_live,
    rank_instances,
)
from wisteriarock.membership.models import Member, Phase
from wisteriarock.platform.models import InstanceList

from tests.common import function_suite

ZONES = ("north", "east", "west")
NINE_CANDIDATES = [Candidate(f"e{i}", ZONES[i % 3]) for i in range(9)]


def test_losing_an_instance_reassigns_only_its_endpoints() -> None:
    """Guards against a hash function that reassigns endpoints of the remaining instances."""
    names = [f"endpoint-{i}" for i in range(200)]
    before = {name: holder_of(name, "north", NINE_CANDIDATES) for name in names}
    after = {name: holder_of(name, "north", NINE_CANDIDATES[1:]) for name in names}
    moved = {name for name in names if before[name] != after[name]}
    assert moved == {name for name in names if before[name] == "e0"}
    assert max(Counter(after.values()).values()) < 140


def _make_instance_list(*entries: tuple[str, str]) -> InstanceList:
    rows = [("entry", zone, state) for zone, state in entries] + [("endpoint", "north", "live")]
    instances = [
        {"name": "x", "role": role, "zone": zone, "host": "", "port": 1, "state": state}
        for role, zone, state in rows
    ]
    return {"instances": instances, "as_of_ms": 0.0}  # type: ignore[typeddict-item]


def test_another_zone_holds_endpoints_only_if_the_platform_lists_no_instance() -> None:
    """Guards against a network partition in which both sides use the same endpoints' slots."""
    assert holder_of("a", "north", NINE_CANDIDATES) in {"e0", "e3", "e6"}
    other_zone_candidates = [c for c in NINE_CANDIDATES if c.zone != "north"]
    no_vacant_zones = find_vacant_zones(_make_instance_list(("north", "live"), ("east", "live")), 0)
    assert holder_of("a", "north", other_zone_candidates, no_vacant_zones) is None
    assert (
        find_vacant_zones(None, 0)
        == find_vacant_zones(_make_instance_list(), 60_000)
        == frozenset()
    )
    vacant = find_vacant_zones(_make_instance_list(("north", "leaving"), ("east", "live")), 0)
    assert holder_of("a", "north", other_zone_candidates, vacant) in {
        c.instance for c in other_zone_candidates
    }
    assert holder_of("a", "north", [], vacant) is None


def test_ranking_does_not_depend_on_input_order() -> None:
    """Guards against instances that disagree because they list members in a different order."""
    assert rank_instances("k", ["b", "a", "c"]) == rank_instances("k", ["c", "b", "a"])


def test_silent_and_stopped_members_are_not_live() -> None:
    """Guards against endpoints that remain assigned to an instance that is down."""
    member = Member("e1", "1", "north", "127.0.0.1", 1, Phase.READY, 0, 0, "")
    assert is_live(member, 2_000, 2_000)
    assert not is_live(member, 2_001, 2_000)
    assert not is_live(member._replace(phase=Phase.STOPPED), 0, 2_000)


def test_no_heartbeat_is_sent_after_a_recent_exchange() -> None:
    """Guards against redundant exchanges: a single one informs both sides."""
    member = Member("e1", "1", "north", "127.0.0.1", 1, Phase.READY, 1_000, 0, "")
    for zone, send_at_ms in (("north", 1_350), ("east", 1_700)):
        assert not is_heartbeat_due(member, "north", zone, send_at_ms - 1, 500)
        assert is_heartbeat_due(member, "north", zone, send_at_ms, 500)
    assert is_heartbeat_due(None, "north", "east", 0, 500)


load_tests = function_suite(globals())
