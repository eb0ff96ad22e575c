"""State of an endpoint that this instance holds."""

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
from .lifecycle import ConnectionState, EndpointLife
from .queue import LegQueue, QueuedLeg, queued
from .suspicion import ReportCheck, ReportTrust, UsualTime


class Env(NamedTuple):
    """What the parts of the endpoints concern share.

    `spawn` runs a coroutine as a task whose exception, a broken invariant, ends the controller.
    `paused` tells whether this instance may not send legs at present.
    """

    board: Blackboard
    metrics: Metrics
    now_ms: Callable[[], float]
    rng: Random
    spawn: Callable[[Coroutine[None, None, None]], asyncio.Task[None]]
    paused: Callable[[], bool]


@dataclass(eq=False, slots=True)
class ActiveLeg:
    """A leg at its holder, from its arrival to its reply.

    `may_have_run` is set once an attempt was written and not answered. `resend` and `abandoned`
    tell its task why its connection was closed. `silent_since_ms` is
    the time when the bound without a reply byte was reached, None before. `check` is set
    while a report is in doubt that may have left out the leg.
    """

    entry: QueuedLeg
    on_reply: OnLegReply
    done: bool = False
    task: asyncio.Task[None] | None = None
    connection: EndpointConnection | None = None
    written_ms: float = 0.0
    answered_ms: float = 0.0
    received_bytes: int = 0
    silent_since_ms: float | None = None
    check: ReportCheck | None = None
    resend: bool = False
    abandoned: bool = False
    expired: bool = False
    may_have_run: bool = False
    resends: int = 0
    timer: asyncio.TimerHandle | None = None


@dataclass(eq=False, slots=True)
class HeldEndpoint:
    """An endpoint, its queue, its connections and the legs that run.

    `releasing` is set when another instance is to hold it; it goes when its last leg has ended.
    """

    name: str
    spec: EndpointSpec
    life: EndpointLife
    ready_at_ms: float
    queue: LegQueue = field(default_factory=LegQueue)
    legs: dict[int, ActiveLeg] = field(default_factory=dict)
    connections: set[EndpointConnection] = field(default_factory=set)
    idle: list[EndpointConnection] = field(default_factory=list)
    reporter: EndpointConnection | None = None
    usual: dict[str, UsualTime] = field(default_factory=dict)
    trust: ReportTrust = field(default_factory=ReportTrust)
    room: asyncio.Event = field(default_factory=asyncio.Event)
    probe: asyncio.Task[None] | None = None
    suspicion: asyncio.Event = field(default_factory=asyncio.Event)
    poll: asyncio.Task[None] | None = None
    next_poll_ms: float = 0.0
    expiry_timer: asyncio.TimerHandle | None = None
    wake_timer: asyncio.TimerHandle | None = None
    releasing: bool = False
    counters: dict[str, int] = field(default_factory=dict)


def count(held: HeldEndpoint, event: str) -> None:
    """Count an event for the state dump."""
    held.counters[event] = held.counters.get(event, 0) + 1


def effective_slots(held: HeldEndpoint) -> int:
    """Return how many legs may run: one connection of the cap is kept for reports and probes."""
    slots = held.spec["slots"]
    if held.life.report is not None:
        slots = min(slots, held.life.report["slots"])
    return max(1, min(slots, held.spec["connection_cap"] - 1))


def has_room(held: HeldEndpoint) -> bool:
    """Tell whether another connection may be opened; suspect ones count until they are closed."""
    return len(held.connections) < held.spec["connection_cap"]


def open_new(env: Env, held: HeldEndpoint) -> EndpointConnection:
    """Return a new connection; the caller has checked that there is room."""

    def on_event(event: str) -> None:
        env.metrics.connection_events.labels(event).inc()
        count(held, event)
        if event == "mismatched":
            env.metrics.dropped_replies.labels("mismatched").inc()
        elif event == "closed":
            held.connections.discard(connection)
            env.metrics.connections.dec()
            held.room.set()

    connection = create_connection(
        held.spec["host"],
        held.spec["port"],
        env.board.settings.tunables.connect_timeout_ms,
        env.now_ms(),
        on_event,
    )
    held.connections.add(connection)
    env.metrics.connections.inc()
    return connection


def take_idle(held: HeldEndpoint) -> EndpointConnection | None:
    """Return the idle connection that was used last, and close those that are no longer usable."""
    while held.idle:
        connection = held.idle.pop()
        if connection.state is ConnectionState.IDLE:
            if not connection.wire.is_stale():
                return connection
            close_connection(connection)
    return None


def close_stale(held: HeldEndpoint) -> None:
    """Close the idle connections that the endpoint has closed, which would count for the cap."""
    stale = [connection for connection in held.idle if connection.wire.is_stale()]
    for connection in stale:
        held.idle.remove(connection)
        close_connection(connection)


def give_back(held: HeldEndpoint, connection: EndpointConnection) -> None:
    """Keep a connection for the next leg if its reply was read whole."""
    if connection.state is not ConnectionState.IDLE:
        return
    if held.releasing:
        close_connection(connection)
        return
    held.idle.append(connection)


def make_room(held: HeldEndpoint) -> bool:
    """Close idle connections, then the report connection, to get below the cap; tell if it is."""
    while not has_room(held) and held.idle:
        close_connection(held.idle.pop(0))
    if not has_room(held) and held.reporter is not None:
        close_connection(held.reporter)
        held.reporter = None
    return has_room(held)


def close_idle_before(held: HeldEndpoint, time_ms: float) -> int:
    """Close the idle connections that were opened before a time, and return their number."""
    old = [connection for connection in held.idle if connection.opened_ms < time_ms]
    held.idle = [connection for connection in held.idle if connection.opened_ms >= time_ms]
    for connection in old:
        close_connection(connection)
    return len(old)


def view_of(held: HeldEndpoint, holder: str, version: int) -> EndpointView:
    """Return what the other instances are told about the endpoint."""
    report = held.life.report
    return {
        "endpoint": held.name,
        "holder": holder,
        "version": version,
        "state": held.life.state,
        "incarnation": held.life.incarnation,
        "slots": effective_slots(held),
        "busy": len(held.queue.running),
        "queued": queued(held.queue),
        "holdings": report["holdings"] if report is not None else {},
    }
