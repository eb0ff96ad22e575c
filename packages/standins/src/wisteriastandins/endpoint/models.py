"""Configuration, faults, counters and state of stand-in endpoints."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NotRequired, TypedDict

from wisteriastandins.lag import LaggedValue

# Maps a snapshot, as decimal text, to the (shard, part, parts) triples held in it.
Holdings = dict[str, list[tuple[str, int, int]]]

# Service time multiplier of a cold endpoint if the configuration sets none.
DEFAULT_COLD_FACTOR = 3.0
MAX_DRAIN_DELAYS = 10_000


class EndpointConfig(TypedDict):
    """One endpoint in the configuration file. Port 0 lets the operating system choose."""

    name: str
    host: str
    port: int
    slots: int
    connection_cap: int
    connect_cost_ms: float
    service_median_ms: float
    service_sigma: float
    queue_limit: int
    lots_per_shard: int
    cold_ms: float
    cold_factor: NotRequired[float]
    holdings: Holdings


class EndpointsConfig(TypedDict):
    """Configuration file of a process that runs endpoints."""

    zone: str
    control_host: str
    control_port: int
    seed: int
    endpoints: list[EndpointConfig]


class LegBody(TypedDict):
    """Body of `POST /leg`; `deadline_ms` is the remaining time."""

    leg_id: str
    request_id: str
    kind: str
    shard: str
    part: int
    parts: int
    snapshot: int
    deadline_ms: float
    idempotent: bool
    params: dict[str, Any]


class Report(TypedDict):
    """Body of `GET /report`."""

    endpoint: str
    incarnation: str
    state: str
    slots: int
    busy: int
    holdings: Holdings


class ReportLie(TypedDict, total=False):
    """False values that replace fields of a report."""

    state: str
    busy: int


class CopySnapshot(TypedDict):
    """Adds snapshot `target` with the same holdings as `source`."""

    source: int
    target: int


class Repartition(TypedDict):
    """Replaces the partitions of a shard in a snapshot, on endpoints that hold any of them."""

    snapshot: int
    shard: str
    parts: list[tuple[int, int]]


class EndpointChange(TypedDict, total=False):
    """Field `set` of `POST /control`: faults, sizes and holdings.

    `down` closes the listener and resets all connections; false starts the endpoint with a new
    incarnation. `restart` does both. `refuse` closes only the listener. `silence` makes all open
    connections permanently silent. `report_lie` replaces fields of the report; `{}` clears it.
    """

    slots: int
    connection_cap: int
    connect_cost_ms: float
    service_median_ms: float
    service_sigma: float
    queue_limit: int
    cold_ms: float
    cold_factor: float
    straggler_share: float
    straggler_factor: float
    slow_factor: float
    report_lag_ms: float
    report_lie: ReportLie
    drain: bool
    silence: bool
    refuse: bool
    down: bool
    restart: bool
    holdings: Holdings
    add_snapshots: Holdings
    copy_snapshot: CopySnapshot
    drop_snapshots: list[int]
    repartition: Repartition


class EndpointControl(TypedDict):
    """Body of `POST /control`; `match` is a shell-style pattern for endpoint names."""

    match: str
    set: EndpointChange


class EndpointReset(TypedDict, total=False):
    """Body of `POST /reset`; `faults` also restores the configuration of the endpoints."""

    faults: bool


class LegPhase(StrEnum):
    """Processing state of a leg."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"


class Refusal(StrEnum):
    """Codes of the answers to legs that were not run."""

    SHEDDING = "shedding"
    DRAINING = "draining"
    SNAPSHOT_GONE = "snapshot_gone"
    DEADLINE_PASSED = "deadline_passed"
    BAD_REQUEST = "bad_request"


REFUSAL_STATUS = {
    Refusal.SHEDDING: 503,
    Refusal.DRAINING: 503,
    Refusal.SNAPSHOT_GONE: 410,
    Refusal.DEADLINE_PASSED: 408,
    Refusal.BAD_REQUEST: 400,
}


@dataclass(eq=False)
class Leg:
    """A leg at an endpoint. `ends_at_ms` and `meets_deadline` are set when it starts."""

    body: LegBody
    deadline_at_ms: float
    phase: LegPhase = LegPhase.WAITING
    ends_at_ms: float = 0.0
    meets_deadline: bool = False
    cancel_timer: Callable[[], None] | None = None
    on_refused: Callable[[Refusal], None] | None = None
    on_start: Callable[[], None] | None = None


class ExecutedLeg(TypedDict):
    """A non-idempotent leg that was started; `count` is the number of starts."""

    request_id: str
    leg_id: str
    shard: str
    part: int
    parts: int
    count: int


@dataclass
class Counters:
    """Counts since the start or the last reset.

    `most_late_ms` is the longest delay with which the event loop ended a leg. While it is high,
    measured latencies reflect the stand-in rather than its caller. `drain_delays_ms` holds, for up
    to `MAX_DRAIN_DELAYS` legs that arrived after the drain began, the time since it began.
    """

    received: int = 0
    started: int = 0
    finished: int = 0
    cancelled_waiting: int = 0
    cancelled_running: int = 0
    deadline_waiting: int = 0
    deadline_running: int = 0
    shed: int = 0
    draining: int = 0
    snapshot_gone: int = 0
    deadline_passed: int = 0
    bad_request: int = 0
    reports: int = 0
    connections: int = 0
    connections_refused: int = 0
    most_connections: int = 0
    most_slots: int = 0
    most_waiting: int = 0
    most_late_ms: float = 0.0
    legs_after_drain: int = 0
    drain_delays_ms: list[float] = field(default_factory=list)


@dataclass
class EndpointState:
    """State of one endpoint. `config` is a private copy that changes at run time."""

    config: EndpointConfig
    rng: random.Random
    incarnation: str
    started_at_ms: float
    drain_started_at_ms: float | None = None
    down: bool = False
    straggler_share: float = 0.0
    straggler_factor: float = 1.0
    slow_factor: float = 1.0
    report_lag_ms: float = 0.0
    report_lie: ReportLie = field(default_factory=ReportLie)
    held_partitions: dict[int, set[tuple[str, int, int]]] = field(default_factory=dict)
    reports: LaggedValue[Report] = field(default_factory=LaggedValue)
    running: set[Leg] = field(default_factory=set)
    waiting: dict[Leg, None] = field(default_factory=dict)
    counters: Counters = field(default_factory=Counters)
    executed: dict[str, ExecutedLeg] = field(default_factory=dict)
