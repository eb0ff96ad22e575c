"""Take a caller's request from its bytes to its answer."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

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
from wisteriarock.tickets.controller import Post, TicketsController, create_tickets

from .answers import NOT_READY_RETRY_AFTER_MS, rejected_answer, status_of, unknown_answer
from .models import Reply, TicketAnswer, TicketBody

MAX_TICKETS_PER_CALL = 100
NOT_READY_STATUS = 503

RunQuery = Callable[[QueryRequest, ActiveBundle], Awaitable[QueryAnswer]]


class RequestController(NamedTuple):
    """Closures of the request controller.

    Attributes
    ----------
    handle_query : callable
        Body and `Authorization` header to status and answer.
    handle_tickets : callable
        Body and `Authorization` header to tickets or a rejection.
    tickets : TicketsController
        What peers' requests with tickets go to.
    in_flight : callable
        Number of requests that run here.
    publish_demand : callable
        Writes the callers' demand to the blackboard and drops old tickets.
    diagnostics : callable
        Returns the dump part.
    """

    handle_query: Callable[[bytes, str], Awaitable[Reply]]
    handle_tickets: Callable[[bytes, str], Result[TicketAnswer, Rejection]]
    tickets: TicketsController
    in_flight: Callable[[], int]
    publish_demand: Callable[[], None]
    diagnostics: Callable[[], dict[str, Any]]


def _refused(code: str, message: str, path: str = "$") -> Rejection:
    return Rejection(400, code, message, path)


def _ticketed(raw: bytes) -> QueryBody | None:
    """Return the body of a request that carries a ticket, else None."""
    decoded = decode(raw, QueryBody, MAX_CALLER_BODY_BYTES)
    if not isinstance(decoded, Success):
        return None
    body: QueryBody = decoded.unwrap()
    return body if body.get("ticket") else None


def create_requests(
    board: Blackboard,
    run_query: RunQuery,
    post: Post,
    metrics: Metrics,
    now_ms: Callable[[], float],
) -> RequestController:
    """Return the request controller of this process."""
    state = AdmissionState()
    tunables = board.settings.tunables
    running = 0

    def active_bundle() -> Result[ActiveBundle, Rejection]:
        if board.bundle is None or board.phase not in (Phase.READY, Phase.DRAINING):
            message = "The instance is not ready."
            retry_ms = NOT_READY_RETRY_AFTER_MS
            return Failure(Rejection(NOT_READY_STATUS, "not_ready", message, "$", retry_ms))
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

    tickets = create_tickets(board, run, post, now_ms)

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
            body = _ticketed(raw) if rejection.status == NOT_READY_STATUS else None
            if body is not None:
                # Another copy of the request may run, and this instance cannot ask its keeper.
                answer = unknown_answer(body, rejection.code, rejection.message, revision)
                return Reply(200, answer)
            return Reply(rejection.status, rejected_answer("", rejection, revision))
        bundle, caller = identified.unwrap()
        decoded = decode(raw, QueryBody, MAX_CALLER_BODY_BYTES)
        if not isinstance(decoded, Success):
            error = decoded.failure()
            status = 413 if error.code == "too_long" else 400
            rejection = Rejection(status, error.code, error.message, error.path)
            return Reply(status, rejected_answer("", rejection, revision))
        body = decoded.unwrap()
        # Only the keeper of a ticket can tell that no other copy of the request runs.
        has_ticket = not body["repeatable"] and bool(body.get("ticket"))
        admitted = admit(
            state,
            bundle,
            caller,
            body,
            InstanceLoad(running, tunables.max_queries, board.loop_lag_ms),
            others_per_s(caller),
            now_ms(),
        )
        if isinstance(admitted, Success):
            if has_ticket:
                return await tickets.run(caller, body, bundle, True)
            answer = await run(caller, body, bundle)
            return Reply(status_of(answer), answer)
        rejection = admitted.failure()
        if has_ticket:
            settled = await tickets.run(caller, body, bundle, False)
            if settled.answer["outcome"] != Outcome.NOT_RUN:
                return settled
        answer = rejected_answer(body["request_id"], rejection, bundle.revision)
        return Reply(rejection.status, answer)

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
        _, caller = identified.unwrap()
        issued = tickets.new_tickets(caller, count)
        if not issued:
            message = "The instance keeps too many tickets."
            return Failure(Rejection(429, "too_many_tickets", message, "$", 1_000))
        lifetime_ms = tunables.ticket_lifetime_ms
        return Success(TicketAnswer(tickets=issued, expires_in_ms=lifetime_ms))

    def publish_demand() -> None:
        now = now_ms()
        board.demand = {name: current_demand(c, now) for name, c in state.callers.items()}
        tickets.drop_old()

    def diagnostics() -> dict[str, Any]:
        return {
            "in_flight": running,
            "admission": admission_diagnostics(state),
            "tickets": tickets.diagnostics(),
        }

    return RequestController(
        handle_query,
        handle_tickets,
        tickets,
        lambda: running,
        publish_demand,
        diagnostics,
    )
