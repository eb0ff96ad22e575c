"""Issue tickets and decide how to handle a request with a ticket.

A ticket names the instance that issued it and the incarnation of its process. Exactly one process
owns the ticket book of that incarnation: the issuer or, after its graceful stop, the one peer that
received the unused tickets. Only the owner runs a request with a ticket, and only once, so neither
a load balancer that resends nor a process that resumes late runs it twice.
"""

import base64
import binascii
import hashlib
import hmac
import json
from collections.abc import Callable

from .models import (
    HandedOverBook,
    HandedOverTicket,
    TicketBook,
    TicketClaims,
    TicketRecord,
    TicketState,
    TicketUse,
    UseDecision,
)

MAX_TICKET_CHARS = 512


def _token_sha256(ticket: str) -> str:
    return hashlib.sha256(ticket.encode()).hexdigest()


def issue_tickets(
    book: TicketBook,
    caller: str,
    count: int,
    lifetime_ms: float,
    max_tickets: int,
    new_nonce: Callable[[], str],
    now_ms: float,
) -> list[str]:
    """Issue tickets to a caller.

    Parameters
    ----------
    book : TicketBook
        The tickets issued by this process; updated.
    caller : str
        The only caller that may use the tickets.
    count : int
        Number of tickets requested.
    lifetime_ms : float
        Time until the tickets expire.
    max_tickets : int
        Maximum number of records in the book.
    new_nonce : callable
        Returns an unguessable string.
    now_ms : float
        Monotonic time in milliseconds.

    Returns
    -------
    list of str
        Fewer than `count`, possibly none, if the book would exceed `max_tickets` records.
    """
    tickets = []
    for _ in range(min(count, max_tickets - len(book.records))):
        serial = book.next_serial
        book.next_serial += 1
        fields = json.dumps([book.instance, book.incarnation, serial], separators=(",", ":"))
        payload = base64.urlsafe_b64encode(fields.encode()).decode().rstrip("=")
        ticket = f"{payload}.{new_nonce()}"
        book.records[serial] = TicketRecord(caller, _token_sha256(ticket), now_ms + lifetime_ms)
        tickets.append(ticket)
    return tickets


def parse_ticket(ticket: str) -> TicketClaims | None:
    """Return the claims of a ticket, or None if it is malformed."""
    payload, _, nonce = ticket.partition(".")
    if len(ticket) > MAX_TICKET_CHARS or not nonce:
        return None
    try:
        padded = payload + "=" * (-len(payload) % 4)
        fields = json.loads(base64.urlsafe_b64decode(padded.encode()))
    except (ValueError, binascii.Error, RecursionError):
        return None
    if not isinstance(fields, list) or [type(f) for f in fields] != [str, str, int]:
        return None
    return TicketClaims(*fields)


def _refuse(serial: int, code: str, message: str) -> TicketUse:
    return TicketUse(UseDecision.REFUSE, serial, code, message)


def use_ticket(
    book: TicketBook,
    ticket: str,
    caller: str,
    fingerprint: str,
    now_ms: float,
    may_run: bool = True,
) -> TicketUse:
    """Decide how to handle a request with a ticket of this book.

    Parameters
    ----------
    book : TicketBook
        The book that the ticket names; the record is set to running if the decision is `RUN`.
    ticket : str
        The ticket.
    caller : str
        The caller of the request.
    fingerprint : str
        Digest of the request; a ticket is valid for one request only.
    now_ms : float
        Monotonic time in milliseconds.
    may_run : bool
        False if the request was rejected by admission. An unused ticket then becomes void, so that
        the answer "not run" stays true even if another copy of the request arrives later.

    Returns
    -------
    TicketUse
        `RUN` at most once per ticket. `WAIT` and `REPLAY` lead to the answer of the first use.
        `REFUSE` only if this request has not run and never will with this ticket.
    """
    claims = parse_ticket(ticket)
    if claims is None or claims.serial >= book.next_serial:
        return _refuse(0, "invalid_ticket", "The ticket is not valid.")
    record = book.records.get(claims.serial)
    if record is None:
        message = "The ticket's record has been dropped; the request may have run."
        return TicketUse(UseDecision.UNKNOWN, claims.serial, "ticket_forgotten", message)
    is_match = hmac.compare_digest(record.token_sha256, _token_sha256(ticket))
    if not is_match or record.caller != caller:
        return _refuse(claims.serial, "invalid_ticket", "The ticket is not valid.")
    if record.state is TicketState.VOID:
        return _refuse(claims.serial, "ticket_void", "The ticket was given up without a run.")
    if record.state is TicketState.ISSUED:
        if now_ms >= record.expires_at_ms:
            record.state = TicketState.VOID
            return _refuse(claims.serial, "ticket_expired", "The ticket expired.")
        if not may_run:
            record.state = TicketState.VOID
            return _refuse(claims.serial, "ticket_void", "The ticket is given up without a run.")
        record.state = TicketState.RUNNING
        record.fingerprint = fingerprint
        return TicketUse(UseDecision.RUN, claims.serial)
    if record.fingerprint != fingerprint:
        return _refuse(claims.serial, "ticket_reused", "The ticket was used for another request.")
    decision = UseDecision.WAIT if record.state is TicketState.RUNNING else UseDecision.REPLAY
    return TicketUse(decision, claims.serial)


def record_answer(book: TicketBook, serial: int, answer: object) -> None:
    """Store the answer of a ticket's only run."""
    record = book.records[serial]
    record.state = TicketState.DONE
    record.answer = answer


def drop_expired_records(book: TicketBook, retention_ms: float, now_ms: float) -> int:
    """Drop records expired for at least `retention_ms`, unless running; return their number."""
    expired = [
        serial
        for serial, record in book.records.items()
        if record.state is not TicketState.RUNNING and now_ms >= record.expires_at_ms + retention_ms
    ]
    for serial in expired:
        del book.records[serial]
    return len(expired)


def extract_unused_tickets(book: TicketBook, now_ms: float) -> HandedOverBook:
    """Remove the unused tickets and return them for a successor, so that only it can run them."""
    unused = {s: r for s, r in book.records.items() if r.state is TicketState.ISSUED}
    for serial in unused:
        del book.records[serial]
    return HandedOverBook(
        instance=book.instance,
        incarnation=book.incarnation,
        next_serial=book.next_serial,
        tickets=[
            HandedOverTicket(
                serial=serial,
                caller=record.caller,
                token_sha256=record.token_sha256,
                expires_in_ms=record.expires_at_ms - now_ms,
            )
            for serial, record in unused.items()
            if record.expires_at_ms > now_ms
        ],
    )


def adopt_book(book: HandedOverBook, now_ms: float) -> TicketBook:
    """Return the book of a stopped process; a ticket missing from it may have run there."""
    records = {
        ticket["serial"]: TicketRecord(
            ticket["caller"], ticket["token_sha256"], now_ms + ticket["expires_in_ms"]
        )
        for ticket in book["tickets"]
    }
    return TicketBook(book["instance"], book["incarnation"], book["next_serial"], records)
