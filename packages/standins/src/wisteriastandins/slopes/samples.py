"""Build endpoints, bundles, members and heartbeats of a given size, with realistic names."""

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

ZONE_COUNT = 27
# Current deployments have two endpoints per service. An endpoint holds two snapshots while its
# index is replaced by a new version.
REPLICAS = 2
SNAPSHOTS = (41, 42)
KIND = "recall_screen"
OWN_INSTANCE = "entry-z00-0000"
_KEYS = {"ana": generate_key(), "boris": generate_key()}
OPERATOR_KEYS = {name: public_key_to_text(key) for name, key in _KEYS.items()}
BUNDLE_DIGEST = "d" * 64


def make_zone_name(number: int) -> str:
    """Return the zone name of an instance or service."""
    return f"region-{number % ZONE_COUNT % 8}-zone-{number % ZONE_COUNT:02}"


def make_instance_name(number: int) -> str:
    """Return the name of an entry instance."""
    return f"entry-z{number % ZONE_COUNT:02}-{number:04}"


def make_endpoint_name(number: int) -> str:
    """Return the name of an endpoint."""
    return f"bale-tracker-{number // REPLICAS:05}-{number % REPLICAS}"


def make_shard_name(number: int) -> str:
    """Return the name of the only shard of an endpoint."""
    return f"mill-{number // REPLICAS:05}"


def make_view(
    number: int, holder: str = OWN_INSTANCE, version: int = 1, queued: int = 0
) -> EndpointView:
    """Return the view of a ready endpoint."""
    holding = (make_shard_name(number), 0, 1)
    return {
        "endpoint": make_endpoint_name(number),
        "holder": holder,
        "version": version,
        "state": EndpointState.READY,
        "incarnation": f"{number:016x}",
        "slots": 2,
        "busy": 1,
        "queued": queued,
        "holdings": {str(snapshot): [holding] for snapshot in SNAPSHOTS},
    }


def make_views(count: int, version: int = 1) -> dict[str, EndpointView]:
    """Return the views of `count` endpoints by name."""
    return {make_endpoint_name(n): make_view(n, version=version) for n in range(count)}


def make_content(endpoints: int, callers: int, port: int = 0) -> BundleContent:
    """Return the content of a bundle.

    If `port` is set, all endpoints share that port of 127.0.0.1, which `check_content` rejects.
    """
    services: dict[str, Any] = {}
    for number in range(endpoints):
        service = services.setdefault(
            f"bale-tracker-{number // REPLICAS:05}",
            {"endpoints": {}, "shards": [make_shard_name(number)]},
        )
        service["endpoints"][make_endpoint_name(number)] = {
            "zone": make_zone_name(number // REPLICAS),
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


def make_signed_bundle(content: BundleContent) -> SignedBundle:
    """Return a bundle with this content, signed by two operators."""
    return sign_bundle(content, 1, "", "ana", _KEYS["ana"], "boris", _KEYS["boris"])


def make_active_bundle(endpoints: int, callers: int = 1, port: int = 0) -> ActiveBundle:
    """Return an active bundle of this size."""
    signed = make_signed_bundle(make_content(endpoints, callers, port))
    envelope = signed["envelope"]
    return ActiveBundle(1, envelope_digest(envelope), signed["content"], envelope)


def make_board(instance: str = OWN_INSTANCE, **fields: Any) -> Blackboard:
    """Return the blackboard of a ready instance; `fields` overrides its settings."""
    raw = {
        "instance": instance,
        "zone": make_zone_name(0),
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


def make_member(number: int, port: int = 1, heard_at_ms: float = 0.0) -> Member:
    """Return a ready member."""
    return Member(
        make_instance_name(number),
        f"{number:016x}",
        make_zone_name(number),
        "127.0.0.1",
        port,
        Phase.READY,
        heard_at_ms,
        1,
        BUNDLE_DIGEST,
    )


def make_heartbeat(
    number: int, changed: list[EndpointView], holding: list[str], callers: int = 0
) -> Heartbeat:
    """Return the heartbeat of an instance."""
    return {
        "instance": make_instance_name(number),
        "incarnation": f"{number:016x}",
        "zone": make_zone_name(number),
        "host": "127.0.0.1",
        "port": 21_000,
        "phase": Phase.READY,
        "sequence": 123_456,
        "acknowledged": 0,
        "bundle_revision": 12_345,
        "bundle_digest": BUNDLE_DIGEST,
        "endpoints": changed,
        "holding": holding,
        "callers": {f"recall-desk-{n:05}": 123.45 for n in range(callers)},
        "ticket_successor": "",
    }


def make_leg(number: int, replica: int = 0) -> LegRequest:
    """Return the `number`-th leg of a query, addressed to a replica of its shard."""
    endpoint = number * REPLICAS + replica
    return {
        "leg_id": f"0123456789abcdef.0.{number}",
        "request_id": "0123456789abcdef",
        "endpoint": make_endpoint_name(endpoint),
        "kind": KIND,
        "priority": "urgent",
        "shard": make_shard_name(endpoint),
        "part": 0,
        "parts": 1,
        "snapshot": SNAPSHOTS[-1],
        "deadline_ms": 30_000.0,
        "idempotent": True,
        "params": {"limit": 3},
    }
