"""Fixtures: settings, bundles and blackboards."""

import hashlib

from wisteriarock.blackboard.models import Blackboard
from wisteriarock.bundle.models import ActiveBundle, BundleContent, CoverageRule, KindSpec, Priority
from wisteriarock.membership.models import Phase
from wisteriarock.settings.load import check_settings
from wisteriarock.settings.models import Settings

CREDENTIAL = "secret-of-mill"
ZONES = ("north", "east", "west")


def make_settings(instance: str = "e1", zone: str = "north", **fields: object) -> Settings:
    """Return checked settings; `fields` replaces fields of the settings file."""
    raw = {
        "instance": instance,
        "zone": zone,
        "public_host": "127.0.0.1",
        "public_port": 8080,
        "internal_host": "127.0.0.1",
        "internal_port": 8081,
        "peers": [],
        "peer_keys": [{"key_id": "k1", "secret": "0123456789abcdef"}],
        "operator_token": "token",
        "operator_keys": {},
        "platform_url": "http://127.0.0.1:9",
        **fields,
    }
    return check_settings(raw).unwrap()


def make_kind(**fields: object) -> KindSpec:
    """Return an idempotent kind that waits for all shards; `fields` replaces fields."""
    kind: KindSpec = {
        "cost_per_leg": 1.0,
        "deadline_max_ms": 10_000,
        "coverage": CoverageRule.WAIT_ALL,
        "priority": Priority.NORMAL,
        "idempotent": True,
        "hedge": True,
    }
    kind.update(fields)  # type: ignore[typeddict-item]
    return kind


def make_content(shard_count: int = 4, replicas: int = 2) -> BundleContent:
    """Return bundle content with a service of `replicas` endpoints for each shard."""
    services = {}
    for index in range(shard_count):
        shard = f"mill-{index:02}"
        endpoints = {
            f"{shard}-{replica}": {
                "zone": ZONES[(index + replica) % len(ZONES)],
                "host": "127.0.0.1",
                "port": 20_000 + 10 * index + replica,
                "slots": 2,
                "connection_cap": 25,
                "connect_cost_ms": 6.0,
            }
            for replica in range(replicas)
        }
        services[f"service-{index:02}"] = {"endpoints": endpoints, "shards": [shard]}
    return {
        "format": 1,
        "organisations": ["cascade"],
        "callers": {
            "desk": {
                "organisation": "cascade",
                "credential_sha256": hashlib.sha256(CREDENTIAL.encode()).hexdigest(),
                "kinds": ["recall_screen", "invoice_lookup", "archive_export"],
                "shards": ["*"],
                "cost_per_s": 100.0,
                "cost_burst": 100.0,
            },
            "narrow": {
                "organisation": "cascade",
                "credential_sha256": hashlib.sha256(b"other").hexdigest(),
                "kinds": ["recall_screen"],
                "shards": ["mill-00"],
                "cost_per_s": 100.0,
                "cost_burst": 100.0,
            },
        },
        "kinds": {
            "recall_screen": make_kind(priority=Priority.URGENT),
            "invoice_lookup": make_kind(idempotent=False, hedge=False),
            "archive_export": make_kind(priority=Priority.BACKGROUND),
        },
        "services": services,
        "budgets": {"extra_legs_per_100": 5.0, "extra_legs_burst": 10.0},
    }


def make_bundle(revision: int = 1, **fields: int) -> ActiveBundle:
    """Return an active bundle with empty signatures; `fields` go to `make_content`."""
    digest = f"digest-{revision}"
    envelope = {
        "revision": revision,
        "content_digest": digest,
        "previous_digest": "",
        "proposer": "ana",
        "approver": "boris",
        "proposer_signature": "",
        "approver_signature": "",
    }
    return ActiveBundle(revision, digest, make_content(**fields), envelope)  # type: ignore[arg-type]


def make_board(instance: str = "e1", zone: str = "north", **fields: object) -> Blackboard:
    """Return the blackboard of a ready instance with a bundle in force."""
    settings = make_settings(instance, zone, **fields)
    return Blackboard(settings, f"{instance}-run", phase=Phase.READY, bundle=make_bundle())
