"""Prefetched tickets for requests that are not repeatable."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypedDict

import msgspec

from .balancer import Balancer, base_url, next_candidates
from .client import Connections, post_json
from .models import SendError

_BATCH_SIZE = 20
_LOW_WATER_MARK = 60
_FETCH_TIMEOUT_S = 2.0
_FETCH_INTERVAL_S = 0.1
# A ticket that expires sooner than this is not used; requests with tickets take less time.
_EXPIRY_MARGIN_S = 10.0


class _TicketAnswer(TypedDict):
    tickets: list[str]
    expires_in_ms: float


@dataclass
class TicketPool:
    """Tickets of one caller, each with the monotonic time in seconds at which it expires."""

    credential: str
    tickets: deque[tuple[str, float]] = field(default_factory=deque)


def take_ticket(pool: TicketPool, now_s: float) -> str | None:
    """Return a ticket that does not expire soon, or None."""
    while pool.tickets:
        ticket, expires_at_s = pool.tickets.popleft()
        if expires_at_s - now_s > _EXPIRY_MARGIN_S:
            return ticket
    return None


async def fetch_tickets(pool: TicketPool, balancer: Balancer, connections: Connections) -> bool:
    """Fetch a batch from the first ready instance that answers; return whether one did."""
    for entry in next_candidates(balancer):
        body = msgspec.json.encode({"count": _BATCH_SIZE})
        response = await post_json(
            connections, base_url(entry), "/v1/tickets", pool.credential, body, _FETCH_TIMEOUT_S
        )
        if isinstance(response, SendError) or response[0] != 200:
            continue
        try:
            answer = msgspec.json.decode(response[1], type=_TicketAnswer)
        except msgspec.DecodeError:
            continue
        expires_at_s = time.monotonic() + answer["expires_in_ms"] / 1000
        pool.tickets.extend((ticket, expires_at_s) for ticket in answer["tickets"])
        return True
    return False


async def keep_filled(
    pool: TicketPool,
    balancer: Balancer,
    connections: Connections,
    on_first_filled: Callable[[], None],
) -> None:
    """Keep the pool above its low-water mark until cancelled.

    `on_first_filled` is called once, when the pool first reaches the mark or a fetch first fails.
    """
    notified = False
    while True:
        fetched = len(pool.tickets) < _LOW_WATER_MARK and await fetch_tickets(
            pool, balancer, connections
        )
        if not fetched:
            if not notified:
                on_first_filled()
                notified = True
            await asyncio.sleep(_FETCH_INTERVAL_S)
