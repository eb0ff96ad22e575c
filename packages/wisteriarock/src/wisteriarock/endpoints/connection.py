"""Connection to an endpoint: an aiosonic client with a pool of size one."""

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
    read_content,
    request,
)
from wisteriarock.wire.silence import inactivity_timeout

from .const import LEG_PATH, MIN_LEG_MS, REPORT_PATH
from .lifecycle import ConnectionState, next_connection_state
from .models import EndpointReport, LegAnswer, LegRefusal, LegResult

_ANSWER_DECODER = msgspec.json.Decoder(LegAnswer)
_REFUSAL_DECODER = msgspec.json.Decoder(LegRefusal)
_REPORT_DECODER = msgspec.json.Decoder(EndpointReport)
_ENCODER = msgspec.json.Encoder()

_REFUSAL_OUTCOMES = {
    "shedding": LegOutcome.SHEDDING,
    "draining": LegOutcome.DRAINING,
    "snapshot_gone": LegOutcome.SNAPSHOT_GONE,
    "deadline_passed": LegOutcome.DEADLINE_PASSED,
    "bad_request": LegOutcome.REFUSED,
}


class _BeforeWriteError(Exception):
    """Aborts a request before its first byte is written."""

    def __init__(self, outcome: LegOutcome) -> None:
        super().__init__(outcome)
        self.outcome = outcome


@dataclass(eq=False, slots=True)
class EndpointConnection:
    """Connection to an endpoint and its state.

    `opened_at_ms` is the monotonic time at which the connection was created.
    """

    channel: HttpChannel
    transport: TrackedConnection
    opened_at_ms: float
    on_event: Callable[[str], None]
    state: ConnectionState = ConnectionState.CONNECTING
    requests: int = 0


def create_connection(
    host: str,
    port: int,
    connect_timeout_ms: float,
    opened_at_ms: float,
    on_event: Callable[[str], None],
) -> EndpointConnection:
    """Create a connection that is opened by its first request.

    Parameters
    ----------
    host, port : str, int
        IP address and port.
    connect_timeout_ms : float
        Connect timeout.
    opened_at_ms : float
        Monotonic time now.
    on_event : callable
        Called with the name of each event: `opened`, `closed`, `refused`, `silent` or
        `mismatched`.
    """
    channel = create_channel(host, port, connect_timeout_ms)
    return EndpointConnection(channel, channel.connection, opened_at_ms, on_event)


def change_state(connection: EndpointConnection, trigger: str) -> None:
    """Apply a trigger to the state machine of the connection."""
    connection.state = next_connection_state(connection.state, trigger)


def close_connection(connection: EndpointConnection) -> None:
    """Close the connection, which cancels its leg at the endpoint; no-op if already closed."""
    if connection.state is ConnectionState.CLOSED:
        return
    change_state(connection, "close")
    close_channel(connection.channel)
    connection.on_event("closed")


def _mark_idle(connection: EndpointConnection) -> None:
    """Mark the connection idle after a complete reply, or close it if it is stale."""
    if connection.state is ConnectionState.CLOSED:
        return
    if connection.transport.is_stale():
        close_connection(connection)
        return
    change_state(connection, "release")


async def _request(
    connection: EndpointConnection,
    method: str,
    path: str,
    body: bytes,
    check_before_write: Callable[[], None],
) -> tuple[int, bytes]:
    """Send a request, and return the status and body of its complete reply.

    Raises
    ------
    Exception
        Any error of aiosonic. The connection is closed first, so that a late reply can't be read
        as the reply to the next request.
    """
    connecting = connection.state is ConnectionState.CONNECTING

    def before_write() -> None:
        check_before_write()
        if connecting:
            connection.on_event("opened")
            if connection.state is ConnectionState.CONNECTING:
                change_state(connection, "connected")

    connection.requests += 1
    if not connecting:
        change_state(connection, "use")
    try:
        response = await request(connection.channel, method, path, body, before_write=before_write)
        content = await read_content(response)
        status: int = response.status_code
    except BaseException:
        close_connection(connection)
        raise
    return status, content


def _encode_leg(leg: LegRequest, deadline_ms: float) -> bytes:
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


def _decode_result(leg: LegRequest, status: int, content: bytes) -> LegResult | None:
    """Decode a reply; return None if it is not a valid reply to this leg."""
    try:
        if status == 200:
            answer = _ANSWER_DECODER.decode(content)
            if answer["leg_id"] != leg["leg_id"]:
                return None
            return LegResult(LegOutcome.OK, True, True, answer)
        refusal = _REFUSAL_DECODER.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    outcome = _REFUSAL_OUTCOMES.get(refusal["code"])
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
    """Send a leg and read its reply; afterwards the connection is idle or closed.

    Parameters
    ----------
    connection : EndpointConnection
        New or idle connection.
    leg : LegRequest
        Leg to send.
    deadline_at_ms : float
        Deadline in monotonic time. It is checked again just before the first byte is written,
        in case the process was paused.
    now_ms : callable
        Monotonic clock.
    may_write : callable
        Called with the current time just before the first byte is written; if it returns an
        outcome, the leg is not sent.

    Returns
    -------
    LegResult
        `REFUSED`, not executed, if the connection failed before anything was written; `LOST`,
        executed, if anything was written and no valid reply to this leg was read.
    """

    def check_before_write() -> None:
        time_ms = now_ms()
        if deadline_at_ms - time_ms < MIN_LEG_MS:
            raise _BeforeWriteError(LegOutcome.DEADLINE_PASSED)
        if (outcome := may_write(time_ms)) is not None:
            raise _BeforeWriteError(outcome)

    body = _encode_leg(leg, max(0.0, deadline_at_ms - now_ms()))
    try:
        status, content = await _request(connection, "POST", LEG_PATH, body, check_before_write)
    except _BeforeWriteError as error:
        return LegResult(error.outcome, False, False)
    except StaleConnectionError:
        return LegResult(LegOutcome.REFUSED, False, False)
    except Exception:
        # aiosonic raises many types of errors; all that matters is whether bytes were written.
        if connection.transport.written:
            return LegResult(LegOutcome.LOST, True, False)
        connection.on_event("refused")
        return LegResult(LegOutcome.REFUSED, False, False)
    result = _decode_result(leg, status, content)
    if result is None:
        connection.on_event("mismatched")
        close_connection(connection)
        return LegResult(LegOutcome.LOST, True, False)
    _mark_idle(connection)
    return result


async def fetch_report(
    connection: EndpointConnection, endpoint: str, timeout_ms: float
) -> Result[EndpointReport, str]:
    """Fetch the report of an endpoint; afterwards the connection is idle or closed.

    Returns
    -------
    Result
        The report, or `silent` after a timeout, or `failed` for any other error.
    """
    try:
        async with inactivity_timeout(timeout_ms / 1000):
            status, content = await _request(connection, "GET", REPORT_PATH, b"", lambda: None)
    except TimeoutError:
        return Failure("silent")
    except Exception:
        return Failure("failed")
    try:
        report = _REPORT_DECODER.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        report = None
    if report is None or status != 200 or report["endpoint"] != endpoint:
        close_connection(connection)
        return Failure("failed")
    _mark_idle(connection)
    return Success(report)
