"""Fragments: parts of a fan-out that a gatherer of the zone queries on behalf of an instance.

A fragment is handed over in two steps. The gatherer first accepts its header (status 100), then the
body follows. Until the body is sent, nothing can have run, and the legs are sent from here instead.
"""

from collections.abc import Callable

from wisteriarock.catalog.models import Route
from wisteriarock.gathering.const import (
    ABANDONED_GRACE_MS,
    ACCEPT_TIMEOUT_MS,
    FRAGMENT_PATH,
    OVERDUE_MS,
    REQUEST_BODY_MAX_BYTES,
    RETURN_MARGIN_MS,
    SUSPENSION_MS,
)
from wisteriarock.gathering.decide import (
    assign_shards,
    decode_fragment_answer,
    decode_fragment_request,
    encode_fragment_answer,
    encode_fragment_request,
    needed_parts_of_fragment,
    usable_gatherers,
)
from wisteriarock.gathering.models import FragmentAnswer, FragmentRequest, Gatherer
from wisteriarock.http.front import Answer, CallerRequest
from wisteriarock.http.models import Exchange, ExchangeFailure, Reply

from .decide import create_latency
from .identity import customer_of_fragment, effective_priority
from .merge import merge_records
from .models import Fragment, Query, RequestHead, Shard
from .room import is_shared_in_zone, learn_shortages, shortages
from .state import NO_ENDPOINTS, DispatchState, loop_time_ms

OnFragmentEnd = Callable[[Fragment, Reply | ExchangeFailure], None]


def plan_fragments(
    state: DispatchState, query: Query, shards: list[Shard]
) -> tuple[list[Shard], list[Fragment]]:
    """Divide shards of a query into those queried from here and fragments for gatherers."""
    now_ms = loop_time_ms(state)
    gatherers = usable_gatherers(state.gatherers, now_ms)
    is_divisible = bool(query.route.shards) and query.route.idempotent
    if not (is_divisible or is_shared_in_zone(state, query, now_ms)) or query.is_fragment:
        return shards, []
    if not gatherers or len(query.request.body) > REQUEST_BODY_MAX_BYTES:
        return shards, []
    services = query.route.shards or (query.shards[0].service,)
    assigned = assign_shards(state.gatherers, services, gatherers)
    by_service = {shard.service: shard for shard in shards}
    local: list[Shard] = []
    fragments = []
    for gatherer in gatherers:
        names = assigned.get(gatherer.name, ())
        part = [by_service[service] for service in names if service in by_service]
        if gatherer.name == state.instance:
            local = part
        elif part:
            fragments.append(Fragment(query, gatherer, part))
    for fragment in fragments:
        query.fragments.append(fragment)
        for shard in fragment.shards:
            shard.fragment = fragment
    return local, fragments


def send_fragment(state: DispatchState, fragment: Fragment, on_end: OnFragmentEnd) -> None:
    """Offer a fragment to its gatherer; `on_end` is called once with the outcome."""
    query = fragment.query
    head = (
        f"POST {FRAGMENT_PATH} HTTP/1.1\r\nHost: {fragment.gatherer.name}\r\n"
        "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()

    def encode() -> bytes | None:
        return None if query.is_done or fragment.is_done else head

    def on_continue() -> bytes | None:
        if query.is_done or fragment.is_done:
            return None
        _mark_sent(state, fragment)
        body = encode_fragment_request(_create_request(state, fragment))
        return b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)

    def finish(outcome: Reply | ExchangeFailure) -> None:
        if not fragment.is_done:
            fragment.is_done = True
            on_end(fragment, outcome)

    def on_accept_timeout() -> None:
        if fragment.is_sent or fragment.is_done:
            return
        abandon_fragment(state, fragment)
        on_end(fragment, ExchangeFailure("not accepted", False))

    fragment.exchange = Exchange(encode, lambda _: True, finish, lambda: None, on_continue)
    accept_by_ms = loop_time_ms(state) + ACCEPT_TIMEOUT_MS
    query.timers.append(state.loop.call_at(accept_by_ms / 1000, on_accept_timeout))
    state.pool_of_gatherer(fragment.gatherer).send(fragment.exchange)


def _mark_sent(state: DispatchState, fragment: Fragment) -> None:
    """Count the legs that the gatherer may send as runs, at most one for each endpoint."""
    fragment.is_sent = True
    for shard in fragment.shards:
        shard.fragment_runs = _possible_runs(state, fragment.query.route, shard)
        shard.possible_runs += shard.fragment_runs
        shard.sent_legs += 1


def _possible_runs(state: DispatchState, route: Route, shard: Shard) -> int:
    if not route.idempotent:
        return 1
    endpoints = state.directory.by_service.get(shard.service, NO_ENDPOINTS)
    return 1 if len(endpoints) <= route.max_attempts else route.max_attempts


def _create_request(state: DispatchState, fragment: Fragment) -> FragmentRequest:
    query, now_ms = fragment.query, loop_time_ms(state)
    route, request = query.route, query.request
    count = len(fragment.shards)
    fragment_request: FragmentRequest = {
        "route": route.name,
        "version": query.version,
        "request_id": query.request_id.decode("latin-1"),
        "method": request.method.decode("latin-1"),
        "target": request.target.decode("latin-1"),
        "headers": [
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in request.headers
        ],
        "body": request.body.decode("latin-1"),
        "shards": [shard.service for shard in fragment.shards],
        "top_count": route.top_count,
        "max_attempts": route.max_attempts,
        "latency_target_ms": route.latency_target_ms,
        "needed": needed_parts_of_fragment(count, len(query.shards), query.needed_parts),
        "answer_in_ms": query.early_answer_at_ms - RETURN_MARGIN_MS - now_ms,
        "expires_in_ms": query.expires_at_ms - RETURN_MARGIN_MS - now_ms,
    }
    if query.customer is not None:
        fragment_request["customer"] = query.customer.name
        fragment_request["priority"] = effective_priority(route, query.customer)
    if state.catalog.customers:
        fragment_request["route_priority"] = route.priority
        fragment_request["is_caller_back"] = query.is_caller_back
    if not route.shards:
        service = fragment.shards[0].service
        fragment_request["is_plain"] = True
        fragment_request["is_idempotent"] = route.idempotent
        fragment_request["was_sent"] = fragment.shards[0].was_handed_over
        fragment_request["short_for_ms"] = dict(shortages(state, now_ms)).get(service, 0.0)
    return fragment_request


def abandon_fragment(state: DispatchState, fragment: Fragment) -> None:
    """Abandon a fragment; its connection is reused if the answer arrives within a grace period."""
    if fragment.is_done:
        return
    fragment.is_done = True
    exchange = fragment.exchange
    if exchange is None:
        return
    exchange.is_cancelled = True
    if exchange.connection is None:
        return

    def close() -> None:
        if exchange.connection is not None:
            exchange.connection.close("given up")  # type: ignore[attr-defined]

    if fragment.is_sent and not fragment.query.is_cancelled:
        state.loop.call_at((loop_time_ms(state) + ABANDONED_GRACE_MS) / 1000, close)
    else:
        close()


def is_fragment_overdue(query: Query, shard: Shard, now_ms: float) -> bool:
    """Return whether a shard's fragment should have been answered, so that a leg may be sent."""
    if not query.route.shards:
        return False
    is_late = now_ms >= query.early_answer_at_ms + OVERDUE_MS
    return shard.fragment is not None and shard.fragment.is_sent and not shard.legs and is_late


def apply_fragment_end(
    state: DispatchState, fragment: Fragment, outcome: Reply | ExchangeFailure
) -> bool:
    """Apply the outcome of a fragment to its shards; return whether any leg may have run."""
    query = fragment.query
    for shard in fragment.shards:
        shard.fragment = None
    answer = None
    if isinstance(outcome, Reply) and outcome.status == 200:
        answer = decode_fragment_answer(outcome.body)
    if answer is not None:
        learn_shortages(state, answer.get("short", ()), loop_time_ms(state))
        _apply_answer(query, fragment, answer)
        return True
    refused = isinstance(outcome, Reply) and outcome.status == 503
    if refused:
        for shard in fragment.shards:
            _uncount_runs(shard)
    _suspend(state, fragment.gatherer)
    state.counters.count("fragment_failures")
    state.log.record(
        "fragment_failed",
        request=query.request_id,
        gatherer=fragment.gatherer.name,
        reason=f"status {outcome.status}" if isinstance(outcome, Reply) else outcome.reason,
        sent=fragment.is_sent,
        shards=len(fragment.shards),
    )
    return fragment.is_sent and not refused


def _apply_answer(query: Query, fragment: Fragment, answer: FragmentAnswer) -> None:
    """Store the parts of a fragment, in place of parts that its shards already have.

    The records of a fragment are merged, so the first part holds them all.
    """
    query.ended_elsewhere += len(answer["ended"])
    query.survivors += len(answer["parts"])
    proofs = dict(answer["parts"])
    may_have_run, withheld = set(answer["may_have_run"]), set(answer["withheld"])
    body = bytes.fromhex(answer["records"])
    query.retry_after_ms = max(query.retry_after_ms, answer.get("retry_after_ms", 0.0))
    reply = _reply_of(answer)
    for shard in fragment.shards:
        proof = proofs.get(shard.service)
        if proof is None:
            if shard.service not in may_have_run:
                _uncount_runs(shard)
            # The gatherer of a plain request keeps the order, so that no leg is sent past it.
            shard.is_withheld_by_gatherer = shard.service in withheld or not query.route.shards
            shard.failure_reply = reply
            continue
        if shard.part is None:
            query.parts += 1
        shard.part = reply or Reply(200, [], body, True)
        shard.proof = proof.encode("latin-1")
        body = b""


def _reply_of(answer: FragmentAnswer) -> Reply | None:
    """Return the reply of an endpoint to a plain request, None if there is none."""
    if "reply" not in answer:
        return None
    status, fields, body = answer["reply"]
    headers = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in fields]
    return Reply(status, headers, body.encode("latin-1"), True)


def _uncount_runs(shard: Shard) -> None:
    shard.possible_runs -= shard.fragment_runs
    shard.sent_legs -= 1 if shard.fragment_runs else 0
    shard.fragment_runs = 0


def _suspend(state: DispatchState, gatherer: Gatherer) -> None:
    state.gatherers.suspended_until_ms[gatherer.name] = loop_time_ms(state) + SUSPENSION_MS


def create_fragment_query(
    state: DispatchState, request: CallerRequest, respond: Callable[[Answer], None]
) -> Query | None:
    """Create the query for a fragment that another instance handed over; None if malformed."""
    fragment = decode_fragment_request(request.body)
    if fragment is None or not fragment["shards"]:
        return None
    now_ms = loop_time_ms(state)
    shards = tuple(fragment["shards"])
    route = Route(
        fragment["route"],
        "",
        "",
        fragment.get("is_idempotent", True),
        fragment["expires_in_ms"],
        fragment["latency_target_ms"],
        fragment["max_attempts"],
        fragment.get("priority", 0),
        (),
        () if fragment.get("is_plain") else shards,
        fragment["top_count"],
        0.0,
    )
    headers = [
        (name.encode("latin-1"), value.encode("latin-1")) for name, value in fragment["headers"]
    ]
    caller_request = CallerRequest(
        fragment["method"].encode("latin-1"),
        fragment["target"].encode("latin-1"),
        headers,
        fragment["body"].encode("latin-1"),
        now_ms,
        False,
    )
    request_id = fragment["request_id"].encode("latin-1")
    head = RequestHead(request_id, "", "", fragment["expires_in_ms"])
    latency = state.latencies.get(route.name)
    if latency is None:
        latency = state.latencies[route.name] = create_latency(route)
    query = Query(caller_request, head, route, shards, latency, respond)
    query.is_fragment = True
    query.route_priority = fragment.get("route_priority", route.priority)
    query.customer = customer_of_fragment(state.catalog, fragment.get("customer"), route.priority)
    query.is_caller_back = fragment.get("is_caller_back", False)
    query.version = fragment["version"]
    query.needed_parts = fragment["needed"]
    query.early_answer_at_ms = now_ms + max(0.0, fragment["answer_in_ms"])
    query.expires_at_ms = now_ms + max(0.0, fragment["expires_in_ms"])
    query.legs_expire_at_ms = query.expires_at_ms
    if route.shards:
        query.legs_expire_at_ms = min(query.early_answer_at_ms, query.expires_at_ms)
    else:
        learn_shortages(state, [(shards[0], fragment.get("short_for_ms", 0.0))], now_ms)
        query.shards[0].sent_legs = 1 if fragment.get("was_sent") else 0
    return query


def create_fragment_answer(state: DispatchState, query: Query) -> Answer:
    """Return the answer to the instance that handed over a fragment; its legs have ended."""
    present = [shard for shard in query.shards if shard.part is not None]
    bodies = [shard.part.body for shard in present if shard.part is not None]
    answer: FragmentAnswer = {
        "parts": [(shard.service, shard.proof.decode("latin-1")) for shard in present],
        "records": merge_records(bodies, query.route.top_count).hex(),
        "may_have_run": [
            shard.service
            for shard in query.shards
            if shard.part is None and shard.possible_runs > 0
        ],
        "withheld": [
            shard.service for shard in query.shards if shard.part is None and shard.is_withheld
        ],
        "ended": sorted(query.ended_endpoint_ids),
    }
    if query.retry_after_ms:
        answer["retry_after_ms"] = query.retry_after_ms
    short = shortages(state, loop_time_ms(state))
    if short:
        answer["short"] = short
    reply = query.shards[0].part or query.shards[0].failure_reply
    if not query.route.shards and reply is not None:
        answer["reply"] = (
            reply.status,
            [(name.decode("latin-1"), value.decode("latin-1")) for name, value in reply.headers],
            reply.body.decode("latin-1"),
        )
    return Answer(200, [], encode_fragment_answer(answer))
