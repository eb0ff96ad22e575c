"""Run requests with tickets locally or on the owner of the ticket book, and hand over books."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec
from returns.result import Result, Success

from wisteriarock.admission.decide import check_stop
from wisteriarock.admission.models import Rejection
from wisteriarock.blackboard.models import Blackboard
from wisteriarock.bundle.models import ActiveBundle
from wisteriarock.codec.decode import decode
from wisteriarock.membership.decide import live_members, rank_instances
from wisteriarock.membership.models import Member, Phase
from wisteriarock.observability.logs import log_event
from wisteriarock.query.models import Outcome, QueryAnswer, QueryBody
from wisteriarock.requests.answers import fingerprint, http_status, rejected_answer, unknown_answer
from wisteriarock.requests.models import ForwardedQuery, Reply

from .decide import (
    adopt_book,
    drop_expired_records,
    extract_unused_tickets,
    issue_tickets,
    parse_ticket,
    record_answer,
    use_ticket,
)
from .diagnostics import ticket_diagnostics
from .models import HandoverBody, TicketBook, TicketClaims, UseDecision

MAX_ANSWER_BYTES = 16_000_000
# Added to the request deadline: the owner answers by the deadline, and its reply needs time to
# arrive.
FORWARD_MARGIN_MS = 250.0
QUERY_PATH = "/peer/v1/query"
HANDOVER_PATH = "/peer/v1/tickets"
NONCE_BYTES = 16
EVENT_HANDOVER = "tickets_handed_over"
EVENT_ADOPTED = "tickets_adopted"

RunRequest = Callable[[str, QueryBody, ActiveBundle], Awaitable[QueryAnswer]]
Post = Callable[[str, str, bytes, float], Awaitable[Result[bytes, Any]]]


class TicketsController(NamedTuple):
    """Closures of the tickets controller.

    Attributes
    ----------
    issue_for : callable
        Takes the caller's name and a count; issues tickets to the caller.
    run_with_ticket : callable
        Takes the caller, the body, the bundle and whether the request may run; returns its reply.
    reject_with_ticket : callable
        Takes the caller, the body, the bundle and the reason not to run the request; returns its
        reply.
    on_forwarded : callable
        Handles a request that a peer forwards.
    hand_over : callable
        Hands over the unused tickets to a peer during a graceful stop.
    on_handover : callable
        Accepts the books of a stopping peer; returns False unless this instance is ready.
    drop_expired : callable
        Drops the records of tickets that expired more than the retention time ago.
    diagnostics : callable
        Returns the section of the state dump.
    """

    issue_for: Callable[[str, int], list[str]]
    run_with_ticket: Callable[[str, QueryBody, ActiveBundle, bool], Awaitable[Reply]]
    reject_with_ticket: Callable[[str, QueryBody, ActiveBundle, Rejection], Awaitable[Reply]]
    on_forwarded: Callable[[ForwardedQuery], Awaitable[QueryAnswer]]
    hand_over: Callable[[], Awaitable[None]]
    on_handover: Callable[[HandoverBody], bool]
    drop_expired: Callable[[], None]
    diagnostics: Callable[[], list[dict[str, Any]]]


def rank_successors(members: dict[str, Member], own_zone: str, own_instance: str) -> list[str]:
    """Return the instances that may receive the ticket books, those in the local zone first."""
    ready = {name: m.zone for name, m in members.items() if m.phase is Phase.READY}
    order = rank_instances(own_instance, ready)
    return sorted(order, key=lambda name: ready[name] != own_zone)


def create_tickets_controller(
    board: Blackboard, run_request: RunRequest, post: Post, now_ms: Callable[[], float]
) -> TicketsController:
    """Return the tickets controller of this process."""
    tunables = board.settings.tunables
    own_book = TicketBook(board.settings.instance, board.incarnation)
    books = {(own_book.instance, own_book.incarnation): own_book}
    tasks: dict[tuple[str, str, int], asyncio.Task[QueryAnswer]] = {}
    handover_done: asyncio.Event | None = None

    def issue_for(caller: str, count: int) -> list[str]:
        lifetime_ms, max_tickets = tunables.ticket_lifetime_ms, int(tunables.max_tickets)
        return issue_tickets(
            own_book,
            caller,
            count,
            lifetime_ms,
            max_tickets,
            lambda: secrets.token_hex(NONCE_BYTES),
            now_ms(),
        )

    async def run_and_record(
        book: TicketBook, serial: int, caller: str, body: QueryBody, bundle: ActiveBundle
    ) -> QueryAnswer:
        answer = await run_request(caller, body, bundle)
        record_answer(book, serial, answer)
        tasks.pop((book.instance, book.incarnation, serial), None)
        return answer

    async def run_locally(
        book: TicketBook, caller: str, body: QueryBody, bundle: ActiveBundle, may_run: bool
    ) -> Reply:
        """Run a request with a ticket of a local book, or return the answer of its only run."""
        ticket_use = use_ticket(book, body["ticket"], caller, fingerprint(body), now_ms(), may_run)
        if ticket_use.decision is UseDecision.REFUSE:
            rejection = Rejection(400, ticket_use.code, ticket_use.message, "$.ticket")
            return Reply(400, rejected_answer(body["request_id"], rejection, bundle.revision))
        if ticket_use.decision is UseDecision.UNKNOWN:
            return Reply(
                200, unknown_answer(body, ticket_use.code, ticket_use.message, bundle.revision)
            )
        if ticket_use.decision is UseDecision.REPLAY:
            answer = book.records[ticket_use.serial].answer
        else:
            key = (book.instance, book.incarnation, ticket_use.serial)
            if ticket_use.decision is UseDecision.RUN:
                work = run_and_record(book, ticket_use.serial, caller, body, bundle)
                tasks[key] = asyncio.create_task(work)
            # A disconnecting caller must not cancel the run, because its resend needs the answer.
            answer = await asyncio.shield(tasks[key])
        answer = answer.copy()
        answer["request_id"] = body["request_id"]
        return Reply(http_status(answer), answer)

    def owner_of(claims: TicketClaims) -> str | None:
        """Return the instance that owns the book of a ticket, or None if it is gone."""
        successor = board.ticket_successors.get(claims[:2])
        if successor is not None:
            return successor
        member = board.members.get(claims.instance)
        return claims.instance if member and member.incarnation == claims.incarnation else None

    async def forward(
        claims: TicketClaims, caller: str, body: QueryBody, bundle: ActiveBundle, may_run: bool
    ) -> Reply:
        """Forward a request to the owner of its ticket's book.

        Without an answer the outcome is unknown: the owner may have run this or an earlier copy.
        """
        owner = owner_of(claims)
        if owner is None or owner == own_book.instance:
            message = "The instance that issued the ticket is gone."
            return Reply(200, unknown_answer(body, "issuer_gone", message, bundle.revision))
        forwarded = ForwardedQuery(caller=caller, query=body, may_run=may_run)
        payload = msgspec.json.encode(forwarded)
        limit_ms = body["deadline_ms"] + FORWARD_MARGIN_MS
        result = await post(owner, QUERY_PATH, payload, limit_ms)
        if isinstance(result, Success):
            decoded = decode(result.unwrap(), QueryAnswer, MAX_ANSWER_BYTES)
            if isinstance(decoded, Success):
                answer = decoded.unwrap()
                refused = answer["error"] is not None and answer["error"]["path"] == "$.ticket"
                return Reply(400 if refused else http_status(answer), answer)
        message = "The instance that keeps the ticket did not answer."
        return Reply(200, unknown_answer(body, "issuer_silent", message, bundle.revision))

    async def run_with_ticket(
        caller: str, body: QueryBody, bundle: ActiveBundle, may_run: bool
    ) -> Reply:
        claims = parse_ticket(body["ticket"])
        if claims is None:
            rejection = Rejection(400, "invalid_ticket", "The ticket is not valid.", "$.ticket")
            return Reply(400, rejected_answer(body["request_id"], rejection, bundle.revision))
        if handover_done is not None:
            await handover_done.wait()
        book = books.get(claims[:2])
        if book is not None and (handover_done is None or claims.serial in book.records):
            return await run_locally(book, caller, body, bundle, may_run)
        return await forward(claims, caller, body, bundle, may_run)

    async def reject_with_ticket(
        caller: str, body: QueryBody, bundle: ActiveBundle, rejection: Rejection
    ) -> Reply:
        """Reject a request, unless another copy of it runs or has run."""
        reply = await run_with_ticket(caller, body, bundle, False)
        if reply.answer["outcome"] != Outcome.NOT_RUN:
            return reply
        answer = rejected_answer(body["request_id"], rejection, bundle.revision)
        return Reply(rejection.status, answer)

    async def on_forwarded(forwarded: ForwardedQuery) -> QueryAnswer:
        body, caller = forwarded["query"], forwarded["caller"]
        bundle = board.bundle
        if bundle is None or caller not in bundle.content["callers"]:
            message = "The issuer does not know the caller."
            return unknown_answer(body, "unknown_caller", message, 0)
        if rejection := check_stop(body["deadline_ms"], board.stops_at_ms, now_ms()):
            return (await reject_with_ticket(caller, body, bundle, rejection)).answer
        return (await run_with_ticket(caller, body, bundle, forwarded["may_run"])).answer

    async def hand_over_books() -> None:
        """Hand over the unused tickets to one peer.

        After a lost reply no other peer is tried, because the first may have adopted the books.
        """
        nonlocal handover_done
        handover_done = asyncio.Event()
        now = now_ms()
        handed_over = [extract_unused_tickets(book, now) for book in books.values()]
        body = msgspec.json.encode(HandoverBody(books=handed_over))
        live = live_members(board.members, now, tunables.suspect_after_ms)
        for peer in rank_successors(live, board.settings.zone, own_book.instance):
            result = await post(peer, HANDOVER_PATH, body, tunables.peer_timeout_ms)
            if not isinstance(result, Success) and str(result.failure()) in ("refused", "not_sent"):
                continue
            board.ticket_successor = peer
            board.ticket_successors.update(dict.fromkeys(books, peer))
            break
        log_event(
            EVENT_HANDOVER,
            successor=board.ticket_successor or "none",
            tickets=sum(len(book["tickets"]) for book in handed_over),
        )
        handover_done.set()

    def on_handover(body: HandoverBody) -> bool:
        if board.phase is not Phase.READY:
            return False
        for book in body["books"]:
            books[(book["instance"], book["incarnation"])] = adopt_book(book, now_ms())
            log_event(EVENT_ADOPTED, issuer=book["instance"], tickets=len(book["tickets"]))
        return True

    def drop_expired() -> None:
        now = now_ms()
        for key, book in list(books.items()):
            drop_expired_records(book, tunables.ticket_retention_ms, now)
            if book is not own_book and not book.records:
                del books[key]

    return TicketsController(
        issue_for,
        run_with_ticket,
        reject_with_ticket,
        on_forwarded,
        hand_over_books,
        on_handover,
        drop_expired,
        lambda: ticket_diagnostics(books.values()),
    )
