"""Messages of HTTP as they are handed on."""

from collections.abc import Callable
from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]


class Reply(NamedTuple):
    """A complete response.

    Attributes
    ----------
    is_keep_alive : bool
        Whether the sender lets the connection be used again.
    """

    status: int
    headers: Headers
    body: bytes
    is_keep_alive: bool


class ExchangeFailure(NamedTuple):
    """An exchange that ended without a complete response.

    Attributes
    ----------
    was_sent : bool
        Whether any byte of the request was handed to the connection. If not, it has not run.
    """

    reason: str
    was_sent: bool


class Exchange:
    """One request on a connection to an endpoint or the store.

    Attributes
    ----------
    encode : callable
        Returns the bytes of the request; called at the moment of sending, as the request carries
        the time that is left. Returns None when it must not be sent any more.
    accepts : callable
        Tells whether a complete response belongs to this request.
    on_end : callable
        Called once with the `Reply` or `Broken`.
    """

    __slots__ = ("accepts", "encode", "is_cancelled", "connection", "on_end", "on_sent")

    def __init__(
        self,
        encode: Callable[[], bytes | None],
        accepts: Callable[[Headers], bool],
        on_end: Callable[[Reply | ExchangeFailure], None],
        on_sent: Callable[[], None],
    ) -> None:
        self.encode = encode
        self.accepts = accepts
        self.on_end = on_end
        self.on_sent = on_sent
        self.is_cancelled = False
        self.connection: object | None = None
