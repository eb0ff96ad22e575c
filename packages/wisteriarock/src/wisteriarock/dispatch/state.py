"""Dispatch state shared by all requests."""

import asyncio
import math
import random
from collections.abc import Callable

from wisteriarock.balancing.models import Endpoint
from wisteriarock.catalog.models import Catalog, Customer
from wisteriarock.discovery.models import Directory
from wisteriarock.gathering.models import Gatherer, GathererDirectory
from wisteriarock.http.pool import Pool
from wisteriarock.limits.cold_limit import ColdBound
from wisteriarock.observability.counters import Counters
from wisteriarock.observability.event_log import EventLog
from wisteriarock.overload.models import OverloadState
from wisteriarock.quarantine.models import Notice, Quarantine

from .budget import ExtraLegBudget
from .models import FullTime, Leg, Query, RouteLatency, WireFormat

NO_ENDPOINTS: list[Endpoint] = []


class DispatchState:
    """Dispatch state shared by all requests of an instance.

    Attributes
    ----------
    abandoned : dict
        Legs that are no longer needed, with the time in ms at which their connection is closed.
    active : set of Query
        Requests in progress.
    capacity_cores : float
        Processing capacity of this instance.
    timer_delay_ms : float
        Moving average of the delay of early answers behind their time.
    gatherers : GathererDirectory
        Gatherers of the local zone.
    overload : OverloadState
        Rooms of the work under way, and the work that waits for them.
    quarantine : Quarantine
        Routes and requests under which endpoints have ended lately.
    full_times : dict
        Longest time left lately by customer with a limit and route.
    on_misdirected, on_leaving : callable
        Called with an endpoint whose address belongs to another one, and with one that leaves.
    on_deadly : callable
        Called with the notice of a request that ends endpoints, for the other instances.
    is_load_even : bool
        Whether legs are spread by speed and load also where endpoints report none.
    limit_sharers : callable
        Returns the number of instances that share the rate limits of the endpoints of a service.
    cold_sharers : callable
        Returns the same for the limits of cold endpoints; None while it is not known.
    cold_bound : ColdBound
        Published bound on the requests to a cold endpoint.
    is_loaded : callable
        Returns whether the configuration was brought up to date since the start of the process.
    news_age_ms : callable
        Returns the time since the store was last heard of, directly or through a relay.
    has_cold_rates : bool
        Whether any service limits the requests to its cold endpoints.
    uptime_ms : callable
        Returns the time of a clock that also counts while the machine is suspended.
    alive_at_ms : float
        Last time of that clock at which this process was known to run.
    started_at_ms : float
        Time at which this process started.
    admit_customer : callable
        Returns None if a customer's request is within its allotment, else the time in ms after
        which the customer may come back. The second argument says whether the caller has come back
        after an earlier attempt.
    stops_at_ms : float or None
        Time at which a process that is shutting down ends, None if it is not shutting down.
    isolated_since_ms : float or None
        Time at which this instance became isolated and not ready, None if it is not isolated.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        instance: str,
        zone: str,
        catalog: Catalog,
        directory: Directory,
        budget: ExtraLegBudget,
        wire_format: WireFormat,
        pool_of: Callable[[Endpoint], Pool],
        pool_of_gatherer: Callable[[Gatherer], Pool],
        on_misdirected: Callable[[Endpoint], None],
        on_leaving: Callable[[Endpoint], None],
        log: EventLog,
        counters: Counters,
        rng: random.Random,
        capacity_cores: float = 1.0,
    ) -> None:
        self.loop = loop
        self.instance = instance
        self.zone = zone
        self.catalog = catalog
        self.directory = directory
        self.budget = budget
        self.wire_format = wire_format
        self.pool_of = pool_of
        self.pool_of_gatherer = pool_of_gatherer
        self.on_misdirected = on_misdirected
        self.on_leaving = on_leaving
        self.log = log
        self.counters = counters
        self.rng = rng
        self.capacity_cores = capacity_cores
        self.timer_delay_ms = 0.0
        self.latencies: dict[str, RouteLatency] = {}
        self.full_times: dict[tuple[str, str], FullTime] = {}
        self.abandoned: dict[Leg, float] = {}
        self.active: set[Query] = set()
        self.gatherers = GathererDirectory()
        self.overload = OverloadState()
        self.quarantine = Quarantine()
        self.on_deadly: Callable[[Notice], None] = lambda notice: None
        self.is_load_even = False
        self.limit_sharers: Callable[[str], float] = lambda service: 1.0
        self.cold_sharers: Callable[[str], float | None] = lambda service: None
        self.cold_bound = ColdBound()
        self.is_loaded: Callable[[], bool] = lambda: True
        self.news_age_ms: Callable[[], float] = lambda: 0.0
        self.started_at_ms = loop.time() * 1000
        self.has_cold_rates = False
        self.uptime_ms: Callable[[], float] = lambda: loop.time() * 1000
        self.alive_at_ms = math.inf
        self.admit_customer: Callable[[Customer, bool], float | None] = lambda *_: None
        self.reserve_legs: Callable[[int], bool] = lambda count: True
        self.return_legs: Callable[[int], None] = lambda count: None
        self.stops_at_ms: float | None = None
        self.isolated_since_ms: float | None = None


def loop_time_ms(state: DispatchState) -> float:
    """Return the event loop time in ms."""
    return state.loop.time() * 1000
