"""Probes of heartbeats and of the platform's list, without a network."""

from random import Random
from typing import Any

import msgspec
from returns.result import Failure, Result
from wisteriarock.blackboard.models import Blackboard
from wisteriarock.codec.decode import decode
from wisteriarock.membership.controller import (
    MembershipCallbacks,
    MembershipController,
    create_membership,
)
from wisteriarock.membership.decide import Candidate, holder_of
from wisteriarock.membership.exchange import (
    apply_heartbeat,
    sequence_views,
    unacknowledged_views,
)
from wisteriarock.membership.models import EndpointView, Heartbeat, MembershipState
from wisteriarock.observability.metrics import create_metrics
from wisteriarock.platform.models import InstanceList

from . import samples
from .gauges import cpu_us, finish
from .models import Effort, Probe

# 63,000 endpoints on 8,700 nodes.
ENDPOINTS_PER_MEMBER = 7
_MAX_BYTES = 50_000_000


def views_of(changed: int) -> list[EndpointView]:
    """Return changed views of an instance's endpoints."""
    return list(samples.views_of(changed).values())


def _names(count: int) -> list[str]:
    return [samples.endpoint_of(n) for n in range(count)]


def _build(held: int, effort: Effort) -> float:
    """Measure what a heartbeat to one peer takes of the held views when nothing has changed."""
    state, views = MembershipState(), samples.views_of(held)
    sequence_views(state, views)
    state.acknowledged["peer"] = state.sequence

    def work() -> Heartbeat:
        sequence_views(state, views)
        return samples.heartbeat_of(0, unacknowledged_views(state, "peer"), list(views))

    return cpu_us(work, effort)


def _round(members: int, effort: Effort) -> float:
    """Measure building and encoding a heartbeat for each of the members."""
    state, views = MembershipState(), samples.views_of(ENDPOINTS_PER_MEMBER)
    sequence_views(state, views)
    peers = [samples.instance_of(n) for n in range(members)]
    state.acknowledged = dict.fromkeys(peers, state.sequence)

    def work() -> None:
        for peer in peers:
            sequence_views(state, views)
            msgspec.json.encode(
                samples.heartbeat_of(0, unacknowledged_views(state, peer), list(views))
            )

    return cpu_us(work, effort)


def _encode(changed: int, effort: Effort) -> float:
    beat = samples.heartbeat_of(0, views_of(changed), _names(ENDPOINTS_PER_MEMBER))
    return cpu_us(lambda: msgspec.json.encode(beat), effort)


def _decode(changed: int, effort: Effort) -> float:
    beat = samples.heartbeat_of(0, views_of(changed), _names(ENDPOINTS_PER_MEMBER))
    body = msgspec.json.encode(beat)
    return cpu_us(lambda: decode(body, Heartbeat, _MAX_BYTES), effort)


def _take(changed: int, effort: Effort) -> float:
    state = MembershipState()
    beat = samples.heartbeat_of(0, views_of(changed), _names(ENDPOINTS_PER_MEMBER))
    known = apply_heartbeat(state, beat, None, 0.0)
    return cpu_us(lambda: apply_heartbeat(state, beat, known, 0.0), effort)


async def _never(*_: Any) -> Result[Any, str]:
    return Failure("There is no network.")


def member_board(members: int) -> tuple[Blackboard, MembershipController, list[Heartbeat]]:
    """Return the board of an instance that has heard every member, with the last heartbeats.

    The endpoints are `ENDPOINTS_PER_MEMBER` for each member; each member holds those that
    rendezvous hashing assigns to it.
    """
    board = samples.board_of()
    numbers = range(1, members)
    board.members = {samples.instance_of(n): samples.member_of(n) for n in numbers}
    held: dict[str, list[int]] = {samples.instance_of(n): [] for n in range(members)}
    by_zone: dict[str, list[Candidate]] = {}
    for number in range(members):
        candidate = Candidate(samples.instance_of(number), samples.zone_of(number))
        by_zone.setdefault(candidate.zone, []).append(candidate)
    for number in range(members * ENDPOINTS_PER_MEMBER):
        zone = samples.zone_of(number // samples.REPLICAS)
        # Only instances of the zone are ranked, so the others can be left out here.
        holder = holder_of(samples.endpoint_of(number), zone, by_zone.get(zone, []))
        if holder is not None:
            held[holder].append(number)
    board.held_views = {samples.endpoint_of(n): samples.view_of(n) for n in held[samples.OWN]}
    links = MembershipCallbacks(
        post=_never,
        fetch_instances=_never,
        set_held_endpoints=lambda names, ready_at_ms: None,
        held_endpoint_names=lambda: list(board.held_views),
        on_clock_gap=lambda: None,
        on_peer_head=lambda instance, revision, digest: None,
    )
    controller = create_membership(board, create_metrics(), links, lambda: 0.0, Random(1))
    beats = []
    for number in numbers:
        name = samples.instance_of(number)
        views = [samples.view_of(n, name) for n in held[name]]
        beat = samples.heartbeat_of(number, views, [samples.endpoint_of(n) for n in held[name]])
        beats.append(beat)
    return board, controller, beats


def _receive(members: int, effort: Effort) -> float:
    """Measure what a peer's heartbeat without news costs its receiver, after its decoding."""
    board, controller, beats = member_board(members)
    # Without a bundle nothing is recomputed, which makes the first round of heartbeats quick.
    for beat in beats:
        finish(controller.on_heartbeat(beat))
    board.bundle = samples.active_of(members * ENDPOINTS_PER_MEMBER)
    quiet: Heartbeat = {**beats[-1], "endpoints": [], "acknowledged": 0}
    result = cpu_us(lambda: finish(controller.on_heartbeat(quiet)), effort)
    holders = {view["holder"] for view in board.endpoint_views.values()}
    if len(board.members) != members - 1 or not holders <= {samples.OWN, *board.members}:
        raise RuntimeError("The members are not those that were heard.")
    return result


def listed_body(instances: int) -> bytes:
    """Return the body of the platform's list, of which 7 in 8 are endpoints."""
    entries = [
        {
            "name": samples.endpoint_of(n) if n % 8 else samples.instance_of(n),
            "role": "endpoint" if n % 8 else "entry",
            "zone": samples.zone_of(n),
            "host": f"10.{n // 65536}.{n // 256 % 256}.{n % 256}",
            "port": 20_000,
            "state": "live",
        }
        for n in range(instances)
    ]
    return msgspec.json.encode({"instances": entries, "as_of_ms": 1.0})


def _decode_list(instances: int, effort: Effort) -> float:
    body = listed_body(instances)
    return cpu_us(lambda: decode(body, InstanceList, _MAX_BYTES), effort)


def heartbeat_probes() -> list[Probe]:
    """Return the probes of heartbeats and of the platform's list."""
    held = (7, 70, 181, 700)
    members = (1_080, 2_160, 4_320, 8_640)
    rounds = (540, 2_160, 4_320, 8_640)
    listed = (8_000, 16_000, 32_000, 71_700)
    sizes = "instances listed"
    return [
        Probe("heartbeat, build, nothing changed", "held endpoints", "us", held, _build),
        Probe("heartbeat, build and encode for all, 7 held", "members", "us", rounds, _round),
        Probe("heartbeat, encode", "changed views", "us", held, _encode),
        Probe("heartbeat, decode and check", "changed views", "us", held, _decode),
        Probe("heartbeat, take", "changed views", "us", held, _take),
        Probe(
            "heartbeat, take, refresh, answer; 7 endpoints a member",
            "members",
            "us",
            members,
            _receive,
        ),
        Probe("platform's list, decode", sizes, "us", listed, _decode_list),
        Probe(
            "platform's list, body", sizes, "bytes", listed, lambda n, _: float(len(listed_body(n)))
        ),
    ]
