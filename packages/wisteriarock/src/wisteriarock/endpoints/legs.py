"""Runs legs on connections: timers, repeated attempts and the recording of results."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from wisteriarock.query.models import LegOutcome, LegReply
from wisteriarock.query.replies import reply_without_rows

from . import lifecycle, queue
from .connection import EndpointConnection, change_state, close_connection, send_leg
from .const import MAX_RESENDS
from .held import (
    ActiveLeg,
    Context,
    HeldEndpoint,
    can_open_connection,
    count_event,
    open_connection,
    pop_idle_connection,
    return_to_pool,
)
from .lifecycle import ConnectionState
from .models import LegResult
from .suspicion import ServiceTimeEstimate, add_sample, record_answered_leg, silence_bound_ms


class LegRunner(NamedTuple):
    """Closures that start and stop legs."""

    start: Callable[[HeldEndpoint, ActiveLeg], None]
    stop: Callable[[HeldEndpoint, ActiveLeg], None]


class LegEvents(NamedTuple):
    """Callbacks for a freed slot, a changed endpoint state and a silent leg."""

    slot_free: Callable[[HeldEndpoint], None]
    state_changed: Callable[[HeldEndpoint], None]
    leg_silent: Callable[[HeldEndpoint], None]


def create_leg_runner(context: Context, events: LegEvents) -> LegRunner:
    """Create the closures that run legs on the connections of held endpoints."""
    tunables = context.board.settings.tunables
    leg_seconds = context.metrics.leg_seconds

    async def acquire_connection(held: HeldEndpoint) -> EndpointConnection:
        while True:
            connection = pop_idle_connection(held)
            if connection is not None:
                return connection
            if can_open_connection(held):
                return open_connection(context, held)
            held.connection_closed.clear()
            await held.connection_closed.wait()

    def arm_timer(held: HeldEndpoint, active: ActiveLeg) -> None:
        """Set the leg's timer to its silence bound or its deadline, whichever comes first."""
        if active.timer is not None:
            active.timer.cancel()
        now_ms = context.now_ms()
        time_left_ms = active.entry.deadline_at_ms - now_ms
        estimate = held.service_times.get(active.entry.leg["kind"])
        bound_ms = silence_bound_ms(estimate, tunables.silence_suspect_ms)
        until_silent_ms = (
            active.written_at_ms + bound_ms - now_ms if active.written_at_ms else bound_ms
        )
        if active.silent_since_ms is not None:
            until_silent_ms = time_left_ms
        delay_ms = min(time_left_ms, max(1.0, until_silent_ms))
        active.timer = asyncio.get_running_loop().call_later(
            max(0.0, delay_ms) / 1000, on_timer, held, active
        )

    def on_timer(held: HeldEndpoint, active: ActiveLeg) -> None:
        active.timer = None
        if active.done or active.task is None:
            return
        now_ms = context.now_ms()
        if now_ms >= active.entry.deadline_at_ms:
            active.expired = True
            active.task.cancel()
            return
        connection = active.connection
        estimate = held.service_times.get(active.entry.leg["kind"])
        bound_ms = silence_bound_ms(estimate, tunables.silence_suspect_ms)
        written = connection is not None and connection.transport.written
        if connection is None or not written or now_ms < active.written_at_ms + bound_ms:
            arm_timer(held, active)
            return
        received_bytes = connection.transport.unread_bytes()
        if connection.transport.answered and received_bytes != active.received_bytes:
            # A long reply is still arriving. The leg is silent once no byte arrives for the bound.
            active.received_bytes = received_bytes
            active.written_at_ms = now_ms
            arm_timer(held, active)
            return
        active.silent_since_ms = now_ms
        if connection.state is ConnectionState.BUSY:
            change_state(connection, "suspect")
            connection.on_event("silent")
        arm_timer(held, active)
        events.leg_silent(held)

    async def run_attempt(held: HeldEndpoint, active: ActiveLeg) -> LegResult:
        connection = await acquire_connection(held)
        active.connection = connection
        active.silent_since_ms = None
        active.resend = active.connection_replaced = False
        active.doubtful_report = None
        active.written_at_ms = 0.0
        active.received_bytes = 0
        arm_timer(held, active)

        def may_write(time_ms: float) -> LegOutcome | None:
            # aiosonic can swallow a cancellation while it connects.
            if active.done or context.is_paused():
                return LegOutcome.NOT_SENT
            active.written_at_ms = time_ms
            return None

        entry = active.entry
        result = await send_leg(
            connection, entry.leg, entry.deadline_at_ms, context.now_ms, may_write
        )
        return_to_pool(held, connection)
        return result

    async def run_attempts(held: HeldEndpoint, active: ActiveLeg) -> LegResult:
        while True:
            result = await run_attempt(held, active)
            if result.answered or active.expired:
                return result
            connection = active.connection
            was_reused = connection is not None and connection.requests > 1
            if result.outcome is LegOutcome.REFUSED and was_reused:
                # The endpoint closed the idle connection; nothing was written.
                count_event(held, "stale")
                continue
            if active.resend and active.resends < MAX_RESENDS:
                active.resends += 1
                active.may_have_run = True
                count_event(held, "resent")
                continue
            return result

    def record_result(
        held: HeldEndpoint, active: ActiveLeg, result: LegResult, service_ms: float
    ) -> None:
        """Update the state of the endpoint with the result of a leg."""
        now_ms = context.now_ms()
        changed = False
        if result.outcome is LegOutcome.OK:
            leg_seconds.observe(service_ms / 1000)
            kind = active.entry.leg["kind"]
            add_sample(
                held.service_times.setdefault(kind, ServiceTimeEstimate()), service_ms, now_ms
            )
        if result.answered:
            active.answered_at_ms = now_ms
            lifecycle.on_leg_answered(held.lifecycle)
            if active.doubtful_report is not None:
                record_answered_leg(held.report_trust, active.doubtful_report, now_ms)
        elif (
            result.outcome in (LegOutcome.LOST, LegOutcome.REFUSED)
            and not active.connection_replaced
        ):
            changed = lifecycle.on_leg_failure(held.lifecycle, now_ms, tunables)
        if result.outcome is LegOutcome.DRAINING:
            changed = lifecycle.on_draining_reply(held.lifecycle, now_ms) or changed
        if changed:
            events.state_changed(held)

    def make_reply(active: ActiveLeg, result: LegResult, service_ms: float) -> LegReply:
        entry = active.entry
        started_at_ms = active.written_at_ms or context.now_ms()
        queued_ms = max(0.0, started_at_ms - entry.arrived_at_ms)
        executed = result.executed or active.may_have_run
        reply = reply_without_rows(entry.leg, result.outcome, executed, queued_ms, service_ms)
        if result.answer is not None:
            for field in ("shard", "part", "parts", "snapshot", "rows"):
                reply[field] = result.answer[field]
        return reply

    async def run_leg(held: HeldEndpoint, active: ActiveLeg) -> None:
        result: LegResult | None = None
        try:
            result = await run_attempts(held, active)
        except asyncio.CancelledError:
            if not active.expired:
                raise
            connection = active.connection
            written = connection is not None and connection.transport.written
            result = LegResult(LegOutcome.DEADLINE_PASSED, written, False)
        finally:
            if active.timer is not None:
                active.timer.cancel()
            finish_leg(held, active)
        service_ms = (
            max(0.0, context.now_ms() - active.written_at_ms) if active.written_at_ms else 0.0
        )
        if not active.done:
            active.done = True
            record_result(held, active, result, service_ms)
            active.on_reply(make_reply(active, result, service_ms))
        events.slot_free(held)

    def finish_leg(held: HeldEndpoint, active: ActiveLeg) -> None:
        queue.free_slot(held.queue, active.entry)
        held.legs.pop(active.entry.number, None)
        held.report_trust.last_leg_ended_at_ms = context.now_ms()

    def start(held: HeldEndpoint, active: ActiveLeg) -> None:
        active.task = context.spawn(run_leg(held, active))

    def stop(held: HeldEndpoint, active: ActiveLeg) -> None:
        """Cancel a running leg; closing its connection cancels it at the endpoint as well."""
        if active.task is not None:
            active.task.cancel()
        if active.connection is not None and active.connection.transport.written:
            close_connection(active.connection)
        finish_leg(held, active)

    return LegRunner(start, stop)
