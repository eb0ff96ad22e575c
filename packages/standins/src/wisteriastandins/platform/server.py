"""Listener, latency, watches and timers of the platform stand-in."""

import asyncio
import random
import time
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from wisteriastandins.http_server import (
    HttpConnection,
    Request,
    Response,
    create_tracking_handlers,
    error_response,
    get_port,
    json_route,
    listen,
    route_requests,
)
from wisteriastandins.process import RunningStandIn, now_ms

from .decide import (
    admit_operation,
    apply_control,
    classify,
    create_state,
    run_operation,
    should_lose_reply,
    watch_response,
)
from .kv import expire_leases, next_expiry_ms
from .models import (
    MAX_WAIT_MS,
    Operation,
    Outage,
    PlatformConfig,
    PlatformControl,
    PlatformState,
)

_UNAVAILABLE = error_response(503, "unavailable", "The platform has an outage.")
_RATE_EXCEEDED = error_response(429, "over_rate", "The rate limit is exceeded.")

ReplyCallback = Callable[[Response], None]
# Callback of a pending watch: called with None when its key has changed, or with a response that
# ends the watch.
WakeCallback = Callable[[Response | None], None]


def _parse_watch_query(request: Request) -> tuple[int, float] | None:
    """Return the revision and the maximum wait in milliseconds, or None if either is no number."""
    try:
        after_revision = int(request.query["after_revision"])
        wait_ms = float(request.query.get("wait_ms", "0"))
    except ValueError:
        return None
    return after_revision, max(0.0, min(wait_ms, MAX_WAIT_MS))


def create_service(
    state: PlatformState, rng: random.Random
) -> tuple[Callable[[HttpConnection, Request], None], Callable[[PlatformControl], str | None]]:
    """Return the handler for platform requests and a function that applies control changes."""
    loop = asyncio.get_running_loop()
    watches_by_key: dict[str, dict[WakeCallback, None]] = defaultdict(dict)
    expiry_timers: list[asyncio.TimerHandle] = []

    def notify_watches() -> None:
        """Notify the watches of changed keys and set the timer for the next lease expiry."""
        changed_keys, state.store.changed_keys = state.store.changed_keys, []
        for key in changed_keys:
            for wake in list(watches_by_key.get(key, ())):
                wake(None)
        while expiry_timers:
            expiry_timers.pop().cancel()
        expires_at_ms = next_expiry_ms(state.store)
        if expires_at_ms is not None:
            expiry_timers.append(loop.call_at(expires_at_ms / 1000, on_expiry))

    def on_expiry() -> None:
        expire_leases(state.store, now_ms())
        notify_watches()

    def half_latency_s() -> float:
        # A call takes effect after half of the latency, so a write may succeed although its caller
        # has stopped waiting.
        return (state.latency_ms + state.slow_ms) / 2000

    def watch(connection: HttpConnection, request: Request, key: str, reply: ReplyCallback) -> None:
        parsed = _parse_watch_query(request)
        if parsed is None:
            reply(error_response(400, "invalid_field", "Not a number.", "after_revision, wait_ms"))
            return
        after_revision, wait_ms = parsed

        def wake(final_response: Response | None) -> None:
            response = final_response or watch_response(state.store, key, after_revision)
            if response is None:
                return
            end_watch()
            if state.outage is not Outage.NO_ANSWER:
                loop.call_later(half_latency_s(), reply, response)

        def end_watch() -> None:
            timer.cancel()
            watches_by_key[key].pop(wake, None)
            if not watches_by_key[key]:
                del watches_by_key[key]

        expire_leases(state.store, now_ms())
        notify_watches()
        timer = loop.call_later(wait_ms / 1000, wake, Response(204))
        watches_by_key[key][wake] = None
        connection.on_abandoned = end_watch
        wake(None)

    def on_request(connection: HttpConnection, request: Request) -> None:
        classified = classify(request)
        if classified is None:
            connection.respond(error_response(404, "not_found", "There is no such resource."))
            return
        operation, key_or_lease_id = classified
        state.calls[operation] += 1

        def reply(response: Response) -> None:
            state.results[f"{operation} {response.status}"] += 1
            connection.respond(response)

        def execute() -> None:
            if operation is Operation.WATCH:
                if connection.transport is None:
                    return
                watch(connection, request, key_or_lease_id, reply)
                return
            wall_ms = time.time() * 1000
            response = run_operation(
                state, operation, key_or_lease_id, request.body, now_ms(), wall_ms
            )
            notify_watches()
            if should_lose_reply(state, operation, response.status, rng):
                state.results[f"{operation} lost"] += 1
                loop.call_later(half_latency_s(), connection.close_gracefully)
            else:
                loop.call_later(half_latency_s(), reply, response)

        if state.outage is Outage.NO_ANSWER:
            state.results[f"{operation} no_answer"] += 1
        elif state.outage is Outage.ERROR:
            reply(_UNAVAILABLE)
        elif not admit_operation(state, operation, now_ms()):
            reply(_RATE_EXCEEDED)
        else:
            loop.call_later(half_latency_s(), execute)

    def change_faults(body: PlatformControl) -> str | None:
        unknown_instance = apply_control(state, body, now_ms())
        if state.outage is Outage.ERROR:
            for wake_callbacks in list(watches_by_key.values()):
                for wake in list(wake_callbacks):
                    wake(_UNAVAILABLE)
        return unknown_instance

    return on_request, change_faults


def describe_platform(state: PlatformState) -> dict[str, Any]:
    """Return the counters and the active faults."""
    return {
        "calls": dict(state.calls),
        "results": dict(state.results),
        "outage": state.outage,
        "slow_ms": state.slow_ms,
        "lost_replies": state.lost_replies,
        "lost_reply_share": state.lost_reply_share,
        "keys": len(state.store.values),
        "leases": len(state.store.leases),
    }


async def start_platform(config: PlatformConfig) -> RunningStandIn:
    """Open the listener, which serves both the platform and the control requests.

    Parameters
    ----------
    config : PlatformConfig
        The validated configuration.

    Returns
    -------
    Started
        Port of the listener, and a function that closes it and its connections.

    Raises
    ------
    OSError
        The port cannot be opened.
    """
    state = create_state(config, now_ms())
    handle_platform_request, change_faults = create_service(
        state, random.Random(config.get("seed", 0))
    )

    async def handle_control(body: PlatformControl) -> Response:
        unknown_instance = change_faults(body)
        if unknown_instance is not None:
            return error_response(400, "unknown_instance", unknown_instance, "$.instances")
        return Response(200, {})

    async def handle_record(_: Request) -> Response:
        return Response(200, describe_platform(state))

    async def handle_reset(_: Request) -> Response:
        state.calls.clear()
        state.results.clear()
        return Response(200, {})

    routes = {
        ("POST", "/control"): json_route(PlatformControl, handle_control),
        ("GET", "/record"): handle_record,
        ("POST", "/reset"): handle_reset,
    }
    handle_control_request = route_requests(routes)

    def on_request(connection: HttpConnection, request: Request) -> None:
        # Control requests are answered during an outage too, without latency or rate limits.
        (
            handle_control_request
            if (request.method, request.path) in routes
            else handle_platform_request
        )(connection, request)

    handlers, close_connections = create_tracking_handlers(on_request)
    server = await listen(handlers, config["host"], config["port"])

    async def stop() -> None:
        server.close()
        close_connections()

    return RunningStandIn(get_port(server), stop)
