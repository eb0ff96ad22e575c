"""Data types of the endpoint directory."""

from typing import NamedTuple

from wisteriarock.balancing.models import Endpoint


class EndpointEntry(NamedTuple):
    """The entry that an endpoint registers in the store.

    Attributes
    ----------
    started_at_unix_ms : int or None
        Unix time at which the process started; a new value under the same id means a restart.
    cold_left_ms : float
        Remaining time for which the endpoint is slow after its start.
    """

    endpoint_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_draining: bool
    cold_left_ms: float
    started_at_unix_ms: int | None


class Evacuation:
    """The evacuation of an availability zone, as this instance follows it.

    Attributes
    ----------
    begun_at_ms : float
        Time at which this instance learnt of it.
    within_ms : float
        Time over which the services of the zone move.
    obeyed_since_ms : float or None
        Time since which no endpoint of the zone gets requests, None while services still move.
    """

    __slots__ = ("begun_at_ms", "obeyed_since_ms", "within_ms")

    def __init__(self, begun_at_ms: float, within_ms: float) -> None:
        self.begun_at_ms = begun_at_ms
        self.within_ms = within_ms
        self.obeyed_since_ms: float | None = None


class Departed(NamedTuple):
    """An endpoint that has left: when its process had started, and when it left."""

    started_at_unix_ms: int | None
    at_ms: float


class Directory:
    """Known endpoints, indexed by id and by service.

    Attributes
    ----------
    by_id : dict
        All endpoints, including draining and evacuated ones.
    by_service : dict
        Endpoints that may get new requests, by service.
    departed : dict
        Endpoints that have left lately, by id, the latest ones last.
    evacuations : dict
        Evacuations by availability zone.
    ended_evacuations : dict
        Time at which the evacuation of a zone has ended.
    unconfirmed_evacuations : dict
        For each evacuation that a copy of the store does not show, the time until which it is
        obeyed all the same.
    lapsed_until_ms : dict
        For each endpoint whose entry disappeared around an outage of the store, the time until
        which the entry may reappear.
    version : int
        Incremented with every change of `by_service`.
    """

    __slots__ = (
        "by_id",
        "by_service",
        "departed",
        "ended_evacuations",
        "evacuations",
        "lapsed_until_ms",
        "unconfirmed_evacuations",
        "version",
    )

    def __init__(self) -> None:
        self.by_id: dict[str, Endpoint] = {}
        self.by_service: dict[str, list[Endpoint]] = {}
        self.departed: dict[str, Departed] = {}
        self.evacuations: dict[str, Evacuation] = {}
        self.ended_evacuations: dict[str, float] = {}
        self.unconfirmed_evacuations: dict[str, float] = {}
        self.lapsed_until_ms: dict[str, float] = {}
        self.version = 0


class DirectoryChange(NamedTuple):
    """A change of one endpoint in the directory.

    `closes_connections` is set when open connections lead to a former process or address and must
    be closed.
    """

    kind: str
    endpoint: Endpoint
    closes_connections: bool
