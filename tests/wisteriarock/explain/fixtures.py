"""Fixtures: instances in all kinds of states, and copies of states to compare."""

import random
from collections import deque
from typing import Any

from wisteriarock.balancing.models import LoadReport
from wisteriarock.catalog.models import Route
from wisteriarock.customers.models import LocalAllotments, Tolerance
from wisteriarock.explain.dry_run import InstanceView
from wisteriarock.explain.question import Question
from wisteriarock.explain.request import explain_request
from wisteriarock.limits.cold_limit import share_cold_limit
from wisteriarock.limits.endpoint_limit import EndpointLimit

from tests.wisteriarock.dispatch.emulator import EmulatedPool, Emulator

PATHS = {"blend": "/blend/1", "invoices": "/invoices/1"}


def freeze(value: Any) -> Any:
    """Return a copy of all data below a value that compares equal as long as nothing changes."""
    if isinstance(value, random.Random):
        return value.getstate()
    if isinstance(value, dict):
        return [(key, freeze(each)) for key, each in value.items()]
    if isinstance(value, list | tuple | deque):
        return [freeze(each) for each in value]
    if isinstance(value, set | frozenset):
        return sorted(map(id, value))
    names = [*getattr(value, "__slots__", ()), *getattr(value, "__dict__", ())]
    is_own = type(value).__module__.startswith("wisteriarock.")
    if not is_own or not names or type(value).__name__ in ("Query", "Leg", "Exchange"):
        return value if isinstance(value, str | bytes | float | int | None) else id(value)
    return [(name, freeze(getattr(value, name))) for name in names]


def create_instance(route: Route, seed: int = 1, replicas: int = 5) -> Emulator:
    """Return an instance with requests in progress, whose endpoints differ in all that counts."""
    emulator = Emulator(route, replicas, 40.0, seed=seed)
    state, rng = emulator.state, random.Random(seed)
    for number in range(12):
        emulator.loop.call_at(number / 100, lambda number=number: emulator.request(number) and None)
    emulator.loop.run_until_ms(150.0)
    now_ms = 150.0
    state.is_load_even = bool(seed % 2)
    state.cold_sharers = lambda service: 3.0
    for endpoint in emulator.directory.by_id.values():
        endpoint.speed_ratio = rng.uniform(0.7, 1.4)
        endpoint.slow_ratio = rng.choice([1.0, 1.5, 4.0])
        endpoint.error_rate = rng.choice([0.0, 0.0, 0.5])
        endpoint.is_unreachable = rng.random() < 0.1
        if rng.random() < 0.5:
            load = LoadReport(rng.randrange(3), rng.randrange(6), 2, rng.uniform(0.8, 3.0))
            endpoint.load, endpoint.load_at_ms = load, now_ms - rng.uniform(0.0, 3_000.0)
        if rng.random() < 0.15:
            endpoint.pause.until_ms = now_ms + 500.0
        if rng.random() < 0.3:
            endpoint.rate_limit = EndpointLimit(rng.choice([1.0, 100.0]), now_ms - 2_000.0)
        if rng.random() < 0.2:
            endpoint.cold_until_ms = now_ms + 5_000.0
            endpoint.cold_limit = EndpointLimit(
                5.0, now_ms, lambda per_s, sharers: share_cold_limit(state.cold_bound, 5.0, 3.0)
            )
    limit_cold(emulator)
    return emulator


def limit_cold(emulator: Emulator) -> None:
    """State a rate for cold endpoints in the configuration in force."""
    services = emulator.state.catalog.services
    for name in services:
        services[name] = services[name]._replace(cold_rate_per_s=5.0)


def view_of(emulator: Emulator) -> InstanceView:
    """Return the view of an instance, with idle connections to one endpoint in two."""

    def find_pool(endpoint: Any) -> Any:
        is_idle = int(endpoint.endpoint_id[-1]) % 2
        return EmulatedPool(emulator, endpoint) if is_idle else None

    return InstanceView(find_pool, lambda count: True)


def explain(emulator: Emulator, local: LocalAllotments | None = None, **changes: Any) -> Any:
    """Explain a request to the route of an emulated instance; `changes` replaces what is asked."""
    question = Question("shop.example", emulator.route.prefix + "1")._replace(**changes)
    local = local or LocalAllotments(Tolerance(), 0.0)
    return explain_request(emulator.state, view_of(emulator), local, question)
