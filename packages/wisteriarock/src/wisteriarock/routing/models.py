"""Data of replica selection."""

from dataclasses import dataclass, field
from typing import NamedTuple

from wisteriarock.membership.models import EndpointState

LONG_AGO_MS = float("-inf")


class EndpointRoute(NamedTuple):
    """Settings of an endpoint in the bundle; `shards` are those that its service may hold."""

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
    """Local observations of an endpoint, and data from its last view.

    Attributes
    ----------
    outstanding : int
        Legs sent by this instance that have neither ended nor been cancelled.
    failures : int
        Failures since the last success.
    ejected_until_ms : float
        End of the ejection, during which the endpoint is ranked last.
    latency_ms : float
        Moving average of the time from sending a leg to its reply.
    latency_rank : int
        Logarithm of `latency_ms`, coarse enough that similar replicas share the load.
    overdue_share : float
        Moving average of the share of primary legs that exceeded the hedge delay.
    slow_until_ms : float
        Time until which the endpoint is ranked lower, because most of its legs were overdue.
    other_legs : int
        Legs of other instances, derived from the last view.
    ready_since_ms : float
        Start of the slow-start period.
    fast_path_from_ms : float
        Time from which state, failures and slow start need no check.
    """

    outstanding: int = 0
    failures: int = 0
    ejected_until_ms: float = LONG_AGO_MS
    latency_ms: float = 0.0
    latency_rank: int = 0
    latency_at_ms: float = LONG_AGO_MS
    shed_at_ms: float = LONG_AGO_MS
    drained_at_ms: float = LONG_AGO_MS
    overdue_share: float = 0.0
    slow_until_ms: float = LONG_AGO_MS
    other_legs: int = 0
    load_reported_at_ms: float = LONG_AGO_MS
    incarnation: str = ""
    state: EndpointState = EndpointState.UNKNOWN
    holder: str = ""
    ready_since_ms: float = LONG_AGO_MS
    fast_path_from_ms: float = LONG_AGO_MS


@dataclass
class RoutingState:
    """Observations of all endpoints.

    Attributes
    ----------
    endpoints : dict
        Statistics by endpoint.
    holder_lost_at_ms : dict
        Time at which legs sent through an instance were last lost, by instance.
    """

    own_zone: str
    eject_after_failures: int
    eject_ms: float
    eject_max_share: float
    slow_start_ms: float
    endpoints: dict[str, EndpointStats] = field(default_factory=dict)
    holder_lost_at_ms: dict[str, float] = field(default_factory=dict)
