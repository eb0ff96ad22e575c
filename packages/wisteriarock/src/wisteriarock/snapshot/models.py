"""Data of the index of holdings and of a pinned snapshot."""

from dataclasses import dataclass, field
from typing import NamedTuple

from wisteriarock.membership.models import EndpointView
from wisteriarock.query.models import Partition
from wisteriarock.routing.models import Routes


class PartitionReplicas(NamedTuple):
    """A partition and the endpoints that can serve it."""

    partition: Partition
    endpoints: tuple[str, ...]


ShardPlan = tuple[PartitionReplicas, ...]


class PinnedSnapshot(NamedTuple):
    """The snapshot chosen for a query.

    Attributes
    ----------
    snapshot : int or None
        None when no requested shard can be served in any snapshot.
    shards : dict
        All partitions of each shard, ordered by part.
    missing : dict
        Reason why a shard can't be served in this snapshot, by shard.
    """

    snapshot: int | None
    shards: dict[str, ShardPlan]
    missing: dict[str, str]


Holdings = dict[str, dict[Partition, dict[str, None]]]


@dataclass
class HoldingIndex:
    """Index of the partitions that endpoints hold in each snapshot, according to their views.

    Attributes
    ----------
    indexed_views : dict
        Indexed view by endpoint.
    replicas : dict
        Endpoints by snapshot, shard and partition.
    snapshots : list of int
        Keys of `replicas`, the newest first.
    live_holders : frozenset of str
        Live instances, including this one. Only the endpoints they hold are used.
    routes : Routes or None
        Endpoints and shards that the bundle allows.
    plan_cache : dict
        Cached plan, or reason for its absence, by (snapshot, shard). Cleared when anything above
        changes.
    scanned_at_ms : float
        Time of the last refresh from the blackboard's views.
    """

    indexed_views: dict[str, EndpointView] = field(default_factory=dict)
    replicas: dict[int, Holdings] = field(default_factory=dict)
    snapshots: list[int] = field(default_factory=list)
    live_holders: frozenset[str] = frozenset()
    routes: Routes | None = None
    plan_cache: dict[tuple[int, str], ShardPlan | str] = field(default_factory=dict)
    scanned_at_ms: float = float("-inf")
