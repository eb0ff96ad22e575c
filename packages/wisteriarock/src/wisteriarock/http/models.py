"""HTTP replies and exchanges."""

from collections.abc import Callable
from typing import NamedTuple

from .const import REPLY_MAX_BYTES

Headers = list[tuple[bytes, bytes]]


class CallerRequest(NamedTuple):
    """A complete request of a caller.

    Attributes
    ----------
    round_trip_ms : float or None
        Round trip of the caller's connection; None if it is not known or not read.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at_ms: float
    is_http_10: bool
    round_trip_ms: float | None = None


class Answer(NamedTuple):
    """A response to a caller."""

    status: int
    headers: Headers
    body: bytes


class Reply(NamedTuple):
    """A complete response.

    Attributes
    ----------
    is_keep_alive : bool
        Whether the sender keeps the connection open for another request.
    """

    status: int
    headers: Headers
    body: bytes
    is_keep_alive: bool


class ExchangeFailure(NamedTuple):
    """Failure of an exchange that ended without a complete response.

    Attributes
    ----------
    was_sent : bool
        Whether any byte of the request was written to the connection. If not, the request has not
        run.
    is_silent_close : bool
        Whether the peer closed the connection cleanly before any byte of a reply.
    """

    reason: str
    was_sent: bool
    is_silent_close: bool = False


class Exchange:
    """One request on a connection to an endpoint or the store.

    Attributes
    ----------
    encode : callable
        Returns the bytes of the request, or None if it must no longer be sent. Called just before
        sending, as the request carries the remaining time.
    accepts : callable
        Returns whether a response with the given headers answers this request.
    on_end : callable
        Called once with the `Reply` or the `ExchangeFailure`.
    on_sent : callable
        Called after the request was written.
    on_continue : callable or None
        Returns the body of a request that was sent without it, once the peer asks for it with
        status 100; None if it must no longer be sent.
    on_data : callable or None
        Called with the number of bytes received while the reply is incomplete.
    reply_max_bytes : int
        Largest body of a reply.
    is_head : bool
        Whether the method of the request is HEAD, so that its reply has no body.
    is_reply_named : bool
        Whether the accepted reply names this request. After one that does not, a late copy of it
        could not be told from the next reply, so that its connection is not used again.
    """

    __slots__ = (
        "accepts",
        "connection",
        "encode",
        "is_cancelled",
        "is_head",
        "is_reply_named",
        "on_continue",
        "on_data",
        "on_end",
        "on_sent",
        "reply_max_bytes",
    )

    def __init__(
        self,
        encode: Callable[[], bytes | None],
        accepts: Callable[[Headers], bool],
        on_end: Callable[[Reply | ExchangeFailure], None],
        on_sent: Callable[[], None],
        on_continue: Callable[[], bytes | None] | None = None,
    ) -> None:
        self.encode = encode
        self.accepts = accepts
        self.on_end = on_end
        self.on_sent = on_sent
        self.on_continue = on_continue
        self.on_data: Callable[[int], None] | None = None
        self.reply_max_bytes = REPLY_MAX_BYTES
        self.is_head = False
        self.is_reply_named = True
        self.is_cancelled = False
        self.connection: object | None = None

    def end(self, outcome: Reply | ExchangeFailure) -> None:
        """Pass on the outcome, and drop the callbacks.

        They refer to each other and to the request with its reply, which would stay in memory until
        the next garbage collection.
        """
        on_end = self.on_end
        self.encode = _encode_nothing
        self.accepts = _accept_nothing
        self.on_end = _ignore
        self.on_sent = _do_nothing
        self.on_continue = None
        self.on_data = None
        on_end(outcome)


def _encode_nothing() -> bytes | None:
    return None


def _accept_nothing(headers: Headers) -> bool:
    return False


def _ignore(outcome: Reply | ExchangeFailure) -> None:
    """Ignore an outcome after the first one."""


def _do_nothing() -> None:
    """Do nothing; the exchange has ended."""
