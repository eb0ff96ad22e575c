"""Runs legs on connections: silence timers, second attempts, and accounting."""

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
    Env,
    HeldEndpoint,
    count,
    give_back,
    has_room,
    open_new,
    take_idle,
)
from .lifecycle import ConnectionState
from .models import LegResult
from .suspicion import UsualTime, add_sample, note_answer, silence_bound_ms


class LegRunner(NamedTuple):
    """Closures that run legs."""

    start: Callable[[HeldEndpoint, ActiveLeg], None]
    stop: Callable[[HeldEndpoint, ActiveLeg], None]


class LegEvents(NamedTuple):
    """What the runner calls: a free slot, a new state of an endpoint, a silent leg."""

    slot_free: Callable[[HeldEndpoint], None]
    state_changed: Callable[[HeldEndpoint], None]
    silent: Callable[[HeldEndpoint], None]


def create_leg_runner(env: Env, events: LegEvents) -> LegRunner:
    """Return the closures that run legs on the connections of held endpoints."""
    tunables = env.board.settings.tunables
    leg_seconds = env.metrics.leg_seconds

    async def acquire(held: HeldEndpoint) -> EndpointConnection:
        while True:
            connection = take_idle(held)
            if connection is not None:
                return connection
            if has_room(held):
                return open_new(env, held)
            held.room.clear()
            await held.room.wait()

    def arm(held: HeldEndpoint, active: ActiveLeg) -> None:
        """Set the leg's only timer: at its silence bound, or at its deadline if that is first."""
        if active.timer is not None:
            active.timer.cancel()
        now_ms = env.now_ms()
        left_ms = active.entry.deadline_at_ms - now_ms
        usual = held.usual.get(active.entry.leg["kind"])
        bound_ms = silence_bound_ms(usual, tunables.silence_suspect_ms)
        silent_ms = active.written_ms + bound_ms - now_ms if active.written_ms else bound_ms
        if active.silent_since_ms is not None:
            silent_ms = left_ms
        delay_ms = min(left_ms, max(1.0, silent_ms))
        active.timer = asyncio.get_running_loop().call_later(
            max(0.0, delay_ms) / 1000, on_timer, held, active
        )

    def on_timer(held: HeldEndpoint, active: ActiveLeg) -> None:
        active.timer = None
        if active.done or active.task is None:
            return
        now_ms = env.now_ms()
        if now_ms >= active.entry.deadline_at_ms:
            active.expired = True
            active.task.cancel()
            return
        connection = active.connection
        usual = held.usual.get(active.entry.leg["kind"])
        bound_ms = silence_bound_ms(usual, tunables.silence_suspect_ms)
        written = connection is not None and connection.wire.written
        if connection is None or not written or now_ms < active.written_ms + bound_ms:
            arm(held, active)
            return
        received_bytes = connection.wire.unread_bytes()
        if connection.wire.answered and received_bytes != active.received_bytes:
            # A long reply is on its way; it is silent when it stops for the bound again.
            active.received_bytes = received_bytes
            active.written_ms = now_ms
            arm(held, active)
            return
        active.silent_since_ms = now_ms
        if connection.state is ConnectionState.BUSY:
            change_state(connection, "suspect")
            connection.on_event("silent")
        arm(held, active)
        events.silent(held)

    async def attempt(held: HeldEndpoint, active: ActiveLeg) -> LegResult:
        connection = await acquire(held)
        active.connection = connection
        active.silent_since_ms = None
        active.resend = active.abandoned = False
        active.check = None
        active.written_ms = 0.0
        active.received_bytes = 0
        arm(held, active)

        def may_write(time_ms: float) -> LegOutcome | None:
            # A cancellation can be lost in the library while it connects.
            if active.done or env.paused():
                return LegOutcome.NOT_SENT
            active.written_ms = time_ms
            return None

        entry = active.entry
        result = await send_leg(connection, entry.leg, entry.deadline_at_ms, env.now_ms, may_write)
        give_back(held, connection)
        return result

    async def attempts(held: HeldEndpoint, active: ActiveLeg) -> LegResult:
        while True:
            result = await attempt(held, active)
            if result.answered or active.expired:
                return result
            connection = active.connection
            stale = connection is not None and connection.requests > 1
            if result.outcome is LegOutcome.REFUSED and stale:
                # The other side closed the idle connection; nothing was written.
                count(held, "stale")
                continue
            if active.resend and active.resends < MAX_RESENDS:
                active.resends += 1
                active.may_have_run = True
                count(held, "resent")
                continue
            return result

    def account(
        held: HeldEndpoint, active: ActiveLeg, result: LegResult, service_ms: float
    ) -> None:
        """Let the result count for or against the endpoint."""
        now_ms = env.now_ms()
        changed = False
        if result.outcome is LegOutcome.OK:
            leg_seconds.observe(service_ms / 1000)
            kind = active.entry.leg["kind"]
            add_sample(held.usual.setdefault(kind, UsualTime()), service_ms, now_ms)
        if result.answered:
            active.answered_ms = now_ms
            lifecycle.on_success(held.life)
            if active.check is not None:
                note_answer(held.trust, active.check, now_ms)
        elif result.outcome in (LegOutcome.LOST, LegOutcome.REFUSED) and not active.abandoned:
            changed = lifecycle.on_failure(held.life, now_ms, tunables)
        if result.outcome is LegOutcome.DRAINING:
            changed = lifecycle.on_draining_reply(held.life, now_ms) or changed
        if changed:
            events.state_changed(held)

    def reply_of(active: ActiveLeg, result: LegResult, service_ms: float) -> LegReply:
        entry = active.entry
        started_ms = active.written_ms or env.now_ms()
        queued_ms = max(0.0, started_ms - entry.arrived_ms)
        executed = result.executed or active.may_have_run
        reply = reply_without_rows(entry.leg, result.outcome, executed, queued_ms, service_ms)
        if result.answer is not None:
            for field in ("shard", "part", "parts", "snapshot", "rows"):
                reply[field] = result.answer[field]
        return reply

    async def run(held: HeldEndpoint, active: ActiveLeg) -> None:
        result: LegResult | None = None
        try:
            result = await attempts(held, active)
        except asyncio.CancelledError:
            if not active.expired:
                raise
            connection = active.connection
            written = connection is not None and connection.wire.written
            result = LegResult(LegOutcome.DEADLINE_PASSED, written, False)
        finally:
            if active.timer is not None:
                active.timer.cancel()
            end(held, active)
        service_ms = max(0.0, env.now_ms() - active.written_ms) if active.written_ms else 0.0
        if not active.done:
            active.done = True
            account(held, active, result, service_ms)
            active.on_reply(reply_of(active, result, service_ms))
        events.slot_free(held)

    def end(held: HeldEndpoint, active: ActiveLeg) -> None:
        queue.finish(held.queue, active.entry)
        held.legs.pop(active.entry.number, None)
        held.trust.last_leg_ended_ms = env.now_ms()

    def start(held: HeldEndpoint, active: ActiveLeg) -> None:
        active.task = env.spawn(run(held, active))

    def stop(held: HeldEndpoint, active: ActiveLeg) -> None:
        """Cancel a running leg: its connection is closed, which cancels the endpoint's work."""
        if active.task is not None:
            active.task.cancel()
        if active.connection is not None and active.connection.wire.written:
            close_connection(active.connection)
        end(held, active)

    return LegRunner(start, stop)
