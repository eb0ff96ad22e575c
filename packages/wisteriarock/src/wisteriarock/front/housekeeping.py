"""Periodic tasks of an instance."""

from collections.abc import Callable, Coroutine
from typing import Any

from wisteriarock.balancing.const import PROBE_INTERVAL_MS, ZONE_PROBES_MAX, ZONE_SILENCE_MS
from wisteriarock.balancing.decide import (
    apply_reported_zone_loss,
    find_unreachable_zones,
    mark_if_unreachable,
    mark_lost_zones,
)
from wisteriarock.balancing.models import Endpoint
from wisteriarock.discovery.changes import (
    drop_lapsed_endpoints,
    end_unconfirmed_evacuations,
    move_evacuated_services,
)
from wisteriarock.discovery.reads import check_store
from wisteriarock.dispatch.controller import apply_notice
from wisteriarock.dispatch.legs import close_abandoned_legs
from wisteriarock.dispatch.limits import update_cold
from wisteriarock.dispatch.resumption import check_resumption
from wisteriarock.feed.following import report_lost_zones
from wisteriarock.feed.notices import report_notice
from wisteriarock.http.const import TIMEOUT_CHECK_INTERVAL_MS
from wisteriarock.quarantine.decide import expire as expire_quarantine

from .const import (
    HOUSEKEEPING_INTERVAL_MS,
    LOG_FLUSH_INTERVAL_MS,
    STORE_CHECK_INTERVAL_MS,
    STORE_CHECK_TIMEOUT_MS,
)
from .instance import Instance, release_held_requests
from .pools import pool_of
from .readiness import ReadinessInput, is_report_due, lacks_shards, zones_to_report
from .rotation import readiness_input, update_readiness
from .shares import update_instance_count


def start(instance: Instance) -> None:
    """Start all periodic tasks."""
    instance.feed.on_lost_zones = lambda zones: _on_lost_zones(instance, zones)
    instance.feed.on_notice = lambda notice: apply_notice(instance.dispatch, notice)
    instance.dispatch.on_deadly = lambda notice: _spawn(
        instance, report_notice(instance.feed, notice)
    )
    _repeat(instance, HOUSEKEEPING_INTERVAL_MS, _check_endpoints)
    _repeat(instance, TIMEOUT_CHECK_INTERVAL_MS, _check_connections)
    _repeat(instance, LOG_FLUSH_INTERVAL_MS, _flush_log)


def _repeat(instance: Instance, interval_ms: float, work: Callable[[Instance], None]) -> None:
    with instance.failures.contain(work.__name__):
        work(instance)
    instance.loop.call_later(interval_ms / 1000, _repeat, instance, interval_ms, work)


def _check_endpoints(instance: Instance) -> None:
    now_ms = instance.loop.time() * 1000
    check_resumption(instance.dispatch)
    close_abandoned_legs(instance.dispatch, now_ms)
    release_held_requests(instance)
    expire_quarantine(instance.dispatch.quarantine, now_ms)
    drop_lapsed_endpoints(instance.discovery)
    end_unconfirmed_evacuations(instance.discovery)
    move_evacuated_services(instance.discovery)
    endpoints = list(instance.directory.by_id.values())
    for zone in mark_lost_zones(endpoints, now_ms):
        instance.log.record("zone_unreachable", zone=zone)
        for endpoint in endpoints:
            if endpoint.zone == zone:
                _withdraw_from(instance, endpoint)
    probes: dict[str, int] = {}
    for endpoint in endpoints:
        if instance.dispatch.has_cold_rates:
            update_cold(instance.dispatch, endpoint, now_ms)
        if mark_if_unreachable(endpoint, now_ms):
            instance.log.record("endpoint_unreachable", endpoint=endpoint.endpoint_id)
            _withdraw_from(instance, endpoint)
        if (
            not endpoint.is_unreachable
            or now_ms < endpoint.next_probe_at_ms
            or endpoint.is_draining
            or endpoint.is_evacuated
        ):
            continue
        if endpoint.is_zone_lost:
            probes[endpoint.zone] = probes.get(endpoint.zone, 0) + 1
            if probes[endpoint.zone] > ZONE_PROBES_MAX:
                continue
        endpoint.next_probe_at_ms = now_ms + PROBE_INTERVAL_MS
        pool_of(instance, endpoint).probe()
    inputs = readiness_input(instance)
    _check_store(instance, inputs, now_ms)
    _report_lost_zones(instance, inputs)


async def verify_lost_zones(instance: Instance, zones: list[str]) -> None:
    """Mark zones reported as lost, if the store does not answer this instance either.

    A zone that has replied lately is not lost. The report may come before the last replies that
    were on their way, so that this is asked after the check of the store.
    """
    if await check_store(instance.discovery, STORE_CHECK_TIMEOUT_MS):
        return
    if not instance.discovery.is_store_silent:
        return
    endpoints = instance.directory.by_id.values()
    reply_since_ms = instance.loop.time() * 1000 - ZONE_SILENCE_MS
    for zone in apply_reported_zone_loss(endpoints, zones, reply_since_ms):
        instance.log.record("zone_unreachable", zone=zone, reported=True)
    update_readiness(instance)


def _on_lost_zones(instance: Instance, zones: list[str]) -> None:
    others = [zone for zone in zones if zone != instance.settings.zone]
    if not others or instance.dispatch.isolated_since_ms is not None:
        return
    _spawn(instance, verify_lost_zones(instance, others))


def _report_lost_zones(instance: Instance, inputs: ReadinessInput) -> None:
    """Report zones that this instance does not reach to the other instances of its zone."""
    unreachable: list[str] = []
    if lacks_shards(inputs):
        endpoints = instance.directory.by_id.values()
        unreachable = find_unreachable_zones(endpoints, instance.settings.zone)
    zones = zones_to_report(inputs, unreachable, instance.reported_zones)
    is_isolated = instance.dispatch.isolated_since_ms is not None
    if is_report_due(
        zones,
        instance.reported_zones,
        was_isolated=instance.was_isolated,
        is_isolated=is_isolated,
    ):
        _spawn(instance, report_lost_zones(instance.feed, list(zones)))
    instance.reported_zones, instance.was_isolated = zones, is_isolated


def _spawn(instance: Instance, work: Coroutine[Any, Any, None]) -> None:
    task = instance.loop.create_task(work)
    instance.tasks.add(task)
    task.add_done_callback(instance.tasks.discard)


def _withdraw_from(instance: Instance, endpoint: Endpoint) -> None:
    pool = instance.pools.get(endpoint.endpoint_id)
    if pool is None:
        return
    for connection in pool.idle[:]:
        connection.close("unreachable")
    pool.return_waiting("unreachable")


def _check_store(instance: Instance, inputs: ReadinessInput, now_ms: float) -> None:
    """Check the store while too few shards are reachable, to detect an isolated instance."""
    state = instance.discovery
    if not inputs.is_loaded or not lacks_shards(inputs):
        return
    if now_ms - state.store_checked_at_ms < STORE_CHECK_INTERVAL_MS:
        return
    _spawn(instance, _check_and_update(instance))


async def _check_and_update(instance: Instance) -> None:
    await check_store(instance.discovery, STORE_CHECK_TIMEOUT_MS)
    update_readiness(instance)


def _check_connections(instance: Instance) -> None:
    """Close timed-out connections; update the number of instances and readiness."""
    now_ms = instance.loop.time() * 1000
    callers, readiness = instance.caller_listener, instance.ready_listener
    for listener in (callers, readiness, instance.peer_listener, instance.metrics_listener):
        for connection in list(listener.connections):
            connection.check_timeouts(now_ms)
    for pool in [*instance.pools.values(), *instance.gatherer_pools.values()]:
        pool.expire_idle(now_ms)
    update_instance_count(instance)
    update_readiness(instance)


def _flush_log(instance: Instance) -> None:
    instance.log.flush()
