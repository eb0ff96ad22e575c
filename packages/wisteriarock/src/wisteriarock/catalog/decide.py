"""Adopts configuration versions, matches routes and picks services of weighted routes."""

import random

from wisteriarock.customers.keys import index_keys

from .models import Catalog, Configuration, Route


def adopt(catalog: Catalog, configuration: Configuration, now_ms: float) -> bool:
    """Put a configuration in force if it is newer than the current one.

    Returns
    -------
    bool
        Whether it was adopted. The version never decreases while the process runs.
    """
    current = catalog.configuration
    if current is not None and configuration.version <= current.version:
        return False
    index: dict[str, dict[str, Route]] = {}
    for route in configuration.routes:
        index.setdefault(route.host, {})[route.prefix] = route
    catalog.configuration = configuration
    catalog.index = index
    catalog.services = {service.name: service for service in configuration.services}
    catalog.customers = {customer.name: customer for customer in configuration.customers}
    catalog.customers_by_key, catalog.customers_with_shared_keys = index_keys(
        configuration.customers
    )
    split_routes = {route.name for route in configuration.routes if len(route.targets) > 1}
    catalog.current_weights = {
        name: weights for name, weights in catalog.current_weights.items() if name in split_routes
    }
    catalog.adopted_at_ms = now_ms
    return True


def match_route(catalog: Catalog, host: str, path: str) -> Route | None:
    """Return the route with the longest matching prefix; prefixes end with a slash."""
    routes = catalog.index.get(host)
    if not routes:
        return None
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        route = routes.get(path[: end + 1])
        if route is not None:
            return route
    return None


def pick_service(catalog: Catalog, route: Route, rng: random.Random) -> str:
    """Return the service for the next request of a plain route, by smooth weighted round robin.

    The current weights start at random so that instances do not all begin with the same service.
    """
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    total = sum(target.weight for target in targets)
    current_weights = catalog.current_weights.get(route.name)
    if current_weights is None or len(current_weights) != len(targets):
        current_weights = {target.service: rng.uniform(0.0, total) for target in targets}
        catalog.current_weights[route.name] = current_weights
    best = ""
    for target in targets:
        current_weights[target.service] = current_weights.get(target.service, 0.0) + target.weight
        if not best or current_weights[target.service] > current_weights[best]:
            best = target.service
    current_weights[best] -= total
    return best
