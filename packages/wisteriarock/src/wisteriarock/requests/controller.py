"""Decode, admit and run caller requests and build their answers."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from wisteriarock.admission.const import MAX_CALLER_BODY_BYTES, NOT_READY_RETRY_AFTER_MS
from wisteriarock.admission.decide import (
    admit,
    check_stop,
    current_demand,
    find_caller,
    index_bundle,
)
from wisteriarock.admission.diagnostics import admission_diagnostics
from wisteriarock.admission.models import AdmissionState, Admitted, InstanceLoad, Rejection
from wisteriarock.blackboard.models import Blackboard
from wisteriarock.bundle.models import ActiveBundle
from wisteriarock.codec.decode import decode
from wisteriarock.membership.models import Phase
from wisteriarock.observability.metrics import Metrics
from wisteriarock.query.models import Outcome, QueryAnswer, QueryBody, QueryRequest
from wisteriarock.tickets.controller import Post, TicketsController, create_tickets_controller

from .answers import http_status, rejected_answer, unknown_answer
from .models import Reply, TicketAnswer, TicketBody

MAX_TICKETS_PER_CALL = 100
NOT_READY_STATUS = 503

RunQuery = Callable[[QueryRequest, ActiveBundle], Awaitable[QueryAnswer]]


class RequestController(NamedTuple):
    """Closures of the request controller.

    Attributes
    ----------
    handle_query : callable
        Takes the body and the `Authorization` header; returns the status and the answer.
    handle_tickets : callable
        Takes the body and the `Authorization` header; returns tickets or a rejection.
    tickets : TicketsController
        Handles requests with tickets, including those that peers forward.
    in_flight : callable
        Returns the number of requests running on this instance.
    run_housekeeping : callable
        Writes the callers' demand to the blackboard and drops expired ticket records.
    diagnostics : callable
        Returns the section of the state dump.
    """

    handle_query: Callable[[bytes, str], Awaitable[Reply]]
    handle_tickets: Callable[[bytes, str], Result[TicketAnswer, Rejection]]
    tickets: TicketsController
    in_flight: Callable[[], int]
    run_housekeeping: Callable[[], None]
    diagnostics: Callable[[], dict[str, Any]]


def _bad_request(code: str, message: str, path: str = "$") -> Rejection:
    return Rejection(400, code, message, path)


def _decode_ticketed(raw: bytes) -> QueryBody | None:
    """Decode the body of a request with a ticket; return None for any other body."""
    decoded = decode(raw, QueryBody, MAX_CALLER_BODY_BYTES)
    if not isinstance(decoded, Success):
        return None
    body: QueryBody = decoded.unwrap()
    return body if body.get("ticket") else None


def create_request_controller(
    board: Blackboard,
    run_query: RunQuery,
    post: Post,
    metrics: Metrics,
    now_ms: Callable[[], float],
) -> RequestController:
    """Return the request controller of this process."""
    state = AdmissionState()
    tunables = board.settings.tunables
    running_count = 0

    def active_bundle() -> Result[ActiveBundle, Rejection]:
        if board.bundle is None or board.phase not in (Phase.READY, Phase.DRAINING):
            message = "The instance is not ready."
            retry_ms = NOT_READY_RETRY_AFTER_MS
            return Failure(Rejection(NOT_READY_STATUS, "not_ready", message, "$", retry_ms))
        return Success(board.bundle)

    def authenticate(authorization: str) -> Result[tuple[ActiveBundle, str], Rejection]:
        bundle = active_bundle()
        if not isinstance(bundle, Success):
            return Failure(bundle.failure())
        index_bundle(state, bundle.unwrap(), now_ms())
        caller = find_caller(state, authorization)
        if caller is None:
            return Failure(Rejection(401, "unknown_caller", "The credential is not known.", "$"))
        return Success((bundle.unwrap(), caller))

    def peer_demands_per_s(caller: str) -> list[float]:
        return [demand.get(caller, 0.0) for demand in board.peer_demand.values()]

    async def run_admitted(caller: str, body: QueryBody, bundle: ActiveBundle) -> QueryAnswer:
        nonlocal running_count
        request = QueryRequest(
            request_id=body["request_id"],
            caller=caller,
            kind=body["kind"],
            shards=tuple(body["shards"]),
            deadline_at_ms=now_ms() + body["deadline_ms"],
            repeatable=body["repeatable"],
            params=body.get("params", {}),
        )
        running_count += 1
        try:
            return await run_query(request, bundle)
        finally:
            running_count -= 1

    tickets = create_tickets_controller(board, run_admitted, post, now_ms)

    def admit_query(
        caller: str, body: QueryBody, bundle: ActiveBundle
    ) -> Result[Admitted, Rejection]:
        """Admit a query, unless it may still run when the process stops."""
        if rejection := check_stop(body["deadline_ms"], board.stops_at_ms, now_ms()):
            return Failure(rejection)
        return admit(
            state,
            bundle,
            caller,
            body,
            InstanceLoad(running_count, tunables.max_queries, board.loop_lag_ms),
            peer_demands_per_s(caller),
            now_ms(),
        )

    async def handle_query(raw: bytes, authorization: str) -> Reply:
        reply = await answer_query(raw, authorization)
        error = reply.answer["error"]
        if error is not None and reply.answer["outcome"] == Outcome.NOT_RUN:
            metrics.rejections.labels(error["code"]).inc()
        return reply

    async def answer_query(raw: bytes, authorization: str) -> Reply:
        authenticated = authenticate(authorization)
        revision = board.bundle.revision if board.bundle else 0
        if not isinstance(authenticated, Success):
            rejection = authenticated.failure()
            body = _decode_ticketed(raw) if rejection.status == NOT_READY_STATUS else None
            if body is not None:
                # Another copy of the request may run, and this instance cannot ask the owner.
                answer = unknown_answer(body, rejection.code, rejection.message, revision)
                return Reply(200, answer)
            return Reply(rejection.status, rejected_answer("", rejection, revision))
        bundle, caller = authenticated.unwrap()
        decoded = decode(raw, QueryBody, MAX_CALLER_BODY_BYTES)
        if not isinstance(decoded, Success):
            error = decoded.failure()
            status = 413 if error.code == "too_long" else 400
            rejection = Rejection(status, error.code, error.message, error.path)
            return Reply(status, rejected_answer("", rejection, revision))
        body = decoded.unwrap()
        # Only the owner of a ticket knows whether another copy of the request runs.
        has_ticket = not body["repeatable"] and bool(body.get("ticket"))
        admitted = admit_query(caller, body, bundle)
        if isinstance(admitted, Success):
            if has_ticket:
                return await tickets.run_with_ticket(caller, body, bundle, True)
            answer = await run_admitted(caller, body, bundle)
            return Reply(http_status(answer), answer)
        rejection = admitted.failure()
        if has_ticket:
            return await tickets.reject_with_ticket(caller, body, bundle, rejection)
        answer = rejected_answer(body["request_id"], rejection, bundle.revision)
        return Reply(rejection.status, answer)

    def handle_tickets(raw: bytes, authorization: str) -> Result[TicketAnswer, Rejection]:
        authenticated = authenticate(authorization)
        if not isinstance(authenticated, Success):
            return Failure(authenticated.failure())
        decoded = decode(raw, TicketBody, MAX_CALLER_BODY_BYTES)
        if not isinstance(decoded, Success):
            error = decoded.failure()
            return Failure(Rejection(400, error.code, error.message, error.path))
        count = decoded.unwrap()["count"]
        if not 1 <= count <= MAX_TICKETS_PER_CALL:
            message = f"A call may ask for 1 to {MAX_TICKETS_PER_CALL} tickets."
            return Failure(_bad_request("invalid_field", message, "$.count"))
        if board.phase is not Phase.READY:
            # The process is about to stop, so new tickets would only lead to unknown outcomes.
            message = "The instance is draining."
            return Failure(Rejection(503, "draining", message, "$", NOT_READY_RETRY_AFTER_MS))
        _, caller = authenticated.unwrap()
        issued = tickets.issue_for(caller, count)
        if not issued:
            message = "The instance keeps too many tickets."
            return Failure(Rejection(429, "too_many_tickets", message, "$", 1_000))
        lifetime_ms = tunables.ticket_lifetime_ms
        return Success(TicketAnswer(tickets=issued, expires_in_ms=lifetime_ms))

    def run_housekeeping() -> None:
        now = now_ms()
        board.demand = {name: current_demand(c, now) for name, c in state.callers.items()}
        tickets.drop_expired()

    def diagnostics() -> dict[str, Any]:
        return {
            "in_flight": running_count,
            "admission": admission_diagnostics(state),
            "tickets": tickets.diagnostics(),
        }

    return RequestController(
        handle_query,
        handle_tickets,
        tickets,
        lambda: running_count,
        run_housekeeping,
        diagnostics,
    )
