"""Data of members and endpoint views."""

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
    receiver's views that the sender has taken. `callers` maps a caller to its recent demand at the
    sender, in cost units a second.
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
    callers: dict[str, float]


class Member(NamedTuple):
    """An entry instance as known here; `heard_at_ms` is on the local monotonic clock."""

    instance: str
    incarnation: str
    zone: str
    host: str
    port: int
    phase: Phase
    heard_at_ms: float
    bundle_revision: int
    bundle_digest: str
