"""A copy of the dispatch state, on which the decisions about a request are made without effect.

The functions that send a request run on it as they are. What they change is copied; what they call
outside of the dispatch state (pools, timers, log, counters, memory) is replaced.
"""

import copy
import random
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Any, NamedTuple, cast

from wisteriarock.balancing.models import Endpoint
from wisteriarock.discovery.models import Directory
from wisteriarock.dispatch.models import Timer
from wisteriarock.dispatch.state import DispatchState, loop_time_ms
from wisteriarock.http.models import Exchange
from wisteriarock.http.pool import Pool
from wisteriarock.limits.endpoint_limit import EndpointLimit
from wisteriarock.observability.counters import Counters
from wisteriarock.observability.event_log import EventLog
from wisteriarock.overload.models import CustomerUse, OverloadState, Refusal, Room, Work

# Returns the pool of an endpoint, None if it has none yet.
FindPool = Callable[[Endpoint], Pool | None]


class NoChance(random.Random):
    """Leaves chance out: draws the lowest number, and all members of a population."""

    def random(self) -> float:
        """Return the lowest number."""
        return 0.0

    def sample(
        self, population: Sequence[Any], k: int, *, counts: Iterable[int] | None = None
    ) -> list[Any]:
        """Return the whole population."""
        return list(population)


class _NoTimer:
    def cancel(self) -> None:
        """Do nothing, as the timer never runs."""


class _StillLoop:
    """Event loop on which time stands still and nothing is run."""

    def __init__(self, now_s: float) -> None:
        self._now_s = now_s

    def time(self) -> float:
        return self._now_s

    def call_at(self, when_s: float, callback: Callable[[], None]) -> Timer:
        return _NoTimer()

    def call_soon(self, callback: Callable[[], None]) -> Timer:
        return _NoTimer()


class _SilentLog(EventLog):
    """Event log that drops all events."""

    __slots__ = ()

    def __init__(self) -> None:
        """Leave the log without a descriptor, as nothing is written."""

    def detail(self, event: str, **fields: Any) -> None:
        pass

    def record(self, event: str, **fields: Any) -> None:
        pass


class _StillPool:
    """Connection pool that knows whether a connection is idle, and sends nothing."""

    def __init__(self, pool: Pool | None) -> None:
        self._pool = pool

    def has_idle_connection(self, now_ms: float) -> bool:
        return self._pool is not None and self._pool.has_idle_connection(now_ms)

    def send(self, exchange: Exchange) -> None:
        pass


class InstanceView(NamedTuple):
    """What a dry run reads of an instance besides its dispatch state.

    Attributes
    ----------
    can_reserve_legs : callable
        Returns whether there is memory for a number of legs.
    """

    find_pool: FindPool
    can_reserve_legs: Callable[[int], bool]


def create_dry_run(
    state: DispatchState, view: InstanceView, services: Collection[str]
) -> DispatchState:
    """Return a copy of the dispatch state that knows the endpoints of some services.

    Every customer is within its allotment there, as that is decided by chance.
    """
    dry = copy.copy(state)
    dry.loop = cast(Any, _StillLoop(loop_time_ms(state) / 1000))
    dry.rng = NoChance()
    dry.log, dry.counters = _SilentLog(), Counters()
    dry.catalog = copy.copy(state.catalog)
    dry.catalog.current_weights = {
        name: dict(weights) for name, weights in state.catalog.current_weights.items()
    }
    dry.directory = _copy_directory(state.directory, services)
    dry.latencies = {name: copy.copy(each) for name, each in state.latencies.items()}
    dry.full_times = {}
    dry.budget = copy.copy(state.budget)
    dry.budget.buckets = {name: copy.copy(each) for name, each in state.budget.buckets.items()}
    dry.overload = _copy_overload(state.overload)
    dry.gatherers = copy.copy(state.gatherers)
    dry.gatherers.assignments = dict(state.gatherers.assignments)
    dry.gatherers.suspended_until_ms = dict(state.gatherers.suspended_until_ms)
    dry.quarantine = copy.copy(state.quarantine)
    dry.quarantine.route_until_ms = dict(state.quarantine.route_until_ms)
    dry.quarantine.request_until_ms = dict(state.quarantine.request_until_ms)
    dry.active, dry.abandoned = set(), {}
    dry.pool_of = lambda endpoint: cast(Pool, _StillPool(view.find_pool(endpoint)))
    dry.pool_of_gatherer = lambda gatherer: cast(Pool, _StillPool(None))
    dry.on_misdirected = dry.on_leaving = lambda endpoint: None
    dry.on_deadly = lambda notice: None
    dry.admit_customer = lambda *_: None
    dry.reserve_legs = view.can_reserve_legs
    dry.return_legs = lambda count: None
    return dry


def copy_endpoint(endpoint: Endpoint) -> Endpoint:
    """Return a copy of an endpoint and of what decisions change in it."""
    # Several times as fast as copy.copy.
    copied = Endpoint.__new__(Endpoint)
    for name in Endpoint.__slots__:
        setattr(copied, name, getattr(endpoint, name))
    copied.in_flight = dict(endpoint.in_flight)
    copied.pause = copy.copy(endpoint.pause)
    copied.cold_limit = copy_limit(endpoint.cold_limit)
    copied.rate_limit = copy_limit(endpoint.rate_limit)
    return copied


def copy_limit(limit: EndpointLimit | None) -> EndpointLimit | None:
    """Return a copy of a limit with the share of this instance, None for None."""
    if limit is None:
        return None
    copied = copy.copy(limit)
    copied.bucket = copy.copy(limit.bucket)
    copied.legs = dict(limit.legs)
    return copied


def _copy_directory(directory: Directory, services: Collection[str]) -> Directory:
    copied = Directory()
    copied.evacuations = dict(directory.evacuations)
    copied.lapsed_until_ms = dict(directory.lapsed_until_ms)
    copied.version = directory.version
    wanted = set(services)
    copied.by_id = {
        name: copy_endpoint(each)
        for name, each in directory.by_id.items()
        if each.service in wanted
    }
    copied.by_service = {
        service: [
            copied.by_id.get(each.endpoint_id) or copy_endpoint(each)
            for each in directory.by_service[service]
        ]
        for service in wanted
        if service in directory.by_service
    }
    return copied


def _copy_overload(overload: OverloadState) -> OverloadState:
    copied = copy.copy(overload)
    copied.processor = _copy_room(overload.processor)
    copied.services = {name: _copy_room(room) for name, room in overload.services.items()}
    copied.short_until_ms = dict(overload.short_until_ms)
    copied.legs = {name: copy.copy(each) for name, each in overload.legs.items()}
    return copied


def _copy_room(room: Room) -> Room:
    copied = copy.copy(room)
    copied.total = _copy_use(room.total)
    copied.uses = {name: _copy_use(use) for name, use in room.uses.items()}
    return copied


def _copy_use(use: CustomerUse) -> CustomerUse:
    copied = copy.copy(use)
    copied.waiting = [_silence(work) for work in use.waiting]
    return copied


def _silence(work: Work) -> Work:
    """Return waiting work that is neither started nor refused."""

    def refuse(refusal: Refusal) -> None:
        """Refuse nothing."""

    return work._replace(start=lambda: None, refuse=refuse)
