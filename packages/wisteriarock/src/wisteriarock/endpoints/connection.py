"""A connection to an endpoint: one aiosonic client with a pool of one."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from wisteriarock.query.models import LegOutcome, LegRequest
from wisteriarock.wire.connection import (
    HttpChannel,
    StaleConnectionError,
    TrackedConnection,
    close_channel,
    create_channel,
    request,
)
from wisteriarock.wire.silence import inactivity_timeout

from .const import MIN_LEG_MS, PATH_LEG, PATH_REPORT
from .lifecycle import ConnectionState, next_connection_state
from .models import EndpointReport, LegAnswer, LegRefusal, LegResult

_ANSWER = msgspec.json.Decoder(LegAnswer)
_REFUSAL = msgspec.json.Decoder(LegRefusal)
_REPORT = msgspec.json.Decoder(EndpointReport)
_ENCODER = msgspec.json.Encoder()

_REFUSALS = {
    "shedding": LegOutcome.SHEDDING,
    "draining": LegOutcome.DRAINING,
    "snapshot_gone": LegOutcome.SNAPSHOT_GONE,
    "deadline_passed": LegOutcome.DEADLINE_PASSED,
    "bad_request": LegOutcome.REFUSED,
}


class _BeforeWriteError(Exception):
    """Stops a request before its first byte is written."""

    def __init__(self, outcome: LegOutcome) -> None:
        super().__init__(outcome)
        self.outcome = outcome


@dataclass(eq=False, slots=True)
class EndpointConnection:
    """A connection and its state; `opened_ms` is when it was asked for."""

    channel: HttpChannel
    wire: TrackedConnection
    opened_ms: float
    on_event: Callable[[str], None]
    state: ConnectionState = ConnectionState.CONNECTING
    requests: int = 0


def create_connection(
    host: str,
    port: int,
    connect_timeout_ms: float,
    opened_ms: float,
    on_event: Callable[[str], None],
) -> EndpointConnection:
    """Return a connection that is opened by its first request.

    Parameters
    ----------
    host, port : str, int
        IP number and port.
    connect_timeout_ms : float
        Longest time to connect.
    opened_ms : float
        Monotonic time now.
    on_event : callable
        Called with `opened`, `closed`, `refused` or `silent`.
    """
    channel = create_channel(host, port, connect_timeout_ms)
    return EndpointConnection(channel, channel.connection, opened_ms, on_event)


def change_state(connection: EndpointConnection, trigger: str) -> None:
    """Move the connection's state machine."""
    connection.state = next_connection_state(connection.state, trigger)


def close_connection(connection: EndpointConnection) -> None:
    """Close at once, which cancels its work at the endpoint; does nothing on a closed one."""
    if connection.state is ConnectionState.CLOSED:
        return
    change_state(connection, "close")
    close_channel(connection.channel)
    connection.on_event("closed")


def _finish(connection: EndpointConnection) -> None:
    """Make the connection idle after a reply that was read whole."""
    if connection.state is ConnectionState.CLOSED:
        return
    if connection.wire.is_stale():
        close_connection(connection)
        return
    change_state(connection, "release")


async def _request(
    connection: EndpointConnection, method: str, path: str, body: bytes, check: Callable[[], None]
) -> tuple[int, bytes]:
    """Send a request and return status and body of a reply that was read whole.

    Raises
    ------
    Exception
        Whatever the library raises; the connection is closed then, so that a late reply can't
        be taken for that of the next request.
    """
    connecting = connection.state is ConnectionState.CONNECTING

    def before_write() -> None:
        check()
        if connecting:
            connection.on_event("opened")
            if connection.state is ConnectionState.CONNECTING:
                change_state(connection, "connected")

    connection.requests += 1
    if not connecting:
        change_state(connection, "use")
    try:
        response = await request(connection.channel, method, path, body, before_write=before_write)
        content: bytes = await response.content()
        status: int = response.status_code
    except BaseException:
        close_connection(connection)
        raise
    return status, content


def _leg_body(leg: LegRequest, deadline_ms: float) -> bytes:
    return _ENCODER.encode(
        {
            "leg_id": leg["leg_id"],
            "request_id": leg["request_id"],
            "kind": leg["kind"],
            "shard": leg["shard"],
            "part": leg["part"],
            "parts": leg["parts"],
            "snapshot": leg["snapshot"],
            "deadline_ms": deadline_ms,
            "idempotent": leg["idempotent"],
            "params": leg["params"],
        }
    )


def _read_result(leg: LegRequest, status: int, content: bytes) -> LegResult | None:
    """Return what a reply says about the leg, None when it is not a reply to this leg."""
    try:
        if status == 200:
            answer = _ANSWER.decode(content)
            if answer["leg_id"] != leg["leg_id"]:
                return None
            return LegResult(LegOutcome.OK, True, True, answer)
        refusal = _REFUSAL.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    outcome = _REFUSALS.get(refusal["code"])
    if refusal["leg_id"] != leg["leg_id"] or outcome is None:
        return None
    return LegResult(outcome, refusal["executed"], True)


async def send_leg(
    connection: EndpointConnection,
    leg: LegRequest,
    deadline_at_ms: float,
    now_ms: Callable[[], float],
    may_write: Callable[[float], LegOutcome | None] = lambda _: None,
) -> LegResult:
    """Send a leg and read its reply; the connection is idle or closed afterwards.

    Parameters
    ----------
    connection : EndpointConnection
        New or idle.
    leg : LegRequest
        The leg.
    deadline_at_ms : float
        Checked again just before the first byte is written, for a process that was paused.
    now_ms : callable
        Monotonic clock.
    may_write : callable
        Called with the time just before the first byte is written; an outcome stops the leg.

    Returns
    -------
    LegResult
        `REFUSED`, not executed, when nothing was written; `LOST`, executed, when no reply to this
        leg was read after the write.
    """

    def check() -> None:
        time_ms = now_ms()
        if deadline_at_ms - time_ms < MIN_LEG_MS:
            raise _BeforeWriteError(LegOutcome.DEADLINE_PASSED)
        if (outcome := may_write(time_ms)) is not None:
            raise _BeforeWriteError(outcome)

    body = _leg_body(leg, max(0.0, deadline_at_ms - now_ms()))
    try:
        status, content = await _request(connection, "POST", PATH_LEG, body, check)
    except _BeforeWriteError as stop:
        return LegResult(stop.outcome, False, False)
    except StaleConnectionError:
        return LegResult(LegOutcome.REFUSED, False, False)
    except Exception:
        # The library raises many types for a broken exchange; only whether bytes left matters.
        if connection.wire.written:
            return LegResult(LegOutcome.LOST, True, False)
        connection.on_event("refused")
        return LegResult(LegOutcome.REFUSED, False, False)
    result = _read_result(leg, status, content)
    if result is None:
        connection.on_event("mismatched")
        close_connection(connection)
        return LegResult(LegOutcome.LOST, True, False)
    _finish(connection)
    return result


async def fetch_report(
    connection: EndpointConnection, endpoint: str, timeout_ms: float
) -> Result[EndpointReport, str]:
    """Fetch the endpoint's report; the connection is idle or closed afterwards.

    Returns
    -------
    Result
        The report, or `silent` when nothing came in time, or `failed`.
    """
    try:
        async with inactivity_timeout(timeout_ms / 1000):
            status, content = await _request(connection, "GET", PATH_REPORT, b"", lambda: None)
    except TimeoutError:
        return Failure("silent")
    except Exception:
        return Failure("failed")
    try:
        report = _REPORT.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError):
        report = None
    if report is None or status != 200 or report["endpoint"] != endpoint:
        close_connection(connection)
        return Failure("failed")
    _finish(connection)
    return Success(report)
