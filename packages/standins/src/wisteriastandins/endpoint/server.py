"""Listener, connections and timers of one endpoint."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any

import msgspec

from wisteriastandins.data import partition_rows
from wisteriastandins.http_server import (
    Handlers,
    HttpConnection,
    Request,
    Response,
    error_response,
    get_port,
    listen,
)
from wisteriastandins.process import now_ms

from .changes import record_report, visible_report
from .legs import cancel_leg, end_running_leg, expire_waiting_leg, receive_leg, start_waiting_legs
from .models import REFUSAL_STATUS, EndpointState, Leg, LegBody, LegPhase, Refusal

MAX_LEG_BYTES = 1_000_000


@dataclass
class EndpointHost:
    """An endpoint with its listener, if open, and its connections."""

    state: EndpointState
    server: asyncio.Server | None = None
    connections: set[HttpConnection] = field(default_factory=set)


@lru_cache(maxsize=10_000)
def _encode_rows(
    shard: str,
    part: int,
    parts: int,
    snapshot: int,
    lots_per_shard: int,
    params: tuple[tuple[str, Any], ...],
) -> msgspec.Raw:
    rows = partition_rows(shard, part, parts, snapshot, lots_per_shard, dict(params))
    return msgspec.Raw(msgspec.json.encode(rows))


def _rows_response(state: EndpointState, body: LegBody) -> Response:
    row_params = tuple(
        (name, body["params"][name]) for name in ("lot", "limit") if name in body["params"]
    )
    shard, part, parts, snapshot = body["shard"], body["part"], body["parts"], body["snapshot"]
    rows = _encode_rows(shard, part, parts, snapshot, state.config["lots_per_shard"], row_params)
    return Response(
        200,
        {
            "leg_id": body["leg_id"],
            "shard": shard,
            "part": part,
            "parts": parts,
            "snapshot": snapshot,
            "rows": rows,
        },
    )


def _refusal_response(leg_id: str, refusal: Refusal) -> Response:
    body = {"leg_id": leg_id, "code": refusal.value, "executed": False}
    return Response(REFUSAL_STATUS[refusal], body)


def _set_timer(leg: Leg, at_ms: float, callback: Callable[..., None], *args: Any) -> None:
    leg.cancel_timer = asyncio.get_running_loop().call_at(at_ms / 1000, callback, *args).cancel


def _schedule_end(state: EndpointState, connection: HttpConnection, leg: Leg) -> None:
    _set_timer(leg, leg.ends_at_ms, _end_leg, state, connection, leg)


def _end_leg(state: EndpointState, connection: HttpConnection, leg: Leg) -> None:
    end_running_leg(state, leg)
    state.counters.most_late_ms = max(state.counters.most_late_ms, now_ms() - leg.ends_at_ms)
    if leg.meets_deadline:
        connection.respond(_rows_response(state, leg.body))
    elif not connection.silent:
        # The leg has started but has no result, so no answer may report it as not run.
        connection.on_abandoned = None
        connection.close()
    fill_slots(state)


def fill_slots(state: EndpointState) -> None:
    """Start waiting legs if slots are free, and record the report if reports are delayed."""
    if state.waiting:
        started, expired = start_waiting_legs(state, now_ms())
        for leg in expired:
            if leg.cancel_timer is not None:
                leg.cancel_timer()
            if leg.on_refused is not None:
                leg.on_refused(Refusal.DEADLINE_PASSED)
        for leg in started:
            if leg.cancel_timer is not None:
                leg.cancel_timer()
            if leg.on_start is not None:
                leg.on_start()
    if state.report_lag_ms > 0:
        record_report(state, now_ms())


def _expire_leg(state: EndpointState, leg: Leg) -> None:
    expire_waiting_leg(state, leg)
    if leg.on_refused is not None:
        leg.on_refused(Refusal.DEADLINE_PASSED)


def _abandon_leg(state: EndpointState, leg: Leg) -> None:
    cancel_leg(state, leg)
    if leg.cancel_timer is not None:
        leg.cancel_timer()
    fill_slots(state)


def decode_leg(raw: bytes) -> LegBody | None:
    """Return the validated body of a leg, or None if it is invalid.

    The common decoder searches for unknown fields at any depth, which would take most of the
    processor time of a leg. A leg has no optional fields, so counting the fields is sufficient.
    """
    if len(raw) > MAX_LEG_BYTES:
        return None
    try:
        value = msgspec.json.decode(raw)
        body = msgspec.convert(value, LegBody)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return body if len(value) == len(LegBody.__required_keys__) else None


def _handle_leg(state: EndpointState, connection: HttpConnection, raw: bytes) -> None:
    body = decode_leg(raw)
    if body is None:
        state.counters.bad_request += 1
        connection.respond(_refusal_response("", Refusal.BAD_REQUEST))
        return
    leg = receive_leg(state, body, now_ms())
    if not isinstance(leg, Leg):
        connection.respond(_refusal_response(body["leg_id"], leg))
        return
    connection.on_abandoned = lambda: _abandon_leg(state, leg)
    if leg.phase is LegPhase.RUNNING:
        _schedule_end(state, connection, leg)
        if state.report_lag_ms > 0:
            record_report(state, now_ms())
        return
    leg.on_start = lambda: _schedule_end(state, connection, leg)
    leg.on_refused = lambda refusal: connection.respond(_refusal_response(body["leg_id"], refusal))
    _set_timer(leg, leg.deadline_at_ms, _expire_leg, state, leg)


def _create_handlers(host: EndpointHost) -> Handlers:
    state = host.state

    def on_request(connection: HttpConnection, request: Request) -> None:
        if request.path == "/leg" and request.method == "POST":
            _handle_leg(state, connection, request.body)
        elif request.path == "/report" and request.method == "GET":
            state.counters.reports += 1
            connection.respond(Response(200, visible_report(state, now_ms())))
        else:
            connection.respond(error_response(404, "not_found", "There is no such resource."))

    def on_open(connection: HttpConnection) -> float | None:
        if len(host.connections) >= state.config["connection_cap"]:
            state.counters.connections_refused += 1
            return None
        host.connections.add(connection)
        state.counters.connections += 1
        peak = max(state.counters.most_connections, len(host.connections))
        state.counters.most_connections = peak
        return state.config["connect_cost_ms"]

    return Handlers(on_request, on_open, host.connections.discard)


async def open_listener(host: EndpointHost) -> None:
    """Open the listener unless it is open. A port chosen by the system is reused later."""
    if host.server is not None:
        return
    config = host.state.config
    host.server = await listen(_create_handlers(host), config["host"], config["port"])
    config["port"] = get_port(host.server)


def close_listener(host: EndpointHost) -> None:
    """Close the listener; connections stay open."""
    if host.server is not None:
        host.server.close()
        host.server = None


def close_connections(host: EndpointHost) -> None:
    """Reset all connections and so cancel their legs."""
    for connection in list(host.connections):
        connection.close()


def silence_connections(host: EndpointHost) -> None:
    """Stop answering on the open connections; they stay open and new ones work."""
    for connection in host.connections:
        connection.silent = True
