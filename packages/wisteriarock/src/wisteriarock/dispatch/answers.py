"""Answers to callers. A status that promises "not run" is sent only if no endpoint has run it."""

from wisteriarock.http.front import Answer, Respond
from wisteriarock.http.models import Headers

from .const import LOGGED_NAMES_MAX
from .decide import retry_after_ms
from .fragments import abandon_fragment, create_fragment_answer
from .legs import abandon_leg
from .merge import merge_records
from .models import Query
from .room import leave_room
from .state import DispatchState, loop_time_ms


def _retry_headers(
    state: DispatchState, time_left_ms: float | None, wait_ms: float = 0.0
) -> Headers:
    isolated_since_ms = state.isolated_since_ms
    isolated_ms = None if isolated_since_ms is None else loop_time_ms(state) - isolated_since_ms
    after_ms = max(wait_ms, retry_after_ms(state.rng, time_left_ms, isolated_ms))
    return state.wire_format.retry_headers(after_ms)


def refuse_request(
    state: DispatchState,
    respond: Respond,
    request_id: bytes,
    status: int,
    reason: str,
    time_left_ms: float | None = None,
    wait_ms: float = 0.0,
    **details: object,
) -> None:
    """Refuse a request before any leg is sent; the details are only logged.

    `wait_ms` is the time before which a retry cannot succeed.
    """
    headers: Headers = []
    if status == 503:
        headers = _retry_headers(state, time_left_ms, wait_ms)
    elif status == 401:
        headers = state.wire_format.challenge_headers
    state.counters.count("refusals", str(status))
    state.log.record("refused", request=request_id, status=status, reason=reason, **details)
    respond(Answer(status, headers, reason.encode()))


def answer_success(state: DispatchState, query: Query, outcome: str) -> None:
    """Answer a query with the parts received so far."""
    missing = len(query.shards) - query.parts
    if query.is_fragment:
        end_query(state, query)
        answer = create_fragment_answer(state, query)
    elif query.route.shards:
        present = [shard for shard in query.shards if shard.part is not None]
        bodies = [shard.part.body for shard in present if shard.part is not None]
        headers = state.wire_format.merged_headers([shard.proof for shard in present], missing)
        answer = Answer(200, headers, merge_records(bodies, query.route.top_count))
    else:
        part = query.shards[0].part
        assert part is not None
        answer = Answer(part.status, state.wire_format.forwarded_headers(part.headers), part.body)
    finish_query(state, query, answer, outcome)


def answer_failure(state: DispatchState, query: Query, reason: str) -> None:
    """Answer a failed query.

    For a single service, the failure reply of the endpoint is forwarded, unless its status would
    tell the caller that a request which has run did not. Otherwise the status is 503 if no leg can
    have run, 504 if the query has expired and 502 in all other cases. A fragment is answered with
    the parts that it has.
    """
    if query.is_fragment:
        answer_success(state, query, reason)
        return
    shard = query.shards[0]
    failure = None if query.route.shards or shard.legs else shard.failure_reply
    may_have_run = (
        failure is not None
        or query.may_have_run
        or any(each.possible_runs > 0 for each in query.shards)
    )
    if failure is not None and failure.status not in state.wire_format.not_run_statuses:
        answer = Answer(
            failure.status, state.wire_format.forwarded_headers(failure.headers), failure.body
        )
    elif not may_have_run:
        if query.retry_after_ms:
            headers = state.wire_format.retry_headers(query.retry_after_ms)
        else:
            headers = _retry_headers(state, query.expires_at_ms - loop_time_ms(state))
        answer = Answer(503, headers, reason.encode())
    elif loop_time_ms(state) >= query.expires_at_ms:
        answer = Answer(504, [], reason.encode())
    else:
        answer = Answer(502, [], reason.encode())
    waiting = _describe_unanswered_legs(query, loop_time_ms(state))
    finish_query(state, query, answer, reason, idempotent=query.route.idempotent, waiting=waiting)


def _describe_unanswered_legs(query: Query, now_ms: float) -> str:
    """List unanswered legs by endpoint and age, and shards that have no outstanding leg."""
    unanswered = []
    for shard in query.shards:
        if shard.part is not None:
            continue
        unanswered += [
            f"{shard.service}/{leg.endpoint.endpoint_id}:{now_ms - leg.sent_at_ms:.0f}ms"
            for leg in shard.legs
        ]
        if shard.fragment is not None:
            unanswered.append(f"{shard.service}/by {shard.fragment.gatherer.name}")
        elif not shard.legs:
            unanswered.append(f"{shard.service}/none")
    omitted = len(unanswered) - LOGGED_NAMES_MAX
    return ",".join(unanswered[:LOGGED_NAMES_MAX]) + (f",and {omitted} more" if omitted > 0 else "")


def end_query(state: DispatchState, query: Query) -> None:
    """Cancel the timers of a query and abandon its legs."""
    query.is_done = True
    if query in state.active:
        state.active.discard(query)
        state.return_legs(len(query.shards))
    leave_room(state, query)
    now_ms = loop_time_ms(state)
    for timer in query.timers:
        timer.cancel()
    query.timers.clear()
    if query.hedge_timer is not None:
        query.hedge_timer.cancel()
    for fragment in query.fragments:
        abandon_fragment(state, fragment)
    for shard in query.shards:
        for leg in shard.legs[:]:
            abandon_leg(state, leg, now_ms)


def finish_query(
    state: DispatchState, query: Query, answer: Answer, outcome: str, **details: object
) -> None:
    """End a query, log it with the details, and send its answer."""
    end_query(state, query)
    now_ms = loop_time_ms(state)
    name = query.route.name
    if query.is_fragment:
        state.counters.count("fragments", name)
    else:
        state.counters.count("answers", name, str(answer.status))
        state.counters.observe("answer", name, now_ms - query.started_at_ms)
    if not query.is_fragment and answer.status == 200 and query.parts < len(query.shards):
        state.counters.count("missing_parts", name, by=len(query.shards) - query.parts)
    if query.customer is not None:
        details["customer"] = query.customer.name
    write = state.log.detail if 200 <= answer.status < 300 else state.log.record
    write(
        "fragment_answered" if query.is_fragment else "answered",
        request=query.request_id,
        route=query.route.name,
        version=query.version,
        status=answer.status,
        outcome=outcome,
        parts=query.parts,
        shards=len(query.shards),
        hedges=query.hedges,
        retries=query.retries,
        took_ms=now_ms - query.started_at_ms,
        **details,
    )
    query.respond(answer)
