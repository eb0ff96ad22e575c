"""Probes of memory, by the allocations that Python traces."""

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
from .decisions import FIXED_ENDPOINTS, request_of, tier_of
from .gauges import allocated_bytes
from .heartbeats import ENDPOINTS_PER_MEMBER, listed_body, views_of
from .models import Effort, Probe

_VIEWS = msgspec.json.Decoder(list[EndpointView])
_LEGS_OF_QUERY = 63


def _members(count: int, _: Effort) -> float:
    """Measure what is kept of a member besides its views."""
    beats = []
    for number in range(count):
        names = [samples.endpoint_of(number * 8 + n) for n in range(ENDPOINTS_PER_MEMBER)]
        beats.append(msgspec.json.encode(samples.heartbeat_of(number, [], names)))

    def build() -> object:
        state, members = MembershipState(), {}
        for body in beats:
            beat = msgspec.json.decode(body)
            members[beat["instance"]] = apply_heartbeat(state, beat, None, 0.0)
        return state, members

    return allocated_bytes(build)


def _views(count: int, _: Effort) -> float:
    """Measure a view with its place in the index and the statistics of its endpoint."""
    body = msgspec.json.encode(views_of(count))
    tier = tier_of(0)

    def build() -> SharedState:
        views = {view["endpoint"]: view for view in _VIEWS.decode(body)}
        for view in refresh_index(tier.index, views, 0.0):
            apply_view(tier.routing, view, 0.0)
        return tier

    return allocated_bytes(build)


def _bundle(count: int, _: Effort) -> float:
    """Measure the content of a bundle, its body and its routes."""
    body = msgspec.json.encode(samples.content_of(count, 1))

    def build() -> object:
        content = msgspec.json.decode(body)
        return content, bytes(bytearray(body)), build_routes(content)

    return allocated_bytes(build)


def _held(count: int, _: Effort) -> float:
    """Measure held endpoints that have no connections."""

    async def measure() -> float:
        board = samples.board_of()
        board.bundle = samples.active_of(count)
        names = frozenset(samples.endpoint_of(n) for n in range(count))
        controller = create_endpoints_controller(
            board, create_metrics(), lambda: 0.0, Random(1), lambda: None
        )
        size_bytes = allocated_bytes(lambda: controller.set_held_endpoints(names, {}))
        await controller.close()
        return size_bytes

    return asyncio.run(measure())


def _tickets(count: int, _: Effort) -> float:
    book = TicketBook(samples.OWN, "a1b2c3d4e5f60718")

    def build() -> TicketBook:
        issue_tickets(book, "recall-desk-00001", count, 60_000.0, count, lambda: "0" * 32, 0.0)
        return book

    return allocated_bytes(build)


def _query_legs(legs: int, _: Effort) -> float:
    tier = tier_of(FIXED_ENDPOINTS)
    bundle = samples.active_of(FIXED_ENDPOINTS)
    routes = tier.index.routes or build_routes(bundle.content)
    request = request_of(legs)
    start_query(tier, request, bundle, routes, 0.0)
    # The actions are kept, too: the legs stay referenced until they are answered.
    return allocated_bytes(lambda: start_query(tier, request, bundle, routes, 0.0))


def _queries(count: int, _: Effort) -> float:
    tier = tier_of(FIXED_ENDPOINTS)
    bundle = samples.active_of(FIXED_ENDPOINTS)
    routes = tier.index.routes or build_routes(bundle.content)
    request = request_of(_LEGS_OF_QUERY)
    start_query(tier, request, bundle, routes, 0.0)
    return allocated_bytes(
        lambda: [start_query(tier, request, bundle, routes, 0.0) for _ in range(count)]
    )


def _listed(count: int, _: Effort) -> float:
    body = listed_body(count)
    return allocated_bytes(lambda: msgspec.json.decode(body))


def memory_probes() -> list[Probe]:
    """Return the probes of memory."""
    tickets = (1_000, 2_000, 4_000, 8_000)
    members = (1_000, 2_000, 4_000, 8_700)
    endpoints = (8_000, 16_000, 32_000, 63_000)
    listed = (8_000, 16_000, 32_000, 71_700)
    held = (50, 100, 200, 400)
    fan_outs = (63, 126, 315, 630)
    return [
        Probe("memory of a member, 7 held, no views", "members", "bytes", members, _members),
        Probe("memory of a view with index and statistics", "views", "bytes", endpoints, _views),
        Probe("memory of a bundle, body and routes", "endpoints", "bytes", endpoints, _bundle),
        Probe("memory of a held endpoint, no connection", "held endpoints", "bytes", held, _held),
        Probe("memory of a ticket", "tickets", "bytes", tickets, _tickets),
        Probe("memory of a query in flight", "legs", "bytes", fan_outs, _query_legs),
        Probe("memory of queries of 63 legs", "queries", "bytes", (8, 16, 32, 64), _queries),
        Probe("memory of the platform's list", "instances listed", "bytes", listed, _listed),
    ]
