"""The parts of a running instance and what each does when another reports a change."""

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

from wisteriarock.balancing.decide import observe_connect_failed, observe_connected, regain_zone
from wisteriarock.balancing.models import Endpoint
from wisteriarock.catalog.models import Catalog, Configuration
from wisteriarock.discovery import controller as discovery
from wisteriarock.discovery.decide import remove_entry
from wisteriarock.discovery.models import Directory, DirectoryChange
from wisteriarock.dispatch.budget import ArrivalBudget, set_instances
from wisteriarock.dispatch.controller import handle_request
from wisteriarock.dispatch.models import Wire
from wisteriarock.dispatch.state import DispatchState
from wisteriarock.feed import controller as feed
from wisteriarock.feed.decide import count_instances, has_live_feed
from wisteriarock.feed.models import FeedState
from wisteriarock.http.front import Answer, CallerRequest, FrontState, Respond
from wisteriarock.http.pool import Pool
from wisteriarock.observability.counters import Counters
from wisteriarock.observability.event_log import EventLog
from wisteriarock.store.client import StoreClient
from wisteriarock.store.models import StoreFormat

from .const import CONNECTIONS_DEFAULT, CONNECTIONS_SHARE, INSTANCES_DEFAULT
from .diagnostics import dump, gauges
from .readiness import Phase, ReadinessInput, is_isolated, is_ready, reachable_share
from .settings import FrontSettings
from .startup import Held, hold, release


class Instance:
    """The parts of a running instance."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: FrontSettings,
        wire: Wire,
        store_format: StoreFormat,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.log = log
        self.counters = Counters()
        self.phase = Phase.STARTING
        self.held = Held(loop.time() * 1000)
        self.was_ready: bool | None = None
        self.was_isolated = False
        self.catalog = Catalog()
        self.directory = Directory()
        self.pools: dict[str, Pool] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.budget = ArrivalBudget(
            settings.extra_ratio,
            settings.extra_fixed,
            settings.extra_window_s,
            INSTANCES_DEFAULT,
        )
        self.instances = INSTANCES_DEFAULT
        self.feed_state = FeedState()
        self.dispatch = DispatchState(
            loop,
            settings.zone,
            self.catalog,
            self.directory,
            self.budget,
            wire,
            lambda endpoint: pool_of(self, endpoint),
            lambda endpoint: on_misdirected(self, endpoint),
            log,
            self.counters,
            rng,
        )
        self.discovery = discovery.DiscoveryState(
            loop,
            store_format,
            lambda: StoreClient(loop, *settings.store, store_format.classify, self.counters),
            self.catalog,
            self.directory,
            self.feed_state,
            lambda changes: on_changes(self, changes),
            lambda configuration: on_configuration(self, configuration),
            log,
            self.counters,
            rng,
        )
        self.feed = feed.Feed(
            loop,
            self.feed_state,
            store_format,
            StoreClient(loop, *settings.store, store_format.classify, self.counters),
            settings.zone,
            settings.instance,
            settings.peer,
            lambda items, answer: discovery.apply_feed_answer(self.discovery, items, answer),
            lambda: loop.time() * 1000 - self.discovery.last_direct_answer_at_ms,
            lambda: calm_ms(self),
            lambda timeout_ms: discovery.check_store(self.discovery, timeout_ms),
            log,
            self.counters,
            rng,
        )
        self.discovery.has_live_feed = lambda: has_live_feed(self.feed_state, loop.time() * 1000)
        self.discovery.is_relay = lambda: feed.is_relay(self.feed)
        self.discovery.on_history_updated = lambda: on_recorded(self)
        self.peer_front = FrontState(
            loop,
            lambda request, respond: feed.handle_follower_request(self.feed, request, respond),
            lambda status, reason: on_refused(self, status, reason),
        )
        self.front = FrontState(
            loop,
            lambda request, respond: handle_caller(self, request, respond),
            lambda status, reason: on_refused(self, status, reason),
        )
        self.ready_front = FrontState(
            loop,
            lambda request, respond: answer_ready(self, respond),
            lambda status, reason: on_refused(self, status, reason),
        )
        self.metrics_front = FrontState(
            loop,
            lambda request, respond: answer_metrics(self, request, respond),
            lambda status, reason: on_refused(self, status, reason),
        )


def handle_caller(
    instance: Instance, request: CallerRequest, respond: Respond
) -> Callable[[], None]:
    """Start a caller's request, or hold it for the moment that loading takes."""
    release_held(instance)
    cancel = None
    if not instance.discovery.is_loaded:
        cancel = hold(instance.held, request, respond)
    return cancel or handle_request(instance.dispatch, request, respond)


def release_held(instance: Instance) -> None:
    """Start the requests that were held if it is time."""
    released = release(
        instance.held,
        lambda request, respond: handle_request(instance.dispatch, request, respond),
        instance.loop.time() * 1000,
        is_loaded=instance.discovery.is_loaded,
    )
    if released:
        loaded = instance.discovery.is_loaded
        instance.log.record("held_requests_released", count=released, loaded=loaded)


def calm_ms(instance: Instance) -> float:
    """Return how long the store has answered this instance without failure."""
    if instance.discovery.is_store_down:
        return 0.0
    return instance.loop.time() * 1000 - instance.discovery.calm_since_ms


def update_instances(instance: Instance) -> None:
    """Divide budget and connections among the instances that live, as far as relays know."""
    now_ms = instance.loop.time() * 1000
    instances = count_instances(instance.feed_state, now_ms)
    if instances is None or instances == instance.instances:
        return
    instance.log.record("instances_counted", before=instance.instances, now=instances)
    instance.instances = instances
    settings = instance.settings
    set_instances(
        instance.budget,
        settings.extra_ratio,
        settings.extra_fixed,
        settings.extra_window_s,
        instances,
    )


def on_recorded(instance: Instance) -> None:
    """Pass changes on to followers, and start what waited for the first ones."""
    feed.wake_followers(instance.feed)
    instance.loop.call_soon(release_held, instance)


def on_refused(instance: Instance, status: int, reason: str) -> None:
    """Note input that was no proper request."""
    instance.counters.count("bad_requests", str(status))
    instance.log.record("bad_request", status=status, reason=reason)


def connection_limit(instance: Instance, service: str) -> int:
    """Return how many connections this instance may hold to an endpoint of a service."""
    found = instance.catalog.services.get(service)
    if found is None or instance.instances == INSTANCES_DEFAULT:
        return CONNECTIONS_DEFAULT
    return max(1, int(found.max_connections * CONNECTIONS_SHARE / instance.instances))


def pool_of(instance: Instance, endpoint: Endpoint) -> Pool:
    """Return the connections to an endpoint, created at first use."""
    pool = instance.pools.get(endpoint.endpoint_id)
    if pool is not None and (pool.host, pool.port) == (endpoint.host, endpoint.port):
        return pool

    def on_connect(is_open: bool) -> None:
        if not is_open:
            observe_connect_failed(endpoint)
            return
        instance.counters.count("connections_opened")
        if endpoint.is_unreachable:
            on_reached(instance, endpoint)

    def on_stray(reason: str) -> None:
        instance.counters.count("stray_replies", reason)
        instance.log.detail("stray_bytes", endpoint=endpoint.endpoint_id, reason=reason)

    pool = Pool(
        instance.loop,
        endpoint.host,
        endpoint.port,
        lambda: connection_limit(instance, endpoint.service),
        on_connect,
        on_stray,
    )
    instance.pools[endpoint.endpoint_id] = pool
    return pool


def on_reached(instance: Instance, endpoint: Endpoint) -> None:
    """Let an endpoint that was unreachable be used again, and its zone if that was lost."""
    if endpoint.is_zone_lost:
        regained = regain_zone(instance.directory.by_id.values(), endpoint.zone)
        instance.log.record("zone_back", zone=endpoint.zone, endpoints=regained)
    else:
        instance.log.record("endpoint_back", endpoint=endpoint.endpoint_id)
        observe_connected(endpoint)
    update_ready(instance)


def on_misdirected(instance: Instance, endpoint: Endpoint) -> None:
    """Stop using an endpoint whose address belongs to another one."""
    now_ms = instance.loop.time() * 1000
    changes = remove_entry(instance.directory, endpoint.endpoint_id, now_ms, may_have_lapsed=False)
    instance.log.record("endpoint_misdirected", endpoint=endpoint.endpoint_id)
    on_changes(instance, changes)


def on_changes(instance: Instance, changes: list[DirectoryChange]) -> None:
    """Close the connections of endpoints that are not used any more."""
    for change in changes:
        if change.kind in ("added", "ready", "lapsed"):
            continue
        if change.kind == "draining":
            pool = instance.pools.get(change.endpoint.endpoint_id)
        else:
            pool = instance.pools.pop(change.endpoint.endpoint_id, None)
        if pool is None:
            continue
        if change.closes_connections:
            pool.close()
        else:
            pool.retire()
    update_ready(instance)


def on_configuration(instance: Instance, configuration: Configuration) -> None:
    """Take over the limits for callers and forget routes that are gone."""
    instance.front.limits = configuration.limits
    names = {route.name for route in configuration.routes}
    latencies = instance.dispatch.latencies
    for name in [name for name in latencies if name not in names]:
        del latencies[name]
    update_ready(instance)


def readiness_input(instance: Instance) -> ReadinessInput:
    """Return what readiness depends on at this moment."""
    reachable, needed = reachable_share(instance.catalog, instance.directory)
    return ReadinessInput(
        instance.phase,
        instance.discovery.is_loaded,
        instance.loop.time() * 1000 - instance.discovery.last_answer_at_ms,
        instance.discovery.is_store_silent,
        reachable,
        needed,
    )


def update_ready(instance: Instance) -> bool:
    """Note when the instance takes itself into or out of rotation; return whether it is in.

    While it is cut off, every answer asks the caller to connect anew, which leads to another zone.
    """
    given = readiness_input(instance)
    ready = is_ready(given)
    isolated = is_isolated(given)
    if not isolated:
        instance.dispatch.isolated_since_ms = None
    elif instance.dispatch.isolated_since_ms is None:
        instance.dispatch.isolated_since_ms = instance.loop.time() * 1000
    instance.front.closes_connections = instance.phase is Phase.DRAINING or isolated
    if ready != instance.was_ready:
        instance.was_ready = ready
        instance.log.record(
            "ready" if ready else "not_ready",
            phase=given.phase.value,
            loaded=given.is_loaded,
            store_age_ms=given.store_age_ms,
            reachable=given.reachable,
            needed=given.needed,
        )
    return ready


def answer_ready(instance: Instance, respond: Respond) -> Callable[[], None]:
    """Answer the balancer."""
    respond(Answer(200 if update_ready(instance) else 503, [], b""))
    return _do_nothing


def answer_metrics(
    instance: Instance, request: CallerRequest, respond: Respond
) -> Callable[[], None]:
    """Answer with the metrics or the state dump."""
    if request.target == b"/metrics":
        # Imported at the first use: the library takes more memory than the rest of the process.
        from wisteriarock.observability.exposition import render  # noqa: PLC0415

        _collect_totals(instance)
        text = render(instance.counters, gauges(instance))
        respond(Answer(200, [(b"Content-Type", b"text/plain; version=0.0.4")], text))
    elif request.target == b"/dump":
        body = json.dumps(dump(instance), indent=1).encode()
        respond(Answer(200, [(b"Content-Type", b"application/json")], body))
    else:
        respond(Answer(404, [], b"metrics or dump"))
    return _do_nothing


def _collect_totals(instance: Instance) -> None:
    counts = instance.counters.counts
    counts["log_lines_dropped",] = instance.log.dropped_total
    counts["budget_refusals",] = instance.budget.refused_total


def _do_nothing() -> None:
    """Cancel nothing: the answer is out."""
