"""Polls the reports of endpoints and probes those with a silent connection."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result, Success

from wisteriarock.observability.logs import log_event

from . import lifecycle
from .connection import EndpointConnection, close_connection, fetch_report
from .const import OWN_LAG_MS, PROBE_ATTEMPTS, PROBE_GRACE_MS, PROBE_REPEAT_MAX_MS, PROBE_REPEAT_MS
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
from .suspicion import OpenLeg, check_report, is_settled, is_trusted, lost_legs


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

    def give_up(held: HeldEndpoint) -> None:
        """End the silent legs as lost: the endpoint answers on new connections no more."""
        for leg in silent_legs(held):
            if leg.connection is not None:
                close_connection(leg.connection)

    def replace_lost(held: HeldEndpoint, lost: list[int], suspected_ms: float) -> None:
        """Close the connections of lost legs, which sends the idempotent ones again."""
        closed = close_idle_before(held, suspected_ms)
        for number in lost:
            leg = held.legs[number]
            leg.resend = leg.entry.leg["idempotent"]
            leg.abandoned = True
            if leg.connection is not None:
                close_connection(leg.connection)
        count(held, "replaced")
        closed += len(lost)
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

    async def probe_until_quiet(held: HeldEndpoint) -> None:
        """Probe while a leg is silent and the endpoint may be working on it."""
        failures = 0
        suspected_ms = env.now_ms()
        wait_ms = PROBE_REPEAT_MS
        while silent_legs(held):
            asked_ms = env.now_ms()
            result, connection = await probe_once(held, suspected_ms)
            answered_ms = env.now_ms()
            if isinstance(result, Success) and connection is not None:
                failures = 0
                keep_reporter(held, connection)
                report = result.unwrap()
                take(held, report, asked_ms)
                # Replies in flight when the probe was answered must not count as lost.
                await asyncio.sleep((PROBE_GRACE_MS + answered_ms - asked_ms) / 1000)
                now_ms = env.now_ms()
                busy = report["busy"] if is_trusted(held.trust, now_ms) else None
                lost = lost_legs(open_legs(held, now_ms), asked_ms, answered_ms, busy)
                if busy is None:
                    # Without a proof a leg that may run only once is left alone.
                    lost = [n for n in lost if held.legs[n].entry.leg["idempotent"]]
                if lost:
                    replace_lost(held, lost, asked_ms)
                    wait_ms = PROBE_REPEAT_MS
            elif result is not None:
                failures += 0 if lagged(asked_ms) else 1
                if failures >= PROBE_ATTEMPTS:
                    give_up(held)
                    if lifecycle.on_report_failure(held.life, answered_ms):
                        events.state_changed(held)
                    return
                continue
            await asyncio.sleep(wait_ms / 1000)
            wait_ms = min(2 * wait_ms, PROBE_REPEAT_MAX_MS)

    def poll(held: HeldEndpoint) -> None:
        close_stale(held)
        if held.poll is None or held.poll.done():
            held.poll = env.spawn(poll_once(held))

    def probe(held: HeldEndpoint) -> None:
        if held.probe is None or held.probe.done():
            held.probe = env.spawn(probe_until_quiet(held))

    return Reporter(poll, probe)
