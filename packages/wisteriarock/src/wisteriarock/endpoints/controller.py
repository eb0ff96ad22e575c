"""Holds endpoints: takes legs, keeps views, polls reports, and hands endpoints over."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from random import Random
from typing import NamedTuple

from wisteriarock.blackboard.models import Blackboard
from wisteriarock.bundle.models import EndpointSpec
from wisteriarock.observability.logs import log_event
from wisteriarock.observability.metrics import Metrics
from wisteriarock.query.models import (
    Cancel,
    ExecuteLeg,
    LegOutcome,
    LegReply,
    LegRequest,
    OnLegReply,
)
from wisteriarock.query.replies import reply_without_rows

from . import lifecycle, queue
from .connection import close_connection
from .const import POLL_JITTER, TICK_MS
from .diagnostics import dump_endpoints
from .held import ActiveLeg, Env, HeldEndpoint, effective_slots
from .legs import LegEvents, create_leg_runner
from .reports import ReportEvents, create_reporter
from .suspicion import least_time_ms
from .views import create_views


class EndpointsController(NamedTuple):
    """Closures over the endpoints that this instance holds.

    Attributes
    ----------
    execute_leg : ExecuteLeg
        Queues a leg and runs it; `on_reply` is called once, never before this returns.
    set_held : callable
        Takes the names of the endpoints to hold and, for new ones, the monotonic time before
        which no leg may be sent. Endpoints that are missing finish their running legs and go.
    pause : callable
        Stops sending legs; with True until the next `set_held`, with False not at all.
    run : callable
        Coroutine that polls reports until it is cancelled; raises when an invariant is broken.
    close : callable
        Coroutine that finishes the legs taken so far, for `drain_grace_ms` at most, and closes
        every connection.
    """

    execute_leg: ExecuteLeg
    set_held: Callable[[frozenset[str], dict[str, float]], None]
    pause: Callable[[bool], None]
    run: Callable[[], Awaitable[None]]
    close: Callable[[], Awaitable[None]]


def endpoint_specs(board: Blackboard) -> dict[str, EndpointSpec]:
    """Return the endpoints of the bundle in force, by name."""
    if board.bundle is None:
        return {}
    services = board.bundle.content["services"].values()
    return {name: spec for service in services for name, spec in service["endpoints"].items()}


def leaving_endpoints(board: Blackboard) -> frozenset[str]:
    """Return the endpoints that the platform's list says are leaving."""
    if board.listed is None:
        return frozenset()
    return frozenset(
        instance["name"]
        for instance in board.listed["instances"]
        if instance["role"] == "endpoint" and instance["state"] == "leaving"
    )


def create_endpoints_controller(
    board: Blackboard,
    metrics: Metrics,
    now_ms: Callable[[], float],
    rng: Random,
    on_views_changed: Callable[[], None],
) -> EndpointsController:
    """Return the closures that hold endpoints.

    Parameters
    ----------
    board : Blackboard
        Read; `held_views` and `held_sequence` are written, and the diagnostics registered.
    metrics : Metrics
        Counted into.
    now_ms : callable
        Monotonic clock.
    rng : Random
        Spreads the polls.
    on_views_changed : callable
        Called after `held_views` changed.
    """
    broken: list[BaseException] = []

    def spawn(coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(note_exception)
        return task

    def note_exception(task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            log_event("invariant_broken", part="endpoints", error=repr(error))
            broken.append(error)

    env = Env(board, metrics, now_ms, rng, spawn, lambda: paused)
    tunables = board.settings.tunables
    held_by_name: dict[str, HeldEndpoint] = {}
    released: set[HeldEndpoint] = set()
    paused = False
    closing = False
    quiet = asyncio.Event()
    seen_list: object = None
    seen_bundle: object = None
    specs: dict[str, EndpointSpec] = {}
    leaving: frozenset[str] = frozenset()
    views = create_views(board, now_ms, on_views_changed)

    def state_changed(held: HeldEndpoint) -> None:
        if held_by_name.get(held.name) is not held:
            return
        if lifecycle.is_draining(held.life):
            answer_dropped(held, queue.drop_all(held.queue, LegOutcome.DRAINING))
            close_idle(held)
        views.publish(held)
        on_views_changed()

    def answer(active: ActiveLeg, outcome: LegOutcome, queued_ms: float) -> None:
        if not active.done:
            active.done = True
            reply = reply_without_rows(active.entry.leg, outcome, False, queued_ms)
            active.on_reply(reply)

    def answer_dropped(held: HeldEndpoint, dropped: list[queue.Dropped]) -> None:
        """Answer legs that left the queue, outside the caller's own call."""
        for entry, outcome in dropped:
            active = held.legs.pop(entry.number)
            metrics.queued_legs.dec()
            queued_ms = now_ms() - entry.arrived_ms
            asyncio.get_running_loop().call_soon(answer, active, outcome, queued_ms)
        if not held.legs:
            quiet.set()

    def on_expiry(held: HeldEndpoint) -> None:
        held.expiry_timer = None
        answer_dropped(held, queue.drop_expired(held.queue, now_ms()))
        arm_expiry(held)

    def arm_expiry(held: HeldEndpoint) -> None:
        if held.expiry_timer is not None:
            held.expiry_timer.cancel()
            held.expiry_timer = None
        expiry_ms = queue.next_expiry_ms(held.queue)
        if expiry_ms is not None:
            delay_ms = max(1.0, expiry_ms - now_ms())
            held.expiry_timer = asyncio.get_running_loop().call_later(
                delay_ms / 1000, on_expiry, held
            )

    def pump(held: HeldEndpoint) -> None:
        """Start waiting legs while slots are free, and end a release when nothing runs."""
        if not paused and now_ms() >= held.ready_at_ms:
            time_ms = now_ms()

            def least_ms(kind: str) -> float:
                return least_time_ms(held.usual.get(kind), time_ms)

            started, dropped = queue.take(held.queue, time_ms, effective_slots(held), least_ms)
            for entry in started:
                metrics.queued_legs.dec()
                runner.start(held, held.legs[entry.number])
            answer_dropped(held, dropped)
        views.load_changed(held)
        if not held.legs:
            quiet.set()
        if held in released and not held.legs:
            end_release(held)

    def probe(held: HeldEndpoint) -> None:
        reporter.probe(held)

    runner = create_leg_runner(env, LegEvents(pump, state_changed, probe))
    reporter = create_reporter(env, ReportEvents(state_changed, pump))

    def execute_leg(leg: LegRequest, on_reply: OnLegReply) -> Cancel:
        held = held_by_name.get(leg["endpoint"])
        if held is None or closing or lifecycle.is_draining(held.life):
            draining = held is not None and not closing
            outcome = LegOutcome.DRAINING if draining else LegOutcome.NOT_SENT
            return answer_soon(reply_without_rows(leg, outcome, False), on_reply)
        max_queued = int(tunables.max_queued_per_endpoint)
        entry, dropped = queue.enqueue(held.queue, leg, now_ms(), max_queued)
        active = ActiveLeg(entry, on_reply)
        held.legs[entry.number] = active
        metrics.queued_legs.inc()
        answer_dropped(held, dropped)
        pump(held)
        if not active.task and not active.done:
            arm_expiry(held)
        return lambda: cancel(held, active)

    def answer_soon(reply: LegReply, on_reply: OnLegReply) -> Cancel:
        return asyncio.get_running_loop().call_soon(on_reply, reply).cancel

    def cancel(held: HeldEndpoint, active: ActiveLeg) -> None:
        if active.done:
            return
        active.done = True
        place = queue.cancel(held.queue, active.entry)
        if place is queue.Place.QUEUED:
            metrics.queued_legs.dec()
            held.legs.pop(active.entry.number, None)
        elif place is queue.Place.RUNNING:
            runner.stop(held, active)
        if place is not None:
            pump(held)

    def begin_holding(name: str, spec: EndpointSpec, ready_at_ms: float) -> None:
        known = board.endpoint_views.get(name)
        life = lifecycle.create_life(known["incarnation"] if known else "")
        held = HeldEndpoint(name, spec, life, ready_at_ms)
        held_by_name[name] = held
        wait_ms = max(0.0, ready_at_ms - now_ms())
        held.next_poll_ms = now_ms() + wait_ms
        if wait_ms:
            held.wake_timer = asyncio.get_running_loop().call_later(wait_ms / 1000, pump, held)
        views.publish(held)

    def move_ready_time(held: HeldEndpoint, ready_at_ms: float) -> None:
        """Start earlier when the former holder has confirmed the release, or later."""
        if ready_at_ms == held.ready_at_ms:
            return
        held.ready_at_ms = ready_at_ms
        if held.wake_timer is not None:
            held.wake_timer.cancel()
        wait_ms = max(0.0, ready_at_ms - now_ms())
        if held.life.report is None:
            held.next_poll_ms = now_ms() + wait_ms
        held.wake_timer = asyncio.get_running_loop().call_later(wait_ms / 1000, pump, held)

    def begin_release(held: HeldEndpoint) -> None:
        del held_by_name[held.name]
        released.add(held)
        held.releasing = True
        answer_dropped(held, queue.drop_all(held.queue, LegOutcome.NOT_SENT))
        close_idle(held)
        if not held.legs:
            end_release(held)

    def close_idle(held: HeldEndpoint) -> None:
        for connection in held.idle:
            close_connection(connection)
        held.idle.clear()

    def take_back(name: str, spec: EndpointSpec) -> bool:
        """Hold an endpoint again whose last legs from here still use its slots."""
        for held in released:
            if held.name == name and address_of(held.spec) == address_of(spec):
                released.discard(held)
                held.releasing = False
                held.spec = spec
                held_by_name[name] = held
                views.publish(held)
                return True
        return False

    def end_release(held: HeldEndpoint) -> None:
        released.discard(held)
        for task in (held.poll, held.probe):
            if task is not None and task is not asyncio.current_task():
                task.cancel()
        for timer in (held.expiry_timer, held.wake_timer):
            if timer is not None:
                timer.cancel()
        for connection in list(held.connections):
            close_connection(connection)
        lifecycle.forget_life(held.life)
        if held.name not in held_by_name:
            views.withdraw(held.name)
            on_views_changed()

    def take_specs() -> None:
        """Use the slots and caps of a new bundle; which endpoints are held is decided elsewhere."""
        nonlocal specs, seen_bundle
        if board.bundle is seen_bundle:
            return
        seen_bundle = board.bundle
        specs = endpoint_specs(board)
        for held in list(held_by_name.values()):
            spec = specs.get(held.name)
            if spec is not None and address_of(spec) == address_of(held.spec):
                held.spec = spec
                pump(held)

    def set_held(names: frozenset[str], ready_at_ms: dict[str, float]) -> None:
        nonlocal paused
        paused = False
        take_specs()
        changed = False
        for name, held in list(held_by_name.items()):
            spec = specs.get(name)
            moved = spec is not None and address_of(spec) != address_of(held.spec)
            if name not in names or spec is None or moved:
                begin_release(held)
                changed = True
            else:
                move_ready_time(held, ready_at_ms.get(name, held.ready_at_ms))
        for name in names - held_by_name.keys():
            if name in specs and not closing:
                changed = True
                if take_back(name, specs[name]):
                    continue
                begin_holding(name, specs[name], ready_at_ms.get(name, now_ms()))
        for held in list(held_by_name.values()):
            pump(held)
        if changed:
            on_views_changed()

    def pause(until_confirmed: bool) -> None:
        nonlocal paused
        paused = until_confirmed
        for held in list(held_by_name.values()):
            pump(held)

    def tick() -> None:
        """Bring states in line with the time and the platform's list, and start due polls."""
        nonlocal seen_list, leaving
        if board.listed is not seen_list:
            seen_list, leaving = board.listed, leaving_endpoints(board)
        take_specs()
        time_ms = now_ms()
        for held in list(held_by_name.values()):
            # A list from before a restart of the endpoint speaks of its former incarnation.
            listed = held.name in leaving and board.listed_at_ms >= held.life.restarted_at_ms
            if lifecycle.on_listed(held.life, listed, time_ms):
                state_changed(held)
            if time_ms >= held.next_poll_ms and not paused:
                jitter = 1 + POLL_JITTER * (rng.random() - 0.5)
                held.next_poll_ms = time_ms + tunables.report_interval_ms * jitter
                reporter.poll(held)

    async def run() -> None:
        while not broken:
            tick()
            await asyncio.sleep(TICK_MS / 1000)
        raise broken[0]

    async def close() -> None:
        nonlocal closing
        closing = True
        try:
            async with asyncio.timeout(tunables.drain_grace_ms / 1000):
                while any(held.legs for held in [*held_by_name.values(), *released]):
                    quiet.clear()
                    await quiet.wait()
        except TimeoutError:
            log_event("legs_interrupted", legs=sum(len(h.legs) for h in held_by_name.values()))
        for held in list(held_by_name.values()):
            begin_release(held)
        for held in list(released):
            # Closing its connection ends a leg as lost, which ends the release.
            for connection in list(held.connections):
                close_connection(connection)
        views.stop()

    board.diagnostics["endpoints"] = lambda: dump_endpoints(
        [*held_by_name.values(), *released], now_ms()
    )
    return EndpointsController(execute_leg, set_held, pause, run, close)


def address_of(spec: EndpointSpec) -> tuple[str, int]:
    """Return where an endpoint listens."""
    return spec["host"], spec["port"]
