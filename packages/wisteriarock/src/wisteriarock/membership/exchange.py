"""Decide what a heartbeat carries and what is taken from one."""

from collections.abc import Mapping

from .decide import Candidate, holder_of
from .models import EndpointView, Heartbeat, Member, MembershipState


def is_news(known: EndpointView, view: EndpointView) -> bool:
    """Tell whether a change of a view is worth sending.

    The load changes with every leg, while routing needs from it only whether legs wait: sending
    every change took 37 KB/s of the 24 KB/s that an instance may spend on control.
    """
    if (known["queued"] > known["slots"]) != (view["queued"] > view["slots"]):
        return True
    return known["holdings"] != view["holdings"] or (
        (known["state"], known["incarnation"], known["slots"])
        != (view["state"], view["incarnation"], view["slots"])
    )


def sequence_views(state: MembershipState, held: Mapping[str, EndpointView]) -> None:
    """Give each view with news since the last call the next sequence."""
    for name in [name for name in state.sequenced if name not in held]:
        del state.sequenced[name]
    for name, view in held.items():
        known = state.sequenced.get(name)
        if known is None or is_news(known[1], view):
            state.sequence += 1
            state.sequenced[name] = (state.sequence, view)
        else:
            state.sequenced[name] = (known[0], view)


def unacknowledged_views(state: MembershipState, peer: str) -> list[EndpointView]:
    """Return the views that a peer has not acknowledged."""
    acknowledged = state.acknowledged.get(peer, 0)
    return [view for sequence, view in state.sequenced.values() if sequence > acknowledged]


def apply_heartbeat(
    state: MembershipState, beat: Heartbeat, known: Member | None, now_ms: float
) -> Member:
    """Take a peer's heartbeat into the state.

    Parameters
    ----------
    state : MembershipState
        Updated with the peer's views and with what it has acknowledged.
    beat : Heartbeat
        What the peer sent.
    known : Member or None
        The peer as known before.
    now_ms : float
        Monotonic time in milliseconds.

    Returns
    -------
    Member
        The peer as known now.
    """
    peer = beat["instance"]
    if known is None or known.incarnation != beat["incarnation"]:
        # A restarted process counts its sequences from the start and holds nothing of ours.
        state.taken[peer] = 0
        state.acknowledged[peer] = 0
        state.remote_views[peer] = {}
    views = state.remote_views.setdefault(peer, {})
    for view in beat["endpoints"]:
        present = views.get(view["endpoint"])
        # Two heartbeats of a peer may arrive in the wrong order.
        if present is None or present["version"] <= view["version"]:
            views[view["endpoint"]] = view
    state.taken[peer] = max(state.taken.get(peer, 0), beat["sequence"])
    state.acknowledged[peer] = max(
        state.acknowledged.get(peer, 0), min(beat["acknowledged"], state.sequence)
    )
    state.holding[peer] = frozenset(beat["holding"])
    state.contacted.add(peer)
    return Member(
        instance=peer,
        incarnation=beat["incarnation"],
        zone=beat["zone"],
        host=beat["host"],
        port=beat["port"],
        phase=beat["phase"],
        last_heartbeat_at_ms=now_ms,
        bundle_revision=beat["bundle_revision"],
        bundle_digest=beat["bundle_digest"],
    )


def note_successor(successors: dict[tuple[str, str], str], beat: Heartbeat, most: int) -> None:
    """Record to whom a stopping peer handed its tickets, and those that it kept for others."""
    successor = beat["ticket_successor"]
    if not successor:
        return
    for key, keeper in successors.items():
        if keeper == beat["instance"]:
            successors[key] = successor
    successors[(beat["instance"], beat["incarnation"])] = successor
    while len(successors) > most:
        del successors[next(iter(successors))]


def forget_member(state: MembershipState, peer: str) -> None:
    """Drop everything kept about a peer."""
    for table in (state.acknowledged, state.taken, state.remote_views, state.holding):
        table.pop(peer, None)


def assign(
    endpoint_zones: Mapping[str, str],
    candidates: tuple[Candidate, ...],
    vacant: frozenset[str] = frozenset(),
) -> dict[str, str]:
    """Return the holder of each endpoint, without those that have none."""
    assignment = {}
    for endpoint, zone in endpoint_zones.items():
        holder = holder_of(endpoint, zone, candidates, vacant)
        if holder is not None:
            assignment[endpoint] = holder
    return assignment


def ready_at_ms(
    state: MembershipState,
    endpoint: str,
    members: Mapping[str, Member],
    live: frozenset[str],
    handover_ms: float,
    longest_handover_ms: float,
    now_ms: float,
) -> float:
    """Return when this instance may start legs on an endpoint that is assigned to it.

    Parameters
    ----------
    state : MembershipState
        What peers hold, and when the endpoint was assigned.
    endpoint : str
        The endpoint.
    members : mapping
        Members by name.
    live : frozenset of str
        Names of the live members.
    handover_ms : float
        After this silence a former holder has stopped by itself.
    longest_handover_ms : float
        Bound on the wait for a live former holder.
    now_ms : float
        Monotonic time in milliseconds.

    Returns
    -------
    float
        Monotonic time in milliseconds. It lies in the future while a former holder may still have
        legs on the endpoint.
    """
    assigned_at = state.assigned_at_ms.get(endpoint, now_ms)
    earliest = assigned_at
    for peer, names in state.holding.items():
        if endpoint not in names or peer not in members:
            continue
        if peer in live:
            earliest = max(earliest, assigned_at + longest_handover_ms)
        else:
            earliest = max(earliest, members[peer].last_heartbeat_at_ms + handover_ms)
    return earliest


def routed_view(
    state: MembershipState,
    endpoint: str,
    holder: str,
    own_views: Mapping[str, EndpointView],
    own_name: str,
    present: EndpointView | None,
) -> EndpointView | None:
    """Return the view that requests are routed by: the holder's, or the last one of anybody.

    Its `holder` is the one of the current assignment, which may be newer than the view.
    """
    if holder == own_name:
        view = own_views.get(endpoint)
    else:
        view = state.remote_views.get(holder, {}).get(endpoint)
    # A holder that has not polled the endpoint yet knows no holdings; the former view still does.
    if view is None or (not view["holdings"] and present is not None and present["holdings"]):
        view = present
    if view is None:
        return None
    if view["holder"] == holder:
        return view
    return {**view, "holder": holder}
