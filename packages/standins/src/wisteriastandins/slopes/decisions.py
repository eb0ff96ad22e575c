"""Probes of the decisions: snapshot, membership, admission and query."""

from collections.abc import Callable
from random import Random

from wisteriarock.admission.decide import admit
from wisteriarock.admission.models import AdmissionState, InstanceLoad
from wisteriarock.membership.decide import Candidate, is_live
from wisteriarock.membership.exchange import assign
from wisteriarock.query.controller import create_shared_state
from wisteriarock.query.decide import on_reply, start_query
from wisteriarock.query.models import LegOutcome, LegReply, LegRequest, QueryBody, QueryRequest
from wisteriarock.query.state import Finish, SendLeg, SharedState
from wisteriarock.routing.decide import apply_view, build_routes
from wisteriarock.routing.models import Routes
from wisteriarock.snapshot.decide import pin_snapshot, refresh_index, set_routes
from wisteriarock.snapshot.models import HoldingIndex

from . import samples
from .gauges import cpu_us, cpu_us_fresh
from .models import Effort, Probe

# Legs of a query at the target size.
FAN_OUT = 630
# Endpoints of an instance's views where the fan-out varies.
FIXED_ENDPOINTS = 2_000
# Endpoints that are assigned where the number of candidates varies.
ASSIGNED = 300
ROWS = 3
IDLE = InstanceLoad(0, 500.0, 0.0)


def _index(endpoints: int) -> HoldingIndex:
    index = HoldingIndex()
    refresh_index(index, samples.views_of(endpoints), 0.0)
    routes = build_routes(samples.content_of(endpoints, 1))
    set_routes(index, routes, frozenset([samples.OWN]))
    return index


def _shards(endpoints: int, most: int = FAN_OUT) -> list[str]:
    """Return the shards of the first endpoints, each once."""
    return [samples.shard_of(n) for n in range(0, endpoints, samples.REPLICAS)][:most]


def _pin_cold(endpoints: int, effort: Effort) -> float:
    index = _index(endpoints)
    wanted = _shards(endpoints)

    def work() -> None:
        index.plan_cache.clear()
        pin_snapshot(index, wanted)

    return cpu_us(work, effort)


def _pin_warm(endpoints: int, effort: Effort) -> float:
    index = _index(endpoints)
    wanted = _shards(endpoints)
    return cpu_us(lambda: pin_snapshot(index, wanted), effort)


def _pin_wanted(shards: int, effort: Effort) -> float:
    index = _index(FIXED_ENDPOINTS)
    wanted = _shards(FIXED_ENDPOINTS, shards)
    return cpu_us(lambda: pin_snapshot(index, wanted), effort)


def _refresh_same(endpoints: int, effort: Effort) -> float:
    index, views = HoldingIndex(), samples.views_of(endpoints)
    refresh_index(index, views, 0.0)
    return cpu_us(lambda: refresh_index(index, views, 0.0), effort)


def _refresh_load(endpoints: int, effort: Effort) -> float:
    """Measure a refresh in which every view is new and differs only in load."""
    index = HoldingIndex()
    refresh_index(index, samples.views_of(endpoints), 0.0)
    version = 1

    def prepare() -> Callable[[], object]:
        nonlocal version
        version += 1
        views = samples.views_of(endpoints, version)
        return lambda: refresh_index(index, views, 0.0)

    return cpu_us_fresh(prepare, effort)


def _refresh_one(endpoints: int, effort: Effort) -> float:
    """Measure a refresh in which one endpoint lost its holdings or got them back."""
    index, views = HoldingIndex(), samples.views_of(endpoints)
    refresh_index(index, views, 0.0)
    name = samples.endpoint_of(0)
    full = views[name]

    def work() -> None:
        present = views[name]
        views[name] = {**full, "holdings": {}} if present["holdings"] else {**full}
        refresh_index(index, views, 0.0)

    return cpu_us(work, effort)


def _refresh_first(endpoints: int, effort: Effort) -> float:
    views = samples.views_of(endpoints)

    def prepare() -> Callable[[], object]:
        index = HoldingIndex()
        return lambda: refresh_index(index, views, 0.0)

    return cpu_us_fresh(prepare, effort)


def _live_holders(members: int, effort: Effort) -> float:
    """Measure what the query controller does with the members at each refresh."""
    table = {samples.instance_of(n): samples.member_of(n) for n in range(members)}
    index = _index(2)
    routes = index.routes or Routes({}, {})

    def work() -> None:
        live = [name for name, member in table.items() if is_live(member, 0.0, 2_000.0)]
        set_routes(index, routes, frozenset([samples.OWN, *live]))

    return cpu_us(work, effort)


def _assign(pairs: int, effort: Effort) -> float:
    """Measure the assignment of endpoints to candidates that are spread over all zones."""
    zones = {samples.endpoint_of(n): samples.zone_of(n) for n in range(min(ASSIGNED, pairs))}
    count = max(1, pairs // len(zones))
    candidates = tuple(Candidate(samples.instance_of(n), samples.zone_of(n)) for n in range(count))
    return cpu_us(lambda: assign(zones, candidates), effort)


def _body(shards: list[str]) -> QueryBody:
    return {
        "request_id": "0123456789abcdef",
        "kind": samples.KIND,
        "shards": shards,
        "deadline_ms": 200,
        "repeatable": True,
        "params": {"limit": 3},
    }


def _admit(shards: int, effort: Effort) -> float:
    bundle = samples.active_of(FIXED_ENDPOINTS)
    state = AdmissionState()
    body = _body(_shards(FIXED_ENDPOINTS, shards))
    caller = next(iter(bundle.content["callers"]))
    return cpu_us(lambda: admit(state, bundle, caller, body, IDLE, [], 0.0), effort)


def _admit_instances(instances: int, effort: Effort) -> float:
    bundle = samples.active_of(2)
    state = AdmissionState()
    body = _body(_shards(2))
    caller = next(iter(bundle.content["callers"]))
    demand = {samples.instance_of(n): {caller: 1.0} for n in range(instances)}

    def work() -> None:
        # The request controller collects the demand of all instances in this way.
        others = [table.get(caller, 0.0) for table in demand.values()]
        admit(state, bundle, caller, body, IDLE, others, 0.0)

    return cpu_us(work, effort)


def reply_of(leg: LegRequest) -> LegReply:
    """Return a holder's reply with a few rows."""
    rows = [
        {"lot": f"{leg['shard']}-{n:04}", "shard": leg["shard"], "snapshot": leg["snapshot"]}
        for n in range(ROWS)
    ]
    return {
        "leg_id": leg["leg_id"],
        "endpoint": leg["endpoint"],
        "outcome": LegOutcome.OK,
        "executed": True,
        "shard": leg["shard"],
        "part": leg["part"],
        "parts": leg["parts"],
        "snapshot": leg["snapshot"],
        "rows": rows,
        "queued_ms": 0.25,
        "service_ms": 1.25,
    }


def tier_of(endpoints: int) -> SharedState:
    """Return the decision state of an instance that has seen a view of each endpoint."""
    tier = create_shared_state(samples.board_of(), Random(1))
    for view in refresh_index(tier.index, samples.views_of(endpoints), 0.0):
        apply_view(tier.routing, view, 0.0)
    routes = build_routes(samples.content_of(endpoints, 1))
    set_routes(tier.index, routes, frozenset([samples.OWN]))
    return tier


def request_of(shards: int, endpoints: int = FIXED_ENDPOINTS) -> QueryRequest:
    """Return a request for a number of shards, each of which is one leg."""
    wanted = tuple(_shards(endpoints, shards))
    return QueryRequest("0123456789abcdef", "desk", samples.KIND, wanted, 1e6, True, {"limit": 3})


def _query(legs: int, effort: Effort) -> float:
    tier = tier_of(FIXED_ENDPOINTS)
    bundle = samples.active_of(FIXED_ENDPOINTS)
    routes = tier.index.routes or build_routes(bundle.content)
    request = request_of(legs)
    # The replies are built beforehand: decoding them is part of the peer hop.
    replies = {
        (leg["leg_id"], leg["endpoint"]): reply_of(leg)
        for number in range(legs)
        for leg in (samples.leg_of(number, r) for r in range(samples.REPLICAS))
    }

    def work() -> None:
        # Leg ids contain the number of the query; the prepared replies are to the first one.
        tier.next_query = 0
        state, actions = start_query(tier, request, bundle, routes, 0.0)
        sent = [action.leg for action in actions if isinstance(action, SendLeg)]
        for leg in sent:
            actions = on_reply(tier, state, replies[leg["leg_id"], leg["endpoint"]], 1.0)
        if not isinstance(actions[-1], Finish):
            raise RuntimeError("The query did not finish.")

    return cpu_us(work, effort)


def decision_probes() -> list[Probe]:
    """Return the probes of the decisions."""
    views = (6_300, 12_600, 25_200, 63_000)
    fan_outs = (63, 126, 315, 630)
    members = (540, 1_080, 2_160, 8_640)
    pairs = tuple(ASSIGNED * count for count in (54, 540, 2_160, 8_640))
    return [
        Probe("pin, 630 shards, empty cache", "endpoints in views", "us", views, _pin_cold),
        Probe("pin, 630 shards, cached plans", "endpoints in views", "us", views, _pin_warm),
        Probe("pin, cached plans", "wanted shards", "us", fan_outs, _pin_wanted),
        Probe("index refresh, nothing changed", "endpoints in views", "us", views, _refresh_same),
        Probe("index refresh, loads changed", "endpoints in views", "us", views, _refresh_load),
        Probe("index refresh, one changed", "endpoints in views", "us", views, _refresh_one),
        Probe("index refresh, first", "endpoints in views", "us", views, _refresh_first),
        Probe("live holders at a refresh", "members", "us", members, _live_holders),
        Probe("assignment, 27 zones", "endpoints x candidates", "us", pairs, _assign),
        Probe("admission", "wanted shards", "us", fan_outs, _admit),
        Probe("admission, 1 shard", "instances with demand", "us", members, _admit_instances),
        Probe("query decisions: start, replies, answer", "legs", "us", fan_outs, _query),
    ]
