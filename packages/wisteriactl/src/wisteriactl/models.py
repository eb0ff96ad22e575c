"""Data models of the command line."""

from typing import Any, NamedTuple, NotRequired, TypedDict

from wisteriarock.bundle.models import Envelope, Head
from wisteriarock.platform.models import KeyValue

from .const import ExitCode


class InstanceAddress(TypedDict):
    """Address of the internal listener of an entry instance."""

    instance: str
    zone: str
    host: str
    port: int


class CtlSettingsFile(TypedDict):
    """The settings file; `approver` is the default approver of this operator's proposals."""

    platform_url: str
    operator: str
    key_path: str
    operator_keys: dict[str, str]
    instances: list[InstanceAddress]
    operator_token: str
    approver: NotRequired[str]


class MemberStatus(TypedDict):
    """Status of an instance as reported by itself or by another instance."""

    instance: str
    zone: str
    revision: int
    digest: str
    phase: str
    heard_ago_ms: float


class StatusReply(TypedDict):
    """Body of `GET /ops/v1/status`."""

    instance: str
    zone: str
    revision: int
    digest: str
    phase: str
    members: list[MemberStatus]


class Outcome(NamedTuple):
    """Result of a command; `--json` prints `data` in addition to code and message."""

    code: ExitCode
    message: str
    data: dict[str, Any] = {}


class StoredState(NamedTuple):
    """What one round read from the platform.

    `proposals` holds the proposals for the revision after the head, by proposer. `values` holds the
    keys read in addition, with None for an absent key. `ancestor` is the envelope of an older
    revision.
    """

    head: Head | None
    head_key_revision: int
    head_envelope: Envelope | None
    proposals: dict[str, KeyValue]
    values: dict[str, KeyValue | None]
    ancestor: Envelope | None = None


class WriteKey(NamedTuple):
    """Write a key by compare-and-swap, then start a new round.

    `pinned` is the envelope that all later rounds of the command work on.
    """

    key: str
    value: str
    expected_revision: int
    description: str
    pinned: Envelope


class ReadKeys(NamedTuple):
    """Read additional keys, then decide again."""

    keys: tuple[str, ...]


class ReadAncestor(NamedTuple):
    """Follow the chain of envelopes back to a revision, then decide again."""

    revision: int


class Finish(NamedTuple):
    """End the command with an outcome."""

    outcome: Outcome


Step = WriteKey | ReadKeys | ReadAncestor | Finish
