"""Types of the directory."""

from typing import NamedTuple

from wisteriarock.balancing.models import Endpoint


class EndpointEntry(NamedTuple):
    """What an endpoint says of itself.

    Attributes
    ----------
    born_ms : int or None
        Unix time of its start: a new value under the same id is a restart.
    cold_left_ms : float
        How much longer it stays slow after its start.
    """

    endpoint_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_draining: bool
    cold_left_ms: float
    born_ms: int | None


class Directory:
    """Endpoints by id, and by service those that may get new work.

    `removed` holds entries that disappeared around an outage of the store, by id with the time
    until which they may still come back.
    """

    __slots__ = ("by_id", "by_service", "lapsed_until_ms", "version")

    def __init__(self) -> None:
        self.by_id: dict[str, Endpoint] = {}
        self.by_service: dict[str, list[Endpoint]] = {}
        self.lapsed_until_ms: dict[str, float] = {}
        self.version = 0


class DirectoryChange(NamedTuple):
    """A change of what the process believes of one endpoint.

    `closes_connections` tells that open connections lead to a former process or address.
    """

    kind: str
    endpoint: Endpoint
    closes_connections: bool
