"""State dump and gauges of an instance."""

from typing import TYPE_CHECKING

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
        "active": len(instance.dispatch.active),
        "connections": len(instance.caller_listener.connections),
        "routes": {
            name: {
                "expected_ms": round(latency.expected_ms, 1),
                "hedge_ms": round(latency.hedge_delay_ms, 1),
            }
            for name, latency in instance.dispatch.latencies.items()
        },
        "gatherers": [gatherer.name for gatherer in instance.dispatch.gatherers.gatherers],
        "budget": {
            service: round(bucket.tokens, 2) for service, bucket in instance.budget.buckets.items()
        },
        "endpoints": {
            endpoint.endpoint_id: {
                "service": endpoint.service,
                "zone": endpoint.zone,
                "is_draining": endpoint.is_draining,
                "is_unreachable": endpoint.is_unreachable,
                "in_flight": len(endpoint.in_flight),
                "slow_ratio": round(endpoint.slow_ratio, 2),
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
        "endpoints_limited": ("Endpoints that name a rate limit", float(limited)),
    }
