"""Listener, latency, watches and timers of the platform."""

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
    error_response,
    json_route,
    listen,
    port_of,
    route_requests,
    tracked_handlers,
)
from wisteriastandins.process import RunningStandIn, now_ms

from .decide import (
    admit_operation,
    apply_control,
    classify,
    create_state,
    loses_reply,
    run_operation,
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
_OVER_RATE = error_response(429, "over_rate", "The rate limit is exceeded.")

Reply = Callable[[Response], None]
# A waiting watch: called with None when its key has changed, with a response to end it.
Wake = Callable[[Response | None], None]


def _watch_times(request: Request) -> tuple[int, float] | None:
    """Return the revision and the longest wait in milliseconds, or None if they are no numbers."""
    try:
        after_revision = int(request.query["after_revision"])
        wait_ms = float(request.query.get("wait_ms", "0"))
    except ValueError:
        return None
    return after_revision, max(0.0, min(wait_ms, MAX_WAIT_MS))


def create_service(
    state: PlatformState, rng: random.Random
) -> tuple[Callable[[HttpConnection, Request], None], Callable[[PlatformControl], str | None]]:
    """Return the handler of the platform's requests and the function that changes its faults."""
    loop = asyncio.get_running_loop()
    waiting: dict[str, dict[Wake, None]] = defaultdict(dict)
    expiry: list[asyncio.TimerHandle] = []

    def serve_changes() -> None:
        """Wake the watches of changed keys and set the timer for the next lease that ends."""
        changed, state.store.changed = state.store.changed, []
        for key in changed:
            for wake in list(waiting.get(key, ())):
                wake(None)
        while expiry:
            expiry.pop().cancel()
        due_ms = next_expiry_ms(state.store)
        if due_ms is not None:
            expiry.append(loop.call_at(due_ms / 1000, on_expiry))

    def on_expiry() -> None:
        expire_leases(state.store, now_ms())
        serve_changes()

    def half_latency_s() -> float:
        # A call takes effect half-way, so that a caller that gives up early may still have written.
        return (state.latency_ms + state.slow_ms) / 2000

    def watch(connection: HttpConnection, request: Request, key: str, reply: Reply) -> None:
        times = _watch_times(request)
        if times is None:
            reply(error_response(400, "invalid_field", "Not a number.", "after_revision, wait_ms"))
            return
        after_revision, wait_ms = times

        def wake(ended: Response | None) -> None:
            response = ended or watch_response(state.store, key, after_revision)
            if response is None:
                return
            give_up()
            if state.outage is not Outage.NO_ANSWER:
                loop.call_later(half_latency_s(), reply, response)

        def give_up() -> None:
            timer.cancel()
            waiting[key].pop(wake, None)
            if not waiting[key]:
                del waiting[key]

        expire_leases(state.store, now_ms())
        serve_changes()
        timer = loop.call_later(wait_ms / 1000, wake, Response(204))
        waiting[key][wake] = None
        connection.on_abandoned = give_up
        wake(None)

    def on_request(connection: HttpConnection, request: Request) -> None:
        classified = classify(request)
        if classified is None:
            connection.respond(error_response(404, "not_found", "There is no such resource."))
            return
        operation, name = classified
        state.calls[operation] += 1

        def reply(response: Response) -> None:
            state.results[f"{operation} {response.status}"] += 1
            connection.respond(response)

        def run() -> None:
            if operation is Operation.WATCH:
                if connection.transport is None:
                    return
                watch(connection, request, name, reply)
                return
            wall_ms = time.time() * 1000
            response = run_operation(state, operation, name, request.body, now_ms(), wall_ms)
            serve_changes()
            if loses_reply(state, operation, response.status, rng):
                state.results[f"{operation} lost"] += 1
                loop.call_later(half_latency_s(), connection.hang_up)
            else:
                loop.call_later(half_latency_s(), reply, response)

        if state.outage is Outage.NO_ANSWER:
            state.results[f"{operation} no_answer"] += 1
        elif state.outage is Outage.ERROR:
            reply(_UNAVAILABLE)
        elif not admit_operation(state, operation, now_ms()):
            reply(_OVER_RATE)
        else:
            loop.call_later(half_latency_s(), run)

    def change(body: PlatformControl) -> str | None:
        unknown = apply_control(state, body, now_ms())
        if state.outage is Outage.ERROR:
            for wakes in list(waiting.values()):
                for wake in list(wakes):
                    wake(_UNAVAILABLE)
        return unknown

    return on_request, change


def describe(state: PlatformState) -> dict[str, Any]:
    """Return the counts and the present faults."""
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
    """Open the listener, which serves the platform and its control alike.

    Parameters
    ----------
    config : PlatformConfig
        The checked configuration.

    Returns
    -------
    Started
        Port of the control listener, and the function that closes everything.

    Raises
    ------
    OSError
        The port cannot be opened.
    """
    state = create_state(config, now_ms())
    serve, change = create_service(state, random.Random(config.get("seed", 0)))

    async def control(body: PlatformControl) -> Response:
        unknown = change(body)
        if unknown is not None:
            return error_response(400, "unknown_instance", unknown, "$.instances")
        return Response(200, {})

    async def record(_: Request) -> Response:
        return Response(200, describe(state))

    async def reset(_: Request) -> Response:
        state.calls.clear()
        state.results.clear()
        return Response(200, {})

    routes = {
        ("POST", "/control"): json_route(PlatformControl, control),
        ("GET", "/record"): record,
        ("POST", "/reset"): reset,
    }
    steer = route_requests(routes)

    def on_request(connection: HttpConnection, request: Request) -> None:
        # Control is served in an outage too, without latency and without limits.
        (steer if (request.method, request.path) in routes else serve)(connection, request)

    handlers, close_connections = tracked_handlers(on_request)
    server = await listen(handlers, config["host"], config["port"])

    async def stop() -> None:
        server.close()
        close_connections()

    return RunningStandIn(port_of(server), stop)
