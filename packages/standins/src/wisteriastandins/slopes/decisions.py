"""Probes of snapshot, membership, admission and query decisions."""

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
TARGET_FAN_OUT = 630
# Endpoints in the views of an instance when the fan-out varies.
FIXED_ENDPOINTS = 2_000
# Assigned endpoints when the number of candidates varies.
ASSIGNED_ENDPOINTS = 300
ROWS_PER_REPLY = 3
IDLE_LOAD = InstanceLoad(0, 500.0, 0.0)


def _make_index(endpoints: int) -> HoldingIndex:
    index = HoldingIndex()
    refresh_index(index, samples.make_views(endpoints), 0.0)
    routes = build_routes(samples.make_content(endpoints, 1))
    set_routes(index, routes, frozenset([samples.OWN_INSTANCE]))
    return index


def _make_shard_names(endpoints: int, count_max: int = TARGET_FAN_OUT) -> list[str]:
    """Return the distinct shards of the endpoints, at most `count_max`."""
    return [samples.make_shard_name(n) for n in range(0, endpoints, samples.REPLICAS)][:count_max]


def _measure_pin_cold(endpoints: int, effort: Effort) -> float:
    index = _make_index(endpoints)
    wanted = _make_shard_names(endpoints)

    def work() -> None:
        index.plan_cache.clear()
        pin_snapshot(index, wanted)

    return cpu_us(work, effort)


def _measure_pin_warm(endpoints: int, effort: Effort) -> float:
    index = _make_index(endpoints)
    wanted = _make_shard_names(endpoints)
    return cpu_us(lambda: pin_snapshot(index, wanted), effort)


def _measure_pin_wanted(shards: int, effort: Effort) -> float:
    index = _make_index(FIXED_ENDPOINTS)
    wanted = _make_shard_names(FIXED_ENDPOINTS, shards)
    return cpu_us(lambda: pin_snapshot(index, wanted), effort)


def _measure_refresh_unchanged(endpoints: int, effort: Effort) -> float:
    index, views = HoldingIndex(), samples.make_views(endpoints)
    refresh_index(index, views, 0.0)
    return cpu_us(lambda: refresh_index(index, views, 0.0), effort)


def _measure_refresh_new_versions(endpoints: int, effort: Effort) -> float:
    """Measure a refresh in which every view has a new version, as after a change of load."""
    index = HoldingIndex()
    refresh_index(index, samples.make_views(endpoints), 0.0)
    version = 1

    def prepare() -> Callable[[], object]:
        nonlocal version
        version += 1
        views = samples.make_views(endpoints, version)
        return lambda: refresh_index(index, views, 0.0)

    return cpu_us_fresh(prepare, effort)


def _measure_refresh_one(endpoints: int, effort: Effort) -> float:
    """Measure a refresh in which one endpoint has lost or regained its holdings."""
    index, views = HoldingIndex(), samples.make_views(endpoints)
    refresh_index(index, views, 0.0)
    name = samples.make_endpoint_name(0)
    original = views[name]

    def work() -> None:
        current = views[name]
        views[name] = {**original, "holdings": {}} if current["holdings"] else {**original}
        refresh_index(index, views, 0.0)

    return cpu_us(work, effort)


def _measure_refresh_first(endpoints: int, effort: Effort) -> float:
    views = samples.make_views(endpoints)

    def prepare() -> Callable[[], object]:
        index = HoldingIndex()
        return lambda: refresh_index(index, views, 0.0)

    return cpu_us_fresh(prepare, effort)


def _measure_live_holders(members: int, effort: Effort) -> float:
    """Measure selecting the live members, as the query controller does at each refresh."""
    by_name = {samples.make_instance_name(n): samples.make_member(n) for n in range(members)}
    index = _make_index(2)
    routes = index.routes or Routes({}, {})

    def work() -> None:
        live = [name for name, member in by_name.items() if is_live(member, 0.0, 2_000.0)]
        set_routes(index, routes, frozenset([samples.OWN_INSTANCE, *live]))

    return cpu_us(work, effort)


def _measure_assign(pairs: int, effort: Effort) -> float:
    """Measure the assignment of endpoints to candidates in all zones."""
    zones = {
        samples.make_endpoint_name(n): samples.make_zone_name(n)
        for n in range(min(ASSIGNED_ENDPOINTS, pairs))
    }
    count = max(1, pairs // len(zones))
    candidates = tuple(
        Candidate(samples.make_instance_name(n), samples.make_zone_name(n)) for n in range(count)
    )
    return cpu_us(lambda: assign(zones, candidates), effort)


def _make_query_body(shards: list[str]) -> QueryBody:
    return {
        "request_id": "0123456789abcdef",
        "kind": samples.KIND,
        "shards": shards,
        "deadline_ms": 200,
        "repeatable": True,
        "params": {"limit": 3},
    }


def _measure_admit(shards: int, effort: Effort) -> float:
    bundle = samples.make_active_bundle(FIXED_ENDPOINTS)
    state = AdmissionState()
    body = _make_query_body(_make_shard_names(FIXED_ENDPOINTS, shards))
    caller = next(iter(bundle.content["callers"]))
    return cpu_us(lambda: admit(state, bundle, caller, body, IDLE_LOAD, [], 0.0), effort)


def _measure_admit_by_instances(instances: int, effort: Effort) -> float:
    bundle = samples.make_active_bundle(2)
    state = AdmissionState()
    body = _make_query_body(_make_shard_names(2))
    caller = next(iter(bundle.content["callers"]))
    demand = {samples.make_instance_name(n): {caller: 1.0} for n in range(instances)}

    def work() -> None:
        # Collects the demand of all instances as the request controller does.
        others = [callers.get(caller, 0.0) for callers in demand.values()]
        admit(state, bundle, caller, body, IDLE_LOAD, others, 0.0)

    return cpu_us(work, effort)


def make_reply(leg: LegRequest) -> LegReply:
    """Return a holder's successful reply with `ROWS_PER_REPLY` rows."""
    rows = [
        {"lot": f"{leg['shard']}-{n:04}", "shard": leg["shard"], "snapshot": leg["snapshot"]}
        for n in range(ROWS_PER_REPLY)
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


def make_shared_state(endpoints: int) -> SharedState:
    """Return the shared state of an instance that has a view of each endpoint."""
    shared = create_shared_state(samples.make_board(), Random(1))
    for view in refresh_index(shared.index, samples.make_views(endpoints), 0.0):
        apply_view(shared.routing, view, 0.0)
    routes = build_routes(samples.make_content(endpoints, 1))
    set_routes(shared.index, routes, frozenset([samples.OWN_INSTANCE]))
    return shared


def make_request(shards: int, endpoints: int = FIXED_ENDPOINTS) -> QueryRequest:
    """Return a request for a number of shards, with one leg for each shard."""
    wanted = tuple(_make_shard_names(endpoints, shards))
    return QueryRequest("0123456789abcdef", "desk", samples.KIND, wanted, 1e6, True, {"limit": 3})


def _measure_query(legs: int, effort: Effort) -> float:
    shared = make_shared_state(FIXED_ENDPOINTS)
    bundle = samples.make_active_bundle(FIXED_ENDPOINTS)
    routes = shared.index.routes or build_routes(bundle.content)
    request = make_request(legs)
    # The replies are built in advance: decoding them is part of the peer hop.
    replies = {
        (leg["leg_id"], leg["endpoint"]): make_reply(leg)
        for number in range(legs)
        for leg in (samples.make_leg(number, r) for r in range(samples.REPLICAS))
    }

    def work() -> None:
        # Leg ids contain the query number; the prepared replies belong to query 0.
        shared.next_query = 0
        state, actions = start_query(shared, request, bundle, routes, 0.0)
        sent = [action.leg for action in actions if isinstance(action, SendLeg)]
        for leg in sent:
            actions = on_reply(shared, state, replies[leg["leg_id"], leg["endpoint"]], 1.0)
        if not isinstance(actions[-1], Finish):
            raise RuntimeError("The query did not finish.")

    return cpu_us(work, effort)


def decision_probes() -> list[Probe]:
    """Return the probes of the decisions."""
    views = (6_300, 12_600, 25_200, 63_000)
    fan_outs = (63, 126, 315, 630)
    members = (540, 1_080, 2_160, 8_640)
    pairs = tuple(ASSIGNED_ENDPOINTS * count for count in (54, 540, 2_160, 8_640))
    return [
        Probe("pin, 630 shards, empty cache", "endpoints in views", "us", views, _measure_pin_cold),
        Probe(
            "pin, 630 shards, cached plans", "endpoints in views", "us", views, _measure_pin_warm
        ),
        Probe("pin, cached plans", "wanted shards", "us", fan_outs, _measure_pin_wanted),
        Probe(
            "index refresh, nothing changed",
            "endpoints in views",
            "us",
            views,
            _measure_refresh_unchanged,
        ),
        Probe(
            "index refresh, loads changed",
            "endpoints in views",
            "us",
            views,
            _measure_refresh_new_versions,
        ),
        Probe(
            "index refresh, one changed", "endpoints in views", "us", views, _measure_refresh_one
        ),
        Probe("index refresh, first", "endpoints in views", "us", views, _measure_refresh_first),
        Probe("live holders at a refresh", "members", "us", members, _measure_live_holders),
        Probe("assignment, 27 zones", "endpoints x candidates", "us", pairs, _measure_assign),
        Probe("admission", "wanted shards", "us", fan_outs, _measure_admit),
        Probe(
            "admission, 1 shard",
            "instances with demand",
            "us",
            members,
            _measure_admit_by_instances,
        ),
        Probe("query decisions: start, replies, answer", "legs", "us", fan_outs, _measure_query),
    ]
