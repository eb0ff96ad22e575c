"""Models of requests in progress."""

import enum
from collections.abc import Callable
from typing import NamedTuple, Protocol

from wisteriarock.balancing.models import Endpoint, LoadReport
from wisteriarock.catalog.models import Customer, Route
from wisteriarock.gathering.models import Gatherer
from wisteriarock.http.front import Answer, CallerRequest
from wisteriarock.http.models import Exchange, Headers, Reply
from wisteriarock.limits.endpoint_limit import EndpointLimit
from wisteriarock.overload.models import Stay


class RequestHead(NamedTuple):
    """Decoded headers of a caller's request.

    Attributes
    ----------
    time_left_ms : float or None
        Time until the caller's deadline; None if the request does not state one.
    key_digest : bytes or None
        Digest of the key that the request carries; None if it carries none, or a malformed one.
    """

    request_id: bytes
    host: str
    path: str
    time_left_ms: float | None
    key_digest: bytes | None = None


class ReplyHead(NamedTuple):
    """Decoded headers of an endpoint's reply.

    Attributes
    ----------
    proof : bytes
        Proof that the endpoint produced the reply; empty if it is missing.
    was_not_run : bool
        Whether the endpoint states that it did not run the request.
    is_misdirected : bool
        Whether the address now belongs to another endpoint.
    is_encoded : bool
        Whether the body has a content encoding.
    rate_limit_per_s : float or None
        Requests per second that the endpoint takes from all instances together; None if it names
        no limit.
    is_leaving : bool
        Whether the endpoint is about to leave.
    pause_s : float
        Time for which the endpoint wants no request from this instance; may be infinite.
    load : LoadReport or None
        Load that the endpoint reports; None if it reports none, or a malformed one.
    """

    request_id: bytes
    proof: bytes
    was_not_run: bool
    is_misdirected: bool
    is_encoded: bool
    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float = 0.0
    load: LoadReport | None = None


class WireFormat(NamedTuple):
    """Functions that encode and decode the HTTP messages of a deployment.

    Attributes
    ----------
    read_request : callable
        Decodes a caller's request; None if its id or host is missing or a number is invalid.
    encode_leg_template : callable
        Encodes the template shared by all legs of a query.
    encode_leg : callable
        Encodes a leg's request from the template, endpoint id, time left in ms and body.
    read_reply : callable
        Decodes the status and headers of an endpoint's reply.
    forwarded_headers : callable
        Returns the headers of a reply that are forwarded to the caller.
    merged_headers : callable
        Returns the headers of a fan-out answer from the proofs and the number of missing parts.
    retry_headers : callable
        Returns the Retry-After headers for a time in ms.
    replace_key : callable
        Returns a caller's request without its key, and with the name of the customer in place of
        any that the caller gave; without a name on a public route.
    challenge_headers : list of tuple
        Headers of the answer to a request without a known key.
    not_run_statuses : frozenset of int
        Statuses by which a caller takes its request for one that has not run and never will.
    """

    read_request: Callable[[CallerRequest], RequestHead | None]
    encode_leg_template: Callable[[CallerRequest], bytes]
    encode_leg: Callable[[bytes, str, float, bytes], bytes]
    read_reply: Callable[[int, Headers], ReplyHead]
    forwarded_headers: Callable[[Headers], Headers]
    merged_headers: Callable[[list[bytes], int], Headers]
    retry_headers: Callable[[float], Headers]
    replace_key: Callable[[CallerRequest, str | None], CallerRequest]
    challenge_headers: Headers
    not_run_statuses: frozenset[int]


class Timer(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the timer."""


class RouteLatency:
    """Latency estimates of the legs of a route.

    Attributes
    ----------
    expected_ms : float
        Moving average in which stragglers are clipped.
    hedge_delay_ms : float
        Estimated latency quantile after which a leg is hedged.
    max_time_left_ms : float
        Longest time left seen in a request, assumed to be that of a first attempt.
    """

    __slots__ = ("expected_ms", "hedge_delay_ms", "max_time_left_ms", "samples")

    def __init__(self, expected_ms: float, hedge_delay_ms: float) -> None:
        self.expected_ms = expected_ms
        self.hedge_delay_ms = hedge_delay_ms
        self.max_time_left_ms = 0.0
        self.samples = 0


class FullTime:
    """Longest time left lately in a customer's requests to a route, as first attempts have it.

    `recent_ms` is that of the period since `since_ms`, `earlier_ms` that of the period before.
    """

    __slots__ = ("earlier_ms", "recent_ms", "since_ms")

    def __init__(self, now_ms: float) -> None:
        self.since_ms = now_ms
        self.recent_ms = 0.0
        self.earlier_ms = 0.0


class LegKind(enum.Enum):
    """Reason for which a leg is sent."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


class Leg:
    """One request sent to one endpoint for a shard of a query.

    Attributes
    ----------
    limits : tuple of EndpointLimit
        The rate limits of the endpoint from which the leg was acquired.
    """

    __slots__ = (
        "endpoint",
        "exchange",
        "is_abandoned",
        "is_done",
        "kind",
        "limits",
        "query",
        "sent_at_ms",
        "shard",
    )

    def __init__(
        self, query: "Query", shard: "Shard", endpoint: Endpoint, kind: LegKind, now_ms: float
    ) -> None:
        self.query = query
        self.shard = shard
        self.endpoint = endpoint
        self.kind = kind
        self.limits: tuple[EndpointLimit, ...] = ()
        self.sent_at_ms = now_ms
        self.exchange: Exchange | None = None
        self.is_done = False
        self.is_abandoned = False


class Fragment:
    """Shards of a query that a gatherer queries on behalf of this instance.

    Attributes
    ----------
    is_sent : bool
        Whether the gatherer accepted the fragment and got it, so that legs may run.
    is_done : bool
        Whether it was answered, has failed or was abandoned.
    """

    __slots__ = ("exchange", "gatherer", "is_done", "is_sent", "query", "shards")

    def __init__(self, query: "Query", gatherer: Gatherer, shards: list["Shard"]) -> None:
        self.query = query
        self.gatherer = gatherer
        self.shards = shards
        self.exchange: Exchange | None = None
        self.is_sent = False
        self.is_done = False


class Shard:
    """One shard of a query; a query to a single service has exactly one.

    Attributes
    ----------
    fragment : Fragment or None
        The outstanding fragment that contains the shard.
    fragment_runs : int
        Part of `possible_runs` that stands for the legs of a gatherer.
    possible_runs : int
        Number of legs that have run, may have run or may still run.
    sent_legs : int
        Number of legs sent, regardless of their outcome.
    part : Reply or None
        The successful reply that is used in the answer.
    failure_reply : Reply or None
        The last failure reply of an endpoint.
    is_withheld : bool
        Whether a leg was not sent because all endpoints name a rate limit that is used up.
    is_withheld_by_gatherer : bool
        Whether a gatherer sent no leg for this reason.
    is_held : bool
        Whether no leg is sent until a canary of the query has survived.
    is_waiting : bool
        Whether no leg is sent until there is room for the query.
    was_handed_over : bool
        Whether the request went to the gatherer that keeps the order under a shortage.
    shed_count : int
        Number of legs that endpoints refused to run.
    retry_at_ms : float
        Earliest time at which endpoints that were already tried may be tried again.
    """

    __slots__ = (
        "failure_reply",
        "fragment",
        "fragment_runs",
        "is_held",
        "is_waiting",
        "is_withheld",
        "is_withheld_by_gatherer",
        "legs",
        "part",
        "possible_runs",
        "proof",
        "retry_at_ms",
        "sent_legs",
        "service",
        "shed_count",
        "tried_endpoint_ids",
        "was_handed_over",
    )

    def __init__(self, service: str) -> None:
        self.service = service
        self.fragment: Fragment | None = None
        self.fragment_runs = 0
        self.legs: list[Leg] = []
        self.tried_endpoint_ids: set[str] = set()
        self.possible_runs = 0
        self.sent_legs = 0
        self.part: Reply | None = None
        self.proof = b""
        self.failure_reply: Reply | None = None
        self.is_held = False
        self.is_waiting = False
        self.is_withheld = False
        self.is_withheld_by_gatherer = False
        self.was_handed_over = False
        self.shed_count = 0
        self.retry_at_ms = 0.0


class Query:
    """A caller's request in progress.

    Attributes
    ----------
    customer : Customer or None
        The customer whose key the request carries; None on a public route, or if the configuration
        names no customers.
    early_answer_at_ms : float
        Time at which a fan-out is answered with the parts received so far.
    expires_at_ms : float
        Time at which the query ends, with the parts received so far or as failed.
    legs_expire_at_ms : float
        Time after which endpoints may drop the legs. For a fan-out, this is the early answer time
        until it has passed; otherwise it is `expires_at_ms`.
    needed_parts : int
        Minimum number of parts for a successful answer.
    parts : int
        Number of parts received.
    may_have_run : bool
        Whether any leg has run or may have run.
    own_legs, own_parts : int
        Number of shards queried from here, and of those that have their part.
    half_time_ms : float or None
        Time that half of these took.
    hedges_at_ms : float or None
        Time of the next check for legs to hedge, by `hedge_timer`.
    fragments : list of Fragment
        Fragments that were offered to gatherers.
    is_fragment : bool
        Whether the query itself is a fragment that another instance handed over.
    is_cancelled : bool
        Whether the caller has disconnected.
    is_caller_back : bool
        Whether the caller has spent time on an earlier attempt of the same request.
    ended_endpoint_ids : set of str
        Endpoints that closed the connection under a leg without a reply.
    ended_elsewhere : int
        Number of such endpoints that gatherers reported.
    retry_after_ms : float
        Time after which the caller may come back if the query was refused for lack of room, else 0.
    route_priority : int
        Priority of the route alone.
    stay : Stay or None
        Places in a room under overload; None if the query has none and waits for none.
    survivors : int
        Number of runs that an endpoint has survived.
    is_suspected : bool
        Whether endpoints ended lately under requests of the route when the query started.
    is_deadly : bool
        Whether the query is to blame for the endpoints that ended under it.
    """

    __slots__ = (
        "customer",
        "early_answer_at_ms",
        "ended_elsewhere",
        "ended_endpoint_ids",
        "expires_at_ms",
        "fragments",
        "half_time_ms",
        "hedge_timer",
        "hedges",
        "hedges_at_ms",
        "is_caller_back",
        "is_cancelled",
        "is_deadly",
        "is_done",
        "is_early_answer_due",
        "is_fragment",
        "is_suspected",
        "latency",
        "legs_expire_at_ms",
        "may_have_run",
        "needed_parts",
        "own_legs",
        "own_parts",
        "parts",
        "request",
        "request_id",
        "respond",
        "retries",
        "retry_after_ms",
        "route",
        "route_priority",
        "shards",
        "started_at_ms",
        "stay",
        "survivors",
        "template",
        "timers",
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
        self.route_priority = route.priority
        self.customer: Customer | None = None
        self.shards = [Shard(service) for service in services]
        self.latency = latency
        self.respond = respond
        self.started_at_ms = request.received_at_ms
        self.template = b""
        self.early_answer_at_ms = 0.0
        self.expires_at_ms = 0.0
        self.legs_expire_at_ms = 0.0
        self.needed_parts = 1
        self.parts = 0
        self.hedges = 0
        self.retries = 0
        self.may_have_run = False
        self.own_legs = 0
        self.own_parts = 0
        self.half_time_ms: float | None = None
        self.hedge_timer: Timer | None = None
        self.hedges_at_ms: float | None = None
        self.stay: Stay | None = None
        self.retry_after_ms = 0.0
        self.fragments: list[Fragment] = []
        self.is_fragment = False
        self.is_caller_back = False
        self.is_cancelled = False
        self.ended_endpoint_ids: set[str] = set()
        self.ended_elsewhere = 0
        self.survivors = 0
        self.is_suspected = False
        self.is_deadly = False
        self.is_done = False
        self.is_early_answer_due = False
        self.version = 0
        self.timers: list[Timer] = []
