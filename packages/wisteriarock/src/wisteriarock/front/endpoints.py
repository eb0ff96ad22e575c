"""Follows endpoints that come back, leave or change."""

from typing import TYPE_CHECKING

from wisteriarock.balancing.decide import mark_reachable, restore_zone
from wisteriarock.balancing.models import Endpoint
from wisteriarock.discovery.decide import mark_leaving, remove_entry
from wisteriarock.discovery.models import DirectoryChange

from .cold import suspect_cold, suspect_restart
from .rotation import update_readiness

if TYPE_CHECKING:
    from .instance import Instance


def on_endpoint_reached(instance: "Instance", endpoint: Endpoint) -> None:
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


def on_endpoint_misdirected(instance: "Instance", endpoint: Endpoint) -> None:
    """Remove an endpoint whose address now belongs to another endpoint."""
    now_ms = instance.loop.time() * 1000
    changes = remove_entry(instance.directory, endpoint.endpoint_id, now_ms, may_have_lapsed=False)
    instance.log.record("endpoint_misdirected", endpoint=endpoint.endpoint_id)
    on_directory_changes(instance, changes)


def on_endpoint_leaving(instance: "Instance", endpoint: Endpoint) -> None:
    """Send nothing more to an endpoint that says in a reply that it leaves."""
    changes = mark_leaving(instance.directory, endpoint)
    instance.counters.count("endpoints_leaving")
    instance.log.record("endpoint_leaving", endpoint=endpoint.endpoint_id, service=endpoint.service)
    on_directory_changes(instance, changes)


def on_directory_changes(instance: "Instance", changes: list[DirectoryChange]) -> None:
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
