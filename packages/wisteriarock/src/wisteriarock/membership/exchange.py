"""Select the content of outgoing heartbeats and apply incoming ones."""

from collections.abc import Mapping

from .decide import Candidate, holder_of
from .models import EndpointView, Heartbeat, Member, MembershipState


def is_significant_change(previous: EndpointView, view: EndpointView) -> bool:
    """Return whether a change of a view must be sent to peers.

    The load changes with every leg, but routing needs only whether legs are queued. Sending every
    change took 37 KB/s, while the limit for the control traffic of an instance is 24 KB/s.
    """
    if (previous["queued"] > previous["slots"]) != (view["queued"] > view["slots"]):
        return True
    return previous["holdings"] != view["holdings"] or (
        (previous["state"], previous["incarnation"], previous["slots"])
        != (view["state"], view["incarnation"], view["slots"])
    )


def sequence_views(state: MembershipState, held: Mapping[str, EndpointView]) -> None:
    """Assign the next sequence to each view that changed significantly since the last call."""
    for name in [name for name in state.sequenced_views if name not in held]:
        del state.sequenced_views[name]
    for name, view in held.items():
        previous = state.sequenced_views.get(name)
        if previous is None or is_significant_change(previous[1], view):
            state.sequence += 1
            state.sequenced_views[name] = (state.sequence, view)
        else:
            state.sequenced_views[name] = (previous[0], view)


def unacknowledged_views(state: MembershipState, peer: str) -> list[EndpointView]:
    """Return the views that a peer has not acknowledged yet."""
    acknowledged = state.acknowledged.get(peer, 0)
    return [view for sequence, view in state.sequenced_views.values() if sequence > acknowledged]


def apply_heartbeat(
    state: MembershipState, heartbeat: Heartbeat, previous: Member | None, now_ms: float
) -> Member:
    """Update the state with a peer's heartbeat.

    Parameters
    ----------
    state : MembershipState
        Updated with the peer's views and acknowledgement.
    heartbeat : Heartbeat
        Heartbeat of the peer.
    previous : Member or None
        The peer as of its previous heartbeat, None for a new peer.
    now_ms : float
        Monotonic time in milliseconds.

    Returns
    -------
    Member
        The peer as of this heartbeat.
    """
    peer = heartbeat["instance"]
    if previous is None or previous.incarnation != heartbeat["incarnation"]:
        # A restarted process numbers its views from 1 again and has none of our views.
        state.received_sequences[peer] = 0
        state.acknowledged[peer] = 0
        state.remote_views[peer] = {}
    views = state.remote_views.setdefault(peer, {})
    for view in heartbeat["endpoints"]:
        current = views.get(view["endpoint"])
        # Heartbeats of a peer may arrive out of order.
        if current is None or current["version"] <= view["version"]:
            views[view["endpoint"]] = view
    state.received_sequences[peer] = max(
        state.received_sequences.get(peer, 0), heartbeat["sequence"]
    )
    state.acknowledged[peer] = max(
        state.acknowledged.get(peer, 0), min(heartbeat["acknowledged"], state.sequence)
    )
    state.holding[peer] = frozenset(heartbeat["holding"])
    state.contacted.add(peer)
    return Member(
        instance=peer,
        incarnation=heartbeat["incarnation"],
        zone=heartbeat["zone"],
        host=heartbeat["host"],
        port=heartbeat["port"],
        phase=heartbeat["phase"],
        last_heartbeat_at_ms=now_ms,
        bundle_revision=heartbeat["bundle_revision"],
        bundle_digest=heartbeat["bundle_digest"],
    )


def record_successor(
    successors: dict[tuple[str, str], str], heartbeat: Heartbeat, max_successors: int
) -> None:
    """Record the new owner of a stopping peer's tickets, including those handed over to it."""
    successor = heartbeat["ticket_successor"]
    if not successor:
        return
    for key, owner in successors.items():
        if owner == heartbeat["instance"]:
            successors[key] = successor
    successors[(heartbeat["instance"], heartbeat["incarnation"])] = successor
    while len(successors) > max_successors:
        del successors[next(iter(successors))]


def remove_member(state: MembershipState, peer: str) -> None:
    """Remove all state of a peer."""
    for table in (state.acknowledged, state.received_sequences, state.remote_views, state.holding):
        table.pop(peer, None)


def assign(
    endpoint_zones: Mapping[str, str],
    candidates: tuple[Candidate, ...],
    vacant_zones: frozenset[str] = frozenset(),
) -> dict[str, str]:
    """Return the holder of each endpoint that has one."""
    assignment = {}
    for endpoint, zone in endpoint_zones.items():
        holder = holder_of(endpoint, zone, candidates, vacant_zones)
        if holder is not None:
            assignment[endpoint] = holder
    return assignment


def ready_at_ms(
    state: MembershipState,
    endpoint: str,
    members: Mapping[str, Member],
    live_names: frozenset[str],
    handover_ms: float,
    max_handover_ms: float,
    now_ms: float,
) -> float:
    """Return the time from which this instance may start legs on an assigned endpoint.

    Parameters
    ----------
    state : MembershipState
        Read: the endpoints that peers hold, and the time of the assignment.
    endpoint : str
        Name of the endpoint.
    members : mapping
        Members by name.
    live_names : frozenset of str
        Names of the live members.
    handover_ms : float
        Time after a former holder's last heartbeat at which it has stopped using its endpoints.
    max_handover_ms : float
        Longest wait for a live former holder.
    now_ms : float
        Monotonic time in milliseconds.

    Returns
    -------
    float
        Monotonic time in milliseconds, in the future while a former holder may still have legs on
        the endpoint.
    """
    assigned_at_ms = state.assigned_at_ms.get(endpoint, now_ms)
    earliest_ms = assigned_at_ms
    for peer, names in state.holding.items():
        if endpoint not in names or peer not in members:
            continue
        if peer in live_names:
            earliest_ms = max(earliest_ms, assigned_at_ms + max_handover_ms)
        else:
            earliest_ms = max(earliest_ms, members[peer].last_heartbeat_at_ms + handover_ms)
    return earliest_ms


def select_routing_view(
    state: MembershipState,
    endpoint: str,
    holder: str,
    own_views: Mapping[str, EndpointView],
    own_name: str,
    current: EndpointView | None,
) -> EndpointView | None:
    """Return the endpoint view to route requests by: the holder's, else the last known one.

    Its `holder` is taken from the current assignment, which may be newer than the view.
    """
    if holder == own_name:
        view = own_views.get(endpoint)
    else:
        view = state.remote_views.get(holder, {}).get(endpoint)
    # A new holder knows no holdings until it has polled the endpoint; the previous view has them.
    if view is None or (not view["holdings"] and current is not None and current["holdings"]):
        view = current
    if view is None:
        return None
    if view["holder"] == holder:
        return view
    return {**view, "holder": holder}
