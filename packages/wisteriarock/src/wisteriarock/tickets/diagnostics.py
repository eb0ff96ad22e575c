"""Ticket section of the state dump."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from .models import TicketBook


def ticket_diagnostics(books: Iterable[TicketBook]) -> list[dict[str, Any]]:
    """Return the number of tickets per book and state, without the tickets themselves."""
    return [
        {
            "instance": book.instance,
            "incarnation": book.incarnation,
            "issued": book.next_serial - 1,
            "kept": dict(Counter(record.state.value for record in book.records.values())),
        }
        for book in books
    ]
