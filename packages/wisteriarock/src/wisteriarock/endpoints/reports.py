"""Polls the reports of endpoints and probes those with a silent connection."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result, Success

from wisteriarock.observability.logs import log_event

from . import lifecycle
from .connection import EndpointConnection, close_connection, fetch_report
from .const import (
    ONCE_WAIT_MS,
    OWN_LAG_MS,
    PROBE_ATTEMPTS,
    PROBE_GRACE_MS,
    PROBE_REPEAT_MAX_MS,
    PROBE_REPEAT_MS,
)
from .held import (
    ActiveLeg,
    Env,
    HeldEndpoint,
    close_idle_before,
    close_stale,
    count,
    make_room,
    open_new,
)
from .lifecycle import ConnectionState
from .models import EndpointReport
from .suspicion import (
    OpenLeg,
    Probe,
    check_report,
    is_settled,
    is_trusted,
    lost_legs,
    ran_at_probe,
)


class Reporter(NamedTuple):
    """Closures that poll and probe."""

    poll: Callable[[HeldEndpoint], None]
    probe: Callable[[HeldEndpoint], None]


class ReportEvents(NamedTuple):
    """What the reporter calls: a new state or holdings, and possibly more slots."""

    state_changed: Callable[[HeldEndpoint], None]
    slot_free: Callable[[HeldEndpoint], None]


def create_reporter(env: Env, events: ReportEvents) -> Reporter:
    """Return the closures that poll reports and probe silent endpoints."""
    tunables = env.board.settings.tunables

    def take(held: HeldEndpoint, report: EndpointReport, asked_ms: float) -> None:
        legs = [leg for leg in held.legs.values() if leg.written_ms and not leg.done]
        written_ms = [leg.written_ms for leg in legs]
        check = check_report(held.trust, written_ms, report["busy"], asked_ms)
        if check is not None:
            for leg in legs:
                if is_settled(leg.written_ms, asked_ms):
                    leg.check = check
        before = held.life.report
        changed = lifecycle.on_report(held.life, report, env.now_ms(), tunables)
        news = ("incarnation", "slots", "holdings")
        if changed or before is None or any(before[n] != report[n] for n in news):  # type: ignore[literal-required]
            events.state_changed(held)
        events.slot_free(held)

    async def fetch_on_new(
        held: HeldEndpoint,
    ) -> tuple[Result[EndpointReport, str] | None, EndpointConnection | None]:
        """Fetch a report on a new connection; None when the cap leaves no room for one."""
        if not make_room(held):
            return None, None
        connection = open_new(env, held)
        result = await fetch_report(connection, held.name, tunables.report_timeout_ms)
        return result, connection

    def keep_reporter(held: HeldEndpoint, connection: EndpointConnection) -> None:
        """Use a connection for the next reports, in place of the one used so far."""
        old = held.reporter
        if old is connection:
            return
        held.reporter = connection
        if old is not None:
            close_connection(old)

    def is_usable(connection: EndpointConnection | None) -> bool:
        if connection is None or connection.state is not ConnectionState.IDLE:
            return False
        return not connection.wire.is_stale()

    async def poll_once(held: HeldEndpoint) -> None:
        asked_ms = env.now_ms()
        old, held.reporter = held.reporter, None
        silent = False
        if old is not None and is_usable(old):
            result = await fetch_report(old, held.name, tunables.report_timeout_ms)
            if isinstance(result, Success):
                keep_reporter(held, old)
                take(held, result.unwrap(), asked_ms)
                return
            silent = result.failure() == "silent"
        elif old is not None:
            close_connection(old)
        fresh, connection = await fetch_on_new(held)
        if fresh is None or connection is None:
            return
        if isinstance(fresh, Success):
            if silent:
                # The old connection went silent and a new one works: its contemporaries may be
                # silent too.
                closed = close_idle_before(held, asked_ms)
                count(held, "silent_report")
                log_event("silent_connections_closed", endpoint=held.name, closed=closed)
            keep_reporter(held, connection)
            take(held, fresh.unwrap(), asked_ms)
            return
        if not lagged(asked_ms) and lifecycle.on_report_failure(held.life, env.now_ms()):
            events.state_changed(held)

    def lagged(asked_ms: float) -> bool:
        """Tell whether this process itself was late, so that a failure proves nothing."""
        limit_ms = 2 * tunables.report_timeout_ms + tunables.connect_timeout_ms
        return env.now_ms() - asked_ms > limit_ms + OWN_LAG_MS

    def silent_legs(held: HeldEndpoint) -> list[ActiveLeg]:
        return [leg for leg in held.legs.values() if leg.silent_since_ms is not None]

    def open_legs(held: HeldEndpoint, now_ms: float) -> list[OpenLeg]:
        return [
            OpenLeg(
                number,
                leg.written_ms,
                0.0 if leg.silent_since_ms is None else max(1.0, now_ms - leg.silent_since_ms),
            )
            for number, leg in held.legs.items()
            if leg.written_ms and not leg.done
        ]

    def may_end(leg: ActiveLeg, now_ms: float) -> bool:
        """Tell whether a lost leg may lose its connection, on which an answer may yet come."""
        if leg.entry.leg["idempotent"]:
            return True
        return leg.silent_since_ms is not None and now_ms - leg.silent_since_ms > ONCE_WAIT_MS

    def end_lost(held: HeldEndpoint, lost: list[ActiveLeg], blamed: bool) -> None:
        """Close the connections of lost legs.

        If the endpoint is not blamed, it answered a probe: idempotent legs are sent again, and
        idle connections from before the suspicion are closed too.
        """
        now_ms = env.now_ms()
        ended = [leg for leg in lost if may_end(leg, now_ms)]
        closed = len(ended)
        if lost and not blamed:
            closed += close_idle_before(held, min(leg.silent_since_ms or now_ms for leg in lost))
        for leg in ended:
            leg.abandoned = not blamed
            leg.resend = not blamed and leg.entry.leg["idempotent"]
            if leg.connection is not None:
                close_connection(leg.connection)
        if closed:
            count(held, "given_up" if blamed else "replaced")
            log_event("silent_connections_closed", endpoint=held.name, closed=closed)

    async def probe_once(
        held: HeldEndpoint, suspected_ms: float
    ) -> tuple[Result[EndpointReport, str] | None, EndpointConnection | None]:
        """Fetch a report on a connection that was opened after the suspicion."""
        proven = held.reporter
        if proven is not None and is_usable(proven) and proven.opened_ms >= suspected_ms:
            held.reporter = None
            result = await fetch_report(proven, held.name, tunables.report_timeout_ms)
            if isinstance(result, Success):
                return result, proven
        return await fetch_on_new(held)

    async def find_lost(
        held: HeldEndpoint, report: EndpointReport, asked_ms: float, present: list[ActiveLeg]
    ) -> list[ActiveLeg]:
        """Return the silent legs on which the endpoint does not work."""
        answered_ms = env.now_ms()
        # Replies in flight when the probe was answered must not count as lost.
        await asyncio.sleep((PROBE_GRACE_MS + answered_ms - asked_ms) / 1000)
        now_ms = env.now_ms()
        busy = report["busy"] if is_trusted(held.trust, now_ms) else None
        probe = Probe(asked_ms, answered_ms, busy)
        ran = sum(ran_at_probe(probe, leg.written_ms, leg.answered_ms) for leg in present)
        return [held.legs[number] for number in lost_legs(open_legs(held, now_ms), probe, ran)]

    async def probe_until_quiet(held: HeldEndpoint) -> None:
        """Probe while a leg is silent and the endpoint may be working on it."""
        failures = 0
        suspected_ms = env.now_ms()
        wait_ms = PROBE_REPEAT_MS
        while silent_legs(held):
            asked_ms = env.now_ms()
            held.suspicion.clear()
            present = [leg for leg in held.legs.values() if leg.written_ms and not leg.done]
            result, connection = await probe_once(held, suspected_ms)
            if isinstance(result, Success) and connection is not None:
                failures = 0
                keep_reporter(held, connection)
                report = result.unwrap()
                take(held, report, asked_ms)
                lost = await find_lost(held, report, asked_ms, present)
                end_lost(held, lost, blamed=False)
            elif result is not None:
                failures += 0 if lagged(asked_ms) else 1
                if failures < PROBE_ATTEMPTS:
                    continue
                end_lost(held, silent_legs(held), blamed=True)
                if lifecycle.on_report_failure(held.life, env.now_ms()):
                    events.state_changed(held)
            wait_ms = await pause(held, wait_ms)

    async def pause(held: HeldEndpoint, wait_ms: float) -> float:
        """Wait until the next probe, or until another leg is silent; return the next wait."""
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await held.suspicion.wait()
        except TimeoutError:
            return min(2 * wait_ms, PROBE_REPEAT_MAX_MS)
        return PROBE_REPEAT_MS

    def poll(held: HeldEndpoint) -> None:
        close_stale(held)
        if held.poll is None or held.poll.done():
            held.poll = env.spawn(poll_once(held))

    def probe(held: HeldEndpoint) -> None:
        held.suspicion.set()
        if held.probe is None or held.probe.done():
            held.probe = env.spawn(probe_until_quiet(held))

    return Reporter(poll, probe)
