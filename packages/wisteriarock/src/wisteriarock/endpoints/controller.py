"""Manages held endpoints: runs legs, publishes views, polls reports and releases endpoints."""

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
from .const import POLL_JITTER_SHARE, TICK_MS
from .diagnostics import endpoint_diagnostics
from .held import ActiveLeg, Context, HeldEndpoint, effective_slots
from .legs import LegEvents, create_leg_runner
from .reports import ReportEvents, create_report_poller
from .suspicion import min_service_time_ms
from .views import create_view_publisher


class EndpointsController(NamedTuple):
    """Closures over the endpoints that this instance holds.

    Attributes
    ----------
    execute_leg : ExecuteLeg
        Queues a leg and runs it; `on_reply` is called once, never before this returns.
    set_held_endpoints : callable
        Sets the names of the endpoints to hold and, by name, the monotonic times before which no
        leg may be sent. Endpoints not named finish their running legs and are released.
    pause : callable
        With True, stops sending legs until the next `set_held_endpoints`; with False, resumes.
    run : callable
        Coroutine that polls reports until it is cancelled; raises if an invariant is broken.
    close : callable
        Coroutine that waits up to `drain_grace_ms` for accepted legs to end, and closes all
        connections.
    """

    execute_leg: ExecuteLeg
    set_held_endpoints: Callable[[frozenset[str], dict[str, float]], None]
    pause: Callable[[bool], None]
    run: Callable[[], Awaitable[None]]
    close: Callable[[], Awaitable[None]]


def endpoint_specs(board: Blackboard) -> dict[str, EndpointSpec]:
    """Return the endpoints of the active bundle, by name."""
    if board.bundle is None:
        return {}
    services = board.bundle.content["services"].values()
    return {name: spec for service in services for name, spec in service["endpoints"].items()}


def find_leaving_endpoints(board: Blackboard) -> frozenset[str]:
    """Return the endpoints that the platform lists as leaving."""
    if board.instance_list is None:
        return frozenset()
    return frozenset(
        instance["name"]
        for instance in board.instance_list["instances"]
        if instance["role"] == "endpoint" and instance["state"] == "leaving"
    )


def create_endpoints_controller(
    board: Blackboard,
    metrics: Metrics,
    now_ms: Callable[[], float],
    rng: Random,
    on_views_changed: Callable[[], None],
) -> EndpointsController:
    """Create the controller of the endpoints that this instance holds.

    Parameters
    ----------
    board : Blackboard
        Source of settings, bundle and platform list. `held_views` and `held_sequence` are written,
        and the diagnostics are registered.
    metrics : Metrics
        Metrics to update.
    now_ms : callable
        Monotonic clock.
    rng : Random
        Randomises the poll intervals.
    on_views_changed : callable
        Called after `held_views` changed.
    """
    invariant_errors: list[BaseException] = []

    def spawn(coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(record_exception)
        return task

    def record_exception(task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            log_event("invariant_broken", part="endpoints", error=repr(error))
            invariant_errors.append(error)

    context = Context(board, metrics, now_ms, rng, spawn, lambda: paused)
    tunables = board.settings.tunables
    held_by_name: dict[str, HeldEndpoint] = {}
    releasing_endpoints: set[HeldEndpoint] = set()
    paused = False
    closing = False
    endpoint_idle = asyncio.Event()
    applied_list: object = None
    applied_bundle: object = None
    specs: dict[str, EndpointSpec] = {}
    leaving: frozenset[str] = frozenset()
    view_publisher = create_view_publisher(board, now_ms, on_views_changed)

    def state_changed(held: HeldEndpoint) -> None:
        if held_by_name.get(held.name) is not held:
            return
        if lifecycle.is_draining(held.lifecycle):
            reply_to_dropped_legs(held, queue.drop_all(held.queue, LegOutcome.DRAINING))
            close_idle_connections(held)
        view_publisher.publish(held)
        on_views_changed()

    def reply_not_executed(active: ActiveLeg, outcome: LegOutcome, queued_ms: float) -> None:
        if not active.done:
            active.done = True
            reply = reply_without_rows(active.entry.leg, outcome, False, queued_ms)
            active.on_reply(reply)

    def reply_to_dropped_legs(held: HeldEndpoint, dropped: list[queue.DroppedLeg]) -> None:
        """Reply to legs dropped from the queue, after the current call has returned."""
        for entry, outcome in dropped:
            active = held.legs.pop(entry.number)
            metrics.queued_legs.dec()
            queued_ms = now_ms() - entry.arrived_at_ms
            asyncio.get_running_loop().call_soon(reply_not_executed, active, outcome, queued_ms)
        if not held.legs:
            endpoint_idle.set()

    def on_expiry(held: HeldEndpoint) -> None:
        held.expiry_timer = None
        reply_to_dropped_legs(held, queue.drop_expired(held.queue, now_ms()))
        arm_expiry_timer(held)

    def arm_expiry_timer(held: HeldEndpoint) -> None:
        if held.expiry_timer is not None:
            held.expiry_timer.cancel()
            held.expiry_timer = None
        expires_at_ms = queue.next_expiry_at_ms(held.queue)
        if expires_at_ms is not None:
            delay_ms = max(1.0, expires_at_ms - now_ms())
            held.expiry_timer = asyncio.get_running_loop().call_later(
                delay_ms / 1000, on_expiry, held
            )

    def process_queue(held: HeldEndpoint) -> None:
        """Start waiting legs while slots are free, and finish a release after the last leg."""
        if not paused and now_ms() >= held.ready_at_ms:
            time_ms = now_ms()

            def min_service_ms(kind: str) -> float:
                return min_service_time_ms(held.service_times.get(kind), time_ms)

            started, dropped = queue.start_waiting_legs(
                held.queue, time_ms, effective_slots(held), min_service_ms
            )
            for entry in started:
                metrics.queued_legs.dec()
                runner.start(held, held.legs[entry.number])
            reply_to_dropped_legs(held, dropped)
        view_publisher.schedule_load_update(held)
        if not held.legs:
            endpoint_idle.set()
        if held in releasing_endpoints and not held.legs:
            finish_release(held)

    def probe(held: HeldEndpoint) -> None:
        report_poller.probe(held)

    runner = create_leg_runner(context, LegEvents(process_queue, state_changed, probe))
    report_poller = create_report_poller(context, ReportEvents(state_changed, process_queue))

    def execute_leg(leg: LegRequest, on_reply: OnLegReply) -> Cancel:
        held = held_by_name.get(leg["endpoint"])
        if held is None or closing or lifecycle.is_draining(held.lifecycle):
            draining = held is not None and not closing
            outcome = LegOutcome.DRAINING if draining else LegOutcome.NOT_SENT
            return schedule_reply(reply_without_rows(leg, outcome, False), on_reply)
        max_queued = int(tunables.max_queued_per_endpoint)
        entry, dropped = queue.enqueue(held.queue, leg, now_ms(), max_queued)
        active = ActiveLeg(entry, on_reply)
        held.legs[entry.number] = active
        metrics.queued_legs.inc()
        reply_to_dropped_legs(held, dropped)
        process_queue(held)
        if not active.task and not active.done:
            arm_expiry_timer(held)
        return lambda: cancel(held, active)

    def schedule_reply(reply: LegReply, on_reply: OnLegReply) -> Cancel:
        return asyncio.get_running_loop().call_soon(on_reply, reply).cancel

    def cancel(held: HeldEndpoint, active: ActiveLeg) -> None:
        if active.done:
            return
        active.done = True
        location = queue.cancel_leg(held.queue, active.entry)
        if location is queue.LegLocation.QUEUED:
            metrics.queued_legs.dec()
            held.legs.pop(active.entry.number, None)
        elif location is queue.LegLocation.RUNNING:
            runner.stop(held, active)
        if location is not None:
            process_queue(held)

    def hold_endpoint(name: str, spec: EndpointSpec, ready_at_ms: float) -> None:
        previous_view = board.endpoint_views.get(name)
        endpoint_lifecycle = lifecycle.create_lifecycle(
            previous_view["incarnation"] if previous_view else ""
        )
        held = HeldEndpoint(name, spec, endpoint_lifecycle, ready_at_ms)
        held_by_name[name] = held
        wait_ms = max(0.0, ready_at_ms - now_ms())
        held.next_poll_at_ms = now_ms() + wait_ms
        if wait_ms:
            held.ready_timer = asyncio.get_running_loop().call_later(
                wait_ms / 1000, process_queue, held
            )
        view_publisher.publish(held)

    def update_ready_time(held: HeldEndpoint, ready_at_ms: float) -> None:
        """Apply a new ready time: earlier if the previous holder has confirmed, or later."""
        if ready_at_ms == held.ready_at_ms:
            return
        held.ready_at_ms = ready_at_ms
        if held.ready_timer is not None:
            held.ready_timer.cancel()
        wait_ms = max(0.0, ready_at_ms - now_ms())
        if held.lifecycle.report is None:
            held.next_poll_at_ms = now_ms() + wait_ms
        held.ready_timer = asyncio.get_running_loop().call_later(
            wait_ms / 1000, process_queue, held
        )

    def begin_release(held: HeldEndpoint) -> None:
        del held_by_name[held.name]
        releasing_endpoints.add(held)
        held.releasing = True
        reply_to_dropped_legs(held, queue.drop_all(held.queue, LegOutcome.NOT_SENT))
        close_idle_connections(held)
        if not held.legs:
            finish_release(held)

    def close_idle_connections(held: HeldEndpoint) -> None:
        for connection in held.idle:
            close_connection(connection)
        held.idle.clear()

    def reacquire_endpoint(name: str, spec: EndpointSpec) -> bool:
        """Hold an endpoint again while its release is waiting for its last legs.

        Return false if there is no such release.
        """
        for held in releasing_endpoints:
            if held.name == name and get_address(held.spec) == get_address(spec):
                releasing_endpoints.discard(held)
                held.releasing = False
                held.spec = spec
                held_by_name[name] = held
                view_publisher.publish(held)
                return True
        return False

    def finish_release(held: HeldEndpoint) -> None:
        releasing_endpoints.discard(held)
        for task in (held.poll_task, held.probe_task):
            if task is not None and task is not asyncio.current_task():
                task.cancel()
        for timer in (held.expiry_timer, held.ready_timer):
            if timer is not None:
                timer.cancel()
        for connection in list(held.connections):
            close_connection(connection)
        lifecycle.remove_lifecycle(held.lifecycle)
        if held.name not in held_by_name:
            view_publisher.withdraw(held.name)
            on_views_changed()

    def apply_bundle() -> None:
        """Apply the slots and connection caps of a new bundle.

        `set_held_endpoints` selects the endpoints.
        """
        nonlocal specs, applied_bundle
        if board.bundle is applied_bundle:
            return
        applied_bundle = board.bundle
        specs = endpoint_specs(board)
        for held in list(held_by_name.values()):
            spec = specs.get(held.name)
            if spec is not None and get_address(spec) == get_address(held.spec):
                held.spec = spec
                process_queue(held)

    def set_held_endpoints(names: frozenset[str], ready_at_ms: dict[str, float]) -> None:
        nonlocal paused
        paused = False
        apply_bundle()
        changed = False
        for name, held in list(held_by_name.items()):
            spec = specs.get(name)
            address_changed = spec is not None and get_address(spec) != get_address(held.spec)
            if name not in names or spec is None or address_changed:
                begin_release(held)
                changed = True
            else:
                update_ready_time(held, ready_at_ms.get(name, held.ready_at_ms))
        for name in names - held_by_name.keys():
            if name in specs and not closing:
                changed = True
                if reacquire_endpoint(name, specs[name]):
                    continue
                hold_endpoint(name, specs[name], ready_at_ms.get(name, now_ms()))
        for held in list(held_by_name.values()):
            process_queue(held)
        if changed:
            on_views_changed()

    def pause(until_confirmed: bool) -> None:
        nonlocal paused
        paused = until_confirmed
        for held in list(held_by_name.values()):
            process_queue(held)

    def tick() -> None:
        """Update states from the time and the platform's list, and start due polls."""
        nonlocal applied_list, leaving
        if board.instance_list is not applied_list:
            applied_list, leaving = board.instance_list, find_leaving_endpoints(board)
        apply_bundle()
        time_ms = now_ms()
        for held in list(held_by_name.values()):
            # A list from before a restart of the endpoint refers to its previous incarnation.
            listed_as_leaving = (
                held.name in leaving and board.instance_list_at_ms >= held.lifecycle.restarted_at_ms
            )
            if lifecycle.on_platform_list(held.lifecycle, listed_as_leaving, time_ms):
                state_changed(held)
            if time_ms >= held.next_poll_at_ms and not paused:
                jitter = 1 + POLL_JITTER_SHARE * (rng.random() - 0.5)
                held.next_poll_at_ms = time_ms + tunables.report_interval_ms * jitter
                report_poller.poll(held)

    async def run() -> None:
        while not invariant_errors:
            tick()
            await asyncio.sleep(TICK_MS / 1000)
        raise invariant_errors[0]

    async def close() -> None:
        nonlocal closing
        closing = True
        try:
            async with asyncio.timeout(tunables.drain_grace_ms / 1000):
                while any(held.legs for held in [*held_by_name.values(), *releasing_endpoints]):
                    endpoint_idle.clear()
                    await endpoint_idle.wait()
        except TimeoutError:
            log_event(
                "legs_interrupted", legs=sum(len(held.legs) for held in held_by_name.values())
            )
        for held in list(held_by_name.values()):
            begin_release(held)
        for held in list(releasing_endpoints):
            # Closing its connection ends a leg as lost; the last such leg finishes the release.
            for connection in list(held.connections):
                close_connection(connection)
        view_publisher.stop()

    board.diagnostics["endpoints"] = lambda: endpoint_diagnostics(
        [*held_by_name.values(), *releasing_endpoints], now_ms()
    )
    return EndpointsController(execute_leg, set_held_endpoints, pause, run, close)


def get_address(spec: EndpointSpec) -> tuple[str, int]:
    """Return the host and port of an endpoint."""
    return spec["host"], spec["port"]
