"""Sending and abandoning of legs, and closing of connections that return no reply."""

from collections.abc import Callable, Collection

from wisteriarock.balancing.decide import choose_endpoint, observe_abandoned_leg
from wisteriarock.balancing.diagnostics import choice_source
from wisteriarock.balancing.models import Endpoint
from wisteriarock.http.const import PART_MAX_BYTES
from wisteriarock.http.models import Exchange, ExchangeFailure, Headers, Reply
from wisteriarock.limits.endpoint_limit import EndpointLimit, update_limit
from wisteriarock.limits.pause import allows_request, begin_pause, end_probing

from .const import ABANDONED_LEG_GRACE_MS
from .decide import record_latency
from .limits import acquire, confirm_leg, count_leg, may_send_to, return_unsent_leg
from .models import Leg, LegKind, Query, Shard
from .room import full_endpoint_ids
from .state import NO_ENDPOINTS, DispatchState

OnEnd = Callable[[Leg, Reply | ExchangeFailure], None]


def send_leg(
    state: DispatchState, query: Query, shard: Shard, kind: LegKind, now_ms: float, on_end: OnEnd
) -> bool:
    """Send a leg to the best endpoint not yet tried and return whether there was one.

    `on_end` is called once with the outcome of the leg.
    """
    chosen = choose_within_limit(state, query, shard, now_ms)
    if chosen is None:
        return False
    endpoint, limits = chosen
    leg = Leg(query, shard, endpoint, kind, now_ms)
    leg.limits = limits
    shard.tried_endpoint_ids.add(endpoint.endpoint_id)
    shard.legs.append(leg)
    shard.possible_runs += 1
    endpoint.in_flight[id(leg)] = now_ms
    wire_format = state.wire_format
    request_id = query.request_id

    def encode() -> bytes | None:
        time_left_ms = query.legs_expire_at_ms - state.loop.time() * 1000
        if query.is_done or time_left_ms < 1 or not confirm_leg(state, leg):
            return None
        return wire_format.encode_leg(
            query.template, endpoint.endpoint_id, time_left_ms, query.request.body
        )

    def accepts(headers: Headers) -> bool:
        reply_request_id = wire_format.read_reply(0, headers).request_id
        exchange.is_reply_named = bool(reply_request_id)
        return not reply_request_id or reply_request_id == request_id

    def on_sent() -> None:
        shard.sent_legs += 1
        state.counters.count("legs")
        count_leg(state, leg)

    exchange = Exchange(encode, accepts, lambda outcome: on_end(leg, outcome), on_sent)
    leg.exchange = exchange
    exchange.is_head = query.request.method == b"HEAD"
    if query.route.shards:
        exchange.reply_max_bytes = PART_MAX_BYTES
    place = "own" if endpoint.zone == state.zone else "other"
    state.counters.count("leg_choices", choice_source(endpoint, now_ms), place)
    state.pool_of(endpoint).send(leg.exchange)
    return True


def choose_within_limit(
    state: DispatchState, query: Query, shard: Shard, now_ms: float
) -> tuple[Endpoint, tuple[EndpointLimit, ...]] | None:
    """Choose the best endpoint not yet tried whose rate limits, if any, allow another leg.

    Returns
    -------
    tuple or None
        The endpoint, and the limits from which the leg was taken.
    """
    endpoints = state.directory.by_service.get(shard.service, NO_ENDPOINTS)
    unusable: Collection[str] = shard.tried_endpoint_ids
    full = full_endpoint_ids(state, query, shard)
    if full:
        unusable = full | shard.tried_endpoint_ids
    excluded = unusable
    while True:
        endpoint = choose_endpoint(
            endpoints,
            excluded,
            state.zone,
            query.latency.expected_ms,
            now_ms,
            state.rng,
            lambda endpoint: state.pool_of(endpoint).has_idle_connection(now_ms),
            is_even=state.is_load_even,
        )
        if endpoint is None:
            if excluded is not unusable and not shard.is_withheld:
                shard.is_withheld = True
                state.counters.count("shards_withheld")
                state.log.detail("withheld", request=query.request_id, service=shard.service)
            return None
        limits = acquire(state, endpoint, now_ms)
        if limits is not None:
            return endpoint, limits
        excluded = {*excluded, endpoint.endpoint_id}


def pause_left_ms(state: DispatchState, service: str, now_ms: float) -> float:
    """Return the time until a reachable endpoint of a service is not paused, 0 if one is not."""
    endpoints = state.directory.by_service.get(service, NO_ENDPOINTS)
    ends_ms = [each.pause.until_ms for each in endpoints if not each.is_unreachable]
    return max(0.0, min(ends_ms, default=0.0) - now_ms)


def can_send_leg(state: DispatchState, service: str, now_ms: float) -> bool:
    """Return whether a service has a reachable endpoint whose rate limits allow a leg now."""
    return any(
        not endpoint.is_unreachable
        and allows_request(endpoint.pause, len(endpoint.in_flight), now_ms)
        and may_send_to(state, endpoint, now_ms)
        for endpoint in state.directory.by_service.get(service, NO_ENDPOINTS)
    )


def record_pause(state: DispatchState, leg: Leg, pause_s: float, now_ms: float) -> None:
    """Record the pause that the reply to a leg asks for, or that the endpoint has replied again."""
    endpoint = leg.endpoint
    if not pause_s:
        end_probing(endpoint.pause, leg.sent_at_ms)
        return
    begin_pause(endpoint.pause, pause_s, now_ms, state.rng)
    state.counters.count("endpoint_pauses")
    state.log.detail("endpoint_paused", endpoint=endpoint.endpoint_id, pause_s=pause_s)
    state.pool_of(endpoint).return_waiting("paused")


def record_rate_limit(
    state: DispatchState, leg: Leg, per_s: float | None, *, is_success: bool, now_ms: float
) -> None:
    """Record whether the reply to a leg names a rate limit of its endpoint, and log changes."""
    endpoint = leg.endpoint
    before = endpoint.rate_limit
    before_per_s = before.per_s if before is not None else None
    limit = endpoint.rate_limit = update_limit(
        before, per_s, leg.sent_at_ms, now_ms, is_success=is_success
    )
    names = {"endpoint": endpoint.endpoint_id, "service": endpoint.service}
    if limit is None and before is not None:
        state.log.record(
            "endpoint_limit_lifted",
            **names,
            per_s=before.per_s,
            limited_ms=now_ms - before.first_named_at_ms,
            **{f"{kind}_legs": count for kind, count in before.legs.items()},
        )
    elif limit is not None and before is None:
        state.log.record("endpoint_limited", **names, per_s=limit.per_s)
    elif limit is not None and limit.per_s != before_per_s:
        state.log.detail(
            "endpoint_limit_changed", **names, per_s=limit.per_s, before_per_s=before_per_s
        )


def abandon_leg(state: DispatchState, leg: Leg, now_ms: float) -> None:
    """Abandon a leg; its connection is reused if the reply arrives within the grace period."""
    if leg.is_done or leg.is_abandoned:
        return
    leg.is_abandoned = True
    exchange = leg.exchange
    if exchange is not None and exchange.connection is None:
        # The leg was never sent, so it has not run.
        exchange.is_cancelled = True
        leg.is_done = True
        return_unsent_leg(leg)
        leg.shard.possible_runs -= 1
        leg.endpoint.in_flight.pop(id(leg), None)
        if leg in leg.shard.legs:
            leg.shard.legs.remove(leg)
        return
    state.abandoned[leg] = now_ms + ABANDONED_LEG_GRACE_MS


def close_abandoned_legs(state: DispatchState, now_ms: float) -> None:
    """Close the connections of abandoned legs whose grace period is over."""
    for leg in [leg for leg, close_at_ms in state.abandoned.items() if close_at_ms <= now_ms]:
        state.abandoned.pop(leg, None)
        observe_abandoned_leg(leg.endpoint, leg.sent_at_ms, leg.query.latency.expected_ms, now_ms)
        record_latency(leg.query.latency, now_ms - leg.sent_at_ms)
        if leg.exchange is not None and leg.exchange.connection is not None:
            leg.exchange.connection.close("given up")  # type: ignore[attr-defined]
