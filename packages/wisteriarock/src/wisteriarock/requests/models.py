"""Data of the course of a request."""

from typing import NamedTuple, TypedDict

from wisteriarock.query.models import QueryAnswer, QueryBody


class ForwardedQuery(TypedDict):
    """Body of `POST /peer/v1/query`; the deadline in `query` is the time left when sent.

    With `may_run` False the request was refused, and its ticket is to be given up.
    """

    caller: str
    query: QueryBody
    may_run: bool


class TicketBody(TypedDict):
    """Body of `POST /v1/tickets`."""

    count: int


class TicketAnswer(TypedDict):
    """Answer of `POST /v1/tickets`; `expires_in_ms` counts from the moment of the answer."""

    tickets: list[str]
    expires_in_ms: float


class Reply(NamedTuple):
    """HTTP status and body of an answer to a query."""

    status: int
    answer: QueryAnswer
