"""Data models of the traffic between instances."""

from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import NamedTuple, TypedDict

from wisteriarock.membership.models import Heartbeat
from wisteriarock.query.models import LegRequest, QueryAnswer
from wisteriarock.requests.models import ForwardedQuery
from wisteriarock.tickets.models import HandoverBody


class PeerAuthError(StrEnum):
    """Reason for which a signed request was refused."""

    MISSING_HEADER = "missing_header"
    UNKNOWN_KEY = "unknown_key"
    BAD_DIGEST = "bad_digest"
    CLOCK_DIFFERENCE = "clock_difference"
    REPLAYED = "replayed"
    TOO_MANY = "too_many"


class PeerError(StrEnum):
    """Reason for which a call to a peer failed.

    `NOT_SENT` and `SUSPECTED` mean that nothing was written. After `LOST`, the peer may have
    processed the request. `REFUSED` means an answer with an error status.
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
    """Handlers in other controllers for requests from peers.

    Attributes
    ----------
    on_heartbeat : callable
        Applies a peer's heartbeat and returns this instance's heartbeat.
    on_query : callable
        Runs a forwarded query and returns its answer.
    on_handover : callable
        Adopts the tickets of a stopping peer; returns whether it accepted them.
    get_bundle_body : callable
        Returns the envelope and content of the bundle with a digest as JSON, or None if unknown.
    """

    on_heartbeat: Callable[[Heartbeat], Awaitable[Heartbeat]]
    on_query: Callable[[ForwardedQuery], Awaitable[QueryAnswer]]
    on_handover: Callable[[HandoverBody], bool]
    get_bundle_body: Callable[[str], Awaitable[bytes | None]]
