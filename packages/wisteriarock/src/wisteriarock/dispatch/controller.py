"""Carries out requests: admits them, follows their legs, hedges and retries."""

from collections.abc import Callable

from wisteriarock.balancing.decide import has_reachable, observe_broken, observe_reply
from wisteriarock.catalog.decide import match_route, pick_service
from wisteriarock.catalog.models import Route
from wisteriarock.http.front import CallerRequest, Respond
from wisteriarock.http.models import ExchangeFailure, Reply

from .answers import answer_now, end_query, fail, succeed
from .budget import available, earn, spend
from .const import HEDGE_TICK_MS, LOGGED_NAMES_MAX
from .decide import (
    create_latency,
    is_hedge_due,
    may_send_again,
    needed_parts,
    note_shed,
    record_latency,
    set_times,
)
from .legs import abandon, send_leg
from .models import Leg, Query, RequestHead, Shard
from .state import NO_ENDPOINTS, DispatchState, now_ms_of


def _do_nothing() -> None:
    """Cancel nothing."""


def handle_request(
    state: DispatchState, request: CallerRequest, respond: Respond
) -> Callable[[], None]:
    """Start the work for a caller's request and return the function that cancels it."""
    head = state.wire.read_request(request)
    if head is None:
        answer_now(state, respond, b"-", 400, "bad request headers")
        return _do_nothing
    if state.catalog.configuration is None:
        reason = "no configuration yet"
        answer_now(state, respond, head.request_id, 503, reason, head.time_left_ms)
        return _do_nothing
    route = match_route(state.catalog, head.host, head.path)
    if route is None:
        answer_now(state, respond, head.request_id, 404, "no route")
        return _do_nothing
    return _start(state, request, head, route, respond)


def _start(
    state: DispatchState,
    request: CallerRequest,
    head: RequestHead,
    route: Route,
    respond: Respond,
) -> Callable[[], None]:
    services = route.shards or (pick_service(state.catalog, route, state.rng),)
    latency = state.latencies.get(route.name)
    if latency is None:
        latency = state.latencies[route.name] = create_latency(route)
    query = Query(request, head, route, services, latency, respond)
    query.needed = needed_parts(route)
    query.version = state.catalog.configuration.version if state.catalog.configuration else 0
    set_times(query, head.time_left_ms)
    listed = state.directory.by_service
    missing = [
        service for service in services if not has_reachable(listed.get(service, NO_ENDPOINTS))
    ]
    reachable = len(services) - len(missing)
    for service in services:
        earn(state.budget, service)
    if reachable < query.needed:
        reason = f"only {reachable} of {query.needed} needed shards have a reachable endpoint"
        answer_now(
            state,
            respond,
            head.request_id,
            503,
            reason,
            head.time_left_ms,
            route=route.name,
            version=query.version,
            missing=",".join(missing[:LOGGED_NAMES_MAX]),
        )
        return _do_nothing
    query.template = state.wire.prepare_leg(request)
    state.active.add(query)
    _set_timer(state, query, query.give_up_ms, lambda: _give_up(state, query))
    if route.shards and query.answer_early_ms < query.give_up_ms:
        _set_timer(state, query, query.answer_early_ms, lambda: _answer_early(state, query))
    if route.idempotent:
        due_ms = query.started_ms + latency.hedge_ms
        _set_timer(state, query, due_ms, lambda: _hedge(state, query))
    now_ms = now_ms_of(state)
    for shard in query.shards:
        _send(state, query, shard, now_ms)
        if query.is_done:
            break
    if not query.is_done:
        _settle(state, query)
    return lambda: _cancel(state, query)


def _set_timer(
    state: DispatchState, query: Query, at_ms: float, callback: Callable[[], None]
) -> None:
    query.timers.append(state.loop.call_at(at_ms / 1000, callback))


def _send(state: DispatchState, query: Query, shard: Shard, now_ms: float) -> bool:
    def on_end(leg: Leg, outcome: Reply | ExchangeFailure) -> None:
        _on_end(state, leg, outcome)

    return send_leg(state, query, shard, now_ms, on_end)


def _on_end(state: DispatchState, leg: Leg, outcome: Reply | ExchangeFailure) -> None:
    """Take over the end of a leg."""
    now_ms = now_ms_of(state)
    leg.is_done = True
    endpoint = leg.endpoint
    endpoint.in_flight.pop(id(leg), None)
    state.abandoned.pop(leg, None)
    query, shard = leg.query, leg.shard
    if leg in shard.legs:
        shard.legs.remove(leg)
    elapsed_ms = now_ms - leg.sent_ms
    if isinstance(outcome, ExchangeFailure):
        if outcome.was_sent and not leg.is_abandoned:
            observe_broken(endpoint, now_ms)
        _on_failed_leg(state, leg, outcome.reason, has_run=outcome.was_sent)
        return
    head = state.wire.read_reply(outcome.status, outcome.headers)
    is_success = 200 <= outcome.status < 300 and bool(head.proof) and not head.is_encoded
    observe_reply(
        endpoint, elapsed_ms, query.latency.expected_ms, is_error=not is_success, now_ms=now_ms
    )
    if is_success:
        record_latency(query.latency, elapsed_ms)
        state.counters.observe("leg", query.route.name, elapsed_ms)
        if leg.is_abandoned or query.is_done or shard.part is not None:
            return
        shard.part = outcome
        shard.proof = head.proof
        query.parts += 1
        for other in shard.legs[:]:
            abandon(state, other, now_ms)
        _settle(state, query)
        return
    if head.is_other_endpoint:
        state.on_misdirected(endpoint)
    has_run = not (head.was_not_run or head.is_other_endpoint)
    if head.was_not_run:
        note_shed(shard, now_ms)
    if has_run and not leg.is_abandoned:
        shard.failure = outcome
    _on_failed_leg(state, leg, f"status {outcome.status}", has_run=has_run)


def _on_failed_leg(state: DispatchState, leg: Leg, reason: str, *, has_run: bool) -> None:
    query, shard = leg.query, leg.shard
    if has_run:
        query.ran = True
    else:
        shard.runs -= 1
    if leg.is_abandoned or query.is_done:
        return
    state.counters.count("leg_failures", reason)
    state.log.detail(
        "leg_failed",
        request=query.request_id,
        service=shard.service,
        endpoint=leg.endpoint.endpoint_id,
        reason=reason,
        ran=has_run,
        age_ms=now_ms_of(state) - leg.sent_ms,
    )
    if shard.part is None and not shard.legs:
        _retry(state, query, shard)
    _settle(state, query)


def _retry(state: DispatchState, query: Query, shard: Shard) -> bool:
    """Send a leg again after one failed, if the route and the budget allow it."""
    if not may_send_again(query, shard):
        return False
    now_ms = now_ms_of(state)
    is_extra = shard.arrivals > 0
    if is_extra and not available(state.budget, shard.service, now_ms):
        state.log.detail("budget_exhausted", request=query.request_id, service=shard.service)
        return False
    if not _send(state, query, shard, now_ms):
        return False
    if is_extra:
        spend(state.budget, shard.service, now_ms)
    query.retries += 1
    state.counters.count("retries")
    return True


def _hedge(state: DispatchState, query: Query) -> None:
    """Send a second leg to each shard whose first one takes too long."""
    if query.is_done:
        return
    now_ms = now_ms_of(state)
    is_open = False
    for shard in query.shards:
        if shard.part is not None or not may_send_again(query, shard):
            continue
        is_open = True
        if not shard.legs:
            if now_ms >= shard.resend_at_ms:
                shard.tried.clear()
                _retry(state, query, shard)
        elif is_hedge_due(query, shard, now_ms) and available(state.budget, shard.service, now_ms):
            if not _send(state, query, shard, now_ms):
                continue
            spend(state.budget, shard.service, now_ms)
            query.hedges += 1
            state.counters.count("hedges")
            first = shard.legs[0]
            state.log.detail(
                "hedge",
                request=query.request_id,
                service=shard.service,
                slow=first.endpoint.endpoint_id,
                age_ms=now_ms - first.sent_ms,
                endpoint=shard.legs[-1].endpoint.endpoint_id,
            )
    if is_open:
        _set_timer(state, query, now_ms + HEDGE_TICK_MS, lambda: _hedge(state, query))


def _settle(state: DispatchState, query: Query) -> None:
    """Answer a query when all is in, or when nothing more can come."""
    if query.is_done:
        return
    if query.parts == len(query.shards):
        succeed(state, query, "complete")
        return
    if query.is_early_due and query.parts >= query.needed:
        succeed(state, query, "partial")
        return
    for shard in query.shards:
        if shard.part is None and (shard.legs or _is_retry_ahead(state, query, shard)):
            return
    if query.parts >= query.needed and query.route.shards:
        succeed(state, query, "partial")
        return
    fail(state, query, "every leg failed")


def _is_retry_ahead(state: DispatchState, query: Query, shard: Shard) -> bool:
    """Tell whether a shard of a fan-out that was shed everywhere will be tried again."""
    return (
        bool(query.route.shards)
        and may_send_again(query, shard)
        and available(state.budget, shard.service, now_ms_of(state))
        and has_reachable(state.directory.by_service.get(shard.service, NO_ENDPOINTS))
    )


def _answer_early(state: DispatchState, query: Query) -> None:
    query.is_early_due = True
    query.useful_until_ms = query.give_up_ms
    if not query.is_done and query.parts >= query.needed:
        succeed(state, query, "early")


def _give_up(state: DispatchState, query: Query) -> None:
    if query.is_done:
        return
    if query.route.shards and query.parts >= query.needed:
        succeed(state, query, "partial")
        return
    fail(state, query, "out of time")


def _cancel(state: DispatchState, query: Query) -> None:
    """End the work for a caller that has left."""
    if query.is_done:
        return
    end_query(state, query)
    state.counters.count("callers_left", query.route.name)
    state.log.record(
        "caller_left",
        request=query.request_id,
        route=query.route.name,
        parts=query.parts,
        shards=len(query.shards),
        took_ms=now_ms_of(state) - query.started_ms,
    )
