"""Polls the reports of endpoints and probes those with a silent connection."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result, Success

from wisteriarock.observability.logs import log_event

from . import lifecycle
from .connection import EndpointConnection, close_connection, fetch_report
from .const import PROBE_ATTEMPTS, PROBE_GRACE_MS, PROBE_REPEAT_MS
from .held import Env, HeldEndpoint, close_idle_before, count, make_room, open_new
from .lifecycle import ConnectionState
from .models import EndpointReport
from .suspicion import OpenLeg, lost_legs


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

    def take(held: HeldEndpoint, report: EndpointReport) -> None:
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

    async def poll_once(held: HeldEndpoint) -> None:
        asked_ms = env.now_ms()
        old, held.reporter = held.reporter, None
        if old is not None and old.state is ConnectionState.IDLE and not old.wire.is_stale():
            result = await fetch_report(old, held.name, tunables.report_timeout_ms)
            if isinstance(result, Success):
                keep_reporter(held, old)
                take(held, result.unwrap())
                return
            silent = result.failure() == "silent"
        else:
            silent = False
            if old is not None:
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
            take(held, fresh.unwrap())
            return
        if lifecycle.on_report_failure(held.life, env.now_ms()):
            events.state_changed(held)

    def silent_legs(held: HeldEndpoint) -> list[int]:
        return [number for number, active in held.legs.items() if active.silent]

    def give_up(held: HeldEndpoint) -> None:
        """End the silent legs as lost: the endpoint answers on new connections no more."""
        for number in silent_legs(held):
            connection = held.legs[number].connection
            if connection is not None:
                close_connection(connection)

    def replace_lost(held: HeldEndpoint, lost: list[int], suspected_ms: float) -> None:
        closed = close_idle_before(held, suspected_ms)
        for number in lost:
            active = held.legs[number]
            active.resend = active.entry.leg["idempotent"]
            active.abandoned = True
            if active.connection is not None:
                close_connection(active.connection)
        count(held, "replaced")
        log_event("silent_connections_closed", endpoint=held.name, closed=closed + len(lost))

    async def probe_until_quiet(held: HeldEndpoint) -> None:
        """Probe while a leg is silent and the endpoint may be working on it."""
        failures = 0
        while silent_legs(held):
            asked_ms = env.now_ms()
            result, connection = await fetch_on_new(held)
            answered_ms = env.now_ms()
            if result is None or connection is None:
                await asyncio.sleep(PROBE_REPEAT_MS / 1000)
                continue
            if not isinstance(result, Success):
                failures += 1
                if failures >= PROBE_ATTEMPTS:
                    give_up(held)
                    if lifecycle.on_report_failure(held.life, answered_ms):
                        events.state_changed(held)
                    return
                continue
            failures = 0
            report = result.unwrap()
            keep_reporter(held, connection)
            take(held, report)
            # Replies in flight when the probe was answered must not count as lost.
            await asyncio.sleep((PROBE_GRACE_MS + answered_ms - asked_ms) / 1000)
            still = [
                OpenLeg(number, active.written_ms, active.silent)
                for number, active in held.legs.items()
                if active.written_ms and active.connection is not None
            ]
            lost = lost_legs(still, asked_ms, answered_ms, report["busy"])
            if lost:
                replace_lost(held, lost, asked_ms)
                await asyncio.sleep(0)
                continue
            await asyncio.sleep(PROBE_REPEAT_MS / 1000)

    def poll(held: HeldEndpoint) -> None:
        if held.poll is None or held.poll.done():
            held.poll = env.spawn(poll_once(held))

    def probe(held: HeldEndpoint) -> None:
        if held.probe is None or held.probe.done():
            held.probe = env.spawn(probe_until_quiet(held))

    return Reporter(poll, probe)
