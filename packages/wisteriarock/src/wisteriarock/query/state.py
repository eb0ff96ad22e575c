"""State of a query in flight, and the actions that its events lead to."""

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
    """Call `on_timer` at this time instead of any earlier set one."""

    at_ms: float


class Finish(NamedTuple):
    """The query is over. No action follows."""

    answer: QueryAnswer


Action = SendLeg | CancelLeg | SetTimer | Finish


@dataclass
class SharedState:
    """What the decisions of all queries of a process share.

    Attributes
    ----------
    dropped : dict
        Reason to the number of replies that were not merged.
    restarts : int
        Queries that started again on a newer snapshot.
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
    """A leg that was sent; `is_open` until its reply is taken or it is cancelled."""

    leg_id: str
    endpoint: str
    role: str
    sent_at_ms: float
    slot: "Slot"
    is_open: bool = True


@dataclass(slots=True)
class Slot:
    """A partition of the pinned snapshot and what is known of it.

    Attributes
    ----------
    latency : ServiceLatency
        That of the service to which the primary leg goes.
    rows : list or None
        None until the partition has answered.
    failed : bool
        No further leg may be sent: a leg that must not run twice may have run, or the partition
        is gone from the snapshot.
    tried : list of str
        Endpoints that legs were sent to, in order.
    due_at_ms : float
        Time of the next hedge or retry; infinite if there is none.
    pause_ms : float
        Pause before the next attempt when no replica can be used.
    counted_overdue : bool
        The primary leg was counted as late or in time.
    reason : str
        Why the partition has not answered.
    """

    shard: str
    partition: Partition
    latency: ServiceLatency
    rows: list[dict[str, Any]] | None = None
    failed: bool = False
    open_legs: list[Leg] = field(default_factory=list)
    tried: list[str] = field(default_factory=list)
    hedges: int = 0
    due_at_ms: float = float("inf")
    pause_ms: float = 0.0
    counted_overdue: bool = False
    reason: str = ""


@dataclass(slots=True)
class QueryState:
    """A query in flight.

    Attributes
    ----------
    early_at_ms : float
        From then on the minimum coverage is enough; infinite for kinds that wait for all.
    idempotent : bool
        Its legs may run more than once.
    not_executed : int
        Legs of which the endpoint or its holder said that they did not run.
    shed : bool
        An endpoint refused a leg because of its load.
    leg_prefix : str
        Start of this query's leg ids.
    next_leg : int
        Number of legs sent so far, and the number of the next one.
    legs : dict
        Leg id to leg, of the pinned snapshot only.
    retired : set
        Ids of legs that were cancelled or sent for a former snapshot. Their replies are late.
    unresolved : int
        Partitions that have neither answered nor failed for good.
    leg_counts : dict
        (role, whether it crossed a zone) to the number of legs sent.
    shard_open : dict
        Shard to the number of its partitions that have not answered.
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
    retired: set[str] = field(default_factory=set)
    slots: list[Slot] = field(default_factory=list)
    unresolved: int = 0
    shard_open: dict[str, int] = field(default_factory=dict)
    answered: int = 0
    missing: dict[str, str] = field(default_factory=dict)
    timer_at_ms: float = float("inf")
    leg_counts: dict[tuple[str, bool], int] = field(default_factory=dict)
