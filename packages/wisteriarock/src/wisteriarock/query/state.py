"""State of queries in flight, and the actions of the query state machine."""

from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

from wisteriarock.bundle.models import BudgetSpec, KindSpec
from wisteriarock.routing.models import Routes, RoutingState
from wisteriarock.snapshot.models import HoldingIndex

from .hedging import HedgeState, ServiceLatency
from .models import LegRequest, Partition, QueryAnswer, QueryRequest


class SendLeg(NamedTuple):
    """Send a leg; `role` is `primary`, `hedge` or `retry`."""

    leg: LegRequest
    role: str


class CancelLeg(NamedTuple):
    """Cancel a leg whose reply is no longer needed."""

    leg_id: str
    endpoint: str


class SetTimer(NamedTuple):
    """Call `on_timer` at this time. Replaces the previous timer."""

    at_ms: float


class Finish(NamedTuple):
    """Return the answer. This is the last action of a query."""

    answer: QueryAnswer


Action = SendLeg | CancelLeg | SetTimer | Finish


@dataclass
class SharedState:
    """State shared by all queries of a process.

    Attributes
    ----------
    dropped : dict
        Number of replies that were not merged, by reason.
    restarts : int
        Number of restarts of queries on a newer snapshot.
    next_query : int
        Number of the next query; part of its leg ids, since two callers may use the same request
        id at the same time.
    """

    index: HoldingIndex
    routing: RoutingState
    hedging: HedgeState
    rng: Random
    dropped: dict[str, int] = field(default_factory=dict)
    restarts: int = 0
    next_query: int = 0


@dataclass(slots=True)
class Leg:
    """A leg that was sent; `is_open` until it is answered or cancelled."""

    leg_id: str
    endpoint: str
    role: str
    sent_at_ms: float
    subquery: "Subquery"
    is_open: bool = True


@dataclass(slots=True)
class Subquery:
    """The part of a query that covers one partition of the pinned snapshot.

    Attributes
    ----------
    latency : ServiceLatency
        Latency record of the service that the primary leg goes to.
    rows : list or None
        None until the partition has answered.
    failed : bool
        Whether no further leg may be sent: a leg that must not run twice may have run, or the
        snapshot of the partition is gone.
    tried_endpoints : list of str
        Endpoints that legs were sent to, in order.
    next_attempt_at_ms : float
        Time of the next hedge or retry; infinite if there is none.
    backoff_ms : float
        Last backoff before an attempt when no replica could be used.
    overdue_recorded : bool
        Whether the primary leg has been counted as overdue or in time.
    reason : str
        Reason why the partition has not answered.
    """

    shard: str
    partition: Partition
    latency: ServiceLatency
    rows: list[dict[str, Any]] | None = None
    failed: bool = False
    open_legs: list[Leg] = field(default_factory=list)
    tried_endpoints: list[str] = field(default_factory=list)
    hedges: int = 0
    next_attempt_at_ms: float = float("inf")
    backoff_ms: float = 0.0
    overdue_recorded: bool = False
    reason: str = ""


@dataclass(slots=True)
class QueryState:
    """A query in flight.

    Attributes
    ----------
    early_at_ms : float
        Time from which the minimum coverage is enough for an answer; infinite for kinds that wait
        for all shards.
    idempotent : bool
        Whether its legs may run more than once.
    not_executed : int
        Number of legs that the endpoint or its holder reported as not run.
    shed : bool
        Whether an endpoint refused a leg because of its load.
    leg_prefix : str
        Prefix of this query's leg ids.
    next_leg : int
        Number of legs sent so far, and hence the number of the next leg, counted from 0.
    legs : dict
        Legs for the pinned snapshot by leg id.
    obsolete_leg_ids : set
        Ids of legs that were cancelled or sent for a previous snapshot. Replies to them are dropped
        as late.
    unresolved : int
        Number of subqueries that have neither been answered nor failed.
    leg_counts : dict
        Number of legs sent, by role and whether the leg crossed zones.
    unanswered_by_shard : dict
        Number of unanswered partitions by shard.
    """

    request: QueryRequest
    kind: KindSpec
    budgets: BudgetSpec
    routes: Routes
    bundle_revision: int
    started_at_ms: float
    early_at_ms: float
    idempotent: bool
    snapshot: int | None = None
    not_executed: int = 0
    shed: bool = False
    finished: bool = False
    restarts: int = 0
    next_query: int = 0
    leg_prefix: str = ""
    next_leg: int = 0
    legs: dict[str, Leg] = field(default_factory=dict)
    obsolete_leg_ids: set[str] = field(default_factory=set)
    subqueries: list[Subquery] = field(default_factory=list)
    unresolved: int = 0
    unanswered_by_shard: dict[str, int] = field(default_factory=dict)
    answered: int = 0
    missing: dict[str, str] = field(default_factory=dict)
    timer_at_ms: float = float("inf")
    leg_counts: dict[tuple[str, bool], int] = field(default_factory=dict)
