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


class Pinned(NamedTuple):
    """The snapshot chosen for a query.

    Attributes
    ----------
    snapshot : int or None
        None when no wanted shard can be served in any snapshot.
    shards : dict
        Shard to all its partitions, ordered by part.
    missing : dict
        Shard to the reason why it can't be served in this snapshot.
    """

    snapshot: int | None
    shards: dict[str, ShardPlan]
    missing: dict[str, str]


Holdings = dict[str, dict[Partition, dict[str, None]]]


@dataclass
class HoldingIndex:
    """Which endpoints hold which partition in which snapshot, as their views say.

    Attributes
    ----------
    seen : dict
        Endpoint to the view that is indexed.
    replicas : dict
        Snapshot to shard to partition to endpoints.
    snapshots : list of int
        Keys of `replicas`, the newest first.
    live_holders : frozenset of str
        Instances that answer for the endpoints they hold.
    routes : Routes or None
        Endpoints and shards that the bundle allows.
    resolved : dict
        Cache of (snapshot, shard) to its plan or reason. Emptied when anything above changes.
    scanned_at_ms : float
        Time of the last comparison with the blackboard's views.
    """

    seen: dict[str, EndpointView] = field(default_factory=dict)
    replicas: dict[int, Holdings] = field(default_factory=dict)
    snapshots: list[int] = field(default_factory=list)
    live_holders: frozenset[str] = frozenset()
    routes: Routes | None = None
    plan_cache: dict[tuple[int, str], ShardPlan | str] = field(default_factory=dict)
    scanned_at_ms: float = float("-inf")
