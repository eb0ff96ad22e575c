"""State of a listener, and the limits on the connections to it."""

import asyncio
from collections.abc import Callable
from enum import StrEnum
from typing import TYPE_CHECKING

from wisteriarock.catalog.models import Limits

from .buffers import BufferBudget
from .const import CLOSED_SHARE
from .models import Answer, CallerRequest
from .turns import TurnQueue

if TYPE_CHECKING:
    from .front import CallerConnection

Respond = Callable[[Answer], None]
# Starts to handle a request and returns the function that cancels it.
RequestHandler = Callable[[CallerRequest, Respond], Callable[[], None]]


class CallerLimit(StrEnum):
    """A limit on what callers make a process hold."""

    CONNECTIONS = "connections"
    MEMORY = "memory"
    REQUESTS = "requests"
    UNREAD_ANSWER = "unread_answer"


class ListenerState:
    """State shared by the connections of a listener.

    Attributes
    ----------
    closes_connections : bool
        Whether every answer closes its connection.
    on_bad_request : callable
        Called with the status and reason of a rejected request.
    on_limit : callable
        Called with the limit at which a connection or request was closed or refused.
    buffers : BufferBudget or None
        Bound on the memory of messages and requests, shared with other listeners and pools.
    max_connections : int or None
        Number of connections above which the least useful ones are closed; None for no limit.
    reads_round_trips : bool
        Whether each request states the round trip of its connection.
    takes_turns : bool
        Whether each request waits for its turn, not only those of refused connections.
    turns : TurnQueue
        Connections that wait for their turn.
    """

    __slots__ = (
        "buffers",
        "closes_connections",
        "connections",
        "handle",
        "limits",
        "loop",
        "max_connections",
        "on_bad_request",
        "on_limit",
        "reads_round_trips",
        "takes_turns",
        "turns",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handle: RequestHandler,
        on_bad_request: Callable[[int, str], None],
        buffers: BufferBudget | None = None,
        max_connections: int | None = None,
        on_limit: Callable[[CallerLimit], None] = lambda limit: None,
    ) -> None:
        self.loop = loop
        self.handle = handle
        self.on_bad_request = on_bad_request
        self.on_limit = on_limit
        self.buffers = buffers
        self.max_connections = max_connections
        self.limits = Limits()
        self.closes_connections = False
        self.reads_round_trips = False
        self.takes_turns = False
        self.turns = TurnQueue(loop)
        self.connections: set[CallerConnection] = set()

    def close_least_useful(self) -> None:
        """Close some connections above the limit: idle ones first, and none with a request."""
        if self.max_connections is None or len(self.connections) <= self.max_connections:
            return
        useless = [each for each in self.connections if each.cancel_request is None]
        useless.sort(key=lambda each: each.usefulness())
        for connection in useless[: max(1, int(self.max_connections * CLOSED_SHARE))]:
            self.on_limit(CallerLimit.CONNECTIONS)
            self.connections.discard(connection)
            connection.abort()
