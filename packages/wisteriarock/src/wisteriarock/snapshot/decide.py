"""Choose the snapshot of a query from the endpoints' views."""

from collections.abc import Iterable, Mapping, Sequence

from wisteriarock.membership.models import EndpointState, EndpointView
from wisteriarock.query.models import Partition
from wisteriarock.routing.models import Routes

from .const import REASON_INCONSISTENT_PARTS, REASON_NO_REPLICA, REASON_PART_MISSING
from .models import HoldingIndex, PartitionReplicas, Pinned, ShardPlan

# Endpoints in these states take no new legs, so their holdings don't count.
UNUSABLE_STATES = frozenset({EndpointState.DRAINING, EndpointState.GONE})


def _partitions(view: EndpointView) -> Iterable[tuple[int, Partition]]:
    """Yield the well-formed holdings of a view that may be used."""
    if view["state"] in UNUSABLE_STATES:
        return
    for text, triples in view["holdings"].items():
        if not text.isascii() or not text.isdigit():
            continue
        for shard, part, parts in triples:
            if 0 <= part < parts:
                yield int(text), Partition(shard, part, parts)


def _remove(index: HoldingIndex, view: EndpointView) -> None:
    for snapshot, partition in _partitions(view):
        shards = index.replicas[snapshot]
        partitions = shards[partition.shard]
        endpoints = partitions.get(partition)
        if endpoints is None:
            continue
        endpoints.pop(view["endpoint"], None)
        if not endpoints:
            del partitions[partition]


def _insert(index: HoldingIndex, view: EndpointView) -> None:
    for snapshot, partition in _partitions(view):
        partitions = index.replicas.setdefault(snapshot, {}).setdefault(partition.shard, {})
        partitions.setdefault(partition, {})[view["endpoint"]] = None


def _drop_empty(index: HoldingIndex) -> None:
    """Remove shards and snapshots that no endpoint holds any more."""
    for snapshot in list(index.replicas):
        shards = index.replicas[snapshot]
        for shard in [name for name, partitions in shards.items() if not partitions]:
            del shards[shard]
        if not shards:
            del index.replicas[snapshot]
    index.snapshots = sorted(index.replicas, reverse=True)
    index.plan_cache.clear()


def _same_structure(old: EndpointView, new: EndpointView) -> bool:
    """Tell whether two views differ at most in load, which the index doesn't use."""
    return (
        old["holder"] == new["holder"]
        and (old["state"] in UNUSABLE_STATES) == (new["state"] in UNUSABLE_STATES)
        and old["holdings"] == new["holdings"]
    )


def refresh_index(
    index: HoldingIndex, views: Mapping[str, EndpointView], now_ms: float
) -> list[EndpointView]:
    """Bring the index up to date with the views, which are replaced and never changed in place.

    Parameters
    ----------
    index : HoldingIndex
        Changed in place. Only endpoints whose holdings, holder or usability changed are indexed
        again.
    views : mapping
        Endpoint to its newest view.
    now_ms : float
        Monotonic time in milliseconds.

    Returns
    -------
    list of EndpointView
        The views that are new since the last call, also those that differ only in load.
    """
    index.scanned_at_ms = now_ms
    seen = index.seen
    changed = [view for name, view in views.items() if seen.get(name) is not view]
    restructured = False
    for view in changed:
        name = view["endpoint"]
        old = seen.get(name)
        seen[name] = view
        if old is not None:
            if _same_structure(old, view):
                continue
            _remove(index, old)
        _insert(index, view)
        restructured = True
    if len(seen) != len(views):
        for name in [name for name in seen if name not in views]:
            _remove(index, seen.pop(name))
            restructured = True
    if restructured:
        _drop_empty(index)
    return changed


def _usable(index: HoldingIndex, routes: Routes | None, endpoint: str, shard: str) -> bool:
    if routes is None or index.seen[endpoint]["holder"] not in index.live_holders:
        return False
    route = routes.endpoints.get(endpoint)
    return route is not None and shard in route.shards


def _resolve(index: HoldingIndex, snapshot: int, shard: str) -> ShardPlan | str:
    """Return the partitions of a shard in a snapshot, or the reason why it can't be served."""
    by_parts: dict[int, list[PartitionReplicas]] = {}
    for partition, holders in index.replicas[snapshot].get(shard, {}).items():
        usable = tuple(name for name in holders if _usable(index, index.routes, name, shard))
        if usable:
            found = by_parts.setdefault(partition.parts, [])
            found.append(PartitionReplicas(partition, usable))
    if not by_parts:
        return REASON_NO_REPLICA
    complete = [found for parts, found in by_parts.items() if len(found) == parts]
    if not complete:
        return REASON_INCONSISTENT_PARTS if len(by_parts) > 1 else REASON_PART_MISSING
    # Of several complete sets the one whose scarcest partition has most replicas is used.
    best = max(complete, key=lambda found: (min(len(r.endpoints) for r in found), len(found)))
    return tuple(sorted(best))


def set_routes(index: HoldingIndex, routes: Routes, live_holders: frozenset[str]) -> None:
    """Set which endpoints may be used, and forget plans made for another set."""
    if index.routes is not routes or index.live_holders != live_holders:
        index.routes = routes
        index.live_holders = live_holders
        index.plan_cache.clear()


def replicas_of(
    index: HoldingIndex, routes: Routes, snapshot: int, partition: Partition
) -> list[str]:
    """Return the endpoints of a query's bundle that can serve a partition in a snapshot now."""
    holders = index.replicas.get(snapshot, {}).get(partition.shard, {}).get(partition, {})
    return [name for name in holders if _usable(index, routes, name, partition.shard)]


def pin_snapshot(index: HoldingIndex, wanted: Sequence[str], newer_than: int = -1) -> Pinned:
    """Choose one snapshot for all wanted shards.

    Parameters
    ----------
    index : HoldingIndex
        The endpoint views and the live holders, see `refresh_index` and `set_routes`.
    wanted : sequence of str
        Names of shards, without duplicates.
    newer_than : int
        Only snapshots above this one are considered.

    Returns
    -------
    Pinned
        The newest snapshot in which all wanted shards can be served. If there is none, the one
        with the best coverage, and the newest among equals.
    """
    plan_cache = index.plan_cache
    best: int | None = None
    best_misses = len(wanted)
    for snapshot in index.snapshots:
        if snapshot <= newer_than or best_misses == 0:
            break
        misses = 0
        for shard in wanted:
            plan = plan_cache.get((snapshot, shard))
            if plan is None:
                plan = plan_cache[snapshot, shard] = _resolve(index, snapshot, shard)
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
        for shard in wanted:
            plan = REASON_NO_REPLICA if newest is None else _resolve(index, newest, shard)
            missing[shard] = plan if isinstance(plan, str) else REASON_NO_REPLICA
        return Pinned(None, shards, missing)
    for shard in wanted:
        plan = plan_cache[best, shard]
        if isinstance(plan, str):
            missing[shard] = plan
        else:
            shards[shard] = plan
    return Pinned(best, shards, missing)
