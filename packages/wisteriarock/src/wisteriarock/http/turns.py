"""Turns of connections whose input costs the process time and brings callers nothing."""

import asyncio
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

    Other connections are served in between, so that their wait does not grow with this queue. Turns
    alternate between callers that send ahead and those that read their answers first, so that the
    wait of the latter does not grow with the number of the former.

    Attributes
    ----------
    per_iteration : int
        Number of turns in one iteration of the event loop.
    """

    __slots__ = (
        "_pipelined",
        "_is_pipelined_next",
        "_is_scheduled",
        "_loop",
        "_sequential",
        "per_iteration",
    )

    def __init__(
        self, loop: asyncio.AbstractEventLoop, per_iteration: int = TURNS_PER_ITERATION
    ) -> None:
        self.per_iteration = per_iteration
        self._loop = loop
        self._pipelined: dict[TurnTaker, None] = {}
        self._sequential: dict[TurnTaker, None] = {}
        self._is_pipelined_next = False
        self._is_scheduled = False

    def __contains__(self, connection: object) -> bool:
        """Return whether a connection waits for its turn."""
        return connection in self._pipelined or connection in self._sequential

    def add(self, connection: TurnTaker, *, is_ahead: bool = True) -> None:
        """Let a connection wait for its turn; one that waits already keeps its place.

        `is_ahead` is false for a caller that has read the answer to its last request.
        """
        if connection not in self:
            waiting = self._pipelined if is_ahead else self._sequential
            waiting[connection] = None
        self._schedule()

    def discard(self, connection: TurnTaker) -> None:
        """Remove a connection."""
        self._pipelined.pop(connection, None)
        self._sequential.pop(connection, None)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _take_next(self) -> TurnTaker:
        """Remove the connection whose turn is next."""
        first, second = self._sequential, self._pipelined
        if self._is_pipelined_next:
            first, second = second, first
        self._is_pipelined_next = not self._is_pipelined_next
        waiting = first or second
        connection = next(iter(waiting))
        del waiting[connection]
        return connection

    def _run(self) -> None:
        self._is_scheduled = False
        waiting_count = len(self._pipelined) + len(self._sequential)
        due = [self._take_next() for _ in range(min(self.per_iteration, waiting_count))]
        if waiting_count > len(due):
            self._schedule()
        for connection in due:
            try:
                connection.take_turn()
            except Exception as error:
                # As the event loop does with an exception of `data_received`.
                context = {"message": "turn of a connection failed", "exception": error}
                self._loop.call_exception_handler(context)
                connection.abort()
