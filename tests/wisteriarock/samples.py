"""Fixtures: routes, configurations, endpoints and directory entries."""

import random

from wisteriarock.balancing.models import Endpoint
from wisteriarock.catalog.models import Configuration, Limits, Route, Service, WeightedService
from wisteriarock.discovery.models import EndpointEntry
from wisteriarock.store.models import Position


def make_single_service_route(name: str = "invoices", **changes: object) -> Route:
    """Return a route to one service; `changes` replaces fields."""
    route = Route(
        name,
        "shop.example",
        "/invoices/",
        True,
        6_000.0,
        700.0,
        2,
        2,
        (WeightedService("invoicing", 1.0),),
        (),
        0,
        0.0,
    )
    return route._replace(**changes)  # type: ignore[arg-type]


def make_fan_out_route(shards: int = 4, name: str = "blend", **changes: object) -> Route:
    """Return a route that fans out to several shards; `changes` replaces fields."""
    route = Route(
        name,
        "shop.example",
        "/blend/",
        True,
        1_500.0,
        200.0,
        2,
        1,
        (),
        tuple(f"shard-{number}" for number in range(shards)),
        3,
        0.75,
    )
    return route._replace(**changes)  # type: ignore[arg-type]


def make_configuration(version: int, *routes: Route) -> Configuration:
    """Return a configuration with the routes and all services that they use."""
    names = {name for route in routes for name in route.shards}
    names |= {target.service for route in routes for target in route.targets}
    services = tuple(Service(name, "/health", 26) for name in sorted(names))
    return Configuration(version, routes, services, Limits())


def make_entry(endpoint_id: str, service: str = "shard-0", **changes: object) -> EndpointEntry:
    """Return the entry of a ready endpoint; `changes` replaces fields."""
    entry = EndpointEntry(endpoint_id, service, "10.0.0.1", 8000, "zone-a", 2, False, 0.0, 1_000)
    return entry._replace(**changes)  # type: ignore[arg-type]


def make_endpoint(endpoint_id: str, service: str = "shard-0", zone: str = "zone-a") -> Endpoint:
    """Return an endpoint without recorded requests."""
    return Endpoint(endpoint_id, service, "10.0.0.1", 8000, zone, 2)


def at(revision: int) -> Position:
    """Return the position of a revision in a store that names no era."""
    return Position(0, revision)


def make_rng() -> random.Random:
    """Return a random generator with a fixed seed."""
    return random.Random(1)
