"""Configuration, faults and state of the platform stand-in."""

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Literal, NamedTuple, NotRequired, TypedDict

from wisteriarock.platform.models import ListedInstance

from wisteriastandins.lag import LaggedValue

MAX_VALUE_BYTES = 1_000_000
MAX_KEY_LENGTH = 512
MAX_WAIT_MS = 600_000


class PlatformConfig(TypedDict):
    """The configuration file. `seed` seeds the random choice of lost replies."""

    host: str
    port: int
    latency_ms: float
    writes_per_s: int
    reads_per_s: int
    list_lag_ms: float
    instances: list[ListedInstance]
    seed: NotRequired[int]


class PutBody(TypedDict):
    """Body of `PUT /v1/kv/{key}`; `expected_revision` 0 creates the key."""

    value: str
    expected_revision: int
    lease_id: NotRequired[str | None]


class DeleteBody(TypedDict):
    """Body of `DELETE /v1/kv/{key}`."""

    expected_revision: int


class LeaseBody(TypedDict):
    """Body of `POST /v1/leases`."""

    ttl_ms: float


class Outage(StrEnum):
    """Kinds of outage: every call is answered with 503, or no call is answered."""

    NONE = "none"
    ERROR = "error"
    NO_ANSWER = "no_answer"


class PlatformControl(TypedDict, total=False):
    """Body of `POST /control`.

    `slow_ms` is added to the latency. The replies to the next `lost_replies` successful writes are
    dropped, then those to a share `lost_reply_share`. `add_instances` adds entries to the list or
    replaces those with the same name.
    """

    outage: Outage
    slow_ms: float
    lost_replies: int
    lost_reply_share: float
    latency_ms: float
    writes_per_s: int
    reads_per_s: int
    list_lag_ms: float
    instances: dict[str, Literal["live", "leaving", "gone"]]
    add_instances: list[ListedInstance]


class Operation(StrEnum):
    """Operations of the platform; the values are the names in the counters."""

    GET = "get"
    WATCH = "watch"
    PUT = "put"
    DELETE = "delete"
    LEASE_CREATE = "lease_create"
    LEASE_RENEW = "lease_renew"
    LEASE_DELETE = "lease_delete"
    INSTANCES = "instances"


WRITE_OPERATIONS = frozenset(Operation) - {Operation.GET, Operation.WATCH, Operation.INSTANCES}


class WriteError(StrEnum):
    """Reason why a write had no effect."""

    CONFLICT = "conflict"
    NO_LEASE = "no_lease"
    NOT_FOUND = "not_found"


class StoredValue(NamedTuple):
    """A value, its revision and the lease that it is attached to."""

    value: str
    revision: int
    lease_id: str | None


@dataclass
class Lease:
    """A lease and the keys that are deleted when it ends."""

    ttl_ms: float
    expires_at_ms: float
    keys: set[str] = field(default_factory=set)


@dataclass
class Store:
    """State of the key-value service.

    `revisions` also keeps the last revision of deleted keys, so that a recreated key never reuses
    a revision. `changed_keys` lists the keys changed since the watches were last notified.
    """

    values: dict[str, StoredValue] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)
    leases: dict[str, Lease] = field(default_factory=dict)
    leases_created: int = 0
    changed_keys: list[str] = field(default_factory=list)


@dataclass
class RateLimit:
    """Limit on calls in any one second, with the times of the recently admitted calls."""

    calls_per_s: int
    admitted_at_ms: deque[float] = field(default_factory=deque)


@dataclass
class PlatformState:
    """State of the platform.

    `calls` counts by operation, `results` by operation and status. `removed_instances` holds the
    instances that were removed from the list, so that they can be added again by name.
    """

    write_limit: RateLimit
    read_limit: RateLimit
    latency_ms: float
    list_lag_ms: float
    instance_list: LaggedValue[list[ListedInstance]]
    removed_instances: dict[str, ListedInstance] = field(default_factory=dict)
    store: Store = field(default_factory=Store)
    outage: Outage = Outage.NONE
    slow_ms: float = 0.0
    lost_replies: int = 0
    lost_reply_share: float = 0.0
    calls: Counter[str] = field(default_factory=Counter)
    results: Counter[str] = field(default_factory=Counter)
