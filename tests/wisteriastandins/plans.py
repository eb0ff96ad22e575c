"""Load plans for tests."""

import random

from wisteriastandins.topology.build import build_topology
from wisteriastandins.topology.customers import CASCADE
from wisteriastandins.topology.models import Customer, LoadPlan


def make_load_plan(customer: Customer) -> LoadPlan:
    """Return the load plan of a deployment that is not running."""
    return build_topology(customer, 21_000, 1, {}, random.Random(1)).plan


def make_cascade_plan() -> LoadPlan:
    """Return the load plan of the `cascade` deployment."""
    return make_load_plan(CASCADE)
