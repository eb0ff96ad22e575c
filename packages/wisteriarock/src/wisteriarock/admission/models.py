"""Data model of admission."""

from dataclasses import dataclass, field
from typing import NamedTuple

from wisteriarock.bundle.models import KindSpec
from wisteriarock.limits.token_bucket import TokenBucket


class Rejection(NamedTuple):
    """Why a request was rejected before execution; `status` is the HTTP status."""

    status: int
    code: str
    message: str
    path: str
    retry_after_ms: int | None = None


class Admitted(NamedTuple):
    """The kind of an admitted request and the cost charged to its caller."""

    kind: KindSpec
    cost: float


class InstanceLoad(NamedTuple):
    """Requests in flight on this instance, their maximum, and the lag of the event loop."""

    in_flight: int
    max_queries: float
    loop_lag_ms: float


@dataclass
class CallerState:
    """State of a caller's limit at this instance. `demand_per_s` includes rejected requests."""

    bucket: TokenBucket
    demand_per_s: float = 0.0
    demand_updated_at_ms: float = 0.0


@dataclass
class AdmissionState:
    """Index of the bundle in force and the state of the callers' limits.

    `credentials` maps a credential digest to a caller; `shards` holds every shard of the bundle.
    """

    revision: int = -1
    digest: str = ""
    credentials: dict[str, str] = field(default_factory=dict)
    shards: frozenset[str] = frozenset()
    callers: dict[str, CallerState] = field(default_factory=dict)
