"""State of the endpoints held by this instance."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from wisteriarock.blackboard.models import Blackboard
from wisteriarock.bundle.models import EndpointSpec
from wisteriarock.membership.models import EndpointView
from wisteriarock.observability.metrics import Metrics
from wisteriarock.query.models import OnLegReply

from .connection import EndpointConnection, close_connection, create_connection
from .lifecycle import ConnectionState, EndpointLifecycle
from .queue import LegQueue, QueuedLeg, count_waiting
from .suspicion import DoubtfulReport, ReportTrust, ServiceTimeEstimate


class Context(NamedTuple):
    """Dependencies shared by the modules of the endpoints package.

    `spawn` runs a coroutine as a task; an exception in it is a broken invariant and ends the
    controller. `is_paused` returns true while this instance must not send legs.
    """

    board: Blackboard
    metrics: Metrics
    now_ms: Callable[[], float]
    rng: Random
    spawn: Callable[[Coroutine[None, None, None]], asyncio.Task[None]]
    is_paused: Callable[[], bool]


@dataclass(eq=False, slots=True)
class ActiveLeg:
    """A leg at its holder, from its arrival to its reply.

    `done` is set once the leg has been replied to or cancelled. `may_have_run` is set once an
    attempt was written, not answered and repeated. `connection_replaced` is set if the connection
    was closed although the endpoint is healthy, and `resend` if the leg should be sent again.
    `silent_since_ms` is the time at which the silence bound was reached, None before that.
    `doubtful_report` is the last report that should have counted the leg but may have left it out.
    """

    entry: QueuedLeg
    on_reply: OnLegReply
    done: bool = False
    task: asyncio.Task[None] | None = None
    connection: EndpointConnection | None = None
    written_at_ms: float = 0.0
    answered_at_ms: float = 0.0
    received_bytes: int = 0
    silent_since_ms: float | None = None
    doubtful_report: DoubtfulReport | None = None
    resend: bool = False
    connection_replaced: bool = False
    expired: bool = False
    may_have_run: bool = False
    resends: int = 0
    timer: asyncio.TimerHandle | None = None


@dataclass(eq=False, slots=True)
class HeldEndpoint:
    """An endpoint with its queue, its connections and its unfinished legs.

    `releasing` is set while the endpoint is being released: it accepts no new legs, and is removed
    after its last leg has ended.
    """

    name: str
    spec: EndpointSpec
    lifecycle: EndpointLifecycle
    ready_at_ms: float
    queue: LegQueue = field(default_factory=LegQueue)
    legs: dict[int, ActiveLeg] = field(default_factory=dict)
    connections: set[EndpointConnection] = field(default_factory=set)
    idle: list[EndpointConnection] = field(default_factory=list)
    report_connection: EndpointConnection | None = None
    service_times: dict[str, ServiceTimeEstimate] = field(default_factory=dict)
    report_trust: ReportTrust = field(default_factory=ReportTrust)
    connection_closed: asyncio.Event = field(default_factory=asyncio.Event)
    probe_task: asyncio.Task[None] | None = None
    leg_silent_event: asyncio.Event = field(default_factory=asyncio.Event)
    poll_task: asyncio.Task[None] | None = None
    next_poll_at_ms: float = 0.0
    expiry_timer: asyncio.TimerHandle | None = None
    ready_timer: asyncio.TimerHandle | None = None
    releasing: bool = False
    counters: dict[str, int] = field(default_factory=dict)


def count_event(held: HeldEndpoint, event: str) -> None:
    """Count an event; the counters are part of the state dump."""
    held.counters[event] = held.counters.get(event, 0) + 1


def effective_slots(held: HeldEndpoint) -> int:
    """Return how many legs may run; one connection is reserved for reports and probes."""
    slots = held.spec["slots"]
    if held.lifecycle.report is not None:
        slots = min(slots, held.lifecycle.report["slots"])
    return max(1, min(slots, held.spec["connection_cap"] - 1))


def can_open_connection(held: HeldEndpoint) -> bool:
    """Return whether the cap allows another connection; suspect connections count until closed."""
    return len(held.connections) < held.spec["connection_cap"]


def open_connection(context: Context, held: HeldEndpoint) -> EndpointConnection:
    """Create a connection; the caller checks `can_open_connection` first."""

    def on_event(event: str) -> None:
        context.metrics.connection_events.labels(event).inc()
        count_event(held, event)
        if event == "mismatched":
            context.metrics.dropped_replies.labels("mismatched").inc()
        elif event == "closed":
            held.connections.discard(connection)
            context.metrics.connections.dec()
            held.connection_closed.set()

    connection = create_connection(
        held.spec["host"],
        held.spec["port"],
        context.board.settings.tunables.connect_timeout_ms,
        context.now_ms(),
        on_event,
    )
    held.connections.add(connection)
    context.metrics.connections.inc()
    return connection


def pop_idle_connection(held: HeldEndpoint) -> EndpointConnection | None:
    """Return the most recently used idle connection; close stale ones found on the way."""
    while held.idle:
        connection = held.idle.pop()
        if connection.state is ConnectionState.IDLE:
            if not connection.transport.is_stale():
                return connection
            close_connection(connection)
    return None


def close_stale_connections(held: HeldEndpoint) -> None:
    """Close idle connections that the endpoint has closed, as they count towards the cap."""
    stale = [connection for connection in held.idle if connection.transport.is_stale()]
    for connection in stale:
        held.idle.remove(connection)
        close_connection(connection)


def return_to_pool(held: HeldEndpoint, connection: EndpointConnection) -> None:
    """Return a connection to the idle pool; close it instead if the endpoint is being released."""
    if connection.state is not ConnectionState.IDLE:
        return
    if held.releasing:
        close_connection(connection)
        return
    held.idle.append(connection)


def free_connection_slot(held: HeldEndpoint) -> bool:
    """Close idle connections, then the report connection, until the cap allows a new one.

    Return whether it does.
    """
    while not can_open_connection(held) and held.idle:
        close_connection(held.idle.pop(0))
    if not can_open_connection(held) and held.report_connection is not None:
        close_connection(held.report_connection)
        held.report_connection = None
    return can_open_connection(held)


def close_idle_connections_before(held: HeldEndpoint, time_ms: float) -> int:
    """Close the idle connections opened before a given time, and return their number."""
    old = [connection for connection in held.idle if connection.opened_at_ms < time_ms]
    held.idle = [connection for connection in held.idle if connection.opened_at_ms >= time_ms]
    for connection in old:
        close_connection(connection)
    return len(old)


def build_view(held: HeldEndpoint, holder: str, version: int) -> EndpointView:
    """Build the view of the endpoint that is sent to the other instances."""
    report = held.lifecycle.report
    return {
        "endpoint": held.name,
        "holder": holder,
        "version": version,
        "state": held.lifecycle.state,
        "incarnation": held.lifecycle.incarnation,
        "slots": effective_slots(held),
        "busy": len(held.queue.running),
        "queued": count_waiting(held.queue),
        "holdings": report["holdings"] if report is not None else {},
    }
