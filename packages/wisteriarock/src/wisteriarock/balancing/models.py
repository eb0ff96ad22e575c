"""Endpoint state as observed by this instance."""

import math
from typing import NamedTuple

from wisteriarock.limits.endpoint_limit import EndpointLimit
from wisteriarock.limits.pause import Pause


class LoadReport(NamedTuple):
    """What an endpoint says about its load in a reply.

    Attributes
    ----------
    running, waiting : int
        Requests that the endpoint runs, the one that it replies to among them, and that wait for a
        slot.
    slots : int
        Requests that it can run at the same time.
    pace : float
        Time that work takes at this moment, relative to the usual time; 1.0 if not stated.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0


class ServiceLoad:
    """Usual load of the endpoints of a service, from the reports of any of them.

    Attributes
    ----------
    per_slot : float
        Moving average of the requests that endpoints report, per slot and at most 1.
    reported_at_ms : float
        Time of the last report.
    """

    __slots__ = ("per_slot", "reported_at_ms")

    def __init__(self) -> None:
        self.per_slot = 0.0
        self.reported_at_ms = -math.inf


class Endpoint:
    """An endpoint with its observed latency, failures and reachability.

    Attributes
    ----------
    in_flight : dict
        Send time in ms of each unanswered leg, by the `id()` of the leg; oldest first.
    slow_ratio : float
        Moving average of the ratio of observed to expected latency.
    error_rate : float
        Moving average of the share of failed legs (0 to 1).
    observed_at_ms : float
        Time of the last observation, from which `slow_ratio` and `error_rate` decay.
    cold_limit : EndpointLimit or None
        The rate limit of the endpoint while it is cold, None if it has none.
    has_said_leaving : bool
        Whether the endpoint itself has said that it leaves; its entry may not say so yet.
    is_contradicted : bool
        Whether its replies contradict what speed and report lead to expect; until one does not.
    is_evacuated : bool
        Whether an operator wants nothing sent to the endpoint's zone.
    is_zone_lost : bool
        Whether the endpoint is unreachable because its whole zone is.
    last_reply_at_ms : float
        Time of the last reply.
    last_sent_at_ms : float
        Time of the last leg that was sent.
    load : LoadReport or None
        The last load report, received at `load_at_ms`.
    pause : Pause
        Pause that the endpoint asked for.
    rate_limit : EndpointLimit or None
        The rate limit that the endpoint names in its replies, None if it names none.
    slow_reply_at_ms : float or None
        Time of the first reply that took much longer than expected since the last that did not.
    speed_ratio : float
        Lasting ratio of the work time of this endpoint to that of others; below 1 if it is faster.
    service_load : ServiceLoad or None
        Usual load of the service, shared by its endpoints; None until they are compared.
    silent_since_ms : float or None
        Send time of the first leg abandoned without a reply since the last reply.
    usual_load : float
        Moving average of the requests that the endpoint reports, at most its slots.
    usual_pace : float
        Moving average of the pace that the endpoint reports.
    """

    __slots__ = (
        "started_at_unix_ms",
        "cold_limit",
        "cold_until_ms",
        "connect_failures",
        "endpoint_id",
        "error_rate",
        "has_said_leaving",
        "host",
        "in_flight",
        "is_contradicted",
        "is_draining",
        "is_evacuated",
        "is_unreachable",
        "is_zone_lost",
        "last_reply_at_ms",
        "last_sent_at_ms",
        "load",
        "load_at_ms",
        "next_probe_at_ms",
        "observed_at_ms",
        "pause",
        "port",
        "rate_limit",
        "service",
        "service_load",
        "silent_since_ms",
        "slots",
        "slow_ratio",
        "slow_reply_at_ms",
        "speed_ratio",
        "usual_load",
        "usual_pace",
        "zone",
    )

    def __init__(
        self, endpoint_id: str, service: str, host: str, port: int, zone: str, slots: int
    ) -> None:
        self.endpoint_id = endpoint_id
        self.service = service
        self.host = host
        self.port = port
        self.zone = zone
        self.slots = slots
        self.started_at_unix_ms: int | None = None
        self.is_draining = False
        self.has_said_leaving = False
        self.is_contradicted = False
        self.is_evacuated = False
        self.is_unreachable = False
        self.is_zone_lost = False
        self.last_reply_at_ms = 0.0
        self.last_sent_at_ms = 0.0
        self.cold_until_ms = 0.0
        self.cold_limit: EndpointLimit | None = None
        self.load: LoadReport | None = None
        self.load_at_ms = 0.0
        self.in_flight: dict[int, float] = {}
        self.service_load: ServiceLoad | None = None
        self.slow_ratio = 1.0
        self.slow_reply_at_ms: float | None = None
        self.speed_ratio = 1.0
        self.usual_load = 0.0
        self.usual_pace = 1.0
        self.error_rate = 0.0
        self.observed_at_ms = 0.0
        self.pause = Pause()
        self.rate_limit: EndpointLimit | None = None
        self.silent_since_ms: float | None = None
        self.connect_failures = 0
        self.next_probe_at_ms = 0.0
