"""Keeps up to date whether this instance is in rotation."""

from typing import TYPE_CHECKING

from .readiness import Phase, ReadinessInput, count_reachable_shards, is_isolated, is_ready

if TYPE_CHECKING:
    from .instance import Instance


def readiness_input(instance: "Instance") -> ReadinessInput:
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


def update_readiness(instance: "Instance") -> bool:
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
