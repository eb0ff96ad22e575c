"""State dump and gauges of an instance."""

from typing import TYPE_CHECKING

from wisteriarock.balancing.diagnostics import describe_load, load_spread
from wisteriarock.customers.diagnostics import customers_diagnostics
from wisteriarock.overload.diagnostics import dump_overload, overload_gauges

if TYPE_CHECKING:
    from .instance import Instance


def dump(instance: "Instance") -> dict[str, object]:
    """Return the state of the process, without secrets."""
    configuration = instance.catalog.configuration
    now_ms = instance.loop.time() * 1000
    return {
        "instance": instance.settings.instance,
        "zone": instance.settings.zone,
        "phase": instance.phase.value,
        "is_ready": instance.was_ready,
        "configuration_version": configuration.version if configuration else None,
        "store_age_ms": round(now_ms - instance.discovery.last_answer_at_ms),
        "store_era": instance.eras.known,
        "store_position": list(instance.feed_state.position),
        "active": len(instance.dispatch.active),
        "connections": len(instance.caller_listener.connections),
        "routes": {
            name: {
                "expected_ms": round(latency.expected_ms, 1),
                "hedge_ms": round(latency.hedge_delay_ms, 1),
            }
            for name, latency in instance.dispatch.latencies.items()
        },
        "evacuations": {
            zone: {
                "known_for_ms": round(now_ms - evacuation.begun_at_ms),
                "obeyed_for_ms": (
                    None
                    if evacuation.obeyed_since_ms is None
                    else round(now_ms - evacuation.obeyed_since_ms)
                ),
            }
            for zone, evacuation in instance.directory.evacuations.items()
        },
        "allotments": (
            customers_diagnostics(
                instance.catalog, instance.allotments.local, instance.allotments.totals, now_ms
            )
            if instance.has_allotments
            else None
        ),
        "gatherers": [gatherer.name for gatherer in instance.dispatch.gatherers.gatherers],
        "budget": {
            service: round(bucket.tokens, 2) for service, bucket in instance.budget.buckets.items()
        },
        "overload": dump_overload(instance.dispatch.overload, now_ms),
        "endpoints": {
            endpoint.endpoint_id: {
                "service": endpoint.service,
                "zone": endpoint.zone,
                "is_draining": endpoint.is_draining,
                "is_evacuated": endpoint.is_evacuated,
                "is_unreachable": endpoint.is_unreachable,
                "cold_for_ms": max(0, round(endpoint.cold_until_ms - now_ms)),
                "cold_rate_per_s": endpoint.cold_limit.per_s if endpoint.cold_limit else None,
                "in_flight": len(endpoint.in_flight),
                "slow_ratio": round(endpoint.slow_ratio, 2),
                "speed_ratio": round(endpoint.speed_ratio, 2),
                "load": describe_load(endpoint, now_ms),
                "error_rate": round(endpoint.error_rate, 2),
                "rate_limit_per_s": endpoint.rate_limit.per_s if endpoint.rate_limit else None,
            }
            for endpoint in instance.directory.by_id.values()
        },
    }


def gauges(instance: "Instance") -> dict[str, tuple[str, float]]:
    """Return the help text and the value of each gauge, by name."""
    configuration = instance.catalog.configuration
    endpoints = instance.directory.by_id.values()
    unreachable = sum(endpoint.is_unreachable for endpoint in endpoints)
    limited = sum(endpoint.rate_limit is not None for endpoint in endpoints)
    cold = sum(endpoint.cold_until_ms > instance.loop.time() * 1000 for endpoint in endpoints)
    cold_limited = sum(endpoint.cold_limit is not None for endpoint in endpoints)
    evacuated = sum(endpoint.is_evacuated for endpoint in endpoints)
    evacuations = instance.directory.evacuations.values()
    obeyed = sum(evacuation.obeyed_since_ms is not None for evacuation in evacuations)
    now_s = instance.loop.time()
    return {
        "ready": ("Whether the instance is in rotation", float(bool(instance.was_ready))),
        "configuration_version": (
            "Version of the configuration in force",
            float(configuration.version if configuration else 0),
        ),
        "store_age_seconds": (
            "Time since the store answered",
            now_s - instance.discovery.last_answer_at_ms / 1000,
        ),
        "store_era": ("Highest era of the store that is known", float(instance.eras.known)),
        "store_return_age_seconds": (
            "Time since the store's return from an older copy was noticed, -1 if it never was",
            now_s - instance.feed.returned_at_ms / 1000 if instance.feed.returned_at_ms > 0 else -1,
        ),
        "active_requests": ("Requests in progress", float(len(instance.dispatch.active))),
        "caller_connections": (
            "Open connections",
            float(len(instance.caller_listener.connections)),
        ),
        "buffered_bytes": (
            "Memory of incomplete messages, requests sent ahead and unread answers",
            float(instance.buffers.total_bytes),
        ),
        "reserved_bytes": (
            "Memory counted for requests under way",
            float(instance.buffers.reserved_bytes),
        ),
        "endpoints": ("Endpoints known", float(len(endpoints))),
        "endpoints_unreachable": ("Endpoints that cannot be reached", float(unreachable)),
        "customers_limited": (
            "Customers of which only a share of the requests is admitted",
            float(len(instance.allotments.local.orders)),
        ),
        "endpoints_limited": ("Endpoints that name a rate limit", float(limited)),
        "load_spread_ratio": (
            "Load of the busiest endpoint of a service over the mean, as seen, over all services",
            load_spread(instance.directory.by_service.values(), now_s * 1000),
        ),
        "endpoints_cold": ("Endpoints that have started lately", float(cold)),
        "endpoints_cold_limited": (
            "Endpoints whose service limits requests to cold ones",
            float(cold_limited),
        ),
        "evacuations_known": ("Zones that are to be evacuated", float(len(evacuations))),
        "evacuations_obeyed": ("Zones whose endpoints get no more requests", float(obeyed)),
        "endpoints_evacuated": ("Endpoints withdrawn as their zone is evacuated", float(evacuated)),
        **overload_gauges(instance.dispatch.overload, now_s * 1000),
    }
