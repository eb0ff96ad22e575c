"""Turns of connections whose input costs the process time and brings callers nothing."""

import asyncio
from itertools import islice
from typing import Protocol

from .const import TURNS_PER_ITERATION


class TurnTaker(Protocol):
    """A connection that handles one request, or a piece of one, in its turn."""

    def take_turn(self) -> None:
        """Handle the next input; add the connection again if there is more."""

    def abort(self) -> None:
        """Close the connection after a turn that raised."""


class TurnQueue:
    """Connections that wait for their turn, a bounded number in each iteration of the event loop.

    Other connections are served in between, so that their wait does not grow with this queue.

    Attributes
    ----------
    per_iteration : int
        Number of turns in one iteration of the event loop.
    """

    __slots__ = ("_is_scheduled", "_loop", "_waiting", "per_iteration")

    def __init__(
        self, loop: asyncio.AbstractEventLoop, per_iteration: int = TURNS_PER_ITERATION
    ) -> None:
        self.per_iteration = per_iteration
        self._loop = loop
        self._waiting: dict[TurnTaker, None] = {}
        self._is_scheduled = False

    def add(self, connection: TurnTaker) -> None:
        """Let a connection wait for its turn; one that waits already keeps its place."""
        self._waiting[connection] = None
        self._schedule()

    def discard(self, connection: TurnTaker) -> None:
        """Remove a connection."""
        self._waiting.pop(connection, None)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        due = list(islice(self._waiting, self.per_iteration))
        if len(self._waiting) > len(due):
            self._schedule()
        for connection in due:
            del self._waiting[connection]
        for connection in due:
            try:
                connection.take_turn()
            except Exception as error:
                # As the event loop does with an exception of `data_received`.
                context = {"message": "turn of a connection failed", "exception": error}
                self._loop.call_exception_handler(context)
                connection.abort()
