"""Types of the configuration."""

from typing import NamedTuple


class WeightedService(NamedTuple):
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests of one host and path prefix are served.

    Attributes
    ----------
    idempotent : bool
        Whether a request may run more than once.
    timeout_ms : float
        The longest time that the operator wants a request kept waiting.
    latency_target_ms : float
        The time within which an answer has its full value to the caller.
    max_attempts : int
        The number of endpoints that one request may run on, for each shard separately.
    priority : int
        Rank among the routes; 0 is the highest.
    targets : tuple of WeightedService
        The services of a plain route; empty where `shards` is set.
    shards : tuple of str
        The services of a fan-out, one for each shard; empty on a plain route.
    top_count : int
        The number of records in the answer of a fan-out.
    min_coverage : float
        The share of shards (0 to 1) below which a fan-out has failed.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_ms: float
    latency_target_ms: float
    max_attempts: int
    priority: int
    targets: tuple[WeightedService, ...]
    shards: tuple[str, ...]
    top_count: int
    min_coverage: float


class Service(NamedTuple):
    """A service that endpoints belong to."""

    name: str
    health_path: str
    max_connections: int


class Limits(NamedTuple):
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class Configuration(NamedTuple):
    """One version of the configuration, complete."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits


class Catalog:
    """The version in force, indexed for lookups.

    `credits` keeps the state of the weighted round robin by route name and service.
    """

    __slots__ = ("configuration", "current_weights", "index", "services", "adopted_at_ms")

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.adopted_at_ms = 0.0
        self.index: dict[str, dict[str, Route]] = {}
        self.services: dict[str, Service] = {}
        self.current_weights: dict[str, dict[str, float]] = {}
