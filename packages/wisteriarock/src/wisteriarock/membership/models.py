"""Data of members and endpoint views."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple, TypedDict


class Phase(StrEnum):
    """Life-cycle phase of an entry instance."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


class EndpointState(StrEnum):
    """Life-cycle state of an endpoint as its holder sees it."""

    UNKNOWN = "unknown"
    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"
    EJECTED = "ejected"
    GONE = "gone"


class EndpointView(TypedDict):
    """What the holder of an endpoint tells the other instances.

    `holdings` maps a snapshot, as decimal text, to `[shard, part, parts]` triples. `version` counts
    changes at the holder. `busy` is the number of slots that the holder has in use, `queued` the
    number of legs that wait for one.
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

    `sequence` is that of the sender's endpoint views; `acknowledged` the highest sequence of the
    receiver's views that the sender has taken. `holding` names every endpoint on which the sender
    has legs or may start some; a new holder waits until the name is gone from it. `callers` maps a
    caller to its recent demand at the sender, in cost units a second. `ticket_successor` is the
    peer to which a stopping sender handed its unused tickets, else empty.
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
    """An entry instance as known here; `last_heartbeat_at_ms` is on the local monotonic clock."""

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
    """What the membership controller keeps besides the blackboard.

    Attributes
    ----------
    sequence : int
        Grows with each change of the views held here.
    sequenced : dict
        Endpoint to the sequence of its last change here, and the view itself.
    acknowledged : dict
        Peer to the highest sequence of ours that it has taken.
    taken : dict
        Peer to the highest sequence of its views taken here.
    remote_views : dict
        Peer to its views by endpoint.
    holding : dict
        Peer to the endpoints that it says it holds.
    assignment : dict
        Endpoint to its holder.
    assigned_at_ms : dict
        Endpoint to the time at which it was assigned to this instance.
    views_stale : bool
        Views, assignment or members changed since the routed views were made.
    contacted : set
        Peers that have answered or failed at least once.
    candidates : tuple
        Candidates of the current assignment.
    vacant : frozenset
        Zones without entry instances at the current assignment.
    assigned_digest : str
        Digest of the bundle of the current assignment.
    """

    sequence: int = 0
    sequenced: dict[str, tuple[int, EndpointView]] = field(default_factory=dict)
    acknowledged: dict[str, int] = field(default_factory=dict)
    taken: dict[str, int] = field(default_factory=dict)
    remote_views: dict[str, dict[str, EndpointView]] = field(default_factory=dict)
    holding: dict[str, frozenset[str]] = field(default_factory=dict)
    assignment: dict[str, str] = field(default_factory=dict)
    assigned_at_ms: dict[str, float] = field(default_factory=dict)
    views_stale: bool = True
    contacted: set[str] = field(default_factory=set)
    candidates: tuple[tuple[str, str], ...] = ()
    vacant: frozenset[str] = frozenset()
    assigned_digest: str = ""
