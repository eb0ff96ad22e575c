"""Sample contents, operator keys and settings for tests of bundles."""

import copy
import random
from typing import Any

import json5
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from wisteriarock.bundle.checks import check_content
from wisteriarock.bundle.models import BundleContent, SignedBundle
from wisteriarock.bundle.signing import envelope_digest, public_key_to_text, sign_bundle
from wisteriarock.membership.models import Member, Phase
from wisteriarock.settings.load import check_settings
from wisteriarock.settings.models import Settings

PRIVATE_KEYS = {
    name: Ed25519PrivateKey.from_private_bytes(name.encode().ljust(32, b"."))
    for name in ("ann", "bob", "cy")
}
OPERATOR_KEYS = {name: public_key_to_text(key) for name, key in PRIVATE_KEYS.items()}

_CONTENT: dict[str, Any] = json5.loads("""{
  format: 1, organisations: ["cascade"],
  callers: {mill: {
    organisation: "cascade", credential_sha256: "CREDENTIAL", kinds: ["find", "book"],
    shards: ["mill-01"], cost_per_s: 10, cost_burst: 20}},
  kinds: {
    find: {cost_per_leg: 1, deadline_max_ms: 1000, coverage: "early", priority: "normal",
      idempotent: true, hedge: true, early_after_ms: 50, early_min_coverage: 0.9},
    book: {cost_per_leg: 1, deadline_max_ms: 1000, coverage: "wait_all", priority: "urgent",
      idempotent: false, hedge: false}},
  services: {sorting: {shards: ["mill-01", "mill-02"], endpoints: {
    "sorting-0": {zone: "north", host: "127.0.0.1", port: 9000, slots: 2, connection_cap: 25,
      connect_cost_ms: 6},
    "sorting-1": {zone: "east", host: "127.0.0.1", port: 9001, slots: 2, connection_cap: 25,
      connect_cost_ms: 6}}}},
  budgets: {extra_legs_per_100: 5, extra_legs_burst: 20},
}""".replace("CREDENTIAL", "a" * 64))


def make_raw_content() -> dict[str, Any]:
    """Return a valid content as decoded from JSON, for tests to modify."""
    return copy.deepcopy(_CONTENT)


def make_checked_content(cost_per_s: float = 10) -> BundleContent:
    """Return a checked content; different costs give different contents."""
    raw = make_raw_content()
    raw["callers"]["mill"]["cost_per_s"] = cost_per_s
    return check_content(raw).unwrap()


def make_bundle_chain(length: int) -> list[SignedBundle]:
    """Return approved bundles with revisions from 1, each referring to the previous one."""
    chain: list[SignedBundle] = []
    for revision in range(1, length + 1):
        previous = envelope_digest(chain[-1]["envelope"]) if chain else ""
        content = make_checked_content(revision)
        chain.append(
            sign_bundle(
                content, revision, previous, "ann", PRIVATE_KEYS["ann"], "bob", PRIVATE_KEYS["bob"]
            )
        )
    return chain


def make_entry_settings(instance: str = "e1", **changes: Any) -> Settings:
    """Return settings of an instance in zone north; its peers are the others of e1 to e3."""
    raw = json5.loads("""{zone: "north", public_host: "127.0.0.1", public_port: 1,
        internal_host: "127.0.0.1", internal_port: 2, platform_url: "http://127.0.0.1:1",
        peer_keys: [{key_id: "k", secret: "0123456789abcdef"}], operator_token: "token"}""")
    raw |= {"instance": instance, "operator_keys": OPERATOR_KEYS, **changes}
    raw["peers"] = [
        {"instance": name, "zone": "north", "host": "127.0.0.1", "port": 3}
        for name in ("e1", "e2", "e3")
        if name != instance
    ]
    return check_settings(raw).unwrap()


def make_rng() -> random.Random:
    """Return a random source with a fixed seed."""
    return random.Random(7)


def make_member(name: str, zone: str, now_ms: float, revision: int, digest: str) -> Member:
    """Return a ready member whose last heartbeat arrived at `now_ms`."""
    return Member(name, "1", zone, "127.0.0.1", 1, Phase.READY, now_ms, revision, digest)
