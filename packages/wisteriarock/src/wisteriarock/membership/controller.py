"""Exchange heartbeats, maintain the list of members and assign endpoints to holders."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec
from returns.result import Result, Success

from wisteriarock.blackboard.models import Blackboard
from wisteriarock.bundle.models import ActiveBundle
from wisteriarock.codec.decode import decode
from wisteriarock.observability.logs import log_event
from wisteriarock.observability.metrics import Metrics
from wisteriarock.platform.models import InstanceList

from .const import (
    CLOCK_CHECK_INTERVAL_MS,
    EVENT_ASSIGNMENT,
    EVENT_CLOCK_GAP,
    EVENT_MEMBER,
    EVENT_PLATFORM_LIST,
    HEARTBEAT_JITTER_SHARE,
    HEARTBEAT_PATH,
    MAX_HANDOVER_FACTOR,
    MAX_HEARTBEAT_BYTES,
    MAX_TICKET_SUCCESSORS,
    MIN_ANNOUNCE_INTERVAL_MS,
    SILENT_MEMBER_TTL_MS,
)
from .decide import (
    Candidate,
    find_vacant_zones,
    holding_candidates,
    is_heartbeat_due,
    live_members,
)
from .diagnostics import membership_diagnostics
from .exchange import (
    apply_heartbeat,
    assign,
    ready_at_ms,
    record_successor,
    remove_member,
    select_routing_view,
    sequence_views,
    unacknowledged_views,
)
from .models import Heartbeat, Member, MembershipState, Phase

PostToPeer = Callable[[str, str, bytes, float], Awaitable[Result[bytes, Any]]]


class MembershipCallbacks(NamedTuple):
    """Callbacks through which membership uses the other components.

    Attributes
    ----------
    post : callable
        `post(instance, path, body, timeout_ms)` sends a body to a peer and returns the reply.
    fetch_instances : callable
        Fetches the platform's list of instances.
    set_held_endpoints : callable
        Passes the endpoints controller the endpoints to hold and the start time of each.
    held_endpoint_names : callable
        Returns the endpoints on which this instance has legs or may start legs.
    on_clock_gap : callable
        Called after the process was suspended for longer than `clock_gap_ms`.
    on_peer_head : callable
        Called with a peer and the revision and digest of the bundle that it has in force.
    """

    post: PostToPeer
    fetch_instances: Callable[[], Awaitable[Result[InstanceList, Any]]]
    set_held_endpoints: Callable[[frozenset[str], dict[str, float]], None]
    held_endpoint_names: Callable[[], list[str]]
    on_clock_gap: Callable[[], None]
    on_peer_head: Callable[[str, int, str], None]


class MembershipController(NamedTuple):
    """Closures of the membership controller.

    Attributes
    ----------
    run : callable
        Exchanges heartbeats until cancelled.
    run_list_poll : callable
        Polls the platform's list until cancelled.
    on_heartbeat : callable
        Applies a peer's heartbeat and returns the heartbeat to answer with.
    announce : callable
        Makes `run` send a heartbeat to every peer without waiting for the interval.
    on_views_changed : callable
        Announces the views of endpoints held here if peers need a change immediately.
    refresh : callable
        Recomputes the assignment and the endpoint views.
    heartbeat_round_done : callable
        Returns whether a heartbeat exchange with each configured peer has succeeded or failed.
    holdings_known : callable
        Returns whether the holdings of every assigned endpoint are known.
    diagnostics : callable
        Returns the membership section of the state dump.
    """

    run: Callable[[], Awaitable[None]]
    run_list_poll: Callable[[], Awaitable[None]]
    on_heartbeat: Callable[[Heartbeat], Awaitable[Heartbeat]]
    announce: Callable[[], None]
    on_views_changed: Callable[[], None]
    refresh: Callable[[], None]
    heartbeat_round_done: Callable[[], bool]
    holdings_known: Callable[[], bool]
    diagnostics: Callable[[], dict[str, Any]]


def endpoint_zones(bundle: ActiveBundle) -> dict[str, str]:
    """Return the zone of each endpoint of a bundle."""
    return {
        name: spec["zone"]
        for service in bundle.content["services"].values()
        for name, spec in service["endpoints"].items()
    }


def create_membership(
    board: Blackboard,
    metrics: Metrics,
    callbacks: MembershipCallbacks,
    now_ms: Callable[[], float],
    rng: random.Random,
) -> MembershipController:
    """Return the membership controller of this process."""
    state = MembershipState()
    tunables = board.settings.tunables
    own_name = board.settings.instance
    peers_in_exchange: set[str] = set()
    announce_event = asyncio.Event()

    def build_heartbeat(peer: str) -> Heartbeat:
        sequence_views(state, board.held_views)
        bundle = board.bundle
        return {
            "instance": own_name,
            "incarnation": board.incarnation,
            "zone": board.settings.zone,
            "host": board.settings.internal_host,
            "port": board.settings.internal_port,
            "phase": board.phase,
            "sequence": state.sequence,
            "acknowledged": state.received_sequences.get(peer, 0),
            "bundle_revision": bundle.revision if bundle else 0,
            "bundle_digest": bundle.digest if bundle else "",
            "endpoints": unacknowledged_views(state, peer),
            "holding": callbacks.held_endpoint_names(),
            "callers": {name: round(rate, 2) for name, rate in board.demand.items() if rate > 0.01},
            "ticket_successor": board.ticket_successor,
        }

    def platform_state(name: str) -> str | None:
        if board.instance_list is None:
            return None
        for item in board.instance_list["instances"]:
            if item["role"] == "entry" and item["name"] == name:
                return item["state"]
        return None

    def remove_old_members() -> None:
        now = now_ms()
        for name, member in list(board.members.items()):
            silent_ms = now - member.last_heartbeat_at_ms
            stopped = member.phase is Phase.STOPPED and silent_ms > tunables.suspect_after_ms
            if stopped or (silent_ms > SILENT_MEMBER_TTL_MS and platform_state(name) is None):
                del board.members[name]
                board.peer_demand.pop(name, None)
                remove_member(state, name)
                log_event(EVENT_MEMBER, member=name, change="forgotten")

    def make_own_member() -> Member:
        return Member(
            own_name, board.incarnation, board.settings.zone, "", 0, board.phase, now_ms(), 0, ""
        )

    def refresh() -> None:
        if board.bundle is None:
            return
        live = live_members(board.members, now_ms(), tunables.suspect_after_ms)
        metrics.members.set(len(live) + 1)
        candidates = tuple(sorted(holding_candidates({**live, own_name: make_own_member()})))
        update_assignment(board.bundle, candidates)
        update_held_endpoints(frozenset(live))
        update_views()

    def update_assignment(bundle: ActiveBundle, candidates: tuple[Candidate, ...]) -> None:
        vacant_zones = find_vacant_zones(board.instance_list, now_ms() - board.instance_list_at_ms)
        current = (state.candidates, state.vacant_zones, state.assigned_digest)
        if current == (candidates, vacant_zones, bundle.digest):
            return
        state.candidates, state.vacant_zones, state.assigned_digest = (
            candidates,
            vacant_zones,
            bundle.digest,
        )
        state.views_stale = True
        state.assignment = assign(endpoint_zones(bundle), candidates, vacant_zones)
        own_endpoints = {name for name, holder in state.assignment.items() if holder == own_name}
        now = now_ms()
        state.assigned_at_ms = {name: state.assigned_at_ms.get(name, now) for name in own_endpoints}
        log_event(EVENT_ASSIGNMENT, candidates=len(candidates), held=len(own_endpoints))

    def update_held_endpoints(live_names: frozenset[str]) -> None:
        handover_ms = tunables.handover_ms
        max_handover_ms = handover_ms * MAX_HANDOVER_FACTOR
        now = now_ms()
        start_times_ms = {
            name: ready_at_ms(
                state, name, board.members, live_names, handover_ms, max_handover_ms, now
            )
            for name in state.assigned_at_ms
        }
        if not heartbeat_round_done():
            # At startup, and after the process was suspended, this instance does not know which
            # endpoints its peers hold until a round of heartbeats is done.
            return
        callbacks.set_held_endpoints(frozenset(start_times_ms), start_times_ms)

    def update_views() -> None:
        if not state.views_stale:
            return
        state.views_stale = False
        views = board.endpoint_views
        for name in [name for name in views if name not in state.assignment]:
            del views[name]
        for name, holder in state.assignment.items():
            current = views.get(name)
            view = select_routing_view(state, name, holder, board.held_views, own_name, current)
            if view is not None and view is not current and view != current:
                views[name] = view

    def known_peers() -> dict[str, str]:
        """Return the zone of each peer that heartbeats are sent to, by name."""
        peers = {peer["instance"]: peer["zone"] for peer in board.settings.peers}
        peers.update({name: member.zone for name, member in board.members.items()})
        peers.pop(own_name, None)
        return peers

    def heartbeat_round_done() -> bool:
        return all(peer["instance"] in state.contacted for peer in board.settings.peers)

    def holdings_known() -> bool:
        views = board.endpoint_views
        return bool(state.assignment) and all(
            name in views and views[name]["holdings"] for name in state.assignment
        )

    def receive_heartbeat(heartbeat: Heartbeat) -> None:
        name = heartbeat["instance"]
        previous = board.members.get(name)
        state.views_stale = state.views_stale or bool(heartbeat["endpoints"])
        member = apply_heartbeat(state, heartbeat, previous, now_ms())
        if (
            previous is None
            or previous.incarnation != member.incarnation
            or previous.phase != member.phase
        ):
            log_event(EVENT_MEMBER, member=name, change=member.phase.value, zone=member.zone)
        board.members[name] = member
        record_successor(board.ticket_successors, heartbeat, MAX_TICKET_SUCCESSORS)
        board.peer_demand[name] = heartbeat["callers"]
        if member.bundle_digest:
            callbacks.on_peer_head(name, member.bundle_revision, member.bundle_digest)

    async def on_heartbeat(heartbeat: Heartbeat) -> Heartbeat:
        receive_heartbeat(heartbeat)
        refresh()
        return build_heartbeat(heartbeat["instance"])

    async def exchange_heartbeat(peer: str) -> None:
        peers_in_exchange.add(peer)
        try:
            body = msgspec.json.encode(build_heartbeat(peer))
            answer = await callbacks.post(peer, HEARTBEAT_PATH, body, tunables.peer_timeout_ms)
            state.contacted.add(peer)
            if not isinstance(answer, Success):
                return
            decoded = decode(answer.unwrap(), Heartbeat, MAX_HEARTBEAT_BYTES)
            if isinstance(decoded, Success):
                receive_heartbeat(decoded.unwrap())
        finally:
            peers_in_exchange.discard(peer)

    def announce() -> None:
        announce_event.set()

    def on_views_changed() -> None:
        sequence, names = state.sequence, set(state.sequenced_views)
        sequence_views(state, board.held_views)
        state.views_stale = True
        update_views()
        if state.sequence != sequence or names != set(state.sequenced_views):
            announce()

    def is_exchange_due(peer: str, zone: str) -> bool:
        interval_ms = tunables.heartbeat_interval_ms
        member = board.members.get(peer)
        return is_heartbeat_due(member, board.settings.zone, zone, now_ms(), interval_ms)

    async def run() -> None:
        tasks: set[asyncio.Task[None]] = set()
        clock_check = asyncio.create_task(run_clock_check())
        try:
            while True:
                announce_to_all = announce_event.is_set()
                announce_event.clear()
                for peer, zone in known_peers().items():
                    if peer not in peers_in_exchange and (
                        announce_to_all or is_exchange_due(peer, zone)
                    ):
                        task = asyncio.create_task(exchange_heartbeat(peer))
                        tasks.add(task)
                        task.add_done_callback(tasks.discard)
                await asyncio.sleep(MIN_ANNOUNCE_INTERVAL_MS / 1000)
                remove_old_members()
                refresh()
                jitter = 1 + HEARTBEAT_JITTER_SHARE * (rng.random() - 0.5)
                remaining_ms = tunables.heartbeat_interval_ms * jitter - MIN_ANNOUNCE_INTERVAL_MS
                try:
                    async with asyncio.timeout(max(0.0, remaining_ms) / 1000):
                        await announce_event.wait()
                except TimeoutError:
                    pass
                refresh()
        finally:
            clock_check.cancel()
            for task in tasks:
                task.cancel()

    async def run_clock_check() -> None:
        """Detect that the process was suspended, after which its view of holders is outdated."""
        last_check_at_ms = now_ms()
        while True:
            await asyncio.sleep(CLOCK_CHECK_INTERVAL_MS / 1000)
            now = now_ms()
            if now - last_check_at_ms > tunables.clock_gap_ms + CLOCK_CHECK_INTERVAL_MS:
                log_event(EVENT_CLOCK_GAP, gap_ms=now - last_check_at_ms)
                callbacks.on_clock_gap()
                state.contacted.clear()
                announce()
            last_check_at_ms = now

    async def run_list_poll() -> None:
        while True:
            result = await callbacks.fetch_instances()
            if isinstance(result, Success):
                if board.instance_list is None:
                    log_event(EVENT_PLATFORM_LIST, instances=len(result.unwrap()["instances"]))
                board.instance_list = result.unwrap()
                board.instance_list_at_ms = now_ms()
            jitter = 1 + HEARTBEAT_JITTER_SHARE * (rng.random() - 0.5)
            await asyncio.sleep(tunables.platform_poll_interval_ms * jitter / 1000)

    def diagnostics() -> dict[str, Any]:
        return membership_diagnostics(board, state, now_ms())

    return MembershipController(
        run,
        run_list_poll,
        on_heartbeat,
        announce,
        on_views_changed,
        refresh,
        heartbeat_round_done,
        holdings_known,
        diagnostics,
    )
