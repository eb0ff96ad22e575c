"""Data models of members, heartbeats and endpoint views."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple, TypedDict


class Phase(StrEnum):
    """Lifecycle phase of an entry instance."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


class EndpointState(StrEnum):
    """Lifecycle state of an endpoint as observed by its holder."""

    UNKNOWN = "unknown"
    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"
    EJECTED = "ejected"
    GONE = "gone"


class EndpointView(TypedDict):
    """State of an endpoint that its holder sends to the other instances.

    `holdings` maps a snapshot, as decimal text, to `[shard, part, parts]` triples. `version` counts
    changes at the holder. `busy` is the number of slots that the holder uses, `queued` the number
    of legs that wait for a slot.
    """

    endpoint: str
    holder: str
    version: int
    state: EndpointState
    incarnation: str
    slots: int
    busy: int
    queued: int
    holdings: dict[str, list[tuple[str, int, int]]]


class Heartbeat(TypedDict):
    """Body of `POST /peer/v1/heartbeat` and of its answer.

    `sequence` is the highest sequence of the sender's endpoint views, `acknowledged` the highest
    sequence of the receiver's views that the sender has received. `holding` lists the endpoints on
    which the sender has legs or may start legs; a new holder waits until its endpoint is removed
    from the list. `callers` maps a caller to its recent demand at the sender, in cost units per
    second. `ticket_successor` is the peer to which a stopping sender handed over its unused
    tickets, or empty.
    """

    instance: str
    incarnation: str
    zone: str
    host: str
    port: int
    phase: Phase
    sequence: int
    acknowledged: int
    bundle_revision: int
    bundle_digest: str
    endpoints: list[EndpointView]
    holding: list[str]
    callers: dict[str, float]
    ticket_successor: str


class Member(NamedTuple):
    """Last known state of an entry instance; `last_heartbeat_at_ms` is local monotonic time."""

    instance: str
    incarnation: str
    zone: str
    host: str
    port: int
    phase: Phase
    last_heartbeat_at_ms: float
    bundle_revision: int
    bundle_digest: str


@dataclass
class MembershipState:
    """State of the membership controller that is not on the blackboard.

    Attributes
    ----------
    sequence : int
        Incremented with each significant change of a view of an endpoint held here.
    sequenced_views : dict
        Endpoint held here to the sequence of its last significant change, and its view.
    acknowledged : dict
        Peer to the highest sequence of this instance's views that it has acknowledged.
    received_sequences : dict
        Peer to the highest sequence of its views received by this instance.
    remote_views : dict
        Peer to its views by endpoint.
    holding : dict
        Peer to the endpoints that it reports to hold.
    assignment : dict
        Endpoint to its holder.
    assigned_at_ms : dict
        Endpoint to the time at which it was assigned to this instance.
    views_stale : bool
        Whether views, assignment or members changed since the routing views were computed.
    contacted : set
        Peers with which an exchange has succeeded or failed since startup or the last clock gap.
    candidates : tuple
        Candidates of the current assignment.
    vacant_zones : frozenset
        Vacant zones of the current assignment.
    assigned_digest : str
        Digest of the bundle of the current assignment.
    """

    sequence: int = 0
    sequenced_views: dict[str, tuple[int, EndpointView]] = field(default_factory=dict)
    acknowledged: dict[str, int] = field(default_factory=dict)
    received_sequences: dict[str, int] = field(default_factory=dict)
    remote_views: dict[str, dict[str, EndpointView]] = field(default_factory=dict)
    holding: dict[str, frozenset[str]] = field(default_factory=dict)
    assignment: dict[str, str] = field(default_factory=dict)
    assigned_at_ms: dict[str, float] = field(default_factory=dict)
    views_stale: bool = True
    contacted: set[str] = field(default_factory=set)
    candidates: tuple[tuple[str, str], ...] = ()
    vacant_zones: frozenset[str] = frozenset()
    assigned_digest: str = ""
