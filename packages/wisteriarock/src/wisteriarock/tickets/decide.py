"""Issue tickets and decide what a request that carries one may do.

A ticket names the process that issued it. Only that process runs the request, and only once. No
other process can, so neither a balancer that resends nor a process that wakes late runs it twice.
"""

import base64
import binascii
import hashlib
import hmac
import json

from .models import TicketBook, TicketClaims, TicketRecord, TicketState, Use, UseDecision

MAX_TICKET_CHARS = 512
_DIGEST_CHARS = 32


def _digest(book: TicketBook, payload: str, caller: str) -> str:
    text = f"{payload}\x00{caller}".encode()
    return hmac.new(book.secret, text, hashlib.sha256).hexdigest()[:_DIGEST_CHARS]


def issue(
    book: TicketBook,
    caller: str,
    count: int,
    lifetime_ms: float,
    max_tickets: int,
    now_ms: float,
) -> list[str]:
    """Issue tickets to a caller.

    Parameters
    ----------
    book : TicketBook
        The tickets of this process; updated.
    caller : str
        The only caller that may use them.
    count : int
        How many are wanted.
    lifetime_ms : float
        How long they may be used.
    max_tickets : int
        Most records that the process keeps.
    now_ms : float
        Monotonic time in milliseconds.

    Returns
    -------
    list of str
        Fewer than `count`, maybe none, when the process keeps too many records.
    """
    tickets = []
    for _ in range(min(count, max_tickets - len(book.records))):
        serial = book.next_serial
        book.next_serial += 1
        book.records[serial] = TicketRecord(caller, now_ms + lifetime_ms)
        fields = json.dumps([book.instance, book.incarnation, serial], separators=(",", ":"))
        payload = base64.urlsafe_b64encode(fields.encode()).decode().rstrip("=")
        tickets.append(f"{payload}.{_digest(book, payload, caller)}")
    return tickets


def parse(ticket: str) -> TicketClaims | None:
    """Return what a ticket says, or None when it has not the form of one."""
    payload, _, digest = ticket.partition(".")
    if len(ticket) > MAX_TICKET_CHARS or len(digest) != _DIGEST_CHARS:
        return None
    try:
        padded = payload + "=" * (-len(payload) % 4)
        fields = json.loads(base64.urlsafe_b64decode(padded.encode()))
    except (ValueError, binascii.Error, RecursionError):
        return None
    if not isinstance(fields, list) or [type(f) for f in fields] != [str, str, int]:
        return None
    return TicketClaims(*fields)


def _matches(book: TicketBook, ticket: str, claims: TicketClaims, caller: str) -> bool:
    payload, _, digest = ticket.partition(".")
    if not hmac.compare_digest(digest.encode(), _digest(book, payload, caller).encode()):
        return False
    return claims.instance == book.instance and claims.incarnation == book.incarnation


def use(book: TicketBook, ticket: str, caller: str, fingerprint: str, now_ms: float) -> Use:
    """Decide what a request that carries a ticket of this process may do.

    Parameters
    ----------
    book : TicketBook
        The tickets of this process; a ticket that may run is marked as running.
    ticket : str
        The ticket.
    caller : str
        The caller of the request.
    fingerprint : str
        Digest of the request; a ticket is good for one request only.
    now_ms : float
        Monotonic time in milliseconds.

    Returns
    -------
    Use
        `RUN` at most once for each ticket. `WAIT` and `REPLAY` give the answer of the first use.
        `REFUSE` is given only when this request has not run under this ticket.
    """
    claims = parse(ticket)
    if claims is None or not _matches(book, ticket, claims, caller):
        return Use(UseDecision.REFUSE, 0, "invalid_ticket", "The ticket is not valid.")
    record = book.records.get(claims.serial)
    if record is None:
        message = "The ticket's record has been dropped; the request may have run."
        return Use(UseDecision.UNKNOWN, claims.serial, "ticket_forgotten", message)
    if record.state is TicketState.ISSUED:
        if now_ms >= record.expires_at_ms:
            return Use(UseDecision.REFUSE, claims.serial, "ticket_expired", "The ticket expired.")
        record.state = TicketState.RUNNING
        record.fingerprint = fingerprint
        return Use(UseDecision.RUN, claims.serial)
    if record.fingerprint != fingerprint:
        message = "The ticket was used for another request."
        return Use(UseDecision.REFUSE, claims.serial, "ticket_reused", message)
    decision = UseDecision.WAIT if record.state is TicketState.RUNNING else UseDecision.REPLAY
    return Use(decision, claims.serial)


def settle(book: TicketBook, serial: int, answer: object) -> None:
    """Record the answer of a ticket's one run."""
    record = book.records[serial]
    record.state = TicketState.DONE
    record.answer = answer


def drop_old(book: TicketBook, retention_ms: float, now_ms: float) -> int:
    """Drop records whose ticket expired more than `retention_ms` ago and return how many."""
    old = [
        serial
        for serial, record in book.records.items()
        if record.state is not TicketState.RUNNING and now_ms >= record.expires_at_ms + retention_ms
    ]
    for serial in old:
        del book.records[serial]
    return len(old)
