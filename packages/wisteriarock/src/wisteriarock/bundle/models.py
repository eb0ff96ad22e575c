"""Data of a bundle."""

from enum import StrEnum
from typing import Any, NamedTuple, NotRequired, TypedDict


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


class SignedBundle(TypedDict):
    """Content with its envelope, as peers, the bundle file and tools carry it."""

    envelope: Envelope
    content: BundleContent


class RawBundle(TypedDict):
    """A body whose content is not checked yet."""

    envelope: Envelope
    content: Any


class ContentError(NamedTuple):
    """One error of a content: the path of the field, what was found and what is allowed."""

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

    `WRONG_BODY` blames the source: the body is not the one that was asked for. The others hold for
    the bundle from whatever source it comes.
    """

    WRONG_BODY = "wrong_body"
    SIGNATURE = "signature"
    CONTENT = "content"


class BundleRefusal(NamedTuple):
    """A body that was refused; `detail` is for a person and holds no secret."""

    fault: BundleFault
    detail: str


class AdoptionError(StrEnum):
    """Why a verified bundle does not replace the one in force."""

    NOT_NEWER = "not_newer"
    CHAIN_BROKEN = "chain_broken"


class BundleSource(StrEnum):
    """Where a bundle came from."""

    NONE = "none"
    PLATFORM = "platform"
    PEER = "peer"
    FILE = "file"


class HeadClaim(NamedTuple):
    """A head that a source named; it is not verified."""

    revision: int
    digest: str


class PeerHead(NamedTuple):
    """The head that a peer's last heartbeat named, and when, on the local monotonic clock."""

    claim: HeadClaim
    heard_at_ms: float
