"""The tickets' part of the state dump."""

from collections import Counter
from typing import Any

from .models import TicketBook


def ticket_diagnostics(book: TicketBook) -> dict[str, Any]:
    """Return how many tickets there are in each state; the secret is left out."""
    states = Counter(record.state.value for record in book.records.values())
    return {"issued": book.next_serial - 1, "kept": dict(states)}
