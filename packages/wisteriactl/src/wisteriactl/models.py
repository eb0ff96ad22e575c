"""Data of the command line."""

from typing import Any, NamedTuple, NotRequired, TypedDict

from wisteriarock.bundle.models import Envelope, Head
from wisteriarock.platform.models import KeyValue

from .const import ExitCode


class InstanceAddress(TypedDict):
    """Internal listener of an entry instance."""

    instance: str
    zone: str
    host: str
    port: int


class CtlSettingsFile(TypedDict):
    """The settings file. `approver` names the usual approver of this operator's proposals."""

    platform_url: str
    operator: str
    key_path: str
    operator_keys: dict[str, str]
    instances: list[InstanceAddress]
    operator_token: str
    approver: NotRequired[str]


class MemberStatus(TypedDict):
    """An instance as another instance, or itself, sees it."""

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
    """How a command ended; `data` is what `--json` prints beside code and message."""

    code: ExitCode
    message: str
    data: dict[str, Any] = {}


class StoredState(NamedTuple):
    """What was read from the platform in one round.

    `proposals` has those for the revision after the head, by proposer. `values` has further keys
    that were asked for, None for an absent one. `ancestor` is the envelope of an older revision.
    """

    head: Head | None
    head_key_revision: int
    head_envelope: Envelope | None
    proposals: dict[str, KeyValue]
    values: dict[str, KeyValue | None]
    ancestor: Envelope | None = None


class WriteKey(NamedTuple):
    """Write a key by compare-and-swap, then read everything again.

    `pin` is the envelope that the command is about from now on.
    """

    key: str
    value: str
    expected_revision: int
    description: str
    pinned: Envelope


class ReadKeys(NamedTuple):
    """Read further keys, then decide again."""

    keys: tuple[str, ...]


class ReadAncestor(NamedTuple):
    """Walk the chain of envelopes back to a revision, then decide again."""

    revision: int


class Finish(NamedTuple):
    """The command is done."""

    outcome: Outcome


Step = WriteKey | ReadKeys | ReadAncestor | Finish
