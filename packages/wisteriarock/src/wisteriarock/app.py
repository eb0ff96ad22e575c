"""Composition root: create the controllers of an entry instance, connect them and run them."""

import asyncio
import gc
import random
import secrets
import signal
import socket
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec
from returns.result import Result

from wisteriarock.admission.decide import smooth_lag
from wisteriarock.api.internal import InternalHandlers, create_internal_app
from wisteriarock.api.openapi import build_openapi
from wisteriarock.api.protocol import connections_max, create_protocol
from wisteriarock.api.public import PublicHandlers, create_public_app
from wisteriarock.blackboard.models import Blackboard
from wisteriarock.bundle.controller import BundleController, create_bundle_controller
from wisteriarock.bundle.models import ActiveBundle
from wisteriarock.endpoints.controller import EndpointsController, create_endpoints_controller
from wisteriarock.http.buffers import BufferBudget
from wisteriarock.lifecycle.decide import (
    TRIGGER_BECOME_READY,
    TRIGGER_DRAIN,
    TRIGGER_STOP,
    Lifecycle,
    may_become_ready,
)
from wisteriarock.membership.controller import (
    MembershipCallbacks,
    MembershipController,
    create_membership,
)
from wisteriarock.membership.models import Phase
from wisteriarock.observability.limit_reporter import LimitReporter
from wisteriarock.observability.logs import log_event
from wisteriarock.observability.metrics import Metrics, create_metrics
from wisteriarock.peers.client import PeerClient, create_peer_client
from wisteriarock.peers.const import CANCEL_PATH
from wisteriarock.peers.models import CancelBody, PeerHandlers
from wisteriarock.peers.server import bypass_for_legs, create_peer_app
from wisteriarock.platform.client import PlatformClient, create_platform_client
from wisteriarock.query.controller import QueryController, create_query_controller
from wisteriarock.requests.controller import RequestController, create_request_controller
from wisteriarock.settings.models import Settings

from .const import (
    DRAIN_ACCEPT_MS,
    EVENT_BROKEN_INVARIANT,
    EVENT_CALLERS_LIMITED,
    EVENT_PHASE,
    EVENT_START,
    EVENT_STOP,
    EVENT_UNHANDLED,
    EXIT_BROKEN_INVARIANT,
    EXIT_OK,
    GC_THRESHOLDS,
    HOUSEKEEPING_INTERVAL_MS,
    LOOP_LAG_INTERVAL_MS,
    READINESS_INTERVAL_MS,
)
from .servers import Server, create_server, open_listener


class Controllers(NamedTuple):
    """The controllers of the process."""

    platform: PlatformClient
    peers: PeerClient
    endpoints: EndpointsController
    bundle: BundleController
    membership: MembershipController
    query: QueryController
    requests: RequestController


def monotonic_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * 1000


def build_controllers(
    board: Blackboard, metrics: Metrics, rng: random.Random, spawn: Callable[[Awaitable[Any]], Any]
) -> Controllers:
    """Create the controllers and pass each one the functions of the others that it calls."""
    settings = board.settings
    platform = create_platform_client(
        settings.platform_url,
        settings.tunables.platform_timeout_ms,
        settings.tunables.platform_calls_per_s,
        metrics,
        monotonic_ms,
        rng,
    )
    peers = create_peer_client(board, metrics, monotonic_ms)
    membership: MembershipController

    def on_views_changed() -> None:
        membership.on_views_changed()

    def on_bundle(bundle: ActiveBundle) -> None:
        metrics.bundle_revision.set(bundle.revision)
        membership.refresh()
        membership.announce()

    endpoints = create_endpoints_controller(board, metrics, monotonic_ms, rng, on_views_changed)

    async def fetch_from_peer(instance: str, digest: str) -> Result[bytes, str]:
        path = f"/peer/v1/bundle/{digest}"
        result = await peers.get(instance, path, settings.tunables.peer_timeout_ms)
        return result.alt(str)

    bundle = create_bundle_controller(
        board, platform, fetch_from_peer, metrics, monotonic_ms, rng, on_bundle
    )
    membership_callbacks = MembershipCallbacks(
        post=peers.post,
        fetch_instances=platform.list_instances,
        set_held_endpoints=endpoints.set_held_endpoints,
        held_endpoint_names=lambda: list(board.held_views),
        on_clock_gap=lambda: endpoints.pause(True),
        on_peer_head=bundle.on_peer_head,
    )
    membership = create_membership(board, metrics, membership_callbacks, monotonic_ms, rng)

    def call_later(delay_ms: float, callback: Callable[[], None]) -> Callable[[], None]:
        return asyncio.get_running_loop().call_later(delay_ms / 1000, callback).cancel

    def cancel_legs(holder: str, leg_ids: list[str]) -> None:
        body = msgspec.json.encode(CancelBody(leg_ids=leg_ids))
        spawn(peers.post(holder, CANCEL_PATH, body, settings.tunables.peer_timeout_ms))

    def holder_of_endpoint(name: str) -> str | None:
        view = board.endpoint_views.get(name)
        return view["holder"] if view else None

    query = create_query_controller(
        board,
        metrics,
        peers.send_legs,
        cancel_legs,
        endpoints.execute_leg,
        holder_of_endpoint,
        monotonic_ms,
        rng,
        call_later,
    )
    requests = create_request_controller(board, query.run_query, peers.post, metrics, monotonic_ms)
    return Controllers(platform, peers, endpoints, bundle, membership, query, requests)


def _build_status(board: Blackboard) -> dict[str, Any]:
    """Return the body of `GET /ops/v1/status`."""
    now = monotonic_ms()
    bundle = board.bundle
    return {
        "instance": board.settings.instance,
        "zone": board.settings.zone,
        "revision": bundle.revision if bundle else 0,
        "digest": bundle.digest if bundle else "",
        "phase": board.phase.value,
        "members": [
            {
                "instance": member.instance,
                "zone": member.zone,
                "revision": member.bundle_revision,
                "digest": member.bundle_digest,
                "phase": member.phase.value,
                "heard_ago_ms": round(now - member.last_heartbeat_at_ms),
            }
            for member in board.members.values()
        ],
    }


def _build_dump(board: Blackboard, controllers: Controllers) -> dict[str, Any]:
    """Return the body of `GET /ops/v1/dump`: the state of each controller, without secrets."""
    return {
        "instance": board.settings.instance,
        "zone": board.settings.zone,
        "phase": board.phase.value,
        "tunables": board.settings.tunables._asdict(),
        "bundle": controllers.bundle.diagnostics(),
        "membership": controllers.membership.diagnostics(),
        "endpoints": board.diagnostics["endpoints"](),
        "query": controllers.query.diagnostics(),
        "requests": controllers.requests.diagnostics(),
    }


def _create_servers(
    board: Blackboard, metrics: Metrics, controllers: Controllers
) -> tuple[Server, Server]:
    """Create the public and the internal server."""
    settings = board.settings
    public = create_public_app(
        PublicHandlers(
            controllers.requests.handle_query,
            controllers.requests.handle_tickets,
            lambda: board.phase is Phase.READY,
            build_openapi,
        )
    )

    async def get_bundle_body(digest: str) -> bytes | None:
        return controllers.bundle.get_bundle_body(digest)

    handlers = PeerHandlers(
        on_heartbeat=controllers.membership.on_heartbeat,
        on_query=controllers.requests.tickets.on_forwarded,
        on_handover=controllers.requests.tickets.on_handover,
        get_bundle_body=get_bundle_body,
    )
    peer_app = create_peer_app(
        board, metrics, monotonic_ms, controllers.endpoints.execute_leg, handlers
    )
    control = create_internal_app(
        InternalHandlers(
            settings.operator_token,
            lambda: _build_dump(board, controllers),
            lambda: _build_status(board),
            metrics.registry,
        ),
        peer_app.routes,
    )
    internal = bypass_for_legs(control, peer_app.legs)
    grace_s = settings.tunables.drain_grace_ms / 1000
    budget = BufferBudget(int(settings.tunables.max_buffered_mb * 1_000_000), clock_ms=monotonic_ms)
    timeout_s = settings.tunables.caller_timeout_ms / 1000
    # Each server has a class of its own, as its connections are counted apart.
    reporter = LimitReporter(
        monotonic_ms,
        lambda limit: metrics.callers_limited.labels(limit).inc(),
        lambda limit, count: log_event(EVENT_CALLERS_LIMITED, limit=limit, count=count),
    )
    public_protocol, internal_protocol = (
        create_protocol(budget, connections_max(), timeout_s, reporter.report) for _ in range(2)
    )
    return (
        create_server(public, settings.public_tls, grace_s, public_protocol),
        create_server(internal, None, 1.0, internal_protocol),
    )


async def _become_ready(controllers: Controllers, board: Blackboard, lifecycle: Lifecycle) -> None:
    """Wait until the instance may accept requests, then mark it as ready."""
    waiting_since_ms: float | None = None
    while True:
        is_current = board.bundle is not None and controllers.bundle.is_bundle_ready()
        is_heartbeat_round_done = controllers.membership.heartbeat_round_done()
        now = monotonic_ms()
        if waiting_since_ms is None and is_current and is_heartbeat_round_done:
            waiting_since_ms = now
        waited_ms = now - waiting_since_ms if waiting_since_ms is not None else 0.0
        holdings_known = controllers.membership.holdings_known()
        if may_become_ready(is_current, is_heartbeat_round_done, holdings_known, waited_ms):
            break
        await asyncio.sleep(READINESS_INTERVAL_MS / 1000)
    lifecycle.fire(TRIGGER_BECOME_READY)


async def _measure_loop_lag(board: Blackboard, metrics: Metrics) -> None:
    """Measure the lag of the event loop."""
    while True:
        expected_ms = monotonic_ms() + LOOP_LAG_INTERVAL_MS
        await asyncio.sleep(LOOP_LAG_INTERVAL_MS / 1000)
        board.loop_lag_ms = smooth_lag(board.loop_lag_ms, monotonic_ms() - expected_ms)
        metrics.loop_lag_seconds.set(board.loop_lag_ms / 1000)


async def _run_housekeeping(controllers: Controllers) -> None:
    """Run the housekeeping of the request controller at a fixed interval."""
    while True:
        controllers.requests.run_housekeeping()
        await asyncio.sleep(HOUSEKEEPING_INTERVAL_MS / 1000)


def _log_unhandled(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an exception of a callback or an abandoned task as an event, not as plain text."""
    error = context.get("exception")
    trace = "".join(traceback.format_exception(error)) if error else ""
    log_event(EVENT_UNHANDLED, message=context.get("message", ""), error=repr(error), trace=trace)


async def _drain(
    board: Blackboard, controllers: Controllers, lifecycle: Lifecycle, grace_ms: float
) -> None:
    """Hand over the endpoints and wait for running requests to finish, up to a limit."""
    board.stops_at_ms = monotonic_ms() + DRAIN_ACCEPT_MS + grace_ms
    lifecycle.fire(TRIGGER_DRAIN)
    # The load balancer notices the change with a delay; requests that it still sends are answered
    # if they end in time.
    await asyncio.sleep(DRAIN_ACCEPT_MS / 1000)
    while controllers.requests.in_flight() and monotonic_ms() < board.stops_at_ms:
        await asyncio.sleep(READINESS_INTERVAL_MS / 1000)


async def run_instance(settings: Settings) -> int:
    """Run an entry instance until SIGTERM, SIGINT or a broken invariant.

    Parameters
    ----------
    settings : Settings
        Checked settings.

    Returns
    -------
    int
        Exit code: 0 after a graceful shutdown, 70 after a broken invariant.
    """
    stop = asyncio.Event()
    exit_code = EXIT_OK
    tasks: set[asyncio.Future[Any]] = set()

    def spawn(name: str, work: Awaitable[Any]) -> asyncio.Future[Any]:
        def on_task_done(task: asyncio.Future[Any]) -> None:
            nonlocal exit_code
            tasks.discard(task)
            if task.cancelled() or task.exception() is None:
                return
            error = task.exception()
            text = "".join(traceback.format_exception(error))
            log_event(EVENT_BROKEN_INVARIANT, task=name, error=repr(error), trace=text)
            exit_code = EXIT_BROKEN_INVARIANT
            stop.set()

        task = asyncio.ensure_future(work)
        task.add_done_callback(on_task_done)
        tasks.add(task)
        return task

    board = Blackboard(settings, incarnation=secrets.token_hex(8))
    metrics = create_metrics()
    controllers = build_controllers(
        board, metrics, random.Random(secrets.randbits(64)), lambda work: spawn("background", work)
    )

    def on_phase(phase: Phase) -> None:
        board.phase = phase
        log_event(EVENT_PHASE, phase=phase.value)
        controllers.membership.refresh()
        controllers.membership.announce()

    # Exclude objects that live as long as the process from garbage collection.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    lifecycle = Lifecycle(on_phase)
    public, internal = _create_servers(board, metrics, controllers)
    public_socket = open_listener(settings.public_host, settings.public_port)
    internal_socket = open_listener(settings.internal_host, settings.internal_port)

    async def serve(server: Server, listener: socket.socket) -> None:
        await server.serve(sockets=[listener])

    log_event(EVENT_START, incarnation=board.incarnation)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_unhandled)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    internal_task = spawn("internal server", serve(internal, internal_socket))
    public_task = spawn("public server", serve(public, public_socket))
    spawn("bundle", controllers.bundle.run())
    spawn("endpoints", controllers.endpoints.run())
    spawn("membership", controllers.membership.run())
    spawn("platform list", controllers.membership.run_list_poll())
    spawn("housekeeping", _run_housekeeping(controllers))
    spawn("loop lag", _measure_loop_lag(board, metrics))
    spawn("readiness", _become_ready(controllers, board, lifecycle))

    await stop.wait()
    if exit_code == EXIT_OK:
        await _drain(board, controllers, lifecycle, settings.tunables.drain_grace_ms)
    public.should_exit = True
    await asyncio.wait({public_task})
    await controllers.requests.tickets.hand_over()
    await controllers.endpoints.close()
    lifecycle.fire(TRIGGER_STOP)
    await asyncio.sleep(2 * READINESS_INTERVAL_MS / 1000)
    internal.should_exit = True
    await asyncio.wait({internal_task})
    for task in list(tasks):
        task.cancel()
    await controllers.peers.close()
    log_event(EVENT_STOP, exit_code=exit_code)
    return exit_code
