"""Exchange heartbeats, keep the list of members and assign endpoints to holders."""

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
    CLOCK_WATCH_INTERVAL_MS,
    EVENT_ASSIGNMENT,
    EVENT_CLOCK_GAP,
    EVENT_MEMBER,
    EVENT_PLATFORM_LIST,
    FORGET_AFTER_MS,
    HEARTBEAT_JITTER,
    HEARTBEAT_PATH,
    MAX_HANDOVER_FACTOR,
    MAX_HEARTBEAT_BYTES,
    MAX_TICKET_SUCCESSORS,
    MIN_ANNOUNCE_INTERVAL_MS,
)
from .decide import (
    Candidate,
    holding_candidates,
    is_heartbeat_due,
    live_members,
    vacant_zones,
)
from .diagnostics import membership_diagnostics
from .exchange import (
    apply_heartbeat,
    assign,
    forget_member,
    note_successor,
    ready_at_ms,
    routed_view,
    sequence_views,
    unacknowledged_views,
)
from .models import Heartbeat, Member, MembershipState, Phase

PostToPeer = Callable[[str, str, bytes, float], Awaitable[Result[bytes, Any]]]


class MembershipCallbacks(NamedTuple):
    """What membership needs from the other parts.

    Attributes
    ----------
    post : callable
        Sends a body to a peer: instance, path, body, time limit in milliseconds.
    fetch_instances : callable
        Reads the platform's list.
    set_held : callable
        Tells the endpoints controller which endpoints it holds and from when.
    held_endpoint_names : callable
        Returns the endpoints on which this instance has legs or may start some.
    pause : callable
        Called when the process was stopped for a while.
    on_peer_head : callable
        Told the bundle revision and digest that a peer has in force.
    """

    post: PostToPeer
    fetch_instances: Callable[[], Awaitable[Result[InstanceList, Any]]]
    set_held: Callable[[frozenset[str], dict[str, float]], None]
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
        Takes a peer's heartbeat and returns the answer.
    announce : callable
        Sends heartbeats to every peer soon.
    on_views_changed : callable
        Announces a change of the views held here if peers need to know it at once.
    refresh : callable
        Recomputes assignment and views.
    settled : callable
        Tells whether every configured peer has answered or failed once.
    holdings_known : callable
        Tells whether it is known what each endpoint with a holder holds.
    diagnostics : callable
        Returns the dump part.
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
    links: MembershipCallbacks,
    now_ms: Callable[[], float],
    rng: random.Random,
) -> MembershipController:
    """Return the membership controller of this process."""
    state = MembershipState()
    tunables = board.settings.tunables
    own = board.settings.instance
    busy_peers: set[str] = set()
    wake = asyncio.Event()

    def own_heartbeat(peer: str) -> Heartbeat:
        sequence_views(state, board.held_views)
        bundle = board.bundle
        return {
            "instance": own,
            "incarnation": board.incarnation,
            "zone": board.settings.zone,
            "host": board.settings.internal_host,
            "port": board.settings.internal_port,
            "phase": board.phase,
            "sequence": state.sequence,
            "acknowledged": state.taken.get(peer, 0),
            "bundle_revision": bundle.revision if bundle else 0,
            "bundle_digest": bundle.digest if bundle else "",
            "endpoints": unacknowledged_views(state, peer),
            "holding": links.held_endpoint_names(),
            "callers": {name: round(rate, 2) for name, rate in board.demand.items() if rate > 0.01},
            "ticket_successor": board.ticket_successor,
        }

    def listed_state(name: str) -> str | None:
        if board.listed is None:
            return None
        for item in board.listed["instances"]:
            if item["role"] == "entry" and item["name"] == name:
                return item["state"]
        return None

    def forget_old_members() -> None:
        now = now_ms()
        for name, member in list(board.members.items()):
            silent_ms = now - member.last_heartbeat_at_ms
            gone = member.phase is Phase.STOPPED and silent_ms > tunables.suspect_after_ms
            if gone or (silent_ms > FORGET_AFTER_MS and listed_state(name) is None):
                del board.members[name]
                board.peer_demand.pop(name, None)
                forget_member(state, name)
                log_event(EVENT_MEMBER, member=name, change="forgotten")

    def own_member() -> Member:
        return Member(
            own, board.incarnation, board.settings.zone, "", 0, board.phase, now_ms(), 0, ""
        )

    def refresh() -> None:
        if board.bundle is None:
            return
        live = live_members(board.members, now_ms(), tunables.suspect_after_ms)
        metrics.members.set(len(live) + 1)
        candidates = tuple(sorted(holding_candidates({**live, own: own_member()})))
        update_assignment(board.bundle, candidates)
        update_held(frozenset(live))
        update_views()

    def update_assignment(bundle: ActiveBundle, candidates: tuple[Candidate, ...]) -> None:
        vacant = vacant_zones(board.listed, now_ms() - board.listed_at_ms)
        present = (state.candidates, state.vacant, state.assigned_digest)
        if present == (candidates, vacant, bundle.digest):
            return
        state.candidates, state.vacant, state.assigned_digest = candidates, vacant, bundle.digest
        state.views_stale = True
        state.assignment = assign(endpoint_zones(bundle), candidates, vacant)
        mine = {name for name, holder in state.assignment.items() if holder == own}
        now = now_ms()
        state.assigned_at_ms = {name: state.assigned_at_ms.get(name, now) for name in mine}
        log_event(EVENT_ASSIGNMENT, candidates=len(candidates), held=len(mine))

    def update_held(live: frozenset[str]) -> None:
        handover = tunables.handover_ms
        longest = handover * MAX_HANDOVER_FACTOR
        now = now_ms()
        ready = {
            name: ready_at_ms(state, name, board.members, live, handover, longest, now)
            for name in state.assigned_at_ms
        }
        if not heartbeat_round_done():
            # Before a round of heartbeats, at the start and after a pause of the process, this
            # instance does not know who holds what.
            return
        links.set_held(frozenset(ready), ready)

    def update_views() -> None:
        if not state.views_stale:
            return
        state.views_stale = False
        views = board.endpoint_views
        for name in [name for name in views if name not in state.assignment]:
            del views[name]
        for name, holder in state.assignment.items():
            present = views.get(name)
            view = routed_view(state, name, holder, board.held_views, own, present)
            if view is not None and view is not present and view != present:
                views[name] = view

    def known_peers() -> dict[str, str]:
        """Return the names of all peers that should get heartbeats, with their zones."""
        peers = {peer["instance"]: peer["zone"] for peer in board.settings.peers}
        peers.update({name: m.zone for name, m in board.members.items()})
        peers.pop(own, None)
        return peers

    def heartbeat_round_done() -> bool:
        return all(peer["instance"] in state.contacted for peer in board.settings.peers)

    def holdings_known() -> bool:
        views = board.endpoint_views
        return bool(state.assignment) and all(
            name in views and views[name]["holdings"] for name in state.assignment
        )

    def take(beat: Heartbeat) -> None:
        name = beat["instance"]
        known = board.members.get(name)
        state.views_stale = state.views_stale or bool(beat["endpoints"])
        member = apply_heartbeat(state, beat, known, now_ms())
        if known is None or known.incarnation != member.incarnation or known.phase != member.phase:
            log_event(EVENT_MEMBER, member=name, change=member.phase.value, zone=member.zone)
        board.members[name] = member
        note_successor(board.ticket_successors, beat, MAX_TICKET_SUCCESSORS)
        board.peer_demand[name] = beat["callers"]
        if member.bundle_digest:
            links.on_peer_head(name, member.bundle_revision, member.bundle_digest)

    async def on_heartbeat(beat: Heartbeat) -> Heartbeat:
        take(beat)
        refresh()
        return own_heartbeat(beat["instance"])

    async def beat_peer(peer: str) -> None:
        busy_peers.add(peer)
        try:
            body = msgspec.json.encode(own_heartbeat(peer))
            answer = await links.post(peer, HEARTBEAT_PATH, body, tunables.peer_timeout_ms)
            state.contacted.add(peer)
            if not isinstance(answer, Success):
                return
            decoded = decode(answer.unwrap(), Heartbeat, MAX_HEARTBEAT_BYTES)
            if isinstance(decoded, Success):
                take(decoded.unwrap())
        finally:
            busy_peers.discard(peer)

    def announce() -> None:
        wake.set()

    def on_views_changed() -> None:
        sequence, names = state.sequence, set(state.sequenced)
        sequence_views(state, board.held_views)
        state.views_stale = True
        update_views()
        if state.sequence != sequence or names != set(state.sequenced):
            announce()

    def is_due(peer: str, zone: str) -> bool:
        interval_ms = tunables.heartbeat_interval_ms
        member = board.members.get(peer)
        return is_heartbeat_due(member, board.settings.zone, zone, now_ms(), interval_ms)

    async def run() -> None:
        tasks: set[asyncio.Task[None]] = set()
        watch = asyncio.create_task(run_clock_watch())
        try:
            while True:
                announced = wake.is_set()
                wake.clear()
                for peer, zone in known_peers().items():
                    if peer not in busy_peers and (announced or is_due(peer, zone)):
                        task = asyncio.create_task(beat_peer(peer))
                        tasks.add(task)
                        task.add_done_callback(tasks.discard)
                await asyncio.sleep(MIN_ANNOUNCE_INTERVAL_MS / 1000)
                forget_old_members()
                refresh()
                spread = 1 + HEARTBEAT_JITTER * (rng.random() - 0.5)
                rest_ms = tunables.heartbeat_interval_ms * spread - MIN_ANNOUNCE_INTERVAL_MS
                try:
                    async with asyncio.timeout(max(0.0, rest_ms) / 1000):
                        await wake.wait()
                except TimeoutError:
                    pass
                refresh()
        finally:
            watch.cancel()
            for task in tasks:
                task.cancel()

    async def run_clock_watch() -> None:
        """Notice that the process was stopped: its beliefs about holders are old then."""
        last = now_ms()
        while True:
            await asyncio.sleep(CLOCK_WATCH_INTERVAL_MS / 1000)
            now = now_ms()
            if now - last > tunables.clock_gap_ms + CLOCK_WATCH_INTERVAL_MS:
                log_event(EVENT_CLOCK_GAP, gap_ms=now - last)
                links.on_clock_gap()
                state.contacted.clear()
                announce()
            last = now

    async def run_list_poll() -> None:
        while True:
            result = await links.fetch_instances()
            if isinstance(result, Success):
                if board.listed is None:
                    log_event(EVENT_PLATFORM_LIST, instances=len(result.unwrap()["instances"]))
                board.listed = result.unwrap()
                board.listed_at_ms = now_ms()
            spread = 1 + HEARTBEAT_JITTER * (rng.random() - 0.5)
            await asyncio.sleep(tunables.platform_poll_interval_ms * spread / 1000)

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
