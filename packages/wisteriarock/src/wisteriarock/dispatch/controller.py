"""Request lifecycle: starts queries, handles replies, hedges, retries and answers."""

from collections.abc import Callable

from wisteriarock.balancing.decide import has_reachable, observe_incomplete_reply, observe_reply
from wisteriarock.catalog.decide import match_route, pick_service
from wisteriarock.catalog.models import Customer, Route
from wisteriarock.customers.keys import KeyRefusal, find_customer
from wisteriarock.http.front import Answer, CallerRequest, Respond
from wisteriarock.http.models import ExchangeFailure, Reply
from wisteriarock.quarantine.decide import add_notice
from wisteriarock.quarantine.models import Notice

from .answers import answer_failure, answer_success, end_query, refuse_request
from .budget import credit_request, has_budget, try_spend
from .const import HEDGE_CHECK_INTERVAL_MS, LOGGED_NAMES_MAX
from .decide import (
    answer_margin_ms,
    average_timer_delay_ms,
    awaits_survivor,
    can_end_before,
    create_latency,
    has_attempt_left,
    hedge_delay_ms,
    is_hedge_due,
    is_later_attempt,
    may_send_another_leg,
    needed_parts,
    record_latency,
    record_own_part,
    record_shed,
    set_query_times,
)
from .ends import (
    drop_legs,
    fingerprint_of,
    hold_for_canary,
    judge,
    next_canary,
    quarantine_ms,
    record_end,
    record_survivor,
    release_held,
)
from .fragments import (
    apply_fragment_end,
    create_fragment_answer,
    create_fragment_query,
    is_fragment_overdue,
    plan_fragments,
    send_fragment,
)
from .legs import (
    abandon_leg,
    can_send_leg,
    pause_left_ms,
    record_pause,
    record_rate_limit,
    send_leg,
)
from .limits import return_unsent_leg
from .models import Fragment, Leg, LegKind, Query, RequestHead, Shard
from .resumption import check_resumption
from .room import (
    count_legs,
    has_extra_budget,
    lacks_room,
    may_hand_over,
    record_shortage,
    wait_for_room,
)
from .state import NO_ENDPOINTS, DispatchState, loop_time_ms


def _do_nothing() -> None:
    """Do nothing; a refused request has nothing to cancel."""


def handle_request(
    state: DispatchState, request: CallerRequest, respond: Respond
) -> Callable[[], None]:
    """Start a query for a caller's request and return the function that cancels it."""
    check_resumption(state)
    head = state.wire_format.read_request(request)
    if head is None:
        refuse_request(state, respond, b"-", 400, "bad request headers")
        return _do_nothing
    if state.catalog.configuration is None:
        reason = "no configuration yet"
        refuse_request(state, respond, head.request_id, 503, reason, head.time_left_ms)
        return _do_nothing
    route = match_route(state.catalog, head.host, head.path)
    if route is None:
        refuse_request(state, respond, head.request_id, 404, "no route")
        return _do_nothing
    if not state.catalog.configuration.needs_key:
        return _start_query(state, request, head, route, None, respond)
    customer = None
    if not route.is_public:
        found = find_customer(
            state.catalog, head.key_digest, state.news_age_ms(), is_loaded=state.is_loaded()
        )
        if isinstance(found, KeyRefusal):
            status, reason = found
            refuse_request(state, respond, head.request_id, status, reason, head.time_left_ms)
            return _do_nothing
        customer = found
    request = state.wire_format.replace_key(request, customer.name if customer else None)
    return _start_query(state, request, head, route, customer, respond)


def _start_query(
    state: DispatchState,
    request: CallerRequest,
    head: RequestHead,
    route: Route,
    customer: Customer | None,
    respond: Respond,
) -> Callable[[], None]:
    services = route.shards or (pick_service(state.catalog, route, state.rng),)
    latency = state.latencies.get(route.name)
    if latency is None:
        latency = state.latencies[route.name] = create_latency(route)
    query = Query(request, head, route, services, latency, respond)
    query.customer = customer
    query.needed_parts = needed_parts(route)
    query.version = state.catalog.configuration.version if state.catalog.configuration else 0
    margin_ms = answer_margin_ms(state.capacity_cores, state.timer_delay_ms, request.round_trip_ms)
    set_query_times(query, head.time_left_ms, margin_ms)
    quarantined_ms = quarantine_ms(state, query)
    if quarantined_ms:
        _refuse_quarantined(state, query, quarantined_ms)
        return _do_nothing
    if state.stops_at_ms is not None and not can_end_before(query, state.stops_at_ms):
        reason = "instance is stopping"
        refuse_request(state, respond, head.request_id, 503, reason, head.time_left_ms)
        return _do_nothing
    now_ms = loop_time_ms(state)
    missing = [service for service in services if not can_send_leg(state, service, now_ms)]
    available = len(services) - len(missing)
    if available < query.needed_parts:
        reason = (
            f"only {available} of {query.needed_parts} needed shards have an available endpoint"
        )
        pauses_ms = sorted(pause_left_ms(state, service, now_ms) for service in missing)
        refuse_request(
            state,
            respond,
            head.request_id,
            503,
            reason,
            head.time_left_ms,
            wait_ms=pauses_ms[query.needed_parts - available - 1],
            route=route.name,
            version=query.version,
            missing=",".join(missing[:LOGGED_NAMES_MAX]),
            limited=sum(_is_reachable(state, service) for service in missing),
        )
        return _do_nothing
    if not state.reserve_legs(len(services)):
        reason = "too many requests under way"
        refuse_request(state, respond, head.request_id, 503, reason, head.time_left_ms)
        return _do_nothing
    wait_ms = None
    if customer is not None:
        is_later = is_later_attempt(
            state.full_times, customer, route, head.time_left_ms, loop_time_ms(state)
        )
        wait_ms = state.admit_customer(customer, is_later)
    if wait_ms is not None:
        state.return_legs(len(services))
        _refuse_over_allotment(state, query, wait_ms)
        return _do_nothing
    return _run_query(state, query)


def _refuse_over_allotment(state: DispatchState, query: Query, wait_ms: float) -> None:
    state.counters.count("refusals", "429")
    state.log.record(
        "refused",
        request=query.request_id,
        route=query.route.name,
        customer=query.customer.name if query.customer else None,
        status=429,
        reason="over the allotment",
        wait_ms=wait_ms,
    )
    query.respond(Answer(429, state.wire_format.retry_headers(wait_ms), b"over the allotment"))


def _refuse_quarantined(state: DispatchState, query: Query, quarantined_ms: float) -> None:
    """Refuse a request that was sent again after endpoints ended under it."""
    state.counters.count("refusals", "503")
    state.log.record(
        "refused",
        request=query.request_id,
        route=query.route.name,
        status=503,
        reason="quarantined",
    )
    headers = state.wire_format.retry_headers(quarantined_ms)
    query.respond(Answer(503, headers, b"endpoints ended under this request"))


def _is_reachable(state: DispatchState, service: str) -> bool:
    return has_reachable(state.directory.by_service.get(service, NO_ENDPOINTS))


def handle_fragment(
    state: DispatchState, request: CallerRequest, respond: Respond
) -> Callable[[], None]:
    """Start the query for a fragment that another instance of the zone handed over."""
    check_resumption(state)
    query = create_fragment_query(state, request, respond)
    if query is None:
        respond(Answer(400, [], b"malformed fragment"))
        return _do_nothing
    if not state.reserve_legs(len(query.shards)):
        respond(Answer(503, [], b"too many requests under way"))
        return _do_nothing
    if not _spend_for_sent_legs(state, query):
        state.return_legs(len(query.shards))
        respond(create_fragment_answer(state, query))
        return _do_nothing
    return _run_query(state, query)


def _spend_for_sent_legs(state: DispatchState, query: Query) -> bool:
    """Take a fragment whose request an endpoint has turned away from the budget for extra legs."""
    now_ms = loop_time_ms(state)
    for shard in query.shards:
        if shard.sent_legs and not (
            has_extra_budget(state, query, shard.service, now_ms)
            and try_spend(state.budget, shard.service, now_ms)
        ):
            return False
    return True


def _run_query(state: DispatchState, query: Query) -> Callable[[], None]:
    """Set the timers of a query, send its legs and return the function that cancels it."""
    route, latency = query.route, query.latency
    query.template = state.wire_format.encode_leg_template(query.request)
    state.active.add(query)
    _set_timer(state, query, query.expires_at_ms, lambda: _on_expiry(state, query))
    if route.shards and query.early_answer_at_ms < query.expires_at_ms:
        _set_timer(state, query, query.early_answer_at_ms, lambda: _answer_early(state, query))
    if route.idempotent:
        _schedule_hedges(state, query, query.started_at_ms + latency.hedge_delay_ms)
    canary = hold_for_canary(state, query)
    if canary is not None:
        _send_first_legs(state, query, [canary])
    else:
        _send_to_shards(state, query, query.shards)
    return lambda: _cancel(state, query)


def _send_to_shards(state: DispatchState, query: Query, shards: list[Shard]) -> None:
    """Send the first legs to shards, from here or through gatherers."""
    local_shards, fragments = plan_fragments(state, query, shards)
    for fragment in fragments:
        _send_fragment(state, fragment)
    wait_for_room(
        state,
        query,
        local_shards,
        lambda: _send_first_legs(state, query, local_shards),
        lambda: _answer_if_finished(state, query),
    )


def _send_first_legs(state: DispatchState, query: Query, shards: list[Shard]) -> None:
    now_ms = loop_time_ms(state)
    query.own_legs += len(shards)
    count_legs(state, query, len(shards), now_ms)
    for shard in shards:
        if query.is_done:
            return
        if not shard.sent_legs:
            credit_request(state.budget, shard.service)
        _send_leg(state, query, shard, LegKind.FIRST, now_ms)
    _answer_if_finished(state, query)


def _send_fragment(state: DispatchState, fragment: Fragment) -> None:
    def on_end(ended: Fragment, outcome: Reply | ExchangeFailure) -> None:
        _on_fragment_end(state, ended, outcome)

    send_fragment(state, fragment, on_end)


def _on_fragment_end(
    state: DispatchState, fragment: Fragment, outcome: Reply | ExchangeFailure
) -> None:
    """Apply the outcome of a fragment; send the legs from here if none can have run."""
    query = fragment.query
    may_have_run = apply_fragment_end(state, fragment, outcome)
    if judge(state, query):
        _give_up_deadly(state, query)
    if query.is_done:
        return
    if may_have_run:
        for shard in fragment.shards:
            if shard.part is None and not shard.legs:
                _retry_leg(state, query, shard)
        _give_up_if_short(state, query)
        _answer_if_finished(state, query)
        return
    _schedule_hedges(state, query, loop_time_ms(state) + query.latency.hedge_delay_ms)
    _send_first_legs(state, query, fragment.shards)


def _set_timer(
    state: DispatchState, query: Query, at_ms: float, callback: Callable[[], None]
) -> None:
    query.timers.append(state.loop.call_at(at_ms / 1000, callback))


def _send_leg(
    state: DispatchState, query: Query, shard: Shard, kind: LegKind, now_ms: float
) -> bool:
    def on_end(leg: Leg, outcome: Reply | ExchangeFailure) -> None:
        _on_leg_end(state, leg, outcome)

    return send_leg(state, query, shard, kind, now_ms, on_end)


def _on_leg_end(state: DispatchState, leg: Leg, outcome: Reply | ExchangeFailure) -> None:
    """Record the outcome of a leg, then answer or retry."""
    now_ms = loop_time_ms(state)
    leg.is_done = True
    endpoint = leg.endpoint
    endpoint.in_flight.pop(id(leg), None)
    state.abandoned.pop(leg, None)
    query, shard = leg.query, leg.shard
    if leg in shard.legs:
        shard.legs.remove(leg)
    elapsed_ms = now_ms - leg.sent_at_ms
    if isinstance(outcome, ExchangeFailure):
        if not outcome.was_sent:
            return_unsent_leg(leg)
        elif not leg.is_abandoned:
            observe_incomplete_reply(endpoint, now_ms)
        if outcome.is_silent_close and record_end(state, leg):
            _give_up_deadly(state, query)
        _on_leg_failure(state, leg, outcome.reason, may_have_run=outcome.was_sent)
        return
    head = state.wire_format.read_reply(outcome.status, outcome.headers)
    is_success = 200 <= outcome.status < 300 and bool(head.proof) and not head.is_encoded
    if not head.is_misdirected:
        record_rate_limit(state, leg, head.rate_limit_per_s, is_success=is_success, now_ms=now_ms)
        record_pause(state, leg, head.pause_s, now_ms)
        if head.is_leaving and not endpoint.has_said_leaving:
            state.on_leaving(endpoint)
    may_have_run = not (head.was_not_run or head.is_misdirected)
    if head.load is not None:
        state.counters.count("load_reports")
    observe_reply(
        endpoint,
        elapsed_ms,
        query.latency.expected_ms,
        is_error=not is_success,
        now_ms=now_ms,
        report=None if head.is_misdirected else head.load,
        has_run=may_have_run,
        is_even=state.is_load_even,
    )
    if may_have_run:
        record_survivor(state, query, outcome.status)
    if is_success:
        record_latency(query.latency, elapsed_ms)
        state.counters.observe("leg", query.route.name, elapsed_ms)
        if leg.is_abandoned or query.is_done or shard.part is not None:
            return
        shard.part = outcome
        shard.proof = head.proof
        query.parts += 1
        if record_own_part(query, now_ms) and query.route.idempotent:
            delay_ms = hedge_delay_ms(query)
            if delay_ms is not None:
                _schedule_hedges(state, query, query.started_at_ms + delay_ms)
        for other in shard.legs[:]:
            abandon_leg(state, other, now_ms)
        _release_held(state, query)
        _answer_if_finished(state, query)
        return
    if head.is_misdirected:
        state.on_misdirected(endpoint)
    if head.was_not_run:
        record_shed(shard, now_ms)
        record_shortage(state, query)
    # A success that failed a check is no failure of the endpoint, and is not forwarded as one.
    if may_have_run and not leg.is_abandoned and not 200 <= outcome.status < 300:
        shard.failure_reply = outcome
    _release_held(state, query)
    _on_leg_failure(state, leg, f"status {outcome.status}", may_have_run=may_have_run)


def _give_up_deadly(state: DispatchState, query: Query) -> None:
    """Answer a query that is to blame for ended endpoints, and drop its legs under way."""
    if not query.is_done:
        query.may_have_run = True
        answer_failure(state, query, "endpoints ended under it")
    drop_legs(state, query)


def apply_notice(state: DispatchState, notice: Notice) -> None:
    """Apply the verdict of another instance on a request, and give that request up here."""
    add_notice(state.quarantine, notice, loop_time_ms(state))
    for query in list(state.active):
        is_same_route = query.route.name == notice.route and not query.survivors
        if is_same_route and fingerprint_of(state, query) == notice.fingerprint:
            query.is_deadly = True
            _give_up_deadly(state, query)


def _release_held(state: DispatchState, query: Query) -> None:
    """Query the held shards once a canary has survived."""
    if query.survivors and not query.is_done:
        held = release_held(query)
        if held:
            _send_to_shards(state, query, held)


def _on_leg_failure(state: DispatchState, leg: Leg, reason: str, *, may_have_run: bool) -> None:
    query, shard = leg.query, leg.shard
    if may_have_run:
        query.may_have_run = True
    else:
        shard.possible_runs -= 1
    if leg.is_abandoned or query.is_done:
        return
    state.counters.count("leg_failures", reason)
    state.log.detail(
        "leg_failed",
        request=query.request_id,
        service=shard.service,
        endpoint=leg.endpoint.endpoint_id,
        reason=reason,
        ran=may_have_run,
        age_ms=loop_time_ms(state) - leg.sent_at_ms,
    )
    if shard.part is None and not shard.legs and not _retry_leg(state, query, shard):
        _hand_over(state, query, shard)
    if not any(each.legs for each in query.shards):
        canary = next_canary(state, query)
        if canary is not None:
            _send_first_legs(state, query, [canary])
            return
    if not _may_get_part(state, query, shard):
        _give_up_if_short(state, query)
    _answer_if_finished(state, query)


def _retry_leg(state: DispatchState, query: Query, shard: Shard) -> bool:
    """Retry a shard that has no outstanding leg, if the route and the budget allow it."""
    if not may_send_another_leg(query, shard):
        return False
    now_ms = loop_time_ms(state)
    is_extra = shard.sent_legs > 0
    if is_extra and not has_budget(state.budget, shard.service, now_ms):
        state.log.detail("budget_exhausted", request=query.request_id, service=shard.service)
        return False
    kind = LegKind.RETRY if is_extra else LegKind.FIRST
    if not _send_leg(state, query, shard, kind, now_ms):
        return False
    if is_extra:
        try_spend(state.budget, shard.service, now_ms)
        count_legs(state, query, 1, now_ms)
    query.retries += 1
    state.counters.count("retries")
    return True


def _hand_over(state: DispatchState, query: Query, shard: Shard) -> None:
    """Hand a plain request that endpoints turned away to the gatherer that keeps the order."""
    if may_hand_over(state, query, shard, loop_time_ms(state)):
        shard.was_handed_over = True
        for fragment in plan_fragments(state, query, [shard])[1]:
            _send_fragment(state, fragment)


def _schedule_hedges(state: DispatchState, query: Query, at_ms: float) -> None:
    """Check for legs to hedge at a time, unless an earlier check is scheduled."""
    if query.hedges_at_ms is not None and query.hedges_at_ms <= at_ms:
        return
    if query.hedge_timer is not None:
        query.hedge_timer.cancel()
    query.hedges_at_ms = at_ms
    query.hedge_timer = state.loop.call_at(at_ms / 1000, lambda: _send_hedges(state, query))


def _send_hedges(state: DispatchState, query: Query) -> None:
    """Hedge slow legs, retry shards that have no leg, and schedule the next check."""
    query.hedges_at_ms = None
    if query.is_done:
        return
    now_ms = loop_time_ms(state)
    may_send_more = False
    for shard in query.shards:
        if shard.part is not None or shard.is_held:
            continue
        if shard.is_waiting:
            may_send_more = True
            continue
        if shard.fragment is not None and not is_fragment_overdue(query, shard, now_ms):
            may_send_more = True
            continue
        if not may_send_another_leg(query, shard):
            continue
        may_send_more = True
        if not shard.legs:
            if now_ms >= shard.retry_at_ms:
                shard.tried_endpoint_ids.clear()
                _retry_leg(state, query, shard)
        elif is_hedge_due(query, shard, now_ms) and has_extra_budget(
            state, query, shard.service, now_ms
        ):
            if not _send_leg(state, query, shard, LegKind.HEDGE, now_ms):
                continue
            try_spend(state.budget, shard.service, now_ms)
            count_legs(state, query, 1, now_ms)
            query.hedges += 1
            state.counters.count("hedges")
            slow_leg = shard.legs[0]
            state.log.detail(
                "hedge",
                request=query.request_id,
                service=shard.service,
                slow=slow_leg.endpoint.endpoint_id,
                age_ms=now_ms - slow_leg.sent_at_ms,
                endpoint=shard.legs[-1].endpoint.endpoint_id,
            )
    if may_send_more:
        _schedule_hedges(state, query, now_ms + HEDGE_CHECK_INTERVAL_MS)


def _answer_if_finished(state: DispatchState, query: Query) -> None:
    """Answer a query that is complete, due for its early answer, or out of legs and retries."""
    if query.is_done:
        return
    if query.parts == len(query.shards):
        answer_success(state, query, "complete")
        return
    if query.is_early_answer_due and query.parts >= query.needed_parts:
        answer_success(state, query, "partial")
        return
    if lacks_room(query):
        answer_failure(state, query, "no room")
        return
    for shard in query.shards:
        is_outstanding = shard.legs or shard.fragment or shard.is_held or shard.is_waiting
        if shard.part is None and (is_outstanding or _will_retry_later(state, query, shard)):
            return
    if query.parts >= query.needed_parts and query.route.shards:
        answer_success(state, query, "partial")
        return
    answer_failure(state, query, "every leg failed")


def _give_up_if_short(state: DispatchState, query: Query) -> None:
    """Answer a fan-out that cannot get the parts that it needs any more.

    A fragment goes on until its early answer is due: its parts may still complete the query that it
    belongs to.
    """
    if query.is_done or not query.route.shards:
        return
    if query.is_fragment and not query.is_early_answer_due:
        return
    possible_parts = sum(_may_get_part(state, query, shard) for shard in query.shards)
    if possible_parts < query.needed_parts:
        answer_failure(state, query, "too few shards left")


def _may_get_part(state: DispatchState, query: Query, shard: Shard) -> bool:
    """Return whether a shard has its part, or a leg of it is under way or may still be sent."""
    if shard.part is not None or shard.legs or shard.fragment is not None:
        return True
    if shard.is_held or shard.is_waiting:
        return True
    if not has_attempt_left(query, shard) or not _is_reachable(state, shard.service):
        return False
    return may_send_another_leg(query, shard) or awaits_survivor(query)


def _will_retry_later(state: DispatchState, query: Query, shard: Shard) -> bool:
    """Return whether a fan-out shard without an outstanding leg will be retried after a backoff."""
    return (
        bool(query.route.shards)
        and may_send_another_leg(query, shard)
        and has_budget(state.budget, shard.service, loop_time_ms(state))
        and _is_reachable(state, shard.service)
        and pause_left_ms(state, shard.service, loop_time_ms(state)) < _remaining_ms(state, query)
    )


def _remaining_ms(state: DispatchState, query: Query) -> float:
    return query.expires_at_ms - loop_time_ms(state)


def _answer_early(state: DispatchState, query: Query) -> None:
    query.is_early_answer_due = True
    delay_ms = loop_time_ms(state) - query.early_answer_at_ms
    state.timer_delay_ms = average_timer_delay_ms(state.timer_delay_ms, delay_ms)
    query.legs_expire_at_ms = query.expires_at_ms
    if not query.is_done and query.parts >= query.needed_parts:
        answer_success(state, query, "early")
        return
    _give_up_if_short(state, query)


def _on_expiry(state: DispatchState, query: Query) -> None:
    if query.is_done:
        return
    if query.route.shards and query.parts >= query.needed_parts:
        answer_success(state, query, "partial")
        return
    answer_failure(state, query, "out of time")


def expire_active_queries(state: DispatchState) -> int:
    """Answer all queries in progress as if they had expired; return how many there were."""
    active = list(state.active)
    for query in active:
        query.expires_at_ms = min(query.expires_at_ms, loop_time_ms(state))
        _on_expiry(state, query)
    return len(active)


def _cancel(state: DispatchState, query: Query) -> None:
    """End a query whose caller, or the instance that handed it over, has disconnected."""
    if query.is_done:
        return
    query.is_cancelled = True
    end_query(state, query)
    if query.is_fragment:
        return
    state.counters.count("callers_left", query.route.name)
    state.log.record(
        "caller_left",
        request=query.request_id,
        route=query.route.name,
        parts=query.parts,
        shards=len(query.shards),
        took_ms=loop_time_ms(state) - query.started_at_ms,
    )
