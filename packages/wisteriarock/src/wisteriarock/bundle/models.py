"""Data types of bundles and of their distribution."""

from enum import StrEnum
from typing import Any, NamedTuple, NotRequired, TypedDict


class CoverageRule(StrEnum):
    """Whether a query waits for all shards or may return an early, partial answer."""

    WAIT_ALL = "wait_all"
    EARLY = "early"


class Priority(StrEnum):
    """Priority of requests that compete for slots, highest first."""

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
    """A kind of request; the `early_` fields are present only if `coverage` is `early`."""

    cost_per_leg: float
    deadline_max_ms: int
    coverage: CoverageRule
    priority: Priority
    idempotent: bool
    hedge: bool
    early_after_ms: NotRequired[int]
    early_min_coverage: NotRequired[float]


class EndpointSpec(TypedDict):
    """An endpoint of a service; `connect_cost_ms` is the typical cost of a new connection."""

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
    """Limits on extra load: extra legs per 100 primary legs, and the burst in legs."""

    extra_legs_per_100: float
    extra_legs_burst: float


class BundleContent(TypedDict):
    """The configuration in a bundle; dictionaries are keyed by name."""

    format: int
    organisations: list[str]
    callers: dict[str, CallerSpec]
    kinds: dict[str, KindSpec]
    services: dict[str, ServiceSpec]
    budgets: BudgetSpec


class Envelope(TypedDict):
    """Signed statement that binds a content to a revision; signatures are in base64.

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
    """Value of the platform key `bundle/head`; `digest` is the digest of the envelope."""

    revision: int
    digest: str
    operation_id: str


class ActiveBundle(NamedTuple):
    """A verified bundle; `digest` is the digest of its envelope."""

    revision: int
    digest: str
    content: BundleContent
    envelope: Envelope


class SignedBundle(TypedDict):
    """An envelope and its content, as peers, the bundle file and tools exchange them."""

    envelope: Envelope
    content: BundleContent


class RawBundle(TypedDict):
    """A body with unchecked content."""

    envelope: Envelope
    content: Any


class ContentError(NamedTuple):
    """An error in a content: the path of the field, the value found and the values allowed."""

    path: str
    found: str
    allowed: str


class SignatureError(StrEnum):
    """Why an envelope was refused."""

    MALFORMED = "malformed"
    UNSIGNED = "unsigned"
    HALF_SIGNED = "half_signed"
    SELF_APPROVED = "self_approved"
    UNKNOWN_OPERATOR = "unknown_operator"
    INVALID_KEY = "invalid_key"
    INVALID_SIGNATURE = "invalid_signature"


class BundleFault(StrEnum):
    """Why the body of a bundle was refused.

    `WRONG_BODY` is a fault of the source: it did not return the requested body, so another source
    may still succeed. The other faults are in the bundle itself, whatever its source.
    """

    WRONG_BODY = "wrong_body"
    SIGNATURE = "signature"
    CONTENT = "content"


class BundleRefusal(NamedTuple):
    """Reason for refusing a body; `detail` is for operators and contains no secret."""

    fault: BundleFault
    detail: str


class AdoptionError(StrEnum):
    """Why a verified bundle does not replace the active one."""

    NOT_NEWER = "not_newer"
    CHAIN_BROKEN = "chain_broken"


class BundleSource(StrEnum):
    """Source of a bundle."""

    NONE = "none"
    PLATFORM = "platform"
    PEER = "peer"
    FILE = "file"


class HeadClaim(NamedTuple):
    """An unverified head, as reported by a source."""

    revision: int
    digest: str


class PeerHead(NamedTuple):
    """Head in a peer's last heartbeat; `received_at_ms` is on the local monotonic clock."""

    claim: HeadClaim
    received_at_ms: float
