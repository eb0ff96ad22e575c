"""Tests of explanations, without network."""

import gc
from typing import Any

from wisteriarock.balancing.decide import choose_endpoint
from wisteriarock.catalog.models import Customer, WeightedService
from wisteriarock.customers.models import LocalAllotments, Order, Tolerance
from wisteriarock.explain.answer import encode_explanation
from wisteriarock.explain.dry_run import NoChance
from wisteriarock.gathering.decide import assign_shards, replace_gatherers
from wisteriarock.gathering.models import Gatherer
from wisteriarock.overload.const import WAITING_MAX
from wisteriarock.overload.decide import mark_short
from wisteriarock.overload.models import CustomerUse, Refusal, Room, Work

from tests.common import function_suite
from tests.wisteriarock.dispatch.emulator import Emulator, PeerPool
from tests.wisteriarock.dispatch.test_overload import _customer, _name_customers
from tests.wisteriarock.explain.fixtures import (
    create_instance,
    explain,
    freeze,
    limit_cold,
    view_of,
)
from tests.wisteriarock.samples import make_fan_out_route, make_single_service_route

SEEDS = range(1, 41)
SHORT_UNTIL_MS = 1e9


def _create(seed: int) -> Emulator:
    route = make_fan_out_route(4) if seed % 3 else make_single_service_route()
    return create_instance(route, seed, 12 if seed % 5 == 0 else 5)


def _name(emulator: Emulator, *customers: Customer) -> None:
    _name_customers(emulator, customers)


def test_an_explanation_changes_nothing():
    """Guards against tokens, counts, random numbers or connections that an operator's look uses."""
    for seed in SEEDS:
        emulator = _create(seed)
        _name(emulator, _customer("acme"))
        limit_cold(emulator)
        if seed % 5 == 0:
            emulator.state.latencies.clear()
        mark_short(emulator.state.overload, "invoicing", 100.0 if seed % 2 else SHORT_UNTIL_MS)
        replace_gatherers(emulator.state.gatherers, (Gatherer("front-1", "10.0.0.1", 1, 1.0),))
        local = LocalAllotments(Tolerance(), 0.0)
        watched = [emulator.state, local, emulator.log.events, emulator.loop._heap]
        before = freeze(watched)
        for customer in (None, "acme"):
            explain(emulator, local, customer=customer)
        assert freeze(watched) == before


def test_an_explanation_leaves_nothing_in_memory():
    """Guards against copies that stay until the next garbage collection."""
    emulator = Emulator(make_fan_out_route(30))
    emulator.state.instance = "front-1"
    emulator.gatherer_pools = {"front-2": PeerPool(emulator)}
    gatherers = tuple(Gatherer(name, "10.0.0.1", 1, 1.0) for name in ("front-1", "front-2"))
    replace_gatherers(emulator.state.gatherers, gatherers)
    explain(emulator)
    gc.collect()
    gc.disable()
    try:
        explain(emulator)
        assert gc.collect() == 0
    finally:
        gc.enable()


def test_the_first_endpoint_is_the_one_that_is_chosen():
    """Guards against an explanation that differs from what the next request meets."""
    for seed in SEEDS:
        emulator = _create(seed)
        state, now_ms = emulator.state, emulator.loop.time() * 1000
        find_pool = view_of(emulator).find_pool
        state.rng = NoChance()
        explanation = explain(emulator)
        for row in explanation["services"]:
            assert [each["cost_ms"] for each in row["endpoints"]] == sorted(
                each["cost_ms"] for each in row["endpoints"]
            )
            endpoints = state.directory.by_service[row["service"]]
            chosen = choose_endpoint(
                endpoints,
                {
                    each["endpoint"]
                    for each in row["excluded"]
                    if "limit" in str(each["excluded_by"])
                },
                state.zone,
                state.latencies[emulator.route.name].expected_ms,
                now_ms,
                state.rng,
                lambda endpoint, find=find_pool: find(endpoint) is not None,  # type: ignore[misc]
                is_even=state.is_load_even,
            )
            first = next((each["endpoint"] for each in row["endpoints"]), None)
            assert first == (chosen.endpoint_id if chosen else None)
            if explanation["outcome"] == "sent":
                assert row["endpoint"] == first
            named = {each["endpoint"] for each in row["endpoints"] + row["excluded"]}
            assert named == {each.endpoint_id for each in endpoints}
            assert row["candidates"] == len(row["endpoints"])


def test_the_next_request_goes_where_the_explanation_says():
    """Guards against an explanation that leaves out a step of the way of a request."""
    sent = 0
    for seed in SEEDS:
        emulator = _create(seed)
        state, find_pool = emulator.state, view_of(emulator).find_pool
        state.rng = NoChance()
        explanation = explain(emulator)
        pool_of = state.pool_of
        state.pool_of = lambda endpoint, find=find_pool, of=pool_of: find(endpoint) or _Busy(
            of, endpoint
        )
        before = set(state.active)
        emulator.request(1_000)
        queries = state.active - before
        assert bool(queries) == (explanation["outcome"] == "sent")
        if not queries:
            status = emulator.answers[b"r1000"][1].status
            assert (status, explanation["status"]) == (503, 503)
            continue
        sent += 1
        shards = queries.pop().shards
        went = {each.service: each.legs[0].endpoint.endpoint_id for each in shards if each.legs}
        rows = explanation["services"]
        assert went == {row["service"]: row["endpoint"] for row in rows if row["endpoint"]}
    assert sent > len(SEEDS) // 2


class _Busy:
    """Pool of an endpoint without an idle connection."""

    def __init__(self, pool_of: Any, endpoint: Any) -> None:
        self.send = pool_of(endpoint).send

    def has_idle_connection(self, now_ms: float) -> bool:
        """Return whether an exchange could start at once."""
        return False


def test_exclusions_are_named():
    """Guards against an endpoint that gets nothing without a reason that operators see."""
    emulator = Emulator(make_single_service_route(), 7)
    directory = emulator.directory
    endpoints = list(directory.by_id.values())
    endpoints[0].is_unreachable = True
    endpoints[1].pause.until_ms = 500.0
    endpoints[2].is_draining = endpoints[3].is_evacuated = True
    directory.by_service["invoicing"] = endpoints[:2] + endpoints[4:]
    endpoints[4].is_unreachable = endpoints[4].is_zone_lost = True
    endpoints[5].pause.is_probing, endpoints[5].in_flight = True, {1: 0.0}
    (row,) = explain(emulator)["services"]
    reasons = {each["endpoint"][-1]: each["excluded_by"] for each in row["excluded"]}
    assert reasons == {
        "0": ["unreachable"],
        "1": ["paused"],
        "2": ["draining"],
        "3": ["zone evacuated"],
        "4": ["zone lost"],
        "5": ["probed after a pause"],
    }
    assert [each["endpoint"] for each in row["endpoints"]] == ["invoicing/6"]
    assert row["endpoints"][0]["adds_ms"]["zone"] > 0


def test_refusals_are_those_of_requests():
    """Guards against an explanation of a request that would be turned away."""
    emulator = Emulator(make_fan_out_route())
    assert explain(emulator, path="/other")["reason"] == "no route"
    assert explain(emulator, host="x.example")["status"] == 404
    assert explain(emulator, host="Shop.Example:80")["outcome"] == "sent"
    assert explain(emulator, shard="shard-9").code == "unknown_shard"
    assert explain(emulator, customer="acme").code == "unknown_customer"
    _name(emulator, _customer("acme", priority=0))
    assert explain(emulator)["status"] == 401
    assert explain(emulator, customer="acme")["customer"]["priority"] == 0
    for endpoint in emulator.directory.by_id.values():
        endpoint.is_unreachable = True
    explanation = explain(emulator, customer="acme")
    assert explanation["status"] == 503 and "0 of 3 needed shards" in explanation["reason"]
    emulator.state.catalog.configuration = None
    assert explain(emulator)["reason"] == "no configuration yet"


def test_the_order_of_a_customer_is_shown():
    """Guards against a customer that is limited while the explanation shows only endpoints."""
    emulator = Emulator(make_single_service_route())
    _name(emulator, _customer("acme"))
    local = LocalAllotments(Tolerance(), 0.0)
    local.orders, local.orders_at_ms = {"acme": Order(0.25, 500.0)}, 0.0
    customer = explain(emulator, local, customer="acme")["customer"]
    assert customer["is_under_order"] and customer["admitted_share"] == 0.25


def test_shards_of_gatherers_are_named():
    """Guards against a search at the wrong instance: a gatherer chooses by its own news."""
    emulator = Emulator(make_fan_out_route(8))
    gatherers = tuple(Gatherer(name, "10.0.0.1", 1, 1.0) for name in ("front-1", "front-2"))
    emulator.gatherer_pools = {"front-2": PeerPool(emulator)}
    emulator.state.instance = "front-1"
    replace_gatherers(emulator.state.gatherers, gatherers)
    goes_to = {row["service"]: row["goes_to"] for row in explain(emulator)["services"]}
    assert not emulator.state.gatherers.assignments
    assigned = assign_shards(emulator.state.gatherers, emulator.route.shards, gatherers)
    for service, place in goes_to.items():
        is_local = service in assigned["front-1"]
        assert place == ("from here (front-1)" if is_local else "gatherer front-2")


def test_work_that_waits_for_room_is_left_alone():
    """Guards against an explanation that displaces a request which waits under overload."""

    def refuse(refusal: Refusal) -> None:
        raise AssertionError("a waiting request was refused")

    emulator = Emulator(make_single_service_route())
    state = emulator.state
    _name(emulator, _customer("acme", priority=0), _customer("other"))
    state.instance = "front-1"
    replace_gatherers(state.gatherers, (Gatherer("front-1", "10.0.0.1", 1, 1.0),))
    mark_short(state.overload, "invoicing", SHORT_UNTIL_MS)
    work = Work("other", (9, 9), 1.0, 1.0, 0.001, 1e9, 1e9, lambda: None, refuse)
    room = state.overload.services["invoicing"] = Room("service", 1.0, 0.0)
    room.used, room.waiting_count = 1e6, WAITING_MAX
    use = room.uses["other"] = CustomerUse(0.0)
    use.waiting = [work._replace() for _ in range(WAITING_MAX)]
    explanation = explain(emulator, customer="acme")
    assert explanation["outcome"] == "waits" and explanation["services"][0]["is_short"]
    assert room.waiting_count == len(use.waiting) == WAITING_MAX


def test_the_next_service_of_a_weighted_route_stays_next():
    """Guards against an explanation that takes the turn of a service."""
    targets = (WeightedService("invoicing", 1.0), WeightedService("trial", 3.0))
    emulator = Emulator(make_single_service_route(targets=targets))
    for number in range(9):
        explained = [row for row in explain(emulator)["services"] if row["goes_to"]]
        emulator.request(number)
        legs = [each for query in emulator.state.active for each in query.shards]
        went = next(
            each.service for each in legs if each.legs[0].query.request_id == b"r%d" % number
        )
        if number:
            assert [row["service"] for row in explained] == [went]


def test_a_wide_fan_out_has_a_line_per_shard_and_a_bound():
    """Guards against an answer that grows with the deployment."""
    emulator = Emulator(make_fan_out_route(90), 3)
    explanation = explain(emulator)
    assert len(explanation["services"]) == 90 and "endpoints" not in explanation["services"][0]
    detail = explain(emulator, shard="shard-7")
    assert [len(row["endpoints"]) for row in detail["services"]] == [3]
    whole = encode_explanation(explanation)
    assert whole is not None and b'"is_cut": false' in whole
    cut = encode_explanation(explanation, 4_000)
    assert cut is not None and len(cut) <= 4_000 and b'"is_cut": true' in cut
    assert encode_explanation(explanation, 10) is None
    large = Emulator(make_fan_out_route(60), 40)
    assert explain(large).code == "too_many_endpoints"
    detail = explain(large, shard="shard-7")
    assert detail["outcome"] == "not examined" and detail["services"][0]["endpoints_total"] == 40


load_tests = function_suite(globals())
