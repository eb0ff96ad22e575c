"""State of the choice of replicas."""

from dataclasses import dataclass, field
from typing import NamedTuple

from wisteriarock.membership.models import EndpointState

NEVER_MS = float("-inf")


class EndpointRoute(NamedTuple):
    """What the bundle says of an endpoint; `shards` are those that its service may hold."""

    service: str
    zone: str
    slots: int
    shards: frozenset[str]


class Routes(NamedTuple):
    """Endpoints of a bundle by name, and the number of endpoints of each service."""

    endpoints: dict[str, EndpointRoute]
    service_sizes: dict[str, int]


@dataclass(slots=True)
class EndpointStats:
    """Own observations of an endpoint, and what its last view said.

    Attributes
    ----------
    outstanding : int
        Legs sent from here that have neither ended nor been cancelled.
    failures : int
        Failures since the last success.
    ejected_until_ms : float
        The endpoint is used last until then.
    latency_ms : float
        Moving average of the time from sending a leg to its reply.
    latency_rank : int
        Logarithm of `latency_ms`, coarse enough that equal replicas share the load.
    overdue_share : float
        Moving share of primary legs that were not answered within the hedge delay.
    slow_until_ms : float
        The endpoint is used late until then, because most of its legs are overdue.
    others : int
        Legs of other instances that the last view implies.
    ready_since_ms : float
        Begin of the slow start.
    plain_from_ms : float
        No state, failure or slow start has to be looked at from then on.
    """

    outstanding: int = 0
    failures: int = 0
    ejected_until_ms: float = NEVER_MS
    latency_ms: float = 0.0
    latency_rank: int = 0
    latency_at_ms: float = NEVER_MS
    shed_at_ms: float = NEVER_MS
    drained_at_ms: float = NEVER_MS
    overdue_share: float = 0.0
    slow_until_ms: float = NEVER_MS
    others: int = 0
    hint_at_ms: float = NEVER_MS
    incarnation: str = ""
    state: EndpointState = EndpointState.UNKNOWN
    holder: str = ""
    ready_since_ms: float = NEVER_MS
    plain_from_ms: float = NEVER_MS


@dataclass
class RoutingState:
    """Observations of all endpoints.

    Attributes
    ----------
    endpoints : dict
        Endpoint to its statistics.
    holder_lost_at_ms : dict
        Instance to the time at which legs sent through it were last lost.
    """

    own_zone: str
    eject_after_failures: int
    eject_ms: float
    eject_max_share: float
    slow_start_ms: float
    endpoints: dict[str, EndpointStats] = field(default_factory=dict)
    holder_lost_at_ms: dict[str, float] = field(default_factory=dict)
