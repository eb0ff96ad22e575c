"""Data types of gatherers and fragments."""

import math
from typing import NamedTuple, NotRequired, TypedDict


class Gatherer(NamedTuple):
    """An instance that queries endpoints on behalf of its zone."""

    name: str
    host: str
    port: int
    capacity_cores: float


class FanOutShape(NamedTuple):
    """Size of the largest fan-out of the configuration.

    Attributes
    ----------
    legs : int
        Number of shards; 0 if there is no fan-out route.
    max_connections : int
        Smallest connection cap of an endpoint of these shards.
    latency_target_ms : float
        Shortest latency target of a fan-out route.
    """

    legs: int
    max_connections: int
    latency_target_ms: float = math.inf


class FragmentRequest(TypedDict):
    """Request of an instance to a gatherer: the part of a query for some of its shards.

    Text fields taken from the caller's request have one character for each byte.

    Attributes
    ----------
    answer_in_ms, expires_in_ms : float
        Time until the early answer is due, and until the query ends.
    needed : int
        Minimum number of parts of an early answer.
    customer : str
        Name of the customer; absent if the request has none.
    priority : int
        Priority of the request with regard to its customer; absent with `customer`.
    route_priority : int
        Priority of the route alone; absent if the configuration names no customers.
    is_caller_back : bool
        Whether the caller has spent time on an earlier attempt; present with `route_priority`.
    is_plain : bool
        Whether the only shard is the service of a plain route; absent if not.
    is_idempotent : bool
        Whether a plain request may run more than once; present with `is_plain`.
    was_sent : bool
        Whether an endpoint has turned a plain request away; present with `is_plain`.
    short_for_ms : float
        Time for which the service counts as short of room; present with `is_plain`.
    """

    route: str
    version: int
    request_id: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: str
    shards: list[str]
    top_count: int
    max_attempts: int
    latency_target_ms: float
    needed: int
    answer_in_ms: float
    expires_in_ms: float
    customer: NotRequired[str]
    priority: NotRequired[int]
    route_priority: NotRequired[int]
    is_caller_back: NotRequired[bool]
    is_plain: NotRequired[bool]
    is_idempotent: NotRequired[bool]
    was_sent: NotRequired[bool]
    short_for_ms: NotRequired[float]


class FragmentAnswer(TypedDict):
    """Answer of a gatherer.

    Attributes
    ----------
    parts : list of tuple
        Shard and proof of each part.
    records : str
        The greatest records of these parts, in hexadecimal.
    may_have_run : list of str
        Shards without a part on which a leg has run or may have run.
    withheld : list of str
        Shards without a part for which a leg was not sent, as the rate limits of all endpoints
        were used up.
    ended : list of str
        Endpoints that ended under a leg.
    reply : tuple
        Status, headers and body of the endpoint's reply to a plain request; absent without one.
    retry_after_ms : float
        Time after which the caller may come back; present if there was no room for all legs.
    short : list of tuple
        Services that are short of room, each with the time for which they count so; absent if
        there are none.
    """

    parts: list[tuple[str, str]]
    records: str
    may_have_run: list[str]
    withheld: list[str]
    ended: list[str]
    reply: NotRequired[tuple[int, list[tuple[str, str]], str]]
    retry_after_ms: NotRequired[float]
    short: NotRequired[list[tuple[str, float]]]


class GathererDirectory:
    """Gatherers of the local zone, as this instance uses them.

    Attributes
    ----------
    gatherers : tuple of Gatherer
        Current gatherers; empty if every instance queries the endpoints itself.
    suspended_until_ms : dict
        For each gatherer that failed, the time until which it gets no fragments.
    assignments : dict
        Cache of `assign_shards` by shards and names of the usable gatherers.
    """

    __slots__ = ("assignments", "gatherers", "suspended_until_ms")

    def __init__(self) -> None:
        self.gatherers: tuple[Gatherer, ...] = ()
        self.suspended_until_ms: dict[str, float] = {}
        self.assignments: dict[tuple[tuple[str, ...], tuple[str, ...]], dict[str, list[str]]] = {}
