"""Wiring of the order of service under overload: rooms of queries, and their refusal.

A gatherer holds the legs of fan-outs to what it can process. While a service of plain routes is
short of slots, the requests of a zone go through one gatherer, which keeps the order among them.
"""

import math
from collections.abc import Callable, Iterable

from wisteriarock.balancing.models import Endpoint
from wisteriarock.catalog.models import Configuration
from wisteriarock.gathering.const import LEG_COST_MS
from wisteriarock.overload.const import PLACES_PER_SLOT, PROCESSOR_TARGET_SHARE, SHORTAGE_MS
from wisteriarock.overload.decide import (
    enter,
    expire,
    is_short,
    leave,
    mark_short,
    may_send_extra,
    rank_of,
    record_legs,
    start_waiting,
    withdraw,
)
from wisteriarock.overload.models import Refusal, Room, Stay, Work

from .budget import get_level, has_budget
from .models import Query, Shard
from .state import NO_ENDPOINTS, DispatchState, loop_time_ms

# Weight of all customers while none has a limit.
_DEFAULT_WEIGHT = 1.0


def wait_for_room(
    state: DispatchState,
    query: Query,
    shards: list[Shard],
    start: Callable[[], None],
    refuse: Callable[[], None],
) -> None:
    """Start the legs of a query when there is room for them.

    Parameters
    ----------
    start, refuse : callable
        One of them is called once, at once or later, unless the query ends before.
    """
    now_ms = loop_time_ms(state)
    room = _room_of(state, query, now_ms) if shards else None
    if room is None or query.stay is not None:
        start()
        return

    def start_legs() -> None:
        stay.started_at_ms = loop_time_ms(state)
        for shard in shards:
            shard.is_waiting = False
        start()

    def refuse_legs(refusal: Refusal) -> None:
        query.stay = None
        query.retry_after_ms = refusal.retry_after_ms
        for shard in shards:
            shard.is_waiting = False
            shard.is_withheld = shard.is_withheld_by_gatherer = True
        _record_refusal(state, query, stay, refusal)
        refuse()

    latency = query.latency
    start_by_ms = query.expires_at_ms - max(latency.expected_ms, latency.hedge_delay_ms)
    target_ms = query.started_at_ms + query.route.latency_target_ms - latency.expected_ms
    work = Work(
        customer=query.customer.name if query.customer else "",
        rank=rank_of(query.customer.priority if query.customer else None, query.route_priority),
        weight=_weight_of(state, query),
        places=float(len(shards)),
        hold_ms=max(1.0, latency.expected_ms),
        enter_by_ms=start_by_ms if query.is_caller_back else target_ms,
        start_by_ms=start_by_ms,
        start=start_legs,
        refuse=refuse_legs,
    )
    stay = query.stay = Stay(room, work)
    outcome = enter(room, work, now_ms)
    if isinstance(outcome, Refusal):
        refuse_legs(outcome)
    elif outcome:
        start_legs()
    else:
        _wait(state, query, shards, stay)


def _record_refusal(state: DispatchState, query: Query, stay: Stay, refusal: Refusal) -> None:
    room = stay.room
    state.counters.count("overload_refusals", room.name, refusal.reason.value)
    state.log.record(
        "overload_refused",
        request=query.request_id,
        customer=stay.work.customer,
        rank=".".join(map(str, stay.work.rank)),
        room=room.name if query.route.shards else query.shards[0].service,
        reason=refusal.reason.value,
        waiting=room.waiting_count,
        retry_after_ms=refusal.retry_after_ms,
    )


def _wait(state: DispatchState, query: Query, shards: list[Shard], stay: Stay) -> None:
    for shard in shards:
        shard.is_waiting = True
    at_s = stay.work.start_by_ms / 1000
    query.timers.append(state.loop.call_at(at_s, lambda: expire(stay.room, stay.work)))
    if not query.route.shards:
        record_shortage(state, query)
    state.counters.count("overload_waits", stay.room.name)
    state.log.detail(
        "overload_waits",
        request=query.request_id,
        customer=stay.work.customer,
        room=stay.room.name,
        waiting=stay.room.waiting_count,
        used=stay.room.used,
    )


def leave_room(state: DispatchState, query: Query) -> None:
    """Give back the places of a query that ends, or withdraw it from its queue."""
    stay = query.stay
    if stay is None:
        return
    query.stay = None
    if stay.started_at_ms is None:
        withdraw(stay.room, stay.work)
        return
    now_ms = loop_time_ms(state)
    leave(stay.room, stay.work, now_ms - stay.started_at_ms)
    state.counters.observe("room", stay.room.name, now_ms - stay.started_at_ms)
    if stay.room.waiting_count:
        state.loop.call_soon(lambda: start_waiting(stay.room, loop_time_ms(state)))


def _room_of(state: DispatchState, query: Query, now_ms: float) -> Room | None:
    """Return the room of a query; None if there are no customers or room is not short."""
    configuration = state.catalog.configuration
    if configuration is None or not configuration.customers:
        return None
    overload = state.overload
    if overload.version != configuration.version:
        _follow_configuration(state, configuration)
    if query.route.shards:
        return overload.processor
    service = query.shards[0].service
    if not is_short(overload, service, now_ms):
        return None
    room = overload.services.get(service)
    if room is None:
        room = overload.services[service] = Room("service", 1.0, now_ms)
    endpoints = _reachable_endpoints(state, service)
    zones = _count_zones(state, endpoints)
    room.places = max(1.0, sum(_places_at(each, zones) for each in endpoints))
    return room


def _follow_configuration(state: DispatchState, configuration: Configuration) -> None:
    """Derive the size of the room for fan-outs and the average allotment from a new version."""
    overload = state.overload
    overload.version = configuration.version
    targets_ms = [each.latency_target_ms for each in configuration.routes if each.shards]
    legs_per_core = min(targets_ms, default=0.0) * PROCESSOR_TARGET_SHARE / LEG_COST_MS
    overload.processor.places = state.capacity_cores * legs_per_core
    rates = [each.rate_per_s for each in configuration.customers if each.rate_per_s]
    overload.average_weight = sum(rates) / len(rates) if rates else _DEFAULT_WEIGHT


def _reachable_endpoints(state: DispatchState, service: str) -> list[Endpoint]:
    endpoints = state.directory.by_service.get(service, NO_ENDPOINTS)
    return [each for each in endpoints if not each.is_unreachable]


def _count_zones(state: DispatchState, endpoints: Iterable[Endpoint]) -> int:
    return len({each.zone for each in endpoints} | {state.zone})


def _places_at(endpoint: Endpoint, zones: int) -> int:
    """Return the share of one zone in the places at an endpoint."""
    return math.ceil(PLACES_PER_SLOT * endpoint.slots / zones)


def full_endpoint_ids(state: DispatchState, query: Query, shard: Shard) -> frozenset[str]:
    """Return the endpoints at which the zone has its share of places in use, under a shortage.

    It is empty if no other endpoint is left. A slow endpoint holds its places longer, so that it
    gets less of the work that waits.
    """
    if query.stay is None or query.route.shards:
        return frozenset()
    endpoints = _reachable_endpoints(state, shard.service)
    zones = _count_zones(state, endpoints)
    full = {
        each.endpoint_id for each in endpoints if len(each.in_flight) >= _places_at(each, zones)
    }
    unusable = full | shard.tried_endpoint_ids
    has_other = any(each.endpoint_id not in unusable for each in endpoints)
    return frozenset(full) if has_other else frozenset()


def _weight_of(state: DispatchState, query: Query) -> float:
    """Return the allotment of a query's customer; a customer without one counts as average."""
    if query.customer is not None and query.customer.rate_per_s:
        return query.customer.rate_per_s
    return state.overload.average_weight


def is_shared_in_zone(state: DispatchState, query: Query, now_ms: float) -> bool:
    """Return whether a plain request goes through the gatherer that keeps the order."""
    configuration = state.catalog.configuration
    if configuration is None or not configuration.customers or query.route.shards:
        return False
    return is_short(state.overload, query.shards[0].service, now_ms)


def record_shortage(state: DispatchState, query: Query) -> None:
    """Record a sign that the service of a plain request is short of room."""
    configuration = state.catalog.configuration
    if configuration is None or not configuration.customers or query.route.shards:
        return
    service, now_ms = query.shards[0].service, loop_time_ms(state)
    if not is_short(state.overload, service, now_ms):
        state.counters.count("overload_shortages")
        state.log.record("service_short", service=service)
    mark_short(state.overload, service, now_ms + SHORTAGE_MS)


def lacks_room(query: Query) -> bool:
    """Return whether a query cannot succeed any more, as there is no room for some of its legs."""
    if not query.retry_after_ms:
        return False
    withheld = sum(each.part is None and each.is_withheld_by_gatherer for each in query.shards)
    return len(query.shards) - withheld < query.needed_parts


def shortages(state: DispatchState, now_ms: float) -> list[tuple[str, float]]:
    """Return the services that are short of room, each with the time for which they count so."""
    return [
        (service, until_ms - now_ms)
        for service, until_ms in state.overload.short_until_ms.items()
        if until_ms > now_ms
    ]


def learn_shortages(
    state: DispatchState, reported: Iterable[tuple[str, float]], now_ms: float
) -> None:
    """Apply what another instance says is short of room; the time is passed on, never extended."""
    for service, for_ms in reported:
        if service in state.directory.by_service:
            mark_short(state.overload, service, now_ms + min(for_ms, SHORTAGE_MS))


def may_hand_over(state: DispatchState, query: Query, shard: Shard, now_ms: float) -> bool:
    """Return whether a plain request that endpoints turned away may go to the gatherer instead."""
    if query.is_fragment or shard.was_handed_over or shard.possible_runs > 0:
        return False
    return is_shared_in_zone(state, query, now_ms)


def count_legs(state: DispatchState, query: Query, count: int, now_ms: float) -> None:
    """Count legs towards the customer that they serve."""
    if query.customer is not None and count:
        record_legs(state.overload, query.customer.name, _weight_of(state, query), count, now_ms)


def has_extra_budget(state: DispatchState, query: Query, service: str, now_ms: float) -> bool:
    """Return whether a hedge may be sent for the customer of a query.

    Retries do not give way: without one, the part is missing and the query may fail.
    """
    if not has_budget(state.budget, service, now_ms):
        return False
    if query.customer is None:
        return True
    level, burst = get_level(state.budget, service)
    if may_send_extra(state.overload, query.customer.name, level, burst, now_ms):
        return True
    state.counters.count("extra_legs_given_way")
    return False
