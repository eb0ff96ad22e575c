"""Data types of the configuration."""

from typing import NamedTuple


class WeightedService(NamedTuple):
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Rules for serving the requests of one host and path prefix.

    Attributes
    ----------
    idempotent : bool
        Whether a request may run more than once.
    timeout_ms : float
        Maximum time that a request may take, as set by the operator.
    latency_target_ms : float
        Response time up to which an answer has its full value to the caller.
    max_attempts : int
        Maximum number of endpoints on which one request may run, for each shard separately.
    priority : int
        Priority among the routes; 0 is the highest.
    targets : tuple of WeightedService
        Weighted services of a plain route; empty if `shards` is set.
    shards : tuple of str
        Services of a fan-out route, one for each shard; empty on a plain route.
    top_count : int
        Number of records in the answer of a fan-out.
    min_coverage : float
        Share of shards (0 to 1) below which a fan-out fails.
    is_public : bool
        Whether requests need no key although the configuration names customers.
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
    is_public: bool = False


class Service(NamedTuple):
    """A service under which endpoints register.

    Attributes
    ----------
    warmup_ms : float
        Time for which an endpoint is cold after its start; 0 if it is not stated.
    cold_rate_per_s : float
        Requests per second that a cold endpoint takes from all instances together; 0 if the
        configuration states no limit.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_ms: float = 0.0
    cold_rate_per_s: float = 0.0


class Customer(NamedTuple):
    """A customer with its keys and its allotment of requests.

    Attributes
    ----------
    key_digests : frozenset of bytes
        Digests of the keys; the keys themselves are not kept.
    priority : int or None
        Priority of all requests of the customer, before that of their route; 0 is the highest.
    rate_per_s, burst : float
        Allotment over all instances together; a rate of 0 means no limit.
    """

    name: str
    key_digests: frozenset[bytes]
    priority: int | None
    rate_per_s: float
    burst: float


class Limits(NamedTuple):
    """Limits on the size and timing of callers' requests."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class Configuration(NamedTuple):
    """One complete version of the configuration.

    Attributes
    ----------
    needs_key : bool
        Whether requests on routes that are not public need the key of a customer, even if no
        customer is left to hold one. Malformed customers are left out of `customers`, but do not
        open the routes to callers without a key.
    odd_customers : tuple of str
        Why entries of customers, or keys of them, were left out.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
    customers: tuple[Customer, ...] = ()
    needs_key: bool = False
    odd_customers: tuple[str, ...] = ()


class Catalog:
    """The configuration in force, indexed for lookups.

    Attributes
    ----------
    customers : dict
        Customers by name.
    customers_by_key : dict
        Customers by the digests of their keys.
    customers_with_shared_keys : frozenset of str
        Names of customers that name a key of another one; such a key is no key.
    index : dict
        Routes by host and path prefix.
    current_weights : dict
        State of the smooth weighted round robin, by route name and service.
    """

    __slots__ = (
        "adopted_at_ms",
        "configuration",
        "current_weights",
        "customers",
        "customers_by_key",
        "customers_with_shared_keys",
        "index",
        "services",
    )

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.adopted_at_ms = 0.0
        self.customers: dict[str, Customer] = {}
        self.customers_by_key: dict[bytes, Customer] = {}
        self.customers_with_shared_keys: frozenset[str] = frozenset()
        self.index: dict[str, dict[str, Route]] = {}
        self.services: dict[str, Service] = {}
        self.current_weights: dict[str, dict[str, float]] = {}
