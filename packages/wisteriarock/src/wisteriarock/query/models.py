"""Data of requests, legs and answers."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple, NotRequired, TypedDict


class Outcome(StrEnum):
    """What became of a request."""

    COMPLETE = "complete"
    PARTIAL = "partial"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class QueryBody(TypedDict):
    """Body of `POST /v1/query`."""

    request_id: str
    kind: str
    shards: list[str]
    deadline_ms: int
    repeatable: bool
    ticket: NotRequired[str]
    params: NotRequired[dict[str, Any]]


class QueryRequest(NamedTuple):
    """An admitted request. `deadline_at_ms` is on this process's monotonic clock."""

    request_id: str
    caller: str
    kind: str
    shards: tuple[str, ...]
    deadline_at_ms: float
    repeatable: bool
    params: dict[str, Any]


class MissingShard(TypedDict):
    """A shard that the answer does not cover, with a machine-readable reason."""

    shard: str
    reason: str


class Coverage(TypedDict):
    """Which shards an answer covers, by name."""

    answered: list[str]
    missing: list[MissingShard]


class QueryStats(TypedDict):
    """Cost of an answer: legs written to endpoints or peers, extra ones, and the time taken."""

    legs: int
    hedges: int
    retries: int
    cross_zone_legs: int
    elapsed_ms: float


class ErrorBody(TypedDict):
    """Error of an answer."""

    code: str
    message: str
    path: str


class QueryAnswer(TypedDict):
    """Body of every answer to `POST /v1/query`."""

    request_id: str
    outcome: Outcome
    snapshot: int | None
    coverage: Coverage
    rows: list[dict[str, Any]]
    stats: QueryStats
    bundle_revision: int
    error: ErrorBody | None
    retry_after_ms: int | None


class Partition(NamedTuple):
    """A partition of a shard in one snapshot: `part` of `parts`, counted from 0."""

    shard: str
    part: int
    parts: int


class LegRequest(TypedDict):
    """One request for one partition to one endpoint; `deadline_ms` is the time left when sent.

    `priority` is used by the holder's queue and is not sent to the endpoint.
    """

    leg_id: str
    request_id: str
    endpoint: str
    kind: str
    priority: str
    shard: str
    part: int
    parts: int
    snapshot: int
    deadline_ms: float
    idempotent: bool
    params: dict[str, Any]


class LegOutcome(StrEnum):
    """Result of a leg. Only replies with `OK` carry rows."""

    OK = "ok"
    SHEDDING = "shedding"
    DRAINING = "draining"
    SNAPSHOT_GONE = "snapshot_gone"
    DEADLINE_PASSED = "deadline_passed"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    LOST = "lost"
    PEER_LOST = "peer_lost"


class LegReply(TypedDict):
    """Result of a leg, as the holder of the endpoint reports it.

    `executed` is False only when the leg is known not to have run: nothing was written to the
    endpoint, or the endpoint reported that the leg did not run. `service_ms` is the time from the
    write to the reply at the holder, `queued_ms` the time before the write; both are 0 if unknown.
    """

    leg_id: str
    endpoint: str
    outcome: LegOutcome
    executed: bool
    shard: str
    part: int
    parts: int
    snapshot: int
    rows: list[dict[str, Any]]
    queued_ms: float
    service_ms: float


OnLegReply = Callable[[LegReply], None]
Cancel = Callable[[], None]
SendLegs = Callable[[str, list[LegRequest], OnLegReply], Cancel]
ExecuteLeg = Callable[[LegRequest, OnLegReply], Cancel]
