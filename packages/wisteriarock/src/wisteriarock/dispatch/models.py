"""State of requests in progress."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from wisteriarock.balancing.models import Endpoint
from wisteriarock.catalog.models import Route
from wisteriarock.http.front import Answer, CallerRequest
from wisteriarock.http.models import Exchange, Headers, Reply


class RequestHead(NamedTuple):
    """What the headers of a caller's request say.

    `time_left_ms` is how long the caller will wait, None where it does not say.
    """

    request_id: bytes
    host: str
    path: str
    time_left_ms: float | None


class ReplyHead(NamedTuple):
    """What the headers of an endpoint's reply say.

    Attributes
    ----------
    proof : bytes
        The endpoint's proof of its reply; empty where there is none.
    was_not_run : bool
        The endpoint states that it did not run the request.
    is_other_endpoint : bool
        Another endpoint has the address now.
    is_encoded : bool
        The body is not the endpoint's plain body.
    """

    request_id: bytes
    proof: bytes
    was_not_run: bool
    is_other_endpoint: bool
    is_encoded: bool


class WireFormat(NamedTuple):
    """Names and formats of the deployment, as functions.

    Attributes
    ----------
    read_request : callable
        Decodes a caller's request; None where it has no id, host or proper numbers.
    prepare_leg : callable
        Returns the part of a leg's request that is the same for all legs of a query.
    finish_leg : callable
        Returns a leg's request from that part, the endpoint's id, the time left in ms and the body.
    read_reply : callable
        Decodes the status and headers of an endpoint's reply.
    relay_headers : callable
        Returns the headers of a reply that are handed on to the caller.
    merged_headers : callable
        Returns the headers of a fan-out's answer from the proofs and the number of missing parts.
    retry_headers : callable
        Returns the headers that tell a caller when to come back, from a time in ms.
    """

    read_request: Callable[[CallerRequest], RequestHead | None]
    prepare_leg: Callable[[CallerRequest], bytes]
    finish_leg: Callable[[bytes, str, float, bytes], bytes]
    read_reply: Callable[[int, Headers], ReplyHead]
    relay_headers: Callable[[Headers], Headers]
    merged_headers: Callable[[list[bytes], int], Headers]
    retry_headers: Callable[[float], Headers]


class Timer(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the timer."""


class RouteLatency:
    """Latency of the legs of a route.

    Attributes
    ----------
    expected_ms : float
        Moving average without stragglers.
    hedge_delay_ms : float
        Estimate of the quantile after which a leg is hedged.
    max_time_left_ms : float
        Longest time that a caller gave a request: what a first attempt has.
    """

    __slots__ = ("expected_ms", "hedge_delay_ms", "max_time_left_ms", "samples")

    def __init__(self, expected_ms: float, hedge_delay_ms: float) -> None:
        self.expected_ms = expected_ms
        self.hedge_delay_ms = hedge_delay_ms
        self.max_time_left_ms = 0.0
        self.samples = 0


class Leg:
    """One request to one endpoint."""

    __slots__ = ("endpoint", "exchange", "is_abandoned", "is_done", "query", "sent_at_ms", "shard")

    def __init__(self, query: "Query", shard: "Shard", endpoint: Endpoint, now_ms: float) -> None:
        self.query = query
        self.shard = shard
        self.endpoint = endpoint
        self.sent_at_ms = now_ms
        self.exchange: Exchange | None = None
        self.is_done = False
        self.is_abandoned = False


class Shard:
    """One shard of a query; a plain request has one.

    Attributes
    ----------
    possible_runs : int
        Legs that have run or may have run, or may still run.
    sent_legs : int
        Legs that were sent, whatever became of them.
    part : Reply or None
        The reply that counts.
    failure_reply : Reply or None
        The last reply of an endpoint that failed.
    shed_count : int
        Legs that endpoints refused to run; `retry_at_ms` is the time before which none is sent
        again to an endpoint that was tried.
    """

    __slots__ = (
        "sent_legs",
        "failure_reply",
        "legs",
        "part",
        "proof",
        "retry_at_ms",
        "possible_runs",
        "service",
        "shed_count",
        "tried_endpoint_ids",
    )

    def __init__(self, service: str) -> None:
        self.service = service
        self.legs: list[Leg] = []
        self.tried_endpoint_ids: set[str] = set()
        self.possible_runs = 0
        self.sent_legs = 0
        self.part: Reply | None = None
        self.proof = b""
        self.failure_reply: Reply | None = None
        self.shed_count = 0
        self.retry_at_ms = 0.0


class Query:
    """A caller's request in progress.

    Attributes
    ----------
    early_answer_at_ms : float
        Time at which a fan-out is answered with what is there.
    expires_at_ms : float
        Time at which the request is given up.
    legs_expire_at_ms : float
        Time after which endpoints need not work on its legs: the early answer, or the end if that
        found too few parts.
    needed_parts : int
        Parts below which a fan-out has failed.
    may_have_run : bool
        Whether any leg has run or may have run.
    """

    __slots__ = (
        "early_answer_at_ms",
        "expires_at_ms",
        "hedges",
        "is_done",
        "is_early_answer_due",
        "latency",
        "needed_parts",
        "parts",
        "may_have_run",
        "request",
        "request_id",
        "respond",
        "retries",
        "route",
        "shards",
        "started_ms",
        "template",
        "timers",
        "legs_expire_at_ms",
        "version",
    )

    def __init__(
        self,
        request: CallerRequest,
        head: RequestHead,
        route: Route,
        services: tuple[str, ...],
        latency: RouteLatency,
        respond: Callable[[Answer], None],
    ) -> None:
        self.request = request
        self.request_id = head.request_id
        self.route = route
        self.shards = [Shard(service) for service in services]
        self.latency = latency
        self.respond = respond
        self.started_ms = request.received_ms
        self.template = b""
        self.early_answer_at_ms = 0.0
        self.expires_at_ms = 0.0
        self.legs_expire_at_ms = 0.0
        self.needed_parts = 1
        self.parts = 0
        self.hedges = 0
        self.retries = 0
        self.may_have_run = False
        self.is_done = False
        self.is_early_answer_due = False
        self.version = 0
        self.timers: list[Timer] = []
