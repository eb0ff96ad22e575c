"""Requests under which endpoints end: evidence, quarantine and canaries."""

from wisteriarock.quarantine.decide import (
    add_notice,
    end_probation,
    is_deadly,
    is_on_probation,
    is_suspected,
    make_fingerprint,
    remaining_ms,
)
from wisteriarock.quarantine.models import Notice

from .const import LOGGED_NAMES_MAX
from .decide import count_ends
from .legs import abandon_leg
from .models import Leg, Query, Shard
from .state import NO_ENDPOINTS, DispatchState, loop_time_ms

# An endpoint that was still at work when its time was up may end afterwards.
_TIMEOUT_STATUS = 504


def fingerprint_of(state: DispatchState, query: Query) -> str:
    """Return the fingerprint of a query's request, without its id."""
    template = state.wire_format.encode_leg_template(query.request)
    return make_fingerprint(template.replace(query.request_id, b""), query.request.body)


def quarantine_ms(state: DispatchState, query: Query) -> float:
    """Return how long the request of a query is still to be refused, 0 if it is not."""
    if not state.quarantine.request_until_ms:
        return 0.0
    return remaining_ms(state.quarantine, fingerprint_of(state, query), loop_time_ms(state))


def record_survivor(state: DispatchState, query: Query, status: int) -> None:
    """Count a run that an endpoint has survived; a request on probation passes it."""
    if status == _TIMEOUT_STATUS:
        return
    query.survivors += 1
    if query.is_suspected and query.survivors == 1:
        end_probation(state.quarantine, fingerprint_of(state, query))


def record_end(state: DispatchState, leg: Leg) -> bool:
    """Count an endpoint that ended under a leg; return whether the query is to blame, as of now."""
    query = leg.query
    query.ended_endpoint_ids.add(leg.endpoint.endpoint_id)
    state.counters.count("endpoint_ends", query.route.name)
    return judge(state, query)


def judge(state: DispatchState, query: Query) -> bool:
    """Record the verdict on a query that is to blame for ended endpoints; return whether it was."""
    ends = count_ends(query)
    if query.is_deadly or not is_deadly(ends, query.survivors, is_suspected=query.is_suspected):
        return False
    query.is_deadly = True
    fingerprint = fingerprint_of(state, query)
    is_confirmed = is_on_probation(state.quarantine, fingerprint)
    notice = Notice(query.route.name, fingerprint, is_confirmed)
    add_notice(state.quarantine, notice, loop_time_ms(state))
    state.counters.count("quarantined_requests", query.route.name)
    state.log.record(
        "request_quarantined",
        request=query.request_id,
        route=query.route.name,
        target=query.request.target,
        fingerprint=fingerprint,
        ended=ends,
        endpoints=",".join(sorted(query.ended_endpoint_ids)[:LOGGED_NAMES_MAX]),
        suspected=query.is_suspected,
        confirmed=is_confirmed,
    )
    state.on_deadly(notice)
    return True


def drop_legs(state: DispatchState, query: Query) -> None:
    """Close the connections of all legs under way, so that their endpoints stop working on them."""
    now_ms = loop_time_ms(state)
    for shard in query.shards:
        for leg in shard.legs[:]:
            abandon_leg(state, leg, now_ms)
    for leg in [leg for leg in state.abandoned if leg.query is query]:
        del state.abandoned[leg]
        if leg.exchange is not None and leg.exchange.connection is not None:
            leg.exchange.connection.close("dropped")  # type: ignore[attr-defined]


def hold_for_canary(state: DispatchState, query: Query) -> Shard | None:
    """Hold all shards of a fan-out but one, the canary, while its route is suspected.

    Returns
    -------
    Shard or None
        The canary; None if all shards may be queried at once.
    """
    if not state.quarantine.request_until_ms:
        return None
    fingerprint, now_ms = fingerprint_of(state, query), loop_time_ms(state)
    name = query.route.name
    query.is_suspected = is_suspected(state.quarantine, name, fingerprint, now_ms)
    if not query.is_suspected or not query.route.shards or query.is_fragment:
        return None
    for shard in query.shards:
        shard.is_held = True
    return next_canary(state, query)


def next_canary(state: DispatchState, query: Query) -> Shard | None:
    """Release one of the held shards with the most reachable endpoints, None if there is none."""
    held = [shard for shard in query.shards if shard.is_held]
    if not held:
        return None

    def rank(shard: Shard) -> tuple[int, float]:
        endpoints = state.directory.by_service.get(shard.service, NO_ENDPOINTS)
        return sum(not each.is_unreachable for each in endpoints), state.rng.random()

    canary = max(held, key=rank)
    canary.is_held = False
    state.counters.count("canaries", query.route.name)
    return canary


def release_held(query: Query) -> list[Shard]:
    """Release the held shards after a canary has survived; return them."""
    held = [shard for shard in query.shards if shard.is_held]
    for shard in held:
        shard.is_held = False
    return held
