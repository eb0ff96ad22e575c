"""Data of the traffic between instances."""

from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import NamedTuple, TypedDict

from wisteriarock.membership.models import Heartbeat
from wisteriarock.query.models import LegRequest, QueryAnswer
from wisteriarock.requests.models import ForwardedQuery
from wisteriarock.tickets.models import HandoverBody


class PeerAuthError(StrEnum):
    """Why a signed request was refused."""

    MISSING_HEADER = "missing_header"
    UNKNOWN_KEY = "unknown_key"
    BAD_DIGEST = "bad_digest"
    CLOCK_DIFFERENCE = "clock_difference"
    REPLAYED = "replayed"
    TOO_MANY = "too_many"


class PeerError(StrEnum):
    """Why a call to a peer has no result.

    `NOT_SENT` and `SUSPECTED` mean that nothing was written. After `LOST` the peer may have acted.
    `REFUSED` is an answer with an error status.
    """

    UNKNOWN_PEER = "unknown_peer"
    SUSPECTED = "suspected"
    NOT_SENT = "not_sent"
    LOST = "lost"
    REFUSED = "refused"


class LegsBody(TypedDict):
    """Body of `POST /peer/v1/legs`."""

    legs: list[LegRequest]


class CancelBody(TypedDict):
    """Body of `POST /peer/v1/cancel`."""

    leg_ids: list[str]


class PeerHandlers(NamedTuple):
    """What other controllers do with peers' requests.

    Attributes
    ----------
    on_heartbeat : callable
        Takes a peer's heartbeat and returns this instance's.
    on_query : callable
        Runs a forwarded request and returns its answer.
    on_handover : callable
        Takes over the tickets of a peer that stops and tells whether it does.
    bundle_body : callable
        Returns the body with envelope and content of a digest, or None.
    """

    on_heartbeat: Callable[[Heartbeat], Awaitable[Heartbeat]]
    on_query: Callable[[ForwardedQuery], Awaitable[QueryAnswer]]
    on_handover: Callable[[HandoverBody], bool]
    bundle_body: Callable[[str], Awaitable[bytes | None]]
