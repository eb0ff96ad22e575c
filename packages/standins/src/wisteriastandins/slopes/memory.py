"""Probes of memory, by the allocations that `tracemalloc` traces."""

import asyncio
from random import Random

import msgspec
from wisteriarock.endpoints.controller import create_endpoints_controller
from wisteriarock.membership.exchange import apply_heartbeat
from wisteriarock.membership.models import EndpointView, MembershipState
from wisteriarock.observability.metrics import create_metrics
from wisteriarock.query.decide import start_query
from wisteriarock.query.state import SharedState
from wisteriarock.routing.decide import apply_view, build_routes
from wisteriarock.snapshot.decide import refresh_index
from wisteriarock.tickets.decide import issue_tickets
from wisteriarock.tickets.models import TicketBook

from . import samples
from .decisions import FIXED_ENDPOINTS, make_request, make_shared_state
from .gauges import allocated_bytes
from .heartbeats import ENDPOINTS_PER_MEMBER, make_changed_views, make_instance_list_body
from .models import Effort, Probe

_VIEWS_DECODER = msgspec.json.Decoder(list[EndpointView])
_LEGS_PER_QUERY = 63


def _measure_members(count: int, _: Effort) -> float:
    """Measure the state of a member, except its views."""
    bodies = []
    for number in range(count):
        names = [samples.make_endpoint_name(number * 8 + n) for n in range(ENDPOINTS_PER_MEMBER)]
        bodies.append(msgspec.json.encode(samples.make_heartbeat(number, [], names)))

    def build() -> object:
        state, members = MembershipState(), {}
        for body in bodies:
            heartbeat = msgspec.json.decode(body)
            members[heartbeat["instance"]] = apply_heartbeat(state, heartbeat, None, 0.0)
        return state, members

    return allocated_bytes(build)


def _measure_views(count: int, _: Effort) -> float:
    """Measure a view with its index entry and the statistics of its endpoint."""
    body = msgspec.json.encode(make_changed_views(count))
    shared = make_shared_state(0)

    def build() -> SharedState:
        views = {view["endpoint"]: view for view in _VIEWS_DECODER.decode(body)}
        for view in refresh_index(shared.index, views, 0.0):
            apply_view(shared.routing, view, 0.0)
        return shared

    return allocated_bytes(build)


def _measure_bundle(count: int, _: Effort) -> float:
    """Measure the content of a bundle, its body and its routes."""
    body = msgspec.json.encode(samples.make_content(count, 1))

    def build() -> object:
        content = msgspec.json.decode(body)
        return content, bytes(bytearray(body)), build_routes(content)

    return allocated_bytes(build)


def _measure_held_endpoints(count: int, _: Effort) -> float:
    """Measure held endpoints that have no connections."""

    async def measure() -> float:
        board = samples.make_board()
        board.bundle = samples.make_active_bundle(count)
        names = frozenset(samples.make_endpoint_name(n) for n in range(count))
        controller = create_endpoints_controller(
            board, create_metrics(), lambda: 0.0, Random(1), lambda: None
        )
        size_bytes = allocated_bytes(lambda: controller.set_held_endpoints(names, {}))
        await controller.close()
        return size_bytes

    return asyncio.run(measure())


def _measure_tickets(count: int, _: Effort) -> float:
    book = TicketBook(samples.OWN_INSTANCE, "a1b2c3d4e5f60718")

    def build() -> TicketBook:
        issue_tickets(book, "recall-desk-00001", count, 60_000.0, count, lambda: "0" * 32, 0.0)
        return book

    return allocated_bytes(build)


def _measure_query_legs(legs: int, _: Effort) -> float:
    shared = make_shared_state(FIXED_ENDPOINTS)
    bundle = samples.make_active_bundle(FIXED_ENDPOINTS)
    routes = shared.index.routes or build_routes(bundle.content)
    request = make_request(legs)
    start_query(shared, request, bundle, routes, 0.0)
    # The actions are included, because the legs stay referenced until they are answered.
    return allocated_bytes(lambda: start_query(shared, request, bundle, routes, 0.0))


def _measure_queries(count: int, _: Effort) -> float:
    shared = make_shared_state(FIXED_ENDPOINTS)
    bundle = samples.make_active_bundle(FIXED_ENDPOINTS)
    routes = shared.index.routes or build_routes(bundle.content)
    request = make_request(_LEGS_PER_QUERY)
    start_query(shared, request, bundle, routes, 0.0)
    return allocated_bytes(
        lambda: [start_query(shared, request, bundle, routes, 0.0) for _ in range(count)]
    )


def _measure_instance_list(count: int, _: Effort) -> float:
    body = make_instance_list_body(count)
    return allocated_bytes(lambda: msgspec.json.decode(body))


def memory_probes() -> list[Probe]:
    """Return the probes of memory."""
    tickets = (1_000, 2_000, 4_000, 8_000)
    members = (1_000, 2_000, 4_000, 8_700)
    endpoints = (8_000, 16_000, 32_000, 63_000)
    list_sizes = (8_000, 16_000, 32_000, 71_700)
    held = (50, 100, 200, 400)
    fan_outs = (63, 126, 315, 630)
    return [
        Probe(
            "memory of a member, 7 held, no views", "members", "bytes", members, _measure_members
        ),
        Probe(
            "memory of a view with index and statistics",
            "views",
            "bytes",
            endpoints,
            _measure_views,
        ),
        Probe(
            "memory of a bundle, body and routes", "endpoints", "bytes", endpoints, _measure_bundle
        ),
        Probe(
            "memory of a held endpoint, no connection",
            "held endpoints",
            "bytes",
            held,
            _measure_held_endpoints,
        ),
        Probe("memory of a ticket", "tickets", "bytes", tickets, _measure_tickets),
        Probe("memory of a query in flight", "legs", "bytes", fan_outs, _measure_query_legs),
        Probe(
            "memory of queries of 63 legs", "queries", "bytes", (8, 16, 32, 64), _measure_queries
        ),
        Probe(
            "memory of the platform's list",
            "instances listed",
            "bytes",
            list_sizes,
            _measure_instance_list,
        ),
    ]
