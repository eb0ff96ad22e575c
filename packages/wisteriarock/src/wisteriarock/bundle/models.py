"""Data of a bundle."""

from enum import StrEnum
from typing import NamedTuple, NotRequired, TypedDict


class CoverageRule(StrEnum):
    """When an answer may be returned."""

    WAIT_ALL = "wait_all"
    EARLY = "early"


class Priority(StrEnum):
    """Order in which requests are served when slots are short, most important first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BACKGROUND = "background"


class CallerSpec(TypedDict):
    """A caller of an organisation; `credential_sha256` is a hexadecimal digest."""

    organisation: str
    credential_sha256: str
    kinds: list[str]
    shards: list[str]
    cost_per_s: float
    cost_burst: float


class KindSpec(TypedDict):
    """A kind of request. The `early_` fields are present when `coverage` is `early`."""

    cost_per_leg: float
    deadline_max_ms: int
    coverage: CoverageRule
    priority: Priority
    idempotent: bool
    hedge: bool
    early_after_ms: NotRequired[int]
    early_min_coverage: NotRequired[float]


class EndpointSpec(TypedDict):
    """An endpoint of a service; `connect_cost_ms` is the usual cost of a new connection."""

    zone: str
    host: str
    port: int
    slots: int
    connection_cap: int
    connect_cost_ms: float


class ServiceSpec(TypedDict):
    """A service: its endpoints by name, and the shards it may hold."""

    endpoints: dict[str, EndpointSpec]
    shards: list[str]


class BudgetSpec(TypedDict):
    """Limits on extra load, in legs for each 100 primary legs."""

    extra_legs_per_100: float
    extra_legs_burst: float


class BundleContent(TypedDict):
    """What operators configure. Keys of the dictionaries are names."""

    format: int
    organisations: list[str]
    callers: dict[str, CallerSpec]
    kinds: dict[str, KindSpec]
    services: dict[str, ServiceSpec]
    budgets: BudgetSpec


class Envelope(TypedDict):
    """Signed statement that a content is the given revision; signatures are in base64.

    `previous_digest` is the digest of the envelope of the previous revision, empty for the first.
    """

    revision: int
    content_digest: str
    previous_digest: str
    proposer: str
    approver: str
    proposer_signature: str
    approver_signature: str


class Head(TypedDict):
    """Value of the platform key `bundle/head`; `digest` is that of the envelope."""

    revision: int
    digest: str
    operation_id: str


class ActiveBundle(NamedTuple):
    """The bundle in force on this instance."""

    revision: int
    digest: str
    content: BundleContent
    envelope: Envelope
