"""Endpoints, bundles, members and heartbeats of a given size, with names as long as real ones."""

import hashlib
from typing import Any

from wisteriarock.blackboard.models import Blackboard
from wisteriarock.bundle.models import ActiveBundle, BundleContent, SignedBundle
from wisteriarock.bundle.signing import (
    envelope_digest,
    generate_key,
    public_key_to_text,
    sign_bundle,
)
from wisteriarock.membership.models import EndpointState, EndpointView, Heartbeat, Member, Phase
from wisteriarock.query.models import LegRequest
from wisteriarock.settings.load import check_settings

ZONES = 27
# The deployments of today have two endpoints for each service. While the index changes its
# version an endpoint holds two snapshots.
REPLICAS = 2
SNAPSHOTS = (41, 42)
KIND = "recall_screen"
OWN = "entry-z00-0000"
_KEYS = {"ana": generate_key(), "boris": generate_key()}
OPERATOR_KEYS = {name: public_key_to_text(key) for name, key in _KEYS.items()}
DIGEST = "d" * 64


def zone_of(number: int) -> str:
    """Return the zone of an instance or service."""
    return f"region-{number % ZONES % 8}-zone-{number % ZONES:02}"


def instance_of(number: int) -> str:
    """Return the name of an entry instance."""
    return f"entry-z{number % ZONES:02}-{number:04}"


def endpoint_of(number: int) -> str:
    """Return the name of an endpoint."""
    return f"bale-tracker-{number // REPLICAS:05}-{number % REPLICAS}"


def shard_of(number: int) -> str:
    """Return the only shard of an endpoint."""
    return f"mill-{number // REPLICAS:05}"


def view_of(number: int, holder: str = OWN, version: int = 1, queued: int = 0) -> EndpointView:
    """Return the view of a ready endpoint."""
    triple = (shard_of(number), 0, 1)
    return {
        "endpoint": endpoint_of(number),
        "holder": holder,
        "version": version,
        "state": EndpointState.READY,
        "incarnation": f"{number:016x}",
        "slots": 2,
        "busy": 1,
        "queued": queued,
        "holdings": {str(snapshot): [triple] for snapshot in SNAPSHOTS},
    }


def views_of(count: int, version: int = 1) -> dict[str, EndpointView]:
    """Return views of endpoints by name."""
    return {endpoint_of(n): view_of(n, version=version) for n in range(count)}


def content_of(endpoints: int, callers: int, port: int = 0) -> BundleContent:
    """Return a content; with a port, all endpoints share it, which a check would refuse."""
    services: dict[str, Any] = {}
    for number in range(endpoints):
        service = services.setdefault(
            f"bale-tracker-{number // REPLICAS:05}", {"endpoints": {}, "shards": [shard_of(number)]}
        )
        service["endpoints"][endpoint_of(number)] = {
            "zone": zone_of(number // REPLICAS),
            "host": "127.0.0.1" if port else f"10.{number // 65536}.{number // 256 % 256}.1",
            "port": port or 20_000 + number % 256,
            "slots": 2,
            "connection_cap": 25,
            "connect_cost_ms": 6.0,
        }
    kind: Any = {
        "cost_per_leg": 1.0,
        "deadline_max_ms": 10_000,
        "coverage": "wait_all",
        "priority": "urgent",
        "idempotent": True,
        "hedge": True,
    }
    return {
        "format": 1,
        "organisations": ["cascade-down"],
        "callers": {
            f"recall-desk-{number:05}": {
                "organisation": "cascade-down",
                "credential_sha256": hashlib.sha256(str(number).encode()).hexdigest(),
                "kinds": [KIND],
                "shards": ["*"],
                "cost_per_s": 1e9,
                "cost_burst": 1e9,
            }
            for number in range(callers)
        },
        "kinds": {KIND: kind},
        "services": services,
        "budgets": {"extra_legs_per_100": 5.0, "extra_legs_burst": 20.0},
    }


def signed_of(content: BundleContent) -> SignedBundle:
    """Return a content with an envelope that two operators signed."""
    return sign_bundle(content, 1, "", "ana", _KEYS["ana"], "boris", _KEYS["boris"])


def active_of(endpoints: int, callers: int = 1, port: int = 0) -> ActiveBundle:
    """Return a bundle in force."""
    signed = signed_of(content_of(endpoints, callers, port))
    envelope = signed["envelope"]
    return ActiveBundle(1, envelope_digest(envelope), signed["content"], envelope)


def board_of(instance: str = OWN, **fields: Any) -> Blackboard:
    """Return the blackboard of a ready instance; `fields` replaces fields of its settings."""
    raw = {
        "instance": instance,
        "zone": zone_of(0),
        "public_host": "127.0.0.1",
        "public_port": 1,
        "internal_host": "127.0.0.1",
        "internal_port": 1,
        "peers": [],
        "peer_keys": [{"key_id": "k1", "secret": "0123456789abcdef"}],
        "operator_token": "token",
        "operator_keys": OPERATOR_KEYS,
        "platform_url": "http://127.0.0.1:1",
        **fields,
    }
    return Blackboard(check_settings(raw).unwrap(), "a1b2c3d4e5f60718", Phase.READY)


def member_of(number: int, port: int = 1, heard_at_ms: float = 0.0) -> Member:
    """Return a ready member."""
    return Member(
        instance_of(number),
        f"{number:016x}",
        zone_of(number),
        "127.0.0.1",
        port,
        Phase.READY,
        heard_at_ms,
        1,
        DIGEST,
    )


def heartbeat_of(
    number: int, changed: list[EndpointView], holding: list[str], callers: int = 0
) -> Heartbeat:
    """Return the heartbeat of an instance."""
    return {
        "instance": instance_of(number),
        "incarnation": f"{number:016x}",
        "zone": zone_of(number),
        "host": "127.0.0.1",
        "port": 21_000,
        "phase": Phase.READY,
        "sequence": 123_456,
        "acknowledged": 0,
        "bundle_revision": 12_345,
        "bundle_digest": DIGEST,
        "endpoints": changed,
        "holding": holding,
        "callers": {f"recall-desk-{n:05}": 123.45 for n in range(callers)},
        "ticket_successor": "",
    }


def leg_of(number: int, replica: int = 0) -> LegRequest:
    """Return the leg of a query to a replica of its shard, the `number`-th of all."""
    endpoint = number * REPLICAS + replica
    return {
        "leg_id": f"0123456789abcdef.0.{number}",
        "request_id": "0123456789abcdef",
        "endpoint": endpoint_of(endpoint),
        "kind": KIND,
        "priority": "urgent",
        "shard": shard_of(endpoint),
        "part": 0,
        "parts": 1,
        "snapshot": SNAPSHOTS[-1],
        "deadline_ms": 30_000.0,
        "idempotent": True,
        "params": {"limit": 3},
    }
