"""Data structures of deployments, of the stand-ins' configurations and of the load plan."""

from typing import NamedTuple, TypedDict

from wisteriarock.bundle.models import BundleContent, KindSpec
from wisteriarock.settings.models import SettingsFile

from wisteriastandins.endpoint.models import EndpointsConfig
from wisteriastandins.platform.models import PlatformConfig
from wisteriastandins.relay.models import RelayConfig

from .const import DEFAULT_SERVICE_MEDIAN_MS, DEFAULT_SERVICE_SIGMA


class ServiceGroup(NamedTuple):
    """Services with equal parameters; all endpoints of a service hold its only shard."""

    name: str
    shard_prefix: str
    services: int
    endpoints: int
    slots: int
    connection_cap: int
    connect_cost_ms: float
    service_median_ms: float = DEFAULT_SERVICE_MEDIAN_MS
    service_sigma: float = DEFAULT_SERVICE_SIGMA


class RequestClass(NamedTuple):
    """A kind of request as one caller sends it.

    `groups` names the service groups whose shards it reads: all shards if `fan_out` is 0,
    else `fan_out` random ones. A lookup requests one lot of its shard. `weight` is its share of
    all requests, relative to the other classes.
    """

    kind: str
    caller: str
    organisation: str
    spec: KindSpec
    weight: float
    deadline_ms: int
    groups: tuple[str, ...]
    fan_out: int
    lookup: bool


class Customer(NamedTuple):
    """Deployment of a customer.

    Delays are one way; `zone_jitter_ms` is added to `zone_delay_ms`.
    """

    name: str
    organisations: tuple[str, ...]
    zones: tuple[str, ...]
    entries_per_zone: int
    zone_delay_ms: float
    zone_jitter_ms: float
    client_delay_ms: float
    lots_per_shard: int
    groups: tuple[ServiceGroup, ...]
    classes: tuple[RequestClass, ...]


class PlanEntry(TypedDict):
    """Addresses of an entry instance."""

    name: str
    zone: str
    host: str
    public_port: int
    internal_port: int


class PlanClass(TypedDict):
    """What the load tool needs to send requests of one class."""

    kind: str
    credential: str
    weight: float
    deadline_ms: int
    repeatable: bool
    shards: list[str]
    fan_out: int
    lookup: bool


class PlanService(TypedDict):
    """Slots and mean service time of a service, from which its capacity is computed."""

    shard: str
    slots: int
    mean_service_ms: float


class PlanEndpoint(TypedDict):
    """Address of an endpoint, for load that bypasses the entry instances."""

    name: str
    zone: str
    host: str
    port: int
    slots: int
    shards: list[str]


class LoadPlan(TypedDict):
    """Input of the load tool, written as `load.json`. It holds credentials of this run only."""

    customer: str
    client_delay_ms: float
    lots_per_shard: int
    entries: list[PlanEntry]
    classes: list[PlanClass]
    services: list[PlanService]
    endpoints: list[PlanEndpoint]
    endpoint_controls: list[str]
    relay_controls: list[str]
    platform_control: str
    operator_token: str


class Topology(NamedTuple):
    """Everything that a run needs, before it is written to files.

    `settings` is keyed by instance, `endpoints` and `relays` by zone.
    """

    customer: Customer
    content: BundleContent
    settings: dict[str, SettingsFile]
    endpoints: dict[str, EndpointsConfig]
    relays: dict[str, RelayConfig]
    platform: PlatformConfig
    plan: LoadPlan
