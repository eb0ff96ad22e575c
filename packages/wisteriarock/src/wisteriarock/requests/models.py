"""Messages and results of request handling."""

from typing import NamedTuple, TypedDict

from wisteriarock.query.models import QueryAnswer, QueryBody


class ForwardedQuery(TypedDict):
    """Body of `POST /peer/v1/query`; the deadline in `query` is the time remaining when sent.

    If `may_run` is False, the sender rejected the request, and an unused ticket becomes void.
    """

    caller: str
    query: QueryBody
    may_run: bool


class TicketBody(TypedDict):
    """Body of `POST /v1/tickets`."""

    count: int


class TicketAnswer(TypedDict):
    """Answer to `POST /v1/tickets`; `expires_in_ms` counts from the time of the answer."""

    tickets: list[str]
    expires_in_ms: float


class Reply(NamedTuple):
    """HTTP status and body of an answer to a query."""

    status: int
    answer: QueryAnswer
