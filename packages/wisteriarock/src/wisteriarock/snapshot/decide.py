"""Index the holdings of endpoints and choose the snapshot of a query."""

from collections.abc import Iterable, Mapping, Sequence

from wisteriarock.membership.models import EndpointState, EndpointView
from wisteriarock.query.models import Partition
from wisteriarock.routing.models import Routes

from .const import REASON_INCONSISTENT_PARTS, REASON_NO_REPLICA, REASON_PART_MISSING
from .models import HoldingIndex, PartitionReplicas, PinnedSnapshot, ShardPlan

# Longest number of a snapshot; `int` raises for very long texts.
SNAPSHOT_MAX_DIGITS = 18
# Endpoints in these states accept no new legs, so their holdings are not indexed.
UNUSABLE_STATES = frozenset({EndpointState.DRAINING, EndpointState.GONE})


def _iter_holdings(view: EndpointView) -> Iterable[tuple[int, Partition]]:
    """Yield the well-formed holdings of a view, or nothing if its endpoint is unusable."""
    if view["state"] in UNUSABLE_STATES:
        return
    for snapshot_text, entries in view["holdings"].items():
        is_number = snapshot_text.isascii() and snapshot_text.isdigit()
        if not is_number or len(snapshot_text) > SNAPSHOT_MAX_DIGITS:
            continue
        for shard, part, parts in entries:
            if 0 <= part < parts:
                yield int(snapshot_text), Partition(shard, part, parts)


def _remove(index: HoldingIndex, view: EndpointView) -> None:
    for snapshot, partition in _iter_holdings(view):
        shards = index.replicas[snapshot]
        partitions = shards[partition.shard]
        endpoints = partitions.get(partition)
        if endpoints is None:
            continue
        endpoints.pop(view["endpoint"], None)
        if not endpoints:
            del partitions[partition]


def _insert(index: HoldingIndex, view: EndpointView) -> None:
    for snapshot, partition in _iter_holdings(view):
        partitions = index.replicas.setdefault(snapshot, {}).setdefault(partition.shard, {})
        partitions.setdefault(partition, {})[view["endpoint"]] = None


def _remove_empty(index: HoldingIndex) -> None:
    """Remove shards and snapshots that no endpoint holds any more."""
    for snapshot in list(index.replicas):
        shards = index.replicas[snapshot]
        for shard in [name for name, partitions in shards.items() if not partitions]:
            del shards[shard]
        if not shards:
            del index.replicas[snapshot]
    index.snapshots = sorted(index.replicas, reverse=True)
    index.plan_cache.clear()


def _same_index_entries(old: EndpointView, new: EndpointView) -> bool:
    """Return whether two views differ at most in load, which the index doesn't use."""
    return (
        old["holder"] == new["holder"]
        and (old["state"] in UNUSABLE_STATES) == (new["state"] in UNUSABLE_STATES)
        and old["holdings"] == new["holdings"]
    )


def refresh_index(
    index: HoldingIndex, views: Mapping[str, EndpointView], now_ms: float
) -> list[EndpointView]:
    """Update the index from the views, which are replaced and never modified in place.

    Parameters
    ----------
    index : HoldingIndex
        Modified in place. Only endpoints whose holdings, holder or usability changed are indexed
        again.
    views : mapping
        Newest view by endpoint.
    now_ms : float
        Monotonic time in milliseconds.

    Returns
    -------
    list of EndpointView
        The views that are new since the last call, including those that differ only in load.
    """
    index.scanned_at_ms = now_ms
    indexed_views = index.indexed_views
    changed = [view for name, view in views.items() if indexed_views.get(name) is not view]
    index_changed = False
    for view in changed:
        name = view["endpoint"]
        old = indexed_views.get(name)
        indexed_views[name] = view
        if old is not None:
            if _same_index_entries(old, view):
                continue
            _remove(index, old)
        _insert(index, view)
        index_changed = True
    if len(indexed_views) != len(views):
        for name in [name for name in indexed_views if name not in views]:
            _remove(index, indexed_views.pop(name))
            index_changed = True
    if index_changed:
        _remove_empty(index)
    return changed


def _is_usable(index: HoldingIndex, routes: Routes | None, endpoint: str, shard: str) -> bool:
    if routes is None or index.indexed_views[endpoint]["holder"] not in index.live_holders:
        return False
    route = routes.endpoints.get(endpoint)
    return route is not None and shard in route.shards


def _plan_shard(index: HoldingIndex, snapshot: int, shard: str) -> ShardPlan | str:
    """Return the partitions of a shard in a snapshot, or the reason why it can't be served."""
    by_parts: dict[int, list[PartitionReplicas]] = {}
    for partition, holders in index.replicas[snapshot].get(shard, {}).items():
        usable = tuple(name for name in holders if _is_usable(index, index.routes, name, shard))
        if usable:
            partition_replicas = by_parts.setdefault(partition.parts, [])
            partition_replicas.append(PartitionReplicas(partition, usable))
    if not by_parts:
        return REASON_NO_REPLICA
    complete_sets = [
        partition_replicas
        for parts, partition_replicas in by_parts.items()
        if len(partition_replicas) == parts
    ]
    if not complete_sets:
        return REASON_INCONSISTENT_PARTS if len(by_parts) > 1 else REASON_PART_MISSING
    # Of several complete sets, use the one whose least replicated partition has most replicas.
    best = max(
        complete_sets,
        key=lambda partition_replicas: (
            min(len(r.endpoints) for r in partition_replicas),
            len(partition_replicas),
        ),
    )
    return tuple(sorted(best))


def set_routes(index: HoldingIndex, routes: Routes, live_holders: frozenset[str]) -> None:
    """Set the bundle's routes and the live holders, and clear plans cached for others."""
    if index.routes is not routes or index.live_holders != live_holders:
        index.routes = routes
        index.live_holders = live_holders
        index.plan_cache.clear()


def find_usable_replicas(
    index: HoldingIndex, routes: Routes, snapshot: int, partition: Partition
) -> list[str]:
    """Return the endpoints among the routes that can now serve a partition in a snapshot."""
    holders = index.replicas.get(snapshot, {}).get(partition.shard, {}).get(partition, {})
    return [name for name in holders if _is_usable(index, routes, name, partition.shard)]


def pin_snapshot(
    index: HoldingIndex, requested_shards: Sequence[str], newer_than: int = -1
) -> PinnedSnapshot:
    """Choose one snapshot for all requested shards.

    Parameters
    ----------
    index : HoldingIndex
        Index of holdings, updated by `refresh_index` and `set_routes`.
    requested_shards : sequence of str
        Names of shards, without duplicates.
    newer_than : int
        Only snapshots with a higher number are considered.

    Returns
    -------
    PinnedSnapshot
        The newest snapshot in which all requested shards can be served. If there is none, the one
        with the best coverage, and of several such snapshots the newest.
    """
    plan_cache = index.plan_cache
    best: int | None = None
    best_misses = len(requested_shards)
    for snapshot in index.snapshots:
        if snapshot <= newer_than or best_misses == 0:
            break
        misses = 0
        for shard in requested_shards:
            plan = plan_cache.get((snapshot, shard))
            if plan is None:
                plan = plan_cache[snapshot, shard] = _plan_shard(index, snapshot, shard)
            if isinstance(plan, str):
                misses += 1
                if misses >= best_misses:
                    break
        if misses < best_misses:
            best, best_misses = snapshot, misses
    shards: dict[str, ShardPlan] = {}
    missing: dict[str, str] = {}
    if best is None:
        newest = next((s for s in index.snapshots if s > newer_than), None)
        for shard in requested_shards:
            plan = REASON_NO_REPLICA if newest is None else _plan_shard(index, newest, shard)
            missing[shard] = plan if isinstance(plan, str) else REASON_NO_REPLICA
        return PinnedSnapshot(None, shards, missing)
    for shard in requested_shards:
        plan = plan_cache[best, shard]
        if isinstance(plan, str):
            missing[shard] = plan
        else:
            shards[shard] = plan
    return PinnedSnapshot(best, shards, missing)
