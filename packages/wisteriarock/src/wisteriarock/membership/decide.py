"""Decide which members are live and which instance holds which endpoint."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import xxhash

from wisteriarock.platform.models import InstanceList

from .const import INSTANCE_LIST_MAX_AGE_MS, OTHER_ZONE_INTERVAL_FACTOR, RECENT_HEARTBEAT_SHARE
from .models import Member, Phase

# Phases in which an instance may hold endpoints. A draining instance hands its endpoints over.
HOLDING_PHASES = frozenset({Phase.STARTING, Phase.READY})


def rank_instances(key: str, names: Iterable[str]) -> list[str]:
    """Order instances by rendezvous hashing, with the first choice for `key` first.

    All instances that know the same names compute the same order. Removing a name changes the
    first choice only for the keys whose first choice it was.
    """

    def weight(name: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}\x00{name}".encode())

    return sorted(names, key=lambda name: (-weight(name), name))


def is_live(member: Member, now_ms: float, suspect_after_ms: float) -> bool:
    """Return whether a member sent a heartbeat recently and has not announced that it stopped."""
    if member.phase is Phase.STOPPED:
        return False
    return now_ms - member.last_heartbeat_at_ms <= suspect_after_ms


def is_heartbeat_due(
    member: Member | None, own_zone: str, peer_zone: str, now_ms: float, interval_ms: float
) -> bool:
    """Return whether to send a peer a heartbeat now.

    An exchange informs both sides, so none is needed shortly after a heartbeat from the peer.
    Peers in other zones get half as many: they hold endpoints of this zone only if all of its
    instances fail.
    """
    if member is None:
        return True
    peer_interval_ms = (
        interval_ms if peer_zone == own_zone else interval_ms * OTHER_ZONE_INTERVAL_FACTOR
    )
    return now_ms - member.last_heartbeat_at_ms >= peer_interval_ms * RECENT_HEARTBEAT_SHARE


def live_members(
    members: Mapping[str, Member], now_ms: float, suspect_after_ms: float
) -> dict[str, Member]:
    """Return the live members by name."""
    return {
        name: member
        for name, member in members.items()
        if is_live(member, now_ms, suspect_after_ms)
    }


class Candidate(NamedTuple):
    """An instance that may hold endpoints, and its availability zone."""

    instance: str
    zone: str


def holding_candidates(live: Mapping[str, Member]) -> list[Candidate]:
    """Return the live members whose phase allows them to hold endpoints."""
    return [Candidate(m.instance, m.zone) for m in live.values() if m.phase in HOLDING_PHASES]


def find_vacant_zones(instance_list: InstanceList | None, age_ms: float) -> frozenset[str]:
    """Return the zones that have endpoints but no entry instance in a recent platform list.

    Missing heartbeats alone do not make a zone vacant: behind a network partition, its own
    instances continue to use the slots of its endpoints.
    """
    if instance_list is None or age_ms > INSTANCE_LIST_MAX_AGE_MS:
        return frozenset()
    instances = instance_list["instances"]
    zones_with_entry = {
        instance["zone"]
        for instance in instances
        if instance["role"] == "entry" and instance["state"] == "live"
    }
    return (
        frozenset(instance["zone"] for instance in instances if instance["role"] == "endpoint")
        - zones_with_entry
    )


def holder_of(
    endpoint: str,
    zone: str,
    candidates: Iterable[Candidate],
    vacant_zones: frozenset[str] = frozenset(),
) -> str | None:
    """Return the instance that holds the connections to an endpoint.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    zone : str
        Availability zone of the endpoint. Instances of this zone are preferred.
    candidates : iterable of Candidate
        Instances that may hold endpoints, this one included.
    vacant_zones : frozenset of str
        Zones whose endpoints may be held from other zones.

    Returns
    -------
    str or None
        None if no candidate may hold the endpoint.
    """
    all_candidates = list(candidates)
    local = [c.instance for c in all_candidates if c.zone == zone]
    names = local or [c.instance for c in all_candidates if zone in vacant_zones]
    return rank_instances(endpoint, names)[0] if names else None
