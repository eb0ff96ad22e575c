"""Polls the reports of endpoints and probes endpoints with silent legs."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from returns.result import Result, Success

from wisteriarock.observability.logs import log_event

from . import lifecycle
from .connection import EndpointConnection, close_connection, fetch_report
from .const import (
    MAX_PROBE_FAILURES,
    NON_IDEMPOTENT_WAIT_MS,
    PROBE_GRACE_MS,
    PROBE_REPEAT_MAX_MS,
    PROBE_REPEAT_MIN_MS,
    PROCESS_LAG_MS,
)
from .held import (
    ActiveLeg,
    Context,
    HeldEndpoint,
    close_idle_connections_before,
    close_stale_connections,
    count_event,
    free_connection_slot,
    open_connection,
)
from .lifecycle import ConnectionState
from .models import EndpointReport
from .suspicion import (
    ProbeResult,
    UnansweredLeg,
    check_report,
    is_expected_in_report,
    is_trusted,
    select_lost_legs,
    was_running_at_probe,
)


class ReportPoller(NamedTuple):
    """Closures that start a poll or a probe of an endpoint."""

    poll: Callable[[HeldEndpoint], None]
    probe: Callable[[HeldEndpoint], None]


class ReportEvents(NamedTuple):
    """Callbacks for changed states, slots or holdings, and for slots that may have become free."""

    state_changed: Callable[[HeldEndpoint], None]
    slot_free: Callable[[HeldEndpoint], None]


def create_report_poller(context: Context, events: ReportEvents) -> ReportPoller:
    """Create the closures that poll reports and probe silent endpoints."""
    tunables = context.board.settings.tunables

    def apply_report(held: HeldEndpoint, report: EndpointReport, requested_at_ms: float) -> None:
        legs = [leg for leg in held.legs.values() if leg.written_at_ms and not leg.done]
        written_at_ms = [leg.written_at_ms for leg in legs]
        doubtful_report = check_report(
            held.report_trust, written_at_ms, report["busy"], requested_at_ms
        )
        if doubtful_report is not None:
            for leg in legs:
                if is_expected_in_report(leg.written_at_ms, requested_at_ms):
                    leg.doubtful_report = doubtful_report
        previous = held.lifecycle.report
        changed = lifecycle.on_report(held.lifecycle, report, context.now_ms(), tunables)
        published_fields = ("incarnation", "slots", "holdings")
        if changed or previous is None or any(previous[n] != report[n] for n in published_fields):  # type: ignore[literal-required]
            events.state_changed(held)
        events.slot_free(held)

    async def fetch_on_new_connection(
        held: HeldEndpoint,
    ) -> tuple[Result[EndpointReport, str] | None, EndpointConnection | None]:
        """Fetch a report on a new connection; None if the connection cap does not allow one."""
        if not free_connection_slot(held):
            return None, None
        connection = open_connection(context, held)
        result = await fetch_report(connection, held.name, tunables.report_timeout_ms)
        return result, connection

    def replace_report_connection(held: HeldEndpoint, connection: EndpointConnection) -> None:
        """Use a connection for the next reports, and close the previous one."""
        old_connection = held.report_connection
        if old_connection is connection:
            return
        held.report_connection = connection
        if old_connection is not None:
            close_connection(old_connection)

    def is_usable(connection: EndpointConnection | None) -> bool:
        if connection is None or connection.state is not ConnectionState.IDLE:
            return False
        return not connection.transport.is_stale()

    async def poll_once(held: HeldEndpoint) -> None:
        requested_at_ms = context.now_ms()
        old_connection, held.report_connection = held.report_connection, None
        silent = False
        if old_connection is not None and is_usable(old_connection):
            result = await fetch_report(old_connection, held.name, tunables.report_timeout_ms)
            if isinstance(result, Success):
                replace_report_connection(held, old_connection)
                apply_report(held, result.unwrap(), requested_at_ms)
                return
            silent = result.failure() == "silent"
        elif old_connection is not None:
            close_connection(old_connection)
        new_result, connection = await fetch_on_new_connection(held)
        if new_result is None or connection is None:
            return
        if isinstance(new_result, Success):
            if silent:
                # The old connection went silent while a new one works, so idle connections opened
                # earlier may be silent as well.
                closed = close_idle_connections_before(held, requested_at_ms)
                count_event(held, "silent_report")
                log_event("silent_connections_closed", endpoint=held.name, closed=closed)
            replace_report_connection(held, connection)
            apply_report(held, new_result.unwrap(), requested_at_ms)
            return
        if not was_process_delayed(requested_at_ms) and lifecycle.on_report_failure(
            held.lifecycle, context.now_ms()
        ):
            events.state_changed(held)

    def was_process_delayed(requested_at_ms: float) -> bool:
        """Return whether this process was delayed, so that a failure is no evidence."""
        limit_ms = 2 * tunables.report_timeout_ms + tunables.connect_timeout_ms
        return context.now_ms() - requested_at_ms > limit_ms + PROCESS_LAG_MS

    def find_silent_legs(held: HeldEndpoint) -> list[ActiveLeg]:
        return [leg for leg in held.legs.values() if leg.silent_since_ms is not None]

    def list_unanswered_legs(held: HeldEndpoint, now_ms: float) -> list[UnansweredLeg]:
        return [
            UnansweredLeg(
                number,
                leg.written_at_ms,
                0.0 if leg.silent_since_ms is None else max(1.0, now_ms - leg.silent_since_ms),
            )
            for number, leg in held.legs.items()
            if leg.written_at_ms and not leg.done
        ]

    def may_close_connection(leg: ActiveLeg, now_ms: float) -> bool:
        """Return whether to close the connection of a lost leg, which may still be answered."""
        if leg.entry.leg["idempotent"]:
            return True
        return (
            leg.silent_since_ms is not None
            and now_ms - leg.silent_since_ms > NON_IDEMPOTENT_WAIT_MS
        )

    def close_lost_legs(held: HeldEndpoint, lost: list[ActiveLeg], endpoint_failed: bool) -> None:
        """Close the connections of lost legs.

        Unless `endpoint_failed`, the endpoint answered a probe: idempotent legs are sent again, and
        idle connections opened before the first leg went silent are closed as well.
        """
        now_ms = context.now_ms()
        closable = [leg for leg in lost if may_close_connection(leg, now_ms)]
        closed = len(closable)
        if lost and not endpoint_failed:
            closed += close_idle_connections_before(
                held, min(leg.silent_since_ms or now_ms for leg in lost)
            )
        for leg in closable:
            leg.connection_replaced = not endpoint_failed
            leg.resend = not endpoint_failed and leg.entry.leg["idempotent"]
            if leg.connection is not None:
                close_connection(leg.connection)
        if closed:
            count_event(held, "given_up" if endpoint_failed else "replaced")
            log_event("silent_connections_closed", endpoint=held.name, closed=closed)

    async def probe_once(
        held: HeldEndpoint, suspected_at_ms: float
    ) -> tuple[Result[EndpointReport, str] | None, EndpointConnection | None]:
        """Fetch a report on a connection opened after the first leg was found silent."""
        recent_connection = held.report_connection
        if (
            recent_connection is not None
            and is_usable(recent_connection)
            and recent_connection.opened_at_ms >= suspected_at_ms
        ):
            held.report_connection = None
            result = await fetch_report(recent_connection, held.name, tunables.report_timeout_ms)
            if isinstance(result, Success):
                return result, recent_connection
        return await fetch_on_new_connection(held)

    async def find_lost_legs(
        held: HeldEndpoint,
        report: EndpointReport,
        requested_at_ms: float,
        unanswered_at_request: list[ActiveLeg],
    ) -> list[ActiveLeg]:
        """Return the silent legs that the endpoint is not working on."""
        answered_at_ms = context.now_ms()
        # Legs whose replies were in flight when the probe was answered must not count as lost.
        await asyncio.sleep((PROBE_GRACE_MS + answered_at_ms - requested_at_ms) / 1000)
        now_ms = context.now_ms()
        busy = report["busy"] if is_trusted(held.report_trust, now_ms) else None
        probe = ProbeResult(requested_at_ms, answered_at_ms, busy)
        answered_since = sum(
            was_running_at_probe(probe, leg.written_at_ms, leg.answered_at_ms)
            for leg in unanswered_at_request
        )
        return [
            held.legs[number]
            for number in select_lost_legs(
                list_unanswered_legs(held, now_ms), probe, answered_since
            )
        ]

    async def probe_while_silent(held: HeldEndpoint) -> None:
        """Probe the endpoint repeatedly while any of its legs is silent."""
        failures = 0
        suspected_at_ms = context.now_ms()
        wait_ms = PROBE_REPEAT_MIN_MS
        while find_silent_legs(held):
            requested_at_ms = context.now_ms()
            held.leg_silent_event.clear()
            unanswered_at_request = [
                leg for leg in held.legs.values() if leg.written_at_ms and not leg.done
            ]
            result, connection = await probe_once(held, suspected_at_ms)
            if isinstance(result, Success) and connection is not None:
                failures = 0
                replace_report_connection(held, connection)
                report = result.unwrap()
                apply_report(held, report, requested_at_ms)
                lost = await find_lost_legs(held, report, requested_at_ms, unanswered_at_request)
                close_lost_legs(held, lost, endpoint_failed=False)
            elif result is not None:
                failures += 0 if was_process_delayed(requested_at_ms) else 1
                if failures < MAX_PROBE_FAILURES:
                    continue
                close_lost_legs(held, find_silent_legs(held), endpoint_failed=True)
                if lifecycle.on_report_failure(held.lifecycle, context.now_ms()):
                    events.state_changed(held)
            wait_ms = await wait_for_next_probe(held, wait_ms)

    async def wait_for_next_probe(held: HeldEndpoint, wait_ms: float) -> float:
        """Wait for the next probe or until another leg is silent; return the wait after that."""
        try:
            async with asyncio.timeout(wait_ms / 1000):
                await held.leg_silent_event.wait()
        except TimeoutError:
            return min(2 * wait_ms, PROBE_REPEAT_MAX_MS)
        return PROBE_REPEAT_MIN_MS

    def poll(held: HeldEndpoint) -> None:
        close_stale_connections(held)
        if held.poll_task is None or held.poll_task.done():
            held.poll_task = context.spawn(poll_once(held))

    def probe(held: HeldEndpoint) -> None:
        held.leg_silent_event.set()
        if held.probe_task is None or held.probe_task.done():
            held.probe_task = context.spawn(probe_while_silent(held))

    return ReportPoller(poll, probe)
