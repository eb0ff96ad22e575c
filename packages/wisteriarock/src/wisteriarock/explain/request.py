"""Explains where a request would go now: runs the functions that send it on a dry run."""

from typing import Any, NamedTuple

from wisteriarock.balancing.models import Endpoint
from wisteriarock.catalog.decide import match_route
from wisteriarock.catalog.models import Catalog, Customer, Route
from wisteriarock.customers.decide import current_order, is_alone
from wisteriarock.customers.models import LocalAllotments
from wisteriarock.dispatch.controller import handle_request
from wisteriarock.dispatch.decide import create_latency, needed_parts
from wisteriarock.dispatch.identity import effective_priority
from wisteriarock.dispatch.legs import choose_within_limit
from wisteriarock.dispatch.models import Query, RequestHead, Shard, WireFormat
from wisteriarock.dispatch.state import NO_ENDPOINTS, DispatchState, loop_time_ms
from wisteriarock.http.models import Answer, CallerRequest, ExchangeFailure
from wisteriarock.overload.decide import is_short

from .const import (
    COMPARISONS_MAX,
    DETAILED_SERVICES_MAX,
    EXAMINED_ENDPOINTS_MAX,
    LISTED_ENDPOINTS_MAX,
)
from .dry_run import InstanceView, copy_endpoint, create_dry_run
from .endpoints import describe_endpoint, estimate_ms, find_exclusions
from .question import Problem, Question

_REQUEST_ID = b"explained"
_JITTER_NOTE = "Random jitter is left out; where costs are close, a request may go elsewhere."
_CONTENT_NOTE = "Headers and body are not known; a quarantine of one request does not show."


class Run(NamedTuple):
    """What became of a request on a dry run, before any endpoint has replied.

    Attributes
    ----------
    answer : Answer or None
        The refusal; None if legs were sent, wait for room or go through gatherers.
    query : Query or None
        The query under way; None if the request was refused.
    """

    answer: Answer | None
    query: Query | None


class _Asked(NamedTuple):
    """The request that is asked about; without a route, it has no services."""

    head: RequestHead
    route: Route | None
    services: tuple[str, ...]
    customer: Customer | None


def explain_request(
    state: DispatchState, view: InstanceView, local: LocalAllotments, question: Question
) -> dict[str, Any] | Problem:
    """Explain a request, without effect on the state.

    Returns
    -------
    dict or Problem
        The explanation, or what is wrong with the question.
    """
    asked = _find_request(state.catalog, question)
    if isinstance(asked, Problem):
        return asked
    head, route, services, customer = asked
    examined = services if question.shard is None else (question.shard,)
    endpoints = _count_listed(state, examined)
    if endpoints > EXAMINED_ENDPOINTS_MAX:
        message = f"There are {endpoints} endpoints; up to {EXAMINED_ENDPOINTS_MAX} are examined"
        return Problem(400, "too_many_endpoints", f"{message} at a time. Name a shard.", "shard")
    now_ms = loop_time_ms(state)
    dry = create_dry_run(state, view, examined)
    rows = [_count_endpoints(dry, service, now_ms) for service in examined]
    run = None
    if _count_listed(state, services) <= EXAMINED_ENDPOINTS_MAX:
        run = run_request(create_dry_run(state, view, services), head)
    configuration = state.catalog.configuration
    explanation: dict[str, Any] = {
        "instance": state.instance,
        "zone": state.zone,
        "host": head.host,
        "path": head.path,
        "configuration_version": configuration.version if configuration else None,
        "is_loaded": state.is_loaded(),
        **_describe_outcome(run),
        "notes": _notes(state, route, question.customer, run),
        "route": None,
        "customer": None,
        "services": [],
    }
    if route is None:
        return explanation
    explanation["route"] = _describe_route(state, route)
    if customer is not None and not route.is_public:
        explanation["customer"] = _describe_customer(local, customer, route, now_ms)
    sent = run.query if run is not None else None
    query = sent or _create_query(dry, head, route, services, now_ms)
    is_detailed = question.shard is not None or len(services) <= DETAILED_SERVICES_MAX
    shards = {each.service: each for each in sent.shards} if sent is not None else {}
    for row in rows:
        service = row["service"]
        row |= _describe_part(state, dry, route, service, shards.get(service), query, now_ms)
        if is_detailed:
            row |= _describe_endpoints(state, view, query, service, now_ms)
        explanation["services"].append(row)
    explanation["services_total"] = len(services)
    if sent is not None:
        _release(sent)
    return explanation


def _find_request(catalog: Catalog, question: Question) -> _Asked | Problem:
    """Find the route and the customer of a request in the configuration in force."""
    host, path = question.host.partition(":")[0].lower(), question.path.partition("?")[0]
    customer, digest = None, None
    if question.customer is not None:
        customer = catalog.customers.get(question.customer)
        if customer is None:
            message = "The configuration in force has no customer of this name."
            return Problem(404, "unknown_customer", message, "customer")
        digest = _digest_of(catalog, customer)
    route = match_route(catalog, host, path)
    services = _services_of(route)
    if route is not None and question.shard is not None and question.shard not in services:
        message = "The route has no shard or service of this name."
        return Problem(404, "unknown_shard", message, "shard")
    head = RequestHead(_REQUEST_ID, host, path, None, digest)
    return _Asked(head, route, services, customer)


def run_request(dry: DispatchState, head: RequestHead) -> Run:
    """Run a request on a dry run, as if it had arrived now."""
    answers: list[Answer] = []
    dry.wire_format = _wire_format_of(dry.wire_format, head)
    handle_request(dry, _create_caller_request(loop_time_ms(dry)), answers.append)
    return Run(answers[0] if answers else None, next(iter(dry.active), None))


def _release(query: Query) -> None:
    """Drop references in circles, which would stay in memory until the next garbage collection."""
    legs = [leg for shard in query.shards for leg in shard.legs]
    for exchange in [each.exchange for each in legs] + [each.exchange for each in query.fragments]:
        if exchange is not None:
            exchange.on_end = lambda outcome: None
            exchange.end(ExchangeFailure("explained", False))
    for shard in query.shards:
        shard.legs.clear()
        shard.fragment = None
    query.fragments.clear()
    query.stay = None


def _wire_format_of(wire_format: WireFormat, head: RequestHead) -> WireFormat:
    """Return a wire format that reads a given head, and encodes nothing for endpoints."""
    return wire_format._replace(
        read_request=lambda request: head,
        encode_leg_template=lambda request: b"",
        encode_leg=lambda template, endpoint, time_left_ms, body: b"",
        replace_key=lambda request, customer: request,
    )


def _create_caller_request(now_ms: float) -> CallerRequest:
    return CallerRequest(b"GET", b"/", [], b"", now_ms, False)


def _create_query(
    dry: DispatchState, head: RequestHead, route: Route, services: tuple[str, ...], now_ms: float
) -> Query:
    """Return the query of a request that is refused, to show where it would have gone."""

    def respond(answer: Answer) -> None:
        """Answer nothing."""

    latency = dry.latencies.get(route.name) or create_latency(route)
    return Query(_create_caller_request(now_ms), head, route, services, latency, respond)


def _digest_of(catalog: Catalog, customer: Customer) -> bytes | None:
    """Return the digest of a valid key of a customer, else that of any; None if it has none."""
    digests = sorted(customer.key_digests)
    valid = [each for each in digests if catalog.customers_by_key.get(each) is customer]
    return next(iter(valid or digests), None)


def _services_of(route: Route | None) -> tuple[str, ...]:
    if route is None:
        return ()
    return route.shards or tuple(target.service for target in route.targets)


def _count_listed(state: DispatchState, services: tuple[str, ...]) -> int:
    by_service = state.directory.by_service
    return sum(len(by_service.get(service, NO_ENDPOINTS)) for service in services)


def _describe_outcome(run: Run | None) -> dict[str, Any]:
    if run is None:
        reason = "the route has too many endpoints; only the shard is examined"
        return {"outcome": "not examined", "status": None, "reason": reason}
    if run.answer is not None:
        reason = run.answer.body.decode("utf-8", "replace")
        return {"outcome": "refused", "status": run.answer.status, "reason": reason}
    stay = run.query.stay if run.query is not None else None
    if stay is not None and stay.started_at_ms is None:
        room = stay.room
        reason = (
            f"waits for room {room.name}: {room.waiting_count} waiting, "
            f"{room.used:.0f} of {room.places:.0f} places used"
        )
        return {"outcome": "waits", "status": None, "reason": reason}
    return {"outcome": "sent", "status": None, "reason": ""}


def _describe_route(state: DispatchState, route: Route) -> dict[str, Any]:
    latency = state.latencies.get(route.name) or create_latency(route)
    return {
        "name": route.name,
        "host": route.host,
        "prefix": route.prefix,
        "kind": "fan-out" if route.shards else "plain",
        "is_idempotent": route.idempotent,
        "is_public": route.is_public,
        "priority": route.priority,
        "latency_target_ms": route.latency_target_ms,
        "timeout_ms": route.timeout_ms,
        "max_attempts": route.max_attempts,
        "needed_parts": needed_parts(route),
        "expected_ms": round(latency.expected_ms, 1),
        "hedge_ms": round(latency.hedge_delay_ms, 1),
        "samples": latency.samples,
    }


def _describe_customer(
    local: LocalAllotments, customer: Customer, route: Route, now_ms: float
) -> dict[str, Any]:
    order = current_order(local, customer.name, now_ms)
    usage = local.usage.get(customer.name)
    return {
        "name": customer.name,
        "priority": effective_priority(route, customer),
        "rate_per_s": customer.rate_per_s,
        "burst": customer.burst,
        "is_under_order": order is not None,
        "admitted_share": round(order.share, 3) if order else 1.0,
        "admitted_share_later_attempts": round(order.back_share, 3) if order else 1.0,
        "order_ms_ago": round(now_ms - local.orders_at_ms) if order else None,
        "is_alone": is_alone(local, now_ms) if customer.rate_per_s else False,
        "own_share_tokens": round(usage.share.tokens, 2) if usage else None,
    }


def _notes(
    state: DispatchState, route: Route | None, customer: str | None, run: Run | None
) -> list[str]:
    notes = [_JITTER_NOTE, _CONTENT_NOTE]
    if not state.is_loaded():
        notes.append("The instance is loading: it holds requests until it has the configuration.")
    configuration = state.catalog.configuration
    if configuration is None or route is None:
        return notes
    if customer is not None and (not configuration.needs_key or route.is_public):
        notes.append("The route needs no key, so that the customer makes no difference.")
    if len(route.targets) > 1 and route.name not in state.catalog.current_weights:
        notes.append("The route was not used yet, so that its first service is drawn at random.")
    if state.is_load_even:
        notes.append("Of a large service, each leg compares only some endpoints, drawn at random.")
    if run is not None and run.query is not None and run.query.fragments:
        notes.append("A gatherer chooses endpoints by what it knows itself; ask it for its choice.")
    return notes


def _count_endpoints(dry: DispatchState, service: str, now_ms: float) -> dict[str, Any]:
    """Return how many endpoints could serve a service now, and what excludes the others."""
    excluded: dict[str, int] = {}
    candidates = 0
    for endpoint in _endpoints_of(dry, service):
        reasons = find_exclusions(dry, endpoint, now_ms)
        for reason in reasons:
            excluded[reason] = excluded.get(reason, 0) + 1
        candidates += not reasons
    return {
        "service": service,
        "is_short": is_short(dry.overload, service, now_ms),
        "candidates": candidates,
        "excluded_by": excluded,
    }


def _describe_part(
    state: DispatchState,
    dry: DispatchState,
    route: Route,
    service: str,
    shard: Shard | None,
    query: Query,
    now_ms: float,
) -> dict[str, Any]:
    """Return where the part for a service goes; `shard` is None if it goes nowhere now."""
    part: dict[str, Any] = {"goes_to": _describe_place(state, shard)}
    if len(route.targets) > 1:
        part["weight"] = next(each.weight for each in route.targets if each.service == service)
    if shard is None or not shard.legs:
        return part | {"endpoint": None, "zone": None, "cost_ms": None}
    endpoint = shard.legs[0].endpoint
    before = copy_endpoint(state.directory.by_id[endpoint.endpoint_id])
    cost_ms = estimate_ms(dry, before, query.latency.expected_ms, now_ms)
    return part | {
        "endpoint": endpoint.endpoint_id,
        "zone": endpoint.zone,
        "cost_ms": round(cost_ms, 1),
    }


def _describe_place(state: DispatchState, shard: Shard | None) -> str | None:
    """Return which instance queries the endpoints of a part, or why none does now."""
    if shard is None:
        return None
    if shard.fragment is not None:
        return f"gatherer {shard.fragment.gatherer.name}"
    if shard.is_held:
        return "held until a canary has survived"
    if shard.is_waiting:
        return "waits for room"
    return f"from here ({state.instance})" if shard.legs else "no endpoint"


def _endpoints_of(dry: DispatchState, service: str) -> list[Endpoint]:
    """Return all endpoints of a service, also those that may get no new requests."""
    listed = dry.directory.by_service.get(service, NO_ENDPOINTS)
    known = {each.endpoint_id for each in listed}
    others = [
        each
        for each in dry.directory.by_id.values()
        if each.service == service and each.endpoint_id not in known
    ]
    return [*listed, *others]


def _describe_endpoints(
    state: DispatchState, view: InstanceView, query: Query, service: str, now_ms: float
) -> dict[str, Any]:
    """Return the endpoints of a service in the order of choice, and those that are excluded."""
    dry = create_dry_run(state, view, (service,))
    order = order_endpoints(create_dry_run(state, view, (service,)), query, service, now_ms)
    endpoints = {each.endpoint_id: each for each in _endpoints_of(dry, service)}
    reasons = {name: find_exclusions(dry, each, now_ms) for name, each in endpoints.items()}
    excluded = [name for name, found in reasons.items() if found]

    def describe(name: str) -> dict[str, Any]:
        return describe_endpoint(dry, endpoints[name], query.latency.expected_ms, now_ms)

    return {
        "endpoints": [describe(name) for name in order],
        "excluded": [
            describe(name) | {"excluded_by": reasons[name]}
            for name in excluded[:LISTED_ENDPOINTS_MAX]
        ],
        "endpoints_total": len(endpoints),
    }


def order_endpoints(dry: DispatchState, query: Query, service: str, now_ms: float) -> list[str]:
    """Return the ids of endpoints in the order in which legs would be sent to them.

    Each one is the choice that is left when those before it have been tried.
    """
    shard = Shard(service)
    count = len(dry.directory.by_service.get(service, NO_ENDPOINTS))
    order: list[str] = []
    while len(order) < min(LISTED_ENDPOINTS_MAX, max(1, COMPARISONS_MAX // max(1, count))):
        chosen = choose_within_limit(dry, query, shard, now_ms)
        if chosen is None:
            break
        shard.tried_endpoint_ids.add(chosen[0].endpoint_id)
        order.append(chosen[0].endpoint_id)
    return order
