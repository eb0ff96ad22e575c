"""Tests of heartbeats, and of the handover of endpoints and tickets."""

from wisteriarock.membership.exchange import (
    apply_heartbeat,
    ready_at_ms,
    record_successor,
    select_routing_view,
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
MAX_HANDOVER_MS = 5_000


def _make_view(endpoint: str, holder: str, version: int = 1, busy: int = 0) -> EndpointView:
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


def _make_heartbeat(
    state: MembershipState, name: str, to: str, incarnation: str = "run-1"
) -> Heartbeat:
    return {
        "instance": name,
        "incarnation": incarnation,
        "zone": "north",
        "host": "127.0.0.1",
        "port": 1,
        "phase": Phase.READY,
        "sequence": state.sequence,
        "acknowledged": state.received_sequences.get(to, 0),
        "bundle_revision": 1,
        "bundle_digest": "d",
        "endpoints": unacknowledged_views(state, to),
        "holding": sorted(state.sequenced_views),
        "callers": {},
        "ticket_successor": "",
    }


def test_views_are_sent_until_acknowledged() -> None:
    """Guards against views lost with a heartbeat, and against sending all views every time."""
    a, b = MembershipState(), MembershipState()
    sequence_views(a, {"x": _make_view("x", "a"), "y": _make_view("y", "a")})
    _make_heartbeat(a, "a", "b")  # This heartbeat is lost.
    heartbeat = _make_heartbeat(a, "a", "b")
    assert len(heartbeat["endpoints"]) == 2
    apply_heartbeat(b, heartbeat, None, 0)
    apply_heartbeat(a, _make_heartbeat(b, "b", "a"), None, 0)
    assert _make_heartbeat(a, "a", "b")["endpoints"] == []
    changed = _make_view("x", "a", 2)
    changed["holdings"] = {"2": [("mill-00", 0, 1)]}
    sequence_views(a, {"x": changed, "y": _make_view("y", "a")})
    assert [view["endpoint"] for view in _make_heartbeat(a, "a", "b")["endpoints"]] == ["x"]


def test_only_significant_load_changes_are_sent() -> None:
    """Guards against control traffic that grows with the leg rate."""
    state = MembershipState()
    sequence_views(state, {"x": _make_view("x", "a")})
    sequence_views(state, {"x": _make_view("x", "a", 2, busy=2)})
    assert state.sequence == 1
    overloaded = _make_view("x", "a", 3, busy=2)
    overloaded["queued"] = 3
    sequence_views(state, {"x": overloaded})
    assert state.sequence == 2


def test_all_views_are_exchanged_again_after_a_restart() -> None:
    """Guards against state of a peer's previous run being applied to the restarted peer."""
    a, b = MembershipState(), MembershipState()
    sequence_views(a, {"x": _make_view("x", "a")})
    member_a = apply_heartbeat(b, _make_heartbeat(a, "a", "b"), None, 0)
    member_b = apply_heartbeat(a, _make_heartbeat(b, "b", "a"), None, 0)
    restarted_b = MembershipState()
    apply_heartbeat(a, _make_heartbeat(restarted_b, "b", "a", "run-2"), member_b, 1)
    assert len(_make_heartbeat(a, "a", "b")["endpoints"]) == 1
    restarted_a = MembershipState()
    sequence_views(restarted_a, {"z": _make_view("z", "a")})
    apply_heartbeat(b, _make_heartbeat(restarted_a, "a", "b", "run-2"), member_a, 1)
    assert list(b.remote_views["a"]) == ["z"]
    assert b.received_sequences["a"] == 1


def _make_member(name: str, last_heartbeat_at_ms: float) -> Member:
    return Member(name, "run-1", "north", "127.0.0.1", 1, Phase.READY, last_heartbeat_at_ms, 1, "d")


def test_a_new_holder_waits_for_the_former_holder() -> None:
    """Guards against two holders that use the slots of an endpoint at the same time."""
    state = MembershipState(assigned_at_ms={"x": 1_000})
    members = {"a": _make_member("a", 900)}

    def earliest_start_ms(live: frozenset[str]) -> float:
        return ready_at_ms(state, "x", members, live, HANDOVER_MS, MAX_HANDOVER_MS, 1_000)

    assert earliest_start_ms(frozenset({"a"})) == 1_000
    state.holding["a"] = frozenset({"x"})
    assert earliest_start_ms(frozenset({"a"})) == 1_000 + MAX_HANDOVER_MS
    assert earliest_start_ms(frozenset()) == 900 + HANDOVER_MS
    state.holding["a"] = frozenset()
    assert earliest_start_ms(frozenset({"a"})) == 1_000


def test_ticket_owner_is_known_after_two_consecutive_stops() -> None:
    """Guards against a rolling restart after which the owner of a ticket is unknown."""
    successors: dict[tuple[str, str], str] = {}
    for name, successor in (("a", "b"), ("b", "c")):
        heartbeat = _make_heartbeat(MembershipState(), name, "e1")
        heartbeat["ticket_successor"] = successor
        record_successor(successors, heartbeat, 10)
    record_successor(successors, _make_heartbeat(MembershipState(), "c", "e1"), 10)
    assert successors == {("a", "run-1"): "c", ("b", "run-1"): "c"}
    record_successor(successors, heartbeat, 1)
    assert len(successors) == 1


def test_requests_are_routed_to_the_assigned_holder() -> None:
    """Guards against legs sent to a former holder because its view is still stored."""
    state = MembershipState(remote_views={"a": {"x": _make_view("x", "a", 7)}})
    first = select_routing_view(state, "x", "a", {}, "e1", None)
    assert first is not None
    assert first["holder"] == "a"
    # Until the new holder has a view, the former holder's holdings are used to pin a snapshot.
    reassigned = select_routing_view(state, "x", "b", {}, "e1", first)
    assert reassigned is not None
    assert (reassigned["holder"], reassigned["holdings"]) == ("b", first["holdings"])
    assert select_routing_view(state, "new", "b", {}, "e1", None) is None


load_tests = function_suite(globals())
