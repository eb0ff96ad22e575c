"""Take a caller's request from its bytes to its answer."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from wisteriarock.admission.const import MAX_CALLER_BODY_BYTES
from wisteriarock.admission.decide import admit, current_demand, find_caller, index_bundle
from wisteriarock.admission.diagnostics import admission_diagnostics
from wisteriarock.admission.models import AdmissionState, InstanceLoad, Rejection
from wisteriarock.blackboard.models import Blackboard
from wisteriarock.bundle.models import ActiveBundle
from wisteriarock.codec.decode import decode
from wisteriarock.membership.models import Phase
from wisteriarock.observability.metrics import Metrics
from wisteriarock.query.models import Outcome, QueryAnswer, QueryBody, QueryRequest
from wisteriarock.tickets.decide import drop_old, issue, parse, settle, use
from wisteriarock.tickets.diagnostics import ticket_diagnostics
from wisteriarock.tickets.models import TicketBook, UseDecision

from .answers import (
    NOT_READY_RETRY_AFTER_MS,
    fingerprint,
    rejected_answer,
    status_of,
    unknown_answer,
)
from .models import ForwardedQuery, Reply, TicketAnswer, TicketBody

MAX_TICKETS_PER_CALL = 100
MAX_ANSWER_BYTES = 16_000_000
# The issuer ends by the deadline it was sent; this much more covers the way back.
FORWARD_MARGIN_MS = 250.0
QUERY_PATH = "/peer/v1/query"

RunQuery = Callable[[QueryRequest, ActiveBundle], Awaitable[QueryAnswer]]
Forward = Callable[[str, str, bytes, float], Awaitable[Result[bytes, Any]]]


class RequestController(NamedTuple):
    """Closures of the request controller.

    Attributes
    ----------
    handle_query : callable
        Body and `Authorization` header to status and answer.
    handle_tickets : callable
        Body and `Authorization` header to tickets or a rejection.
    handle_forwarded : callable
        A request that a peer forwards because this process issued its ticket.
    in_flight : callable
        Number of requests that run here.
    publish_demand : callable
        Writes the callers' demand to the blackboard and drops old tickets.
    diagnostics : callable
        Returns the dump part.
    """

    handle_query: Callable[[bytes, str], Awaitable[Reply]]
    handle_tickets: Callable[[bytes, str], Result[TicketAnswer, Rejection]]
    handle_forwarded: Callable[[ForwardedQuery], Awaitable[QueryAnswer]]
    in_flight: Callable[[], int]
    publish_demand: Callable[[], None]
    diagnostics: Callable[[], dict[str, Any]]


def _refused(code: str, message: str, path: str = "$") -> Rejection:
    return Rejection(400, code, message, path)


def create_requests(
    board: Blackboard,
    book: TicketBook,
    run_query: RunQuery,
    forward: Forward,
    metrics: Metrics,
    now_ms: Callable[[], float],
) -> RequestController:
    """Return the request controller of this process."""
    state = AdmissionState()
    tunables = board.settings.tunables
    ticket_runs: dict[int, asyncio.Task[QueryAnswer]] = {}
    running = 0

    def active_bundle() -> Result[ActiveBundle, Rejection]:
        if board.bundle is None or board.phase not in (Phase.READY, Phase.DRAINING):
            message = "The instance is not ready."
            return Failure(Rejection(503, "not_ready", message, "$", NOT_READY_RETRY_AFTER_MS))
        return Success(board.bundle)

    def identify(authorization: str) -> Result[tuple[ActiveBundle, str], Rejection]:
        bundle = active_bundle()
        if not isinstance(bundle, Success):
            return Failure(bundle.failure())
        index_bundle(state, bundle.unwrap(), now_ms())
        caller = find_caller(state, authorization)
        if caller is None:
            return Failure(Rejection(401, "unknown_caller", "The credential is not known.", "$"))
        return Success((bundle.unwrap(), caller))

    def others_per_s(caller: str) -> list[float]:
        return [demand.get(caller, 0.0) for demand in board.peer_demand.values()]

    async def run(caller: str, body: QueryBody, bundle: ActiveBundle) -> QueryAnswer:
        nonlocal running
        request = QueryRequest(
            request_id=body["request_id"],
            caller=caller,
            kind=body["kind"],
            shards=tuple(body["shards"]),
            deadline_at_ms=now_ms() + body["deadline_ms"],
            repeatable=body["repeatable"],
            params=body.get("params", {}),
        )
        running += 1
        try:
            return await run_query(request, bundle)
        finally:
            running -= 1

    async def run_ticket(
        serial: int, caller: str, body: QueryBody, bundle: ActiveBundle
    ) -> QueryAnswer:
        answer = await run(caller, body, bundle)
        settle(book, serial, answer)
        ticket_runs.pop(serial, None)
        return answer

    async def use_ticket(caller: str, body: QueryBody, bundle: ActiveBundle) -> Reply:
        """Run a request under a ticket of this process, or give the answer of its first run."""
        decision = use(book, body["ticket"], caller, fingerprint(body), now_ms())
        if decision.decision is UseDecision.REFUSE:
            rejection = _refused(decision.code, decision.message, "$.ticket")
            return Reply(400, rejected_answer(body["request_id"], rejection, bundle.revision))
        if decision.decision is UseDecision.UNKNOWN:
            return Reply(
                200, unknown_answer(body, decision.code, decision.message, bundle.revision)
            )
        if decision.decision is UseDecision.REPLAY:
            answer = book.records[decision.serial].answer
        else:
            if decision.decision is UseDecision.RUN:
                run_once = run_ticket(decision.serial, caller, body, bundle)
                ticket_runs[decision.serial] = asyncio.create_task(run_once)
            # A caller that goes away must not cut off the run: its resend needs the answer.
            answer = await asyncio.shield(ticket_runs[decision.serial])
        answer = answer.copy()
        answer["request_id"] = body["request_id"]
        return Reply(status_of(answer), answer)

    async def forward_ticket(caller: str, body: QueryBody, bundle: ActiveBundle) -> Reply:
        """Send a request to the process that issued its ticket.

        When that process does not answer, the request may have run there, now or on an earlier try.
        """
        claims = parse(body["ticket"])
        if claims is None:
            rejection = _refused("invalid_ticket", "The ticket is not valid.", "$.ticket")
            return Reply(400, rejected_answer(body["request_id"], rejection, bundle.revision))
        member = board.members.get(claims.instance)
        if member is None or member.incarnation != claims.incarnation:
            message = "The instance that issued the ticket is gone."
            return Reply(200, unknown_answer(body, "issuer_gone", message, bundle.revision))
        payload = msgspec.json.encode(ForwardedQuery(caller=caller, query=body))
        time_limit_ms = body["deadline_ms"] + FORWARD_MARGIN_MS
        result = await forward(claims.instance, QUERY_PATH, payload, time_limit_ms)
        if isinstance(result, Success):
            decoded = decode(result.unwrap(), QueryAnswer, MAX_ANSWER_BYTES)
            if isinstance(decoded, Success):
                answer = decoded.unwrap()
                rejected = answer["error"] is not None and answer["error"]["path"] == "$.ticket"
                return Reply(400 if rejected else status_of(answer), answer)
        message = "The instance that issued the ticket did not answer."
        return Reply(200, unknown_answer(body, "issuer_silent", message, bundle.revision))

    async def handle_query(raw: bytes, authorization: str) -> Reply:
        reply = await answer_query(raw, authorization)
        error = reply.answer["error"]
        if error is not None and reply.answer["outcome"] == Outcome.NOT_RUN:
            metrics.rejections.labels(error["code"]).inc()
        return reply

    async def answer_query(raw: bytes, authorization: str) -> Reply:
        identified = identify(authorization)
        revision = board.bundle.revision if board.bundle else 0
        if not isinstance(identified, Success):
            rejection = identified.failure()
            return Reply(rejection.status, rejected_answer("", rejection, revision))
        bundle, caller = identified.unwrap()
        decoded = decode(raw, QueryBody, MAX_CALLER_BODY_BYTES)
        if not isinstance(decoded, Success):
            error = decoded.failure()
            status = 413 if error.code == "too_long" else 400
            rejection = Rejection(status, error.code, error.message, error.path)
            return Reply(status, rejected_answer("", rejection, revision))
        body = decoded.unwrap()
        admitted = admit(
            state,
            bundle,
            caller,
            body,
            InstanceLoad(running, tunables.max_queries, board.loop_lag_ms),
            others_per_s(caller),
            now_ms(),
        )
        if not isinstance(admitted, Success):
            rejection = admitted.failure()
            answer = rejected_answer(body["request_id"], rejection, bundle.revision)
            return Reply(rejection.status, answer)
        if body["repeatable"]:
            answer = await run(caller, body, bundle)
            return Reply(status_of(answer), answer)
        claims = parse(body["ticket"])
        if claims is not None and claims[:2] == (book.instance, book.incarnation):
            return await use_ticket(caller, body, bundle)
        return await forward_ticket(caller, body, bundle)

    async def handle_forwarded(forwarded: ForwardedQuery) -> QueryAnswer:
        body, caller = forwarded["query"], forwarded["caller"]
        bundle = board.bundle
        if bundle is None or caller not in bundle.content["callers"]:
            message = "The issuer does not know the caller."
            return unknown_answer(body, "unknown_caller", message, 0)
        return (await use_ticket(caller, body, bundle)).answer

    def handle_tickets(raw: bytes, authorization: str) -> Result[TicketAnswer, Rejection]:
        identified = identify(authorization)
        if not isinstance(identified, Success):
            return Failure(identified.failure())
        decoded = decode(raw, TicketBody, MAX_CALLER_BODY_BYTES)
        if not isinstance(decoded, Success):
            error = decoded.failure()
            return Failure(Rejection(400, error.code, error.message, error.path))
        count = decoded.unwrap()["count"]
        if not 1 <= count <= MAX_TICKETS_PER_CALL:
            message = f"A call may ask for 1 to {MAX_TICKETS_PER_CALL} tickets."
            return Failure(_refused("invalid_field", message, "$.count"))
        if board.phase is not Phase.READY:
            # A ticket of a process that is about to stop would only lead to unknown outcomes.
            message = "The instance is draining."
            return Failure(Rejection(503, "draining", message, "$", NOT_READY_RETRY_AFTER_MS))
        lifetime = tunables.ticket_lifetime_ms
        _, caller = identified.unwrap()
        tickets = issue(book, caller, count, lifetime, int(tunables.max_tickets), now_ms())
        if not tickets:
            message = "The instance keeps too many tickets."
            return Failure(Rejection(429, "too_many_tickets", message, "$", 1_000))
        return Success(TicketAnswer(tickets=tickets, expires_in_ms=lifetime))

    def publish_demand() -> None:
        now = now_ms()
        board.demand = {name: current_demand(c, now) for name, c in state.callers.items()}
        drop_old(book, tunables.ticket_retention_ms, now)

    def diagnostics() -> dict[str, Any]:
        return {
            "in_flight": running,
            "admission": admission_diagnostics(state),
            "tickets": ticket_diagnostics(book),
        }

    return RequestController(
        handle_query,
        handle_tickets,
        handle_forwarded,
        lambda: running,
        publish_demand,
        diagnostics,
    )
