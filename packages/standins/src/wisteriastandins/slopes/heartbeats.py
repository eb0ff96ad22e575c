"""Probes of heartbeats and of the platform's instance list, without a network."""

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
from .gauges import cpu_us, run_synchronously
from .models import Effort, Probe

# 63,000 endpoints held by 8,700 members.
ENDPOINTS_PER_MEMBER = 7
_MAX_BODY_BYTES = 50_000_000


def make_changed_views(changed: int) -> list[EndpointView]:
    """Return the views of an instance's changed endpoints."""
    return list(samples.make_views(changed).values())


def _make_endpoint_names(count: int) -> list[str]:
    return [samples.make_endpoint_name(n) for n in range(count)]


def _measure_build(held: int, effort: Effort) -> float:
    """Measure building a heartbeat to one peer when none of the held views has changed."""
    state, views = MembershipState(), samples.make_views(held)
    sequence_views(state, views)
    state.acknowledged["peer"] = state.sequence

    def work() -> Heartbeat:
        sequence_views(state, views)
        return samples.make_heartbeat(0, unacknowledged_views(state, "peer"), list(views))

    return cpu_us(work, effort)


def _measure_heartbeat_round(members: int, effort: Effort) -> float:
    """Measure building and encoding a heartbeat for each member."""
    state, views = MembershipState(), samples.make_views(ENDPOINTS_PER_MEMBER)
    sequence_views(state, views)
    peers = [samples.make_instance_name(n) for n in range(members)]
    state.acknowledged = dict.fromkeys(peers, state.sequence)

    def work() -> None:
        for peer in peers:
            sequence_views(state, views)
            msgspec.json.encode(
                samples.make_heartbeat(0, unacknowledged_views(state, peer), list(views))
            )

    return cpu_us(work, effort)


def _measure_encode(changed: int, effort: Effort) -> float:
    heartbeat = samples.make_heartbeat(
        0, make_changed_views(changed), _make_endpoint_names(ENDPOINTS_PER_MEMBER)
    )
    return cpu_us(lambda: msgspec.json.encode(heartbeat), effort)


def _measure_decode(changed: int, effort: Effort) -> float:
    heartbeat = samples.make_heartbeat(
        0, make_changed_views(changed), _make_endpoint_names(ENDPOINTS_PER_MEMBER)
    )
    body = msgspec.json.encode(heartbeat)
    return cpu_us(lambda: decode(body, Heartbeat, _MAX_BODY_BYTES), effort)


def _measure_take(changed: int, effort: Effort) -> float:
    state = MembershipState()
    heartbeat = samples.make_heartbeat(
        0, make_changed_views(changed), _make_endpoint_names(ENDPOINTS_PER_MEMBER)
    )
    member = apply_heartbeat(state, heartbeat, None, 0.0)
    return cpu_us(lambda: apply_heartbeat(state, heartbeat, member, 0.0), effort)


async def _fail_call(*_: Any) -> Result[Any, str]:
    return Failure("There is no network.")


def make_full_membership(members: int) -> tuple[Blackboard, MembershipController, list[Heartbeat]]:
    """Return the blackboard and controller of an instance, and a heartbeat of every other member.

    There are `ENDPOINTS_PER_MEMBER` endpoints per member; each member holds those that rendezvous
    hashing assigns to it.
    """
    board = samples.make_board()
    numbers = range(1, members)
    board.members = {samples.make_instance_name(n): samples.make_member(n) for n in numbers}
    held: dict[str, list[int]] = {samples.make_instance_name(n): [] for n in range(members)}
    by_zone: dict[str, list[Candidate]] = {}
    for number in range(members):
        candidate = Candidate(samples.make_instance_name(number), samples.make_zone_name(number))
        by_zone.setdefault(candidate.zone, []).append(candidate)
    for number in range(members * ENDPOINTS_PER_MEMBER):
        zone = samples.make_zone_name(number // samples.REPLICAS)
        # Only instances of the endpoint's zone are ranked, so the others are left out.
        holder = holder_of(samples.make_endpoint_name(number), zone, by_zone.get(zone, []))
        if holder is not None:
            held[holder].append(number)
    board.held_views = {
        samples.make_endpoint_name(n): samples.make_view(n) for n in held[samples.OWN_INSTANCE]
    }
    links = MembershipCallbacks(
        post=_fail_call,
        fetch_instances=_fail_call,
        set_held_endpoints=lambda names, ready_at_ms: None,
        held_endpoint_names=lambda: list(board.held_views),
        on_clock_gap=lambda: None,
        on_peer_head=lambda instance, revision, digest: None,
    )
    controller = create_membership(board, create_metrics(), links, lambda: 0.0, Random(1))
    heartbeats = []
    for number in numbers:
        name = samples.make_instance_name(number)
        views = [samples.make_view(n, name) for n in held[name]]
        heartbeat = samples.make_heartbeat(
            number, views, [samples.make_endpoint_name(n) for n in held[name]]
        )
        heartbeats.append(heartbeat)
    return board, controller, heartbeats


def _measure_receive(members: int, effort: Effort) -> float:
    """Measure the handling of a peer's heartbeat without changes, after decoding."""
    board, controller, heartbeats = make_full_membership(members)
    # The bundle is set after the first round of heartbeats, which is fast because nothing is
    # recomputed without a bundle.
    for heartbeat in heartbeats:
        run_synchronously(controller.on_heartbeat(heartbeat))
    board.bundle = samples.make_active_bundle(members * ENDPOINTS_PER_MEMBER)
    unchanged_heartbeat: Heartbeat = {**heartbeats[-1], "endpoints": [], "acknowledged": 0}
    result = cpu_us(lambda: run_synchronously(controller.on_heartbeat(unchanged_heartbeat)), effort)
    holders = {view["holder"] for view in board.endpoint_views.values()}
    if len(board.members) != members - 1 or not holders <= {samples.OWN_INSTANCE, *board.members}:
        raise RuntimeError("The members or holders differ from those in the heartbeats.")
    return result


def make_instance_list_body(instances: int) -> bytes:
    """Return the body of the platform's instance list, in which 7 of 8 instances are endpoints."""
    entries = [
        {
            "name": samples.make_endpoint_name(n) if n % 8 else samples.make_instance_name(n),
            "role": "endpoint" if n % 8 else "entry",
            "zone": samples.make_zone_name(n),
            "host": f"10.{n // 65536}.{n // 256 % 256}.{n % 256}",
            "port": 20_000,
            "state": "live",
        }
        for n in range(instances)
    ]
    return msgspec.json.encode({"instances": entries, "as_of_ms": 1.0})


def _measure_decode_list(instances: int, effort: Effort) -> float:
    body = make_instance_list_body(instances)
    return cpu_us(lambda: decode(body, InstanceList, _MAX_BODY_BYTES), effort)


def heartbeat_probes() -> list[Probe]:
    """Return the probes of heartbeats and of the platform's instance list."""
    held = (7, 70, 181, 700)
    members = (1_080, 2_160, 4_320, 8_640)
    rounds = (540, 2_160, 4_320, 8_640)
    list_sizes = (8_000, 16_000, 32_000, 71_700)
    size_name = "instances listed"
    return [
        Probe("heartbeat, build, nothing changed", "held endpoints", "us", held, _measure_build),
        Probe(
            "heartbeat, build and encode for all, 7 held",
            "members",
            "us",
            rounds,
            _measure_heartbeat_round,
        ),
        Probe("heartbeat, encode", "changed views", "us", held, _measure_encode),
        Probe("heartbeat, decode and check", "changed views", "us", held, _measure_decode),
        Probe("heartbeat, take", "changed views", "us", held, _measure_take),
        Probe(
            "heartbeat, take, refresh, answer; 7 endpoints a member",
            "members",
            "us",
            members,
            _measure_receive,
        ),
        Probe("platform's list, decode", size_name, "us", list_sizes, _measure_decode_list),
        Probe(
            "platform's list, body",
            size_name,
            "bytes",
            list_sizes,
            lambda n, _: float(len(make_instance_list_body(n))),
        ),
    ]
