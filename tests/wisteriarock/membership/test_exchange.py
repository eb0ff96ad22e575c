"""Tests of heartbeats and of the handover of endpoints."""

from wisteriarock.membership.exchange import (
    apply_heartbeat,
    note_successor,
    ready_at_ms,
    routed_view,
    sequence_views,
    unacknowledged_views,
)
from wisteriarock.membership.models import (
    EndpointState,
    EndpointView,
    Heartbeat,
    Member,
    MembershipState,
    Phase,
)

from tests.common import function_suite

HANDOVER_MS = 2_500
LONGEST_MS = 5_000


def _view(endpoint: str, holder: str, version: int = 1, busy: int = 0) -> EndpointView:
    return {
        "endpoint": endpoint,
        "holder": holder,
        "version": version,
        "state": EndpointState.READY,
        "incarnation": "i",
        "slots": 2,
        "busy": busy,
        "queued": 0,
        "holdings": {"1": [("mill-00", 0, 1)]},
    }


def _beat(state: MembershipState, name: str, to: str, incarnation: str = "run-1") -> Heartbeat:
    return {
        "instance": name,
        "incarnation": incarnation,
        "zone": "north",
        "host": "127.0.0.1",
        "port": 1,
        "phase": Phase.READY,
        "sequence": state.sequence,
        "acknowledged": state.taken.get(to, 0),
        "bundle_revision": 1,
        "bundle_digest": "d",
        "endpoints": unacknowledged_views(state, to),
        "holding": sorted(state.sequenced),
        "callers": {},
        "ticket_successor": "",
    }


def test_views_travel_once_and_again_after_a_loss() -> None:
    """Guards against views that are lost with a heartbeat, and against sending all each time."""
    a, b = MembershipState(), MembershipState()
    sequence_views(a, {"x": _view("x", "a"), "y": _view("y", "a")})
    _beat(a, "a", "b")  # This heartbeat is lost.
    beat = _beat(a, "a", "b")
    assert len(beat["endpoints"]) == 2
    apply_heartbeat(b, beat, None, 0)
    apply_heartbeat(a, _beat(b, "b", "a"), None, 0)
    assert _beat(a, "a", "b")["endpoints"] == []
    changed = _view("x", "a", 2)
    changed["holdings"] = {"2": [("mill-00", 0, 1)]}
    sequence_views(a, {"x": changed, "y": _view("y", "a")})
    assert [view["endpoint"] for view in _beat(a, "a", "b")["endpoints"]] == ["x"]


def test_only_a_load_that_matters_is_sent() -> None:
    """Guards against control traffic that grows with the number of legs."""
    state = MembershipState()
    sequence_views(state, {"x": _view("x", "a")})
    sequence_views(state, {"x": _view("x", "a", 2, busy=2)})
    assert state.sequence == 1
    overloaded = _view("x", "a", 3, busy=2)
    overloaded["queued"] = 3
    sequence_views(state, {"x": overloaded})
    assert state.sequence == 2


def test_a_restarted_peer_gets_and_gives_everything_again() -> None:
    """Guards against a peer that restarts and is thought to know what its former run knew."""
    a, b = MembershipState(), MembershipState()
    sequence_views(a, {"x": _view("x", "a")})
    member = apply_heartbeat(b, _beat(a, "a", "b"), None, 0)
    known = apply_heartbeat(a, _beat(b, "b", "a"), None, 0)
    restarted = MembershipState()
    apply_heartbeat(a, _beat(restarted, "b", "a", "run-2"), known, 1)
    assert len(_beat(a, "a", "b")["endpoints"]) == 1
    fresh = MembershipState()
    sequence_views(fresh, {"z": _view("z", "a")})
    apply_heartbeat(b, _beat(fresh, "a", "b", "run-2"), member, 1)
    assert list(b.remote_views["a"]) == ["z"]
    assert b.taken["a"] == 1


def _member(name: str, last_heartbeat_at_ms: float) -> Member:
    return Member(name, "run-1", "north", "127.0.0.1", 1, Phase.READY, last_heartbeat_at_ms, 1, "d")


def test_a_new_holder_waits_for_the_former_one() -> None:
    """Guards against two holders that use an endpoint's slots at the same time."""
    state = MembershipState(assigned_at_ms={"x": 1_000})
    members = {"a": _member("a", 900)}

    def ready(live: frozenset[str]) -> float:
        return ready_at_ms(state, "x", members, live, HANDOVER_MS, LONGEST_MS, 1_000)

    assert ready(frozenset({"a"})) == 1_000
    state.holding["a"] = frozenset({"x"})
    assert ready(frozenset({"a"})) == 1_000 + LONGEST_MS
    assert ready(frozenset()) == 900 + HANDOVER_MS
    state.holding["a"] = frozenset()
    assert ready(frozenset({"a"})) == 1_000


def test_tickets_are_found_after_two_stops_in_a_row() -> None:
    """Guards against a rolling restart after which nobody knows who keeps a ticket."""
    successors: dict[tuple[str, str], str] = {}
    for name, successor in (("a", "b"), ("b", "c")):
        beat = _beat(MembershipState(), name, "e1")
        beat["ticket_successor"] = successor
        note_successor(successors, beat, 10)
    note_successor(successors, _beat(MembershipState(), "c", "e1"), 10)
    assert successors == {("a", "run-1"): "c", ("b", "run-1"): "c"}
    note_successor(successors, beat, 1)
    assert len(successors) == 1


def test_requests_are_routed_to_the_assigned_holder() -> None:
    """Guards against legs that go to a former holder because its view is still known."""
    state = MembershipState(remote_views={"a": {"x": _view("x", "a", 7)}})
    first = routed_view(state, "x", "a", {}, "e1", None)
    assert first is not None
    assert first["holder"] == "a"
    # The new holder has no view yet: the former one's holdings still serve to pin a snapshot.
    moved = routed_view(state, "x", "b", {}, "e1", first)
    assert moved is not None
    assert (moved["holder"], moved["holdings"]) == ("b", first["holdings"])
    assert routed_view(state, "new", "b", {}, "e1", None) is None


load_tests = function_suite(globals())
