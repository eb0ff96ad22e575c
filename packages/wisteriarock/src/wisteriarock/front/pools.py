"""Connection pools of endpoints and gatherers."""

from typing import TYPE_CHECKING

from wisteriarock.balancing.decide import observe_connect_failure
from wisteriarock.balancing.models import Endpoint
from wisteriarock.gathering.const import CONNECTIONS_MAX, IDLE_LIMIT_MS
from wisteriarock.gathering.models import Gatherer
from wisteriarock.http.pool import Pool

from .cold import suspect_restart
from .endpoints import on_endpoint_reached
from .shares import connection_limit

if TYPE_CHECKING:
    from .instance import Instance


def pool_of_gatherer(instance: "Instance", gatherer: Gatherer) -> Pool:
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


def find_pool(instance: "Instance", endpoint: Endpoint) -> Pool | None:
    """Return the connection pool of an endpoint, None if it has none yet."""
    pool = instance.pools.get(endpoint.endpoint_id)
    if pool is not None and (pool.host, pool.port) == (endpoint.host, endpoint.port):
        return pool
    return None


def pool_of(instance: "Instance", endpoint: Endpoint) -> Pool:
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
