"""Fixtures: a blackboard with one endpoint, and legs for that endpoint."""

from typing import Any

from wisteriarock.blackboard.models import Blackboard
from wisteriarock.bundle.models import ActiveBundle, EndpointSpec
from wisteriarock.query.models import LegRequest
from wisteriarock.settings.load import check_settings


def make_board(port: int = 0, **overrides: Any) -> Blackboard:
    """Return the blackboard of instance `e1`, with endpoint `a` at `port` in its bundle.

    `peers` and `tunables` override settings, `spec` overrides fields of the endpoint.
    """
    raw = {
        "instance": "e1",
        "zone": "north",
        "public_host": "127.0.0.1",
        "public_port": 1,
        "internal_host": "127.0.0.1",
        "internal_port": 1,
        "peers": overrides.get("peers", []),
        "peer_keys": [{"key_id": "k1", "secret": "0123456789abcdef"}],
        "operator_token": "token",
        "operator_keys": {},
        "platform_url": "http://127.0.0.1:1",
        "tunables": overrides.get("tunables", {}),
    }
    board = Blackboard(check_settings(raw).unwrap(), "run-1")
    spec: EndpointSpec = {
        "zone": "north",
        "host": "127.0.0.1",
        "port": port,
        "slots": 2,
        "connection_cap": 6,
        "connect_cost_ms": 1.0,
    }
    spec.update(overrides.get("spec", {}))
    content: Any = {
        "format": 1,
        "organisations": ["mills"],
        "callers": {},
        "kinds": {},
        "services": {"bales": {"endpoints": {"a": spec}, "shards": ["mill-07"]}},
        "budgets": {"extra_legs_per_100": 5, "extra_legs_burst": 5},
    }
    envelope: Any = {}
    board.bundle = ActiveBundle(1, "d1", content, envelope)
    return board


def make_leg(leg_id: str = "r1.1", **fields: Any) -> LegRequest:
    """Return a leg for endpoint `a`."""
    leg: LegRequest = {
        "leg_id": leg_id,
        "request_id": "r1",
        "endpoint": "a",
        "kind": "blend",
        "priority": "normal",
        "shard": "mill-07",
        "part": 0,
        "parts": 1,
        "snapshot": 7,
        "deadline_ms": 5_000.0,
        "idempotent": True,
        "params": {},
    }
    leg.update(fields)  # type: ignore[typeddict-item]
    return leg
