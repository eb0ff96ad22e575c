"""Composition root: build the parts of an entry instance, wire them and run them."""

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
from wisteriarock.api.public import PublicHandlers, create_public_app
from wisteriarock.blackboard.models import Blackboard
from wisteriarock.bundle.controller import BundleController, create_bundle_controller
from wisteriarock.bundle.models import ActiveBundle
from wisteriarock.endpoints.controller import EndpointsController, create_endpoints
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
    EVENT_PHASE,
    EVENT_START,
    EVENT_STOP,
    EVENT_UNHANDLED,
    EXIT_BROKEN_INVARIANT,
    EXIT_OK,
    GC_THRESHOLDS,
    HOUSEKEEPING_INTERVAL_MS,
    LAG_INTERVAL_MS,
    READINESS_INTERVAL_MS,
)
from .servers import Server, bind, create_server


class Parts(NamedTuple):
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


def build_parts(
    board: Blackboard, metrics: Metrics, rng: random.Random, spawn: Callable[[Awaitable[Any]], Any]
) -> Parts:
    """Create the controllers and give each the closures that it needs from the others."""
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

    endpoints = create_endpoints(board, metrics, monotonic_ms, rng, on_views_changed)

    async def fetch_from_peer(instance: str, digest: str) -> Result[bytes, str]:
        path = f"/peer/v1/bundle/{digest}"
        result = await peers.get(instance, path, settings.tunables.peer_timeout_ms)
        return result.alt(str)

    bundle = create_bundle_controller(
        board, platform, fetch_from_peer, metrics, monotonic_ms, rng, on_bundle
    )
    links = MembershipCallbacks(
        post=peers.post,
        fetch_instances=platform.instances,
        set_held=endpoints.set_held,
        held_endpoint_names=lambda: list(board.held_views),
        on_clock_gap=lambda: endpoints.pause(True),
        on_peer_head=bundle.on_peer_head,
    )
    membership = create_membership(board, metrics, links, monotonic_ms, rng)

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
    return Parts(platform, peers, endpoints, bundle, membership, query, requests)


def _status(board: Blackboard) -> dict[str, Any]:
    """Return what `GET /ops/v1/status` shows."""
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


def _dump(board: Blackboard, parts: Parts) -> dict[str, Any]:
    """Return what `GET /ops/v1/dump` shows: each concern's part, without secrets."""
    return {
        "instance": board.settings.instance,
        "zone": board.settings.zone,
        "phase": board.phase.value,
        "tunables": board.settings.tunables._asdict(),
        "bundle": parts.bundle.diagnostics(),
        "membership": parts.membership.diagnostics(),
        "endpoints": board.diagnostics["endpoints"](),
        "query": parts.query.diagnostics(),
        "requests": parts.requests.diagnostics(),
    }


def _servers(board: Blackboard, metrics: Metrics, parts: Parts) -> tuple[Server, Server]:
    """Return the public and the internal server."""
    settings = board.settings
    public = create_public_app(
        PublicHandlers(
            parts.requests.handle_query,
            parts.requests.handle_tickets,
            lambda: board.phase is Phase.READY,
            build_openapi,
        )
    )

    async def bundle_body(digest: str) -> bytes | None:
        return parts.bundle.bundle_body(digest)

    handlers = PeerHandlers(
        on_heartbeat=parts.membership.on_heartbeat,
        on_query=parts.requests.tickets.on_forwarded,
        on_handover=parts.requests.tickets.on_handover,
        bundle_body=bundle_body,
    )
    peer_app = create_peer_app(board, metrics, monotonic_ms, parts.endpoints.execute_leg, handlers)
    control = create_internal_app(
        InternalHandlers(
            settings.operator_token,
            lambda: _dump(board, parts),
            lambda: _status(board),
            metrics.registry,
        ),
        peer_app.routes,
    )
    internal = bypass_for_legs(control, peer_app.legs)
    grace_s = settings.tunables.drain_grace_ms / 1000
    return create_server(public, settings.public_tls, grace_s), create_server(internal, None, 1.0)


async def _become_ready(parts: Parts, board: Blackboard, lifecycle: Lifecycle) -> None:
    """Wait until the instance may take requests."""
    waiting_since_ms: float | None = None
    while True:
        is_current = board.bundle is not None and parts.bundle.ready_bundle()
        is_settled = parts.membership.heartbeat_round_done()
        now = monotonic_ms()
        if waiting_since_ms is None and is_current and is_settled:
            waiting_since_ms = now
        waited_ms = now - waiting_since_ms if waiting_since_ms is not None else 0.0
        holdings_known = parts.membership.holdings_known()
        if may_become_ready(is_current, is_settled, holdings_known, waited_ms):
            break
        await asyncio.sleep(READINESS_INTERVAL_MS / 1000)
    lifecycle.fire(TRIGGER_BECOME_READY)


async def _watch_loop(board: Blackboard, metrics: Metrics) -> None:
    """Measure by how much the event loop is late."""
    while True:
        due_ms = monotonic_ms() + LAG_INTERVAL_MS
        await asyncio.sleep(LAG_INTERVAL_MS / 1000)
        board.loop_lag_ms = smooth_lag(board.loop_lag_ms, monotonic_ms() - due_ms)
        metrics.loop_lag_seconds.set(board.loop_lag_ms / 1000)


async def _keep_house(parts: Parts) -> None:
    while True:
        parts.requests.run_housekeeping()
        await asyncio.sleep(HOUSEKEEPING_INTERVAL_MS / 1000)


def _log_unhandled(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log what a callback or a forgotten task raised; the loop would write it without a format."""
    error = context.get("exception")
    trace = "".join(traceback.format_exception(error)) if error else ""
    log_event(EVENT_UNHANDLED, message=context.get("message", ""), error=repr(error), trace=trace)


async def _drain(parts: Parts, lifecycle: Lifecycle, grace_ms: float) -> None:
    """Hand over the endpoints and let running requests finish."""
    lifecycle.fire(TRIGGER_DRAIN)
    # The balancer needs a while to notice; requests that it still sends are answered.
    await asyncio.sleep(DRAIN_ACCEPT_MS / 1000)
    deadline_ms = monotonic_ms() + grace_ms
    while parts.requests.in_flight() and monotonic_ms() < deadline_ms:
        await asyncio.sleep(READINESS_INTERVAL_MS / 1000)


async def run_instance(settings: Settings) -> int:
    """Run an entry instance until it is told to stop.

    Parameters
    ----------
    settings : Settings
        Checked settings.

    Returns
    -------
    int
        Exit code: 0 after a graceful stop, 70 after a broken invariant.
    """
    stop = asyncio.Event()
    exit_code = EXIT_OK
    tasks: set[asyncio.Future[Any]] = set()

    def spawn(name: str, work: Awaitable[Any]) -> asyncio.Future[Any]:
        def check(task: asyncio.Future[Any]) -> None:
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
        task.add_done_callback(check)
        tasks.add(task)
        return task

    board = Blackboard(settings, incarnation=secrets.token_hex(8))
    metrics = create_metrics()
    parts = build_parts(
        board, metrics, random.Random(secrets.randbits(64)), lambda work: spawn("background", work)
    )

    def on_phase(phase: Phase) -> None:
        board.phase = phase
        log_event(EVENT_PHASE, phase=phase.value)
        parts.membership.refresh()
        parts.membership.announce()

    # What lives as long as the process is left out of collections from here on.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    lifecycle = Lifecycle(on_phase)
    public, internal = _servers(board, metrics, parts)
    public_socket = bind(settings.public_host, settings.public_port)
    internal_socket = bind(settings.internal_host, settings.internal_port)

    async def serve(server: Server, listener: socket.socket) -> None:
        await server.serve(sockets=[listener])

    log_event(EVENT_START, incarnation=board.incarnation)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(_log_unhandled)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    internal_task = spawn("internal server", serve(internal, internal_socket))
    public_task = spawn("public server", serve(public, public_socket))
    spawn("bundle", parts.bundle.run())
    spawn("endpoints", parts.endpoints.run())
    spawn("membership", parts.membership.run())
    spawn("platform list", parts.membership.run_list_poll())
    spawn("housekeeping", _keep_house(parts))
    spawn("loop lag", _watch_loop(board, metrics))
    spawn("readiness", _become_ready(parts, board, lifecycle))

    await stop.wait()
    if exit_code == EXIT_OK:
        await _drain(parts, lifecycle, settings.tunables.drain_grace_ms)
    public.should_exit = True
    await asyncio.wait({public_task})
    await parts.requests.tickets.hand_over()
    await parts.endpoints.close()
    lifecycle.fire(TRIGGER_STOP)
    await asyncio.sleep(2 * READINESS_INTERVAL_MS / 1000)
    internal.should_exit = True
    await asyncio.wait({internal_task})
    for task in list(tasks):
        task.cancel()
    await parts.peers.close()
    log_event(EVENT_STOP, exit_code=exit_code)
    return exit_code
