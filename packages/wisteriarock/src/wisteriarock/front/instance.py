"""Components of a running instance and the callbacks between them."""

import asyncio
import functools
import json
import random
from collections.abc import Callable
from typing import Any

from wisteriarock.balancing.decide import mark_reachable, observe_connect_failure, restore_zone
from wisteriarock.balancing.models import Endpoint
from wisteriarock.catalog.models import Catalog, Configuration, Customer
from wisteriarock.customers.decide import forget_customers, try_admit
from wisteriarock.customers.models import Tolerance
from wisteriarock.discovery.changes import apply_feed_answer
from wisteriarock.discovery.decide import mark_leaving, remove_entry
from wisteriarock.discovery.models import Directory, DirectoryChange
from wisteriarock.discovery.reads import check_store
from wisteriarock.discovery.state import DiscoveryState
from wisteriarock.dispatch.budget import (
    ExtraLegBudget,
    set_gathered_share,
    set_instance_count,
)
from wisteriarock.dispatch.controller import handle_fragment, handle_request
from wisteriarock.dispatch.models import WireFormat
from wisteriarock.dispatch.state import DispatchState
from wisteriarock.explain.const import EXPLAIN_PATH
from wisteriarock.feed.allotments import PATH_PREFIX as ALLOTMENTS_PATH
from wisteriarock.feed.allotments import AllotmentExchange, handle_allotment_request
from wisteriarock.feed.allotments import start as start_allotments
from wisteriarock.feed.decide import (
    count_assigned_instances,
    count_gatherers,
    count_instances,
    has_live_feed,
)
from wisteriarock.feed.models import FeedState
from wisteriarock.feed.serving import handle_follower_request
from wisteriarock.feed.state import Feed, is_relay, wake_followers
from wisteriarock.gathering.const import CONNECTIONS_MAX, FRAGMENT_PATH, IDLE_LIMIT_MS
from wisteriarock.gathering.decide import (
    count_limit_sharers,
    find_fan_out_shape,
    is_assigned,
    replace_gatherers,
    share_budget,
)
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
from wisteriarock.store.models import StoreFormat

from .caller_limits import connections_max, create_budget
from .cold import (
    ColdSharers,
    cold_limit_sharers,
    record_instance_count,
    suspect_cold,
    suspect_restart,
    uptime_ms,
)
from .const import (
    CALLER_DESCRIPTOR_SHARE,
    CONNECTION_CAP_SHARE,
    CONNECTION_LIMIT_DEFAULT,
    INSTANCES_DEFAULT,
    LEG_COST_BYTES,
    METRICS_DESCRIPTOR_SHARE,
    METRICS_TURNS_PER_ITERATION,
    PEER_DESCRIPTOR_SHARE,
    READINESS_DESCRIPTOR_SHARE,
)
from .diagnostics import dump, gauges
from .readiness import Phase, ReadinessInput, count_reachable_shards, is_isolated, is_ready
from .settings import FrontSettings
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
            lambda: StoreClient(loop, *settings.store, store_format.classify, self.counters),
            self.catalog,
            self.directory,
            self.feed_state,
            lambda changes: on_directory_changes(self, changes),
            lambda configuration: on_configuration(self, configuration),
            log,
            self.counters,
            rng,
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
            StoreClient(loop, *settings.store, store_format.classify, self.counters),
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
        )
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
        return _do_nothing
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


def update_instance_count(instance: Instance) -> None:
    """Divide the budget and connections by the numbers of instances that relays report."""
    now_ms = instance.loop.time() * 1000
    update_gatherers(instance)
    instance_count = count_instances(instance.feed_state, now_ms)
    gatherer_count = count_gatherers(instance.feed_state, now_ms)
    if instance_count is None or gatherer_count is None:
        return
    record_instance_count(instance, instance_count)
    if (instance_count, gatherer_count) == (instance.instance_count, instance.gatherer_count):
        return
    instance.log.record(
        "instances_counted",
        before=instance.instance_count,
        now=instance_count,
        gatherers=gatherer_count,
    )
    instance.instance_count = instance_count
    instance.gatherer_count = gatherer_count
    divide_budget(instance)


def update_gatherers(instance: Instance) -> None:
    """Use the gatherers that the relay of the local zone chose."""
    gatherers = instance.feed_state.gatherers
    if gatherers is None or not replace_gatherers(instance.dispatch.gatherers, gatherers):
        return
    names = [each.name for each in gatherers]
    instance.is_gatherer = not names or instance.settings.instance in names
    for gatherer in [each for each in instance.gatherer_pools if each not in gatherers]:
        instance.gatherer_pools.pop(gatherer).retire()
    instance.log.record("gatherers_changed", gatherers=",".join(names))
    divide_budget(instance)


def divide_budget(instance: Instance) -> None:
    """Set the shares of this instance in the budget for extra legs."""
    settings = instance.settings
    set_instance_count(
        instance.budget,
        settings.extra_ratio,
        settings.extra_fixed,
        settings.extra_window_s,
        instance.instance_count,
    )
    share = share_budget(
        settings.extra_fixed,
        instance.instance_count,
        instance.gatherer_count,
        is_gatherer=instance.is_gatherer,
    )
    set_gathered_share(instance.budget, instance.gathered_services, share, settings.extra_window_s)


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


def connection_limit(instance: Instance, service: str) -> int:
    """Return the limit of connections from this instance to one endpoint of a service."""
    definition = instance.catalog.services.get(service)
    if definition is None or instance.instance_count == INSTANCES_DEFAULT:
        return CONNECTION_LIMIT_DEFAULT
    count = instance.instance_count
    if service in instance.gathered_services and instance.gatherer_count < count:
        if not instance.is_gatherer:
            return 1
        count = instance.gatherer_count
    return max(1, int(definition.max_connections * CONNECTION_CAP_SHARE / count))


def limit_sharers(instance: Instance, service: str) -> float:
    """Return the number of instances that share the rate limits of a service's endpoints."""
    count = instance.instance_count
    if service not in instance.gathered_services or instance.gatherer_count >= count:
        return float(count)
    now_ms = instance.loop.time() * 1000
    assigned = count_assigned_instances(instance.feed_state, now_ms)
    return count_limit_sharers(
        count,
        count if assigned is None else assigned,
        is_assigned=is_assigned(
            instance.dispatch.gatherers, service, instance.settings.instance, now_ms
        ),
    )


def pool_of_gatherer(instance: Instance, gatherer: Gatherer) -> Pool:
    """Return the connection pool of a gatherer, created at first use."""
    pool = instance.gatherer_pools.get(gatherer)
    if pool is None:
        pool = instance.gatherer_pools[gatherer] = Pool(
            instance.loop,
            gatherer.host,
            gatherer.port,
            lambda: CONNECTIONS_MAX,
            lambda _: None,
            lambda reason: instance.counters.count("stray_replies", reason),
            IDLE_LIMIT_MS,
            instance.buffers,
        )
    return pool


def find_pool(instance: Instance, endpoint: Endpoint) -> Pool | None:
    """Return the connection pool of an endpoint, None if it has none yet."""
    pool = instance.pools.get(endpoint.endpoint_id)
    if pool is not None and (pool.host, pool.port) == (endpoint.host, endpoint.port):
        return pool
    return None


def pool_of(instance: Instance, endpoint: Endpoint) -> Pool:
    """Return the connection pool of an endpoint, created at first use."""
    pool = find_pool(instance, endpoint)
    if pool is not None:
        return pool

    def on_connect(is_open: bool) -> None:
        if not is_open:
            observe_connect_failure(endpoint)
            return
        if endpoint.connect_failures or endpoint.is_unreachable:
            suspect_restart(instance, endpoint)
        instance.counters.count("connections_opened")
        if endpoint.is_unreachable:
            on_endpoint_reached(instance, endpoint)

    def on_stray_bytes(reason: str) -> None:
        instance.counters.count("stray_replies", reason)
        instance.log.detail("stray_bytes", endpoint=endpoint.endpoint_id, reason=reason)

    pool = Pool(
        instance.loop,
        endpoint.host,
        endpoint.port,
        lambda: connection_limit(instance, endpoint.service),
        on_connect,
        on_stray_bytes,
        buffers=instance.buffers,
    )
    instance.pools[endpoint.endpoint_id] = pool
    return pool


def on_endpoint_reached(instance: Instance, endpoint: Endpoint) -> None:
    """Use an unreachable endpoint again, and its whole zone if the zone was lost."""
    if endpoint.is_zone_lost:
        for other in instance.directory.by_id.values():
            if other.zone == endpoint.zone and other.is_zone_lost:
                suspect_restart(instance, other)
        restored_count = restore_zone(instance.directory.by_id.values(), endpoint.zone)
        instance.log.record("zone_back", zone=endpoint.zone, endpoints=restored_count)
    else:
        instance.log.record("endpoint_back", endpoint=endpoint.endpoint_id)
        mark_reachable(endpoint)
    update_readiness(instance)


def on_endpoint_misdirected(instance: Instance, endpoint: Endpoint) -> None:
    """Remove an endpoint whose address now belongs to another endpoint."""
    now_ms = instance.loop.time() * 1000
    changes = remove_entry(instance.directory, endpoint.endpoint_id, now_ms, may_have_lapsed=False)
    instance.log.record("endpoint_misdirected", endpoint=endpoint.endpoint_id)
    on_directory_changes(instance, changes)


def on_endpoint_leaving(instance: Instance, endpoint: Endpoint) -> None:
    """Send nothing more to an endpoint that says in a reply that it leaves."""
    changes = mark_leaving(instance.directory, endpoint)
    instance.counters.count("endpoints_leaving")
    instance.log.record("endpoint_leaving", endpoint=endpoint.endpoint_id, service=endpoint.service)
    on_directory_changes(instance, changes)


def on_directory_changes(instance: Instance, changes: list[DirectoryChange]) -> None:
    """Close the connections of removed, replaced and draining endpoints."""
    for change in changes:
        if change.kind == "returned":
            suspect_cold(instance, change.endpoint)
        if change.kind in ("added", "lapsed", "returned"):
            continue
        if change.kind in ("draining", "ready", "evacuated"):
            pool = instance.pools.get(change.endpoint.endpoint_id)
        else:
            pool = instance.pools.pop(change.endpoint.endpoint_id, None)
        if pool is None:
            continue
        if change.kind == "ready":
            pool.reopen()
        elif change.kind == "evacuated":
            # Idle connections are kept for the endpoint's return.
            pool.return_waiting("evacuated")
        elif change.closes_connections:
            pool.close()
        else:
            pool.retire()
    update_readiness(instance)


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
    update_readiness(instance)


def readiness_input(instance: Instance) -> ReadinessInput:
    """Return the current inputs of the readiness decision."""
    reachable, needed = count_reachable_shards(instance.catalog, instance.directory)
    return ReadinessInput(
        instance.phase,
        instance.discovery.is_loaded,
        instance.loop.time() * 1000 - instance.discovery.last_answer_at_ms,
        instance.discovery.is_store_silent,
        reachable,
        needed,
    )


def update_readiness(instance: Instance) -> bool:
    """Update readiness and isolation, log a change of readiness, and return readiness.

    While the instance is isolated, every answer closes its connection, so that callers reconnect
    and the load balancer sends them to another zone.
    """
    inputs = readiness_input(instance)
    ready = is_ready(inputs)
    isolated = is_isolated(inputs)
    if not isolated:
        instance.dispatch.isolated_since_ms = None
    elif instance.dispatch.isolated_since_ms is None:
        instance.dispatch.isolated_since_ms = instance.loop.time() * 1000
    instance.caller_listener.closes_connections = instance.phase is Phase.DRAINING or isolated
    if ready != instance.was_ready:
        instance.was_ready = ready
        instance.log.record(
            "ready" if ready else "not_ready",
            phase=inputs.phase.value,
            loaded=inputs.is_loaded,
            store_age_ms=inputs.store_age_ms,
            reachable=inputs.reachable_shards,
            needed=inputs.needed_shards,
        )
    return ready


def answer_readiness(instance: Instance, respond: Respond) -> Callable[[], None]:
    """Answer a readiness check of the load balancer."""
    respond(Answer(200 if update_readiness(instance) else 503, [], b""))
    return _do_nothing


def answer_metrics(
    instance: Instance, request: CallerRequest, respond: Respond
) -> Callable[[], None]:
    """Answer a request for the metrics, the state dump or an explanation."""
    if request.target == b"/metrics":
        # Imported at first use: the library needs more memory than the rest of the process.
        from wisteriarock.observability.exposition import render  # noqa: PLC0415

        _collect_totals(instance)
        text = render(instance.counters, gauges(instance))
        respond(Answer(200, [(b"Content-Type", b"text/plain; version=0.0.4")], text))
    elif request.target == b"/dump":
        body = json.dumps(dump(instance), indent=1).encode()
        respond(Answer(200, [(b"Content-Type", b"application/json")], body))
    elif request.target.partition(b"?")[0] == EXPLAIN_PATH.encode():
        respond(_explain(instance, request))
    else:
        respond(Answer(404, [], b"metrics, dump or explain"))
    return _do_nothing


def _explain(instance: Instance, request: CallerRequest) -> Answer:
    # Imported at first use, as few processes are ever asked.
    from wisteriarock.explain.answer import (  # noqa: PLC0415
        answer_explain_request,
        create_explain_limit,
    )
    from wisteriarock.explain.dry_run import InstanceView  # noqa: PLC0415

    if instance.explain_limit is None:
        instance.explain_limit = create_explain_limit(instance.loop.time() * 1000)
    view = InstanceView(
        lambda endpoint: find_pool(instance, endpoint),
        lambda count: instance.buffers.can_reserve(count * LEG_COST_BYTES),
    )
    return answer_explain_request(
        instance.dispatch, view, instance.allotments.local, instance.explain_limit, request
    )


def _collect_totals(instance: Instance) -> None:
    counts = instance.counters.counts
    counts["log_lines_dropped",] = instance.log.dropped_total
    counts["budget_refusals",] = instance.budget.refused_total
    counts["evicted_messages",] = instance.buffers.evicted_total


def _do_nothing() -> None:
    """Do nothing: the request was answered at once."""
