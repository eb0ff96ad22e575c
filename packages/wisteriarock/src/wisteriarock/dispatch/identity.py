"""Identify the customer of a request."""

from wisteriarock.catalog.models import Catalog, Customer, Route


def effective_priority(route: Route, customer: Customer) -> int:
    """Return the priority of a request; that of the customer goes before that of the route."""
    return route.priority if customer.priority is None else customer.priority


def customer_of_fragment(catalog: Catalog, name: str | None, priority: int) -> Customer | None:
    """Return the customer of a fragment, by the name that the sender set.

    The sender has checked the key. A name that the configuration here does not have, or has no
    longer, stands for a customer without keys and without an allotment.
    """
    if name is None:
        return None
    customer = catalog.customers.get(name)
    return customer or Customer(name, frozenset(), priority, 0.0, 0.0)
