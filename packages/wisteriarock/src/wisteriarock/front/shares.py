"""Shares of this instance in the budget for extra legs, connections and rate limits."""

from typing import TYPE_CHECKING

from wisteriarock.dispatch.budget import set_gathered_share, set_instance_count
from wisteriarock.feed.decide import (
    count_assigned_instances,
    count_gatherers,
    count_instances,
)
from wisteriarock.gathering.decide import (
    count_limit_sharers,
    is_assigned,
    replace_gatherers,
    share_budget,
)

from .cold import record_instance_count
from .const import CONNECTION_CAP_SHARE, CONNECTION_LIMIT_DEFAULT, INSTANCES_DEFAULT

if TYPE_CHECKING:
    from .instance import Instance


def update_instance_count(instance: "Instance") -> None:
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


def update_gatherers(instance: "Instance") -> None:
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


def divide_budget(instance: "Instance") -> None:
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


def connection_limit(instance: "Instance", service: str) -> int:
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


def limit_sharers(instance: "Instance", service: str) -> float:
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
