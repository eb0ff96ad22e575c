"""Components of a running instance and the callbacks between them."""

import asyncio
import functools
import random
from collections.abc import Callable
from typing import Any

from wisteriarock.catalog.models import Catalog, Configuration, Customer
from wisteriarock.customers.decide import forget_customers, try_admit
from wisteriarock.customers.models import Tolerance
from wisteriarock.discovery.changes import apply_feed_answer
from wisteriarock.discovery.models import Directory
from wisteriarock.discovery.reads import check_store
from wisteriarock.discovery.state import DiscoveryState
from wisteriarock.dispatch.budget import ExtraLegBudget
from wisteriarock.dispatch.controller import handle_fragment, handle_request
from wisteriarock.dispatch.decide import forget_full_times
from wisteriarock.dispatch.models import WireFormat
from wisteriarock.dispatch.state import DispatchState
from wisteriarock.feed.allotments import PATH_PREFIX as ALLOTMENTS_PATH
from wisteriarock.feed.allotments import AllotmentExchange, handle_allotment_request
from wisteriarock.feed.allotments import start as start_allotments
from wisteriarock.feed.decide import has_live_feed
from wisteriarock.feed.models import FeedState
from wisteriarock.feed.serving import handle_follower_request
from wisteriarock.feed.state import Feed, is_relay, note_return, wake_followers
from wisteriarock.gathering.const import FRAGMENT_PATH
from wisteriarock.gathering.decide import find_fan_out_shape
from wisteriarock.gathering.models import Gatherer
from wisteriarock.http.front import (
    Answer,
    CallerRequest,
    ListenerState,
    RequestHandler,
    Respond,
)
from wisteriarock.http.pool import Pool
from wisteriarock.limits.cold_limit import ColdBound
from wisteriarock.limits.token_bucket import TokenBucket
from wisteriarock.observability.counters import Counters
from wisteriarock.observability.event_log import EventLog
from wisteriarock.observability.failures import FailureReporter
from wisteriarock.observability.limit_reporter import LimitReporter
from wisteriarock.store.client import StoreClient
from wisteriarock.store.eras import StoreEras
from wisteriarock.store.models import StoreFormat

from .answers import answer_metrics, answer_readiness, do_nothing
from .caller_limits import connections_max, create_budget
from .cold import ColdSharers, cold_limit_sharers, uptime_ms
from .const import (
    CALLER_DESCRIPTOR_SHARE,
    INSTANCES_DEFAULT,
    LEG_COST_BYTES,
    METRICS_DESCRIPTOR_SHARE,
    METRICS_TURNS_PER_ITERATION,
    PEER_DESCRIPTOR_SHARE,
    READINESS_DESCRIPTOR_SHARE,
)
from .endpoints import on_directory_changes, on_endpoint_leaving, on_endpoint_misdirected
from .pools import pool_of, pool_of_gatherer
from .readiness import Phase
from .rotation import update_readiness
from .settings import FrontSettings
from .shares import divide_budget, limit_sharers
from .startup import HeldRequests, hold_request, release_requests


class Instance:
    """Components of a running instance."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: FrontSettings,
        wire_format: WireFormat,
        store_format: StoreFormat,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.log = log
        self.counters = Counters()
        self.failures = FailureReporter(log, self.counters)
        self.buffers = create_budget(settings, lambda: loop.time() * 1000)
        self.limit_reporter = LimitReporter(
            lambda: loop.time() * 1000,
            lambda limit: self.counters.count("callers_limited", limit),
            lambda limit, count: log.record("callers_limited", limit=limit, count=count),
        )
        self.rejection_reporter = LimitReporter(
            lambda: loop.time() * 1000,
            lambda rejection: self.counters.count("bad_requests", rejection.partition(" ")[0]),
            lambda rejection, count: record_bad_request(log, rejection, count),
        )
        self.phase = Phase.STARTING
        self.held_requests = HeldRequests(loop.time() * 1000)
        self.was_ready: bool | None = None
        self.reported_zones: tuple[str, ...] = ()
        self.was_isolated = False
        self.has_allotments = False
        self.explain_limit: TokenBucket | None = None
        self.catalog = Catalog()
        self.directory = Directory()
        self.pools: dict[str, Pool] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.budget = ExtraLegBudget(
            settings.extra_ratio,
            settings.extra_fixed,
            settings.extra_window_s,
            INSTANCES_DEFAULT,
        )
        self.instance_count = INSTANCES_DEFAULT
        self.cold_sharers = ColdSharers()
        self.gatherer_count = INSTANCES_DEFAULT
        self.is_gatherer = True
        self.gathered_services: frozenset[str] = frozenset()
        self.gatherer_pools: dict[Gatherer, Pool] = {}
        self.feed_state = FeedState(settings.zone)
        self.eras = StoreEras(store_format.decode_era)
        self.invalid_era_reporter = LimitReporter(
            lambda: loop.time() * 1000,
            lambda reason: self.counters.count("invalid_eras"),
            lambda reason, count: log.record("store_era_invalid", reason=reason, count=count),
        )
        self.dispatch = DispatchState(
            loop,
            settings.instance,
            settings.zone,
            self.catalog,
            self.directory,
            self.budget,
            wire_format,
            lambda endpoint: pool_of(self, endpoint),
            lambda gatherer: pool_of_gatherer(self, gatherer),
            lambda endpoint: on_endpoint_misdirected(self, endpoint),
            lambda endpoint: on_endpoint_leaving(self, endpoint),
            log,
            self.counters,
            rng,
            settings.cpu_share * settings.cpu_speed,
        )
        self.discovery = DiscoveryState(
            loop,
            store_format,
            lambda: create_store_client(self, store_format),
            self.catalog,
            self.directory,
            self.feed_state,
            lambda changes: on_directory_changes(self, changes),
            lambda configuration: on_configuration(self, configuration),
            log,
            self.counters,
            rng,
            self.eras,
        )
        self.dispatch.is_loaded = lambda: self.discovery.is_loaded
        self.dispatch.news_age_ms = lambda: loop.time() * 1000 - self.discovery.last_answer_at_ms
        self.discovery.evacuation_ms = settings.evacuation_ms
        self.dispatch.is_load_even = settings.even_load
        self.dispatch.limit_sharers = lambda service: limit_sharers(self, service)
        self.dispatch.cold_sharers = lambda service: cold_limit_sharers(self, service)
        self.dispatch.uptime_ms = uptime_ms
        self.dispatch.cold_bound = ColdBound(settings.cold_overshoot, settings.cold_slack)
        self.feed = Feed(
            loop,
            self.feed_state,
            store_format,
            create_store_client(self, store_format),
            settings.zone,
            settings.instance,
            settings.peer,
            lambda items, answer: apply_feed_answer(self.discovery, items, answer),
            lambda: loop.time() * 1000 - self.discovery.last_direct_answer_at_ms,
            lambda: failure_free_ms(self),
            lambda timeout_ms: check_store(self.discovery, timeout_ms),
            log,
            self.counters,
            rng,
            settings.cpu_share * settings.cpu_speed,
            lambda: find_fan_out_shape(self.catalog),
            self.eras,
        )
        self.eras.on_return = lambda former, era: on_store_return(self, former, era)
        self.eras.on_invalid = self.invalid_era_reporter.report
        self.allotments = AllotmentExchange(
            self.feed,
            Tolerance(settings.quota_window_s, settings.quota_overshoot, settings.quota_slack),
            lambda: self.catalog.customers,
            lambda: self.instance_count,
        )
        self.dispatch.admit_customer = functools.partial(admit_customer, self)
        self.discovery.has_live_feed = lambda: has_live_feed(self.feed_state, loop.time() * 1000)
        self.discovery.is_relay = lambda: is_relay(self.feed)
        self.discovery.on_history_updated = lambda: on_history_updated(self)
        self.dispatch.reserve_legs = lambda count: self.buffers.reserve(count * LEG_COST_BYTES)
        self.dispatch.return_legs = lambda count: self.buffers.return_reserved(
            count * LEG_COST_BYTES
        )
        self.peer_listener = create_listener(
            self,
            lambda request, respond: handle_peer_request(self, request, respond),
            PEER_DESCRIPTOR_SHARE,
        )
        self.caller_listener = create_listener(
            self,
            lambda request, respond: handle_caller_request(self, request, respond),
            CALLER_DESCRIPTOR_SHARE,
        )
        self.caller_listener.reads_round_trips = settings.answer_by_round_trip
        self.ready_listener = create_listener(
            self,
            lambda request, respond: answer_readiness(self, respond),
            READINESS_DESCRIPTOR_SHARE,
        )
        self.ready_listener.takes_turns = True
        self.metrics_listener = create_listener(
            self,
            lambda request, respond: answer_metrics(self, request, respond),
            METRICS_DESCRIPTOR_SHARE,
        )
        self.metrics_listener.takes_turns = True
        self.metrics_listener.turns.per_iteration = METRICS_TURNS_PER_ITERATION


def create_store_client(instance: Instance, store_format: StoreFormat) -> StoreClient:
    """Return a client of the store, which learns the era of its replies."""
    return StoreClient(
        instance.loop,
        *instance.settings.store,
        store_format.classify,
        instance.counters,
        instance.eras,
    )


def on_store_return(instance: Instance, former: int, era: int) -> None:
    """Take note that the store has returned from an older copy.

    The first era that this instance learns before its first load is no return.
    """
    if not instance.feed_state.position.revision:
        return
    instance.counters.count("store_returns")
    instance.log.record("store_era_changed", former=former, era=era)
    note_return(instance.feed)


def create_listener(
    instance: Instance, handle: RequestHandler, descriptor_share: float
) -> ListenerState:
    """Return the state of a listener, which shares the bound on memory with the others."""
    return ListenerState(
        instance.loop,
        handle,
        lambda status, reason: on_bad_request(instance, status, reason),
        instance.buffers,
        connections_max(instance.settings, descriptor_share),
        instance.limit_reporter.report,
    )


def handle_caller_request(
    instance: Instance, request: CallerRequest, respond: Respond
) -> Callable[[], None]:
    """Start a caller's request, or hold it while the instance is loading."""
    release_held_requests(instance)
    cancel = None
    if not instance.discovery.is_loaded:
        cancel = hold_request(instance.held_requests, request, respond)
    return cancel or handle_request(instance.dispatch, request, respond)


def handle_peer_request(
    instance: Instance, request: CallerRequest, respond: Respond
) -> Callable[[], None]:
    """Handle a request of another instance: a fragment of a query, or a call for the feed."""
    if request.target.startswith(ALLOTMENTS_PATH.encode()):
        return handle_allotment_request(instance.allotments, request, respond)
    if request.target != FRAGMENT_PATH.encode():
        return handle_follower_request(instance.feed, request, respond)
    if instance.phase is not Phase.RUNNING or not instance.discovery.is_loaded:
        respond(Answer(503, [], b"not serving"))
        return do_nothing
    return handle_fragment(instance.dispatch, request, respond)


def admit_customer(
    instance: Instance,
    customer: Customer,
    is_back: bool,  # noqa: FBT001
) -> float | None:
    """Admit a request of a customer, or return the wait in ms of one that is over its allotment."""
    exchange, now_ms = instance.allotments, instance.loop.time() * 1000
    wait_ms = try_admit(
        exchange.local,
        customer,
        instance.instance_count,
        now_ms,
        instance.dispatch.rng,
        is_back=is_back,
    )
    if exchange.local.pending:
        exchange.has_news.set()
    return wait_ms


def release_held_requests(instance: Instance) -> None:
    """Start the held requests once the instance is loaded or the hold time has expired."""
    released = release_requests(
        instance.held_requests,
        lambda request, respond: handle_request(instance.dispatch, request, respond),
        instance.loop.time() * 1000,
        is_loaded=instance.discovery.is_loaded,
    )
    if released:
        loaded = instance.discovery.is_loaded
        instance.log.record("held_requests_released", count=released, loaded=loaded)


def failure_free_ms(instance: Instance) -> float:
    """Return how long the store has answered this instance without a failure."""
    if instance.discovery.is_store_down:
        return 0.0
    return instance.loop.time() * 1000 - instance.discovery.failure_free_since_ms


def on_history_updated(instance: Instance) -> None:
    """Pass changes on to followers, and start held requests after the first load."""
    wake_followers(instance.feed)
    instance.loop.call_soon(release_held_requests, instance)


def on_bad_request(instance: Instance, status: int, reason: str) -> None:
    """Count and log a rejected request."""
    instance.rejection_reporter.report(f"{status} {reason}")


def record_bad_request(log: EventLog, rejection: str, count: int) -> None:
    """Log a rejection, given as its status and reason, and how often it was sent."""
    status, _, reason = rejection.partition(" ")
    log.record("bad_request", status=int(status), reason=reason, count=count)


def on_configuration(instance: Instance, configuration: Configuration) -> None:
    """Apply the limits for callers and drop the latencies of removed routes."""
    instance.caller_listener.limits = configuration.limits
    instance.dispatch.has_cold_rates = any(
        service.cold_rate_per_s for service in configuration.services
    )
    instance.gathered_services = frozenset(
        shard for route in configuration.routes for shard in route.shards
    )
    divide_budget(instance)
    forget_customers(instance.allotments.local, instance.catalog.customers)
    has_allotments = any(each.rate_per_s > 0 for each in configuration.customers)
    if has_allotments and not instance.has_allotments:
        instance.has_allotments = True
        instance.tasks.update(start_allotments(instance.allotments))
    names = {route.name for route in configuration.routes}
    latencies = instance.dispatch.latencies
    for name in [name for name in latencies if name not in names]:
        del latencies[name]
    forget_full_times(instance.dispatch.full_times, instance.catalog.customers, names)
    update_readiness(instance)
