"""Tests of tickets."""

from wisteriarock.tickets.decide import drop_old, issue, parse, settle, use
from wisteriarock.tickets.models import TicketBook, UseDecision

from tests.common import function_suite


def _book(incarnation: str = "run-1") -> TicketBook:
    return TicketBook("e1", incarnation, b"secret-" + incarnation.encode())


def test_a_ticket_runs_once_and_gives_its_answer_again() -> None:
    """Guards against a resend that runs a request that is not repeatable a second time."""
    book = _book()
    (ticket,) = issue(book, "desk", 1, 1_000, 10, 0)
    assert parse(ticket) == ("e1", "run-1", 1)
    assert use(book, ticket, "desk", "f", 10).decision is UseDecision.RUN
    assert use(book, ticket, "desk", "f", 11).decision is UseDecision.WAIT
    settle(book, 1, "answer")
    # Also after the expiry: the first use was in time.
    assert use(book, ticket, "desk", "f", 5_000).decision is UseDecision.REPLAY
    assert use(book, ticket, "desk", "other", 20).code == "ticket_reused"


def test_another_process_never_runs_a_ticket() -> None:
    """Guards against a restarted process that takes over tickets of its former run."""
    (ticket,) = issue(_book(), "desk", 1, 1_000, 10, 0)
    assert use(_book("run-2"), ticket, "desk", "f", 0).decision is UseDecision.REFUSE


def test_altered_and_foreign_tickets_are_refused() -> None:
    """Guards against a forged ticket and against one used by another caller."""
    book = _book()
    (ticket,) = issue(book, "desk", 1, 1_000, 10, 0)
    payload, _, digest = ticket.partition(".")
    for forged in ("", ".", "a.b", f"{payload}.{'0' * 32}", f"{payload}x.{digest}", "é" * 40):
        assert use(book, forged, "desk", "f", 0).decision is UseDecision.REFUSE, forged
    assert use(book, ticket, "other", "f", 0).decision is UseDecision.REFUSE


def test_an_expired_ticket_is_refused_and_a_forgotten_one_is_unknown() -> None:
    """Guards against "not run" for a ticket of which no record is left."""
    book = _book()
    ran, unused = issue(book, "desk", 2, 1_000, 10, 0)
    assert use(book, ran, "desk", "f", 0).decision is UseDecision.RUN
    assert use(book, unused, "desk", "f", 1_000).code == "ticket_expired"
    # A running ticket is kept however long it runs.
    assert drop_old(book, 500, 10_000) == 1
    settle(book, 1, "answer")
    assert drop_old(book, 500, 10_000) == 1
    assert use(book, ran, "desk", "f", 10_000).decision is UseDecision.UNKNOWN
    assert use(book, unused, "desk", "f", 10_000).decision is UseDecision.UNKNOWN


def test_the_number_of_records_is_bounded() -> None:
    """Guards against callers that fill the memory with unused tickets."""
    book = _book()
    assert len(issue(book, "desk", 8, 1_000, 10, 0)) == 8
    assert len(issue(book, "desk", 8, 1_000, 10, 0)) == 2
    assert issue(book, "desk", 8, 1_000, 10, 0) == []


load_tests = function_suite(globals())
