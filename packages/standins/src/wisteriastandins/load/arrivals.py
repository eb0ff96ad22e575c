"""Open-loop arrivals, and the capacity of a deployment."""

import random
from collections.abc import Iterator

from wisteriastandins.topology.models import LoadPlan, PlanClass

from .models import Arrival, LoadOptions


def mean_legs_per_request(plan: LoadPlan) -> dict[str, float]:
    """Return the mean number of legs per request of the mix, by shard."""
    total = sum(request_class["weight"] for request_class in plan["classes"])
    legs: dict[str, float] = {}
    for request_class in plan["classes"]:
        shards = request_class["shards"]
        share = (request_class["fan_out"] or len(shards)) / len(shards)
        for shard in shards:
            legs[shard] = legs.get(shard, 0.0) + share * request_class["weight"] / total
    return legs


def capacity_per_s(plan: LoadPlan) -> float:
    """Return the requests per second at which the busiest service uses all of its slots.

    A service handles `slots / mean service time` legs per second. The mix loads services
    differently, so the service that saturates first limits the rate.
    """
    legs = mean_legs_per_request(plan)
    return min(
        service["slots"] * 1000 / service["mean_service_ms"] / legs[service["shard"]]
        for service in plan["services"]
        if legs.get(service["shard"])
    )


def _draw_arrival(
    plan: LoadPlan,
    request_class: PlanClass,
    scheduled_ms: float,
    request_id: str,
    rng: random.Random,
) -> Arrival:
    shards = tuple(request_class["shards"])
    if request_class["fan_out"]:
        shards = tuple(rng.sample(shards, request_class["fan_out"]))
    params = {}
    if request_class["lookup"]:
        params["lot"] = f"{shards[0]}-{rng.randrange(plan['lots_per_shard']):04d}"
    return Arrival(
        scheduled_ms=scheduled_ms,
        request_id=request_id,
        kind=request_class["kind"],
        shards=shards,
        deadline_ms=request_class["deadline_ms"],
        repeatable=request_class["repeatable"],
        params=params,
    )


def generate_arrivals(plan: LoadPlan, options: LoadOptions, run_id: str) -> Iterator[Arrival]:
    """Yield the requests of a run in the order of their scheduled times.

    Parameters
    ----------
    plan : LoadPlan
        Classes with their weights.
    options : LoadOptions
        Rate, time and seed. The same seed gives the same requests.
    run_id : str
        Prefix of every request id; differs between runs against the same endpoints.

    Yields
    ------
    Arrival
        A request of the Poisson process.
    """
    rng = random.Random(options.seed)
    weights = [request_class["weight"] for request_class in plan["classes"]]
    scheduled_ms, number = 0.0, 0
    while True:
        scheduled_ms += rng.expovariate(options.rate_per_s) * 1000
        if scheduled_ms >= (options.warm_up_s + options.duration_s) * 1000:
            return
        number += 1
        (request_class,) = rng.choices(plan["classes"], weights)
        yield _draw_arrival(plan, request_class, scheduled_ms, f"{run_id}-{number}", rng)
