"""Builders of views, bundles, requests and shared state for tests of query decisions."""

from collections.abc import Iterable
from random import Random
from typing import Any

from wisteriarock.bundle.models import ActiveBundle, BundleContent, Envelope, KindSpec
from wisteriarock.membership.models import EndpointState, EndpointView
from wisteriarock.query.decide import start_query
from wisteriarock.query.hedging import create_hedge_state
from wisteriarock.query.models import LegOutcome, LegReply, LegRequest, QueryRequest
from wisteriarock.query.state import Action, Finish, QueryState, SendLeg, SharedState
from wisteriarock.routing.decide import apply_view, build_routes
from wisteriarock.routing.models import RoutingState
from wisteriarock.snapshot.decide import refresh_index, set_routes
from wisteriarock.snapshot.models import HoldingIndex

ZONES = ("north", "east", "west")
Triple = tuple[str, int, int]


def make_view(
    endpoint: str,
    holdings: dict[int, list[Triple]],
    *,
    holder: str = "e0",
    state: EndpointState = EndpointState.READY,
    incarnation: str = "1",
    busy: int = 0,
    queued: int = 0,
) -> EndpointView:
    """Return the view of an endpoint of 2 slots."""
    return EndpointView(
        endpoint=endpoint,
        holder=holder,
        version=1,
        state=state,
        incarnation=incarnation,
        slots=2,
        busy=busy,
        queued=queued,
        holdings={str(snapshot): list(triples) for snapshot, triples in holdings.items()},
    )


def make_kind(**changes: Any) -> KindSpec:
    """Return an idempotent kind that waits for all shards and is hedged."""
    spec: dict[str, Any] = {
        "cost_per_leg": 1,
        "deadline_max_ms": 10_000,
        "coverage": "wait_all",
        "priority": "normal",
        "idempotent": True,
        "hedge": True,
        **changes,
    }
    return spec  # type: ignore[return-value]


KINDS = {
    "search": make_kind(),
    "early": make_kind(coverage="early", early_after_ms=50, early_min_coverage=0.5),
    "booking": make_kind(idempotent=False, hedge=False),
}


def make_bundle(
    zones: dict[str, str], shards: Iterable[str], *, per_100: float = 5, burst: float = 10
) -> ActiveBundle:
    """Return a bundle with one service `s` whose endpoints are in the given zones."""
    content: BundleContent = {
        "format": 1,
        "organisations": ["o"],
        "callers": {},
        "kinds": dict(KINDS),
        "services": {
            "s": {
                "shards": list(shards),
                "endpoints": {
                    name: {
                        "zone": zone,
                        "host": "127.0.0.1",
                        "port": 1,
                        "slots": 2,
                        "connection_cap": 25,
                        "connect_cost_ms": 6,
                    }
                    for name, zone in zones.items()
                },
            }
        },
        "budgets": {"extra_legs_per_100": per_100, "extra_legs_burst": burst},
    }
    envelope = Envelope(
        revision=1,
        content_digest="",
        previous_digest="",
        proposer="a",
        approver="b",
        proposer_signature="",
        approver_signature="",
    )
    return ActiveBundle(1, "digest", content, envelope)


def make_routing_state(**changes: Any) -> RoutingState:
    """Return the routing state of an instance in zone north with the default settings."""
    return RoutingState(
        **{
            "own_zone": "north",
            "eject_after_failures": 5,
            "eject_ms": 5_000,
            "eject_max_share": 0.5,
            "slow_start_ms": 3_000,
            **changes,
        }
    )


def make_shared_state(
    views: Iterable[EndpointView], active: ActiveBundle, tokens: float = 10
) -> SharedState:
    """Return the shared state with the views indexed, the holder `e0` live, and a budget."""
    shared = SharedState(
        HoldingIndex(), make_routing_state(), create_hedge_state(0.95, 5, 100), Random(1)
    )
    shared.hedging.budget.burst = shared.hedging.budget.tokens = tokens
    set_routes(shared.index, build_routes(active.content), frozenset({"e0"}))
    update_views(shared, views, 0)
    return shared


def update_views(shared: SharedState, views: Iterable[EndpointView], now_ms: float) -> None:
    """Replace all views by the given ones."""
    by_name = {item["endpoint"]: item for item in views}
    for item in refresh_index(shared.index, by_name, now_ms):
        apply_view(shared.routing, item, now_ms)


def make_request(
    shards: Iterable[str], kind_name: str = "search", deadline_ms: float = 1_000
) -> QueryRequest:
    """Return a request that was admitted at time 0."""
    repeatable = KINDS[kind_name]["idempotent"]
    return QueryRequest("q", "c", kind_name, tuple(shards), deadline_ms, repeatable, {})


def start_sample_query(
    shared: SharedState, query_request: QueryRequest, active: ActiveBundle
) -> tuple[QueryState, list[Action]]:
    """Start a query at time 0."""
    routes = shared.index.routes
    assert routes is not None
    return start_query(shared, query_request, active, routes, 0)


def reply_to(leg: LegRequest, outcome: LegOutcome = LegOutcome.OK, **changes: Any) -> LegReply:
    """Return the reply to a leg; with outcome OK, it has one row with partition and snapshot."""
    is_ok = outcome == LegOutcome.OK
    row = {"shard": leg["shard"], "part": leg["part"], "snapshot": leg["snapshot"]}
    reply: dict[str, Any] = {
        "leg_id": leg["leg_id"],
        "endpoint": leg["endpoint"],
        "outcome": outcome,
        "executed": is_ok or outcome in (LegOutcome.LOST, LegOutcome.PEER_LOST),
        "shard": leg["shard"],
        "part": leg["part"],
        "parts": leg["parts"],
        "snapshot": leg["snapshot"],
        "rows": [row] if is_ok else [],
        "queued_ms": 0.0,
        "service_ms": 1.0,
        **changes,
    }
    return reply  # type: ignore[return-value]


def sent_legs(actions: Iterable[Action]) -> list[LegRequest]:
    """Return the legs that the actions send."""
    return [action.leg for action in actions if isinstance(action, SendLeg)]


def get_answer(actions: Iterable[Action]) -> Any:
    """Return the answer of the `Finish` action, or None."""
    return next((a.answer for a in actions if isinstance(a, Finish)), None)
