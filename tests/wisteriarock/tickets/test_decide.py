"""Tests of issuing and using tickets."""

import itertools

from wisteriarock.tickets.decide import (
    adopt_book,
    drop_expired_records,
    extract_unused_tickets,
    issue_tickets,
    parse_ticket,
    record_answer,
    use_ticket,
)
from wisteriarock.tickets.models import TicketBook, UseDecision

from tests.common import function_suite


def _book(incarnation: str = "run-1") -> TicketBook:
    return TicketBook("e1", incarnation)


def _issue(book: TicketBook, count: int = 1) -> list[str]:
    nonces = (f"nonce-{number}" for number in itertools.count())
    return issue_tickets(book, "desk", count, 1_000, 10, lambda: next(nonces), 0)


def test_a_ticket_runs_once_and_replays_its_answer() -> None:
    """Guards against running a request that is not repeatable again when it is resent."""
    book = _book()
    (ticket,) = _issue(book)
    assert parse_ticket(ticket) == ("e1", "run-1", 1)
    assert use_ticket(book, ticket, "desk", "f", 10).decision is UseDecision.RUN
    assert use_ticket(book, ticket, "desk", "f", 11).decision is UseDecision.WAIT
    record_answer(book, 1, "answer")
    # A replay is also allowed after the expiry, because the first use was in time.
    assert use_ticket(book, ticket, "desk", "f", 5_000).decision is UseDecision.REPLAY
    assert use_ticket(book, ticket, "desk", "other", 20).code == "ticket_reused"


def test_another_process_never_runs_a_ticket() -> None:
    """Guards against a restarted process that accepts tickets of its previous incarnation."""
    (ticket,) = _issue(_book())
    assert use_ticket(_book("run-2"), ticket, "desk", "f", 0).decision is UseDecision.REFUSE


def test_altered_and_foreign_tickets_are_refused() -> None:
    """Guards against accepting a forged ticket or one that was issued to another caller."""
    book = _book()
    (ticket,) = _issue(book)
    payload, _, nonce = ticket.partition(".")
    for forged in ("", ".", "a.b", f"{payload}.{'0' * 32}", f"{payload}x.{nonce}", "é" * 40):
        assert use_ticket(book, forged, "desk", "f", 0).decision is UseDecision.REFUSE, forged
    assert use_ticket(book, ticket, "other", "f", 0).decision is UseDecision.REFUSE


def test_an_expired_ticket_is_refused_and_a_dropped_one_is_unknown() -> None:
    """Guards against "not run" for a ticket whose record has been dropped."""
    book = _book()
    ran, unused = _issue(book, 2)
    assert use_ticket(book, ran, "desk", "f", 0).decision is UseDecision.RUN
    assert use_ticket(book, unused, "desk", "f", 1_000).code == "ticket_expired"
    # The record of a running ticket is never dropped.
    assert drop_expired_records(book, 500, 10_000) == 1
    record_answer(book, 1, "answer")
    assert drop_expired_records(book, 500, 10_000) == 1
    assert use_ticket(book, ran, "desk", "f", 10_000).decision is UseDecision.UNKNOWN
    assert use_ticket(book, unused, "desk", "f", 10_000).decision is UseDecision.UNKNOWN


def test_a_refused_request_does_not_run_later() -> None:
    """Guards against "not run" for one copy of a request while another copy is in transit."""
    book = _book()
    unused, running = _issue(book, 2)
    refused = use_ticket(book, unused, "desk", "f", 0, may_run=False)
    assert (refused.decision, refused.code) == (UseDecision.REFUSE, "ticket_void")
    assert use_ticket(book, unused, "desk", "f", 1).decision is UseDecision.REFUSE
    assert use_ticket(book, running, "desk", "f", 0).decision is UseDecision.RUN
    assert use_ticket(book, running, "desk", "f", 1, may_run=False).decision is UseDecision.WAIT


def test_only_the_successor_runs_handed_over_tickets() -> None:
    """Guards against two owners of a ticket, and against running a used ticket again."""
    book = _book()
    used, unused, expired = _issue(book, 3)
    assert use_ticket(book, used, "desk", "f", 0).decision is UseDecision.RUN
    book.records[3].expires_at_ms = 5
    successor = adopt_book(extract_unused_tickets(book, 10), 500)
    assert use_ticket(book, unused, "desk", "f", 10).decision is UseDecision.UNKNOWN
    assert use_ticket(successor, used, "desk", "f", 500).decision is UseDecision.UNKNOWN
    assert use_ticket(successor, expired, "desk", "f", 500).decision is UseDecision.UNKNOWN
    assert use_ticket(successor, unused, "other", "f", 500).decision is UseDecision.REFUSE
    assert use_ticket(successor, unused, "desk", "f", 1_489).decision is UseDecision.RUN
    assert extract_unused_tickets(book, 10)["tickets"] == []


def test_the_number_of_records_is_bounded() -> None:
    """Guards against callers that exhaust the memory with unused tickets."""
    book = _book()
    assert len(_issue(book, 8)) == 8
    assert len(_issue(book, 8)) == 2
    assert _issue(book, 8) == []


load_tests = function_suite(globals())
