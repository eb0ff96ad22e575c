"""Data of tickets."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple


class TicketState(StrEnum):
    """What became of a ticket."""

    ISSUED = "issued"
    RUNNING = "running"
    DONE = "done"


@dataclass
class TicketRecord:
    """A ticket of this process; `fingerprint` is set by its first use, `answer` by its end."""

    caller: str
    expires_at_ms: float
    state: TicketState = TicketState.ISSUED
    fingerprint: str = ""
    answer: Any = None


@dataclass
class TicketBook:
    """The tickets that this process issued. The secret never leaves the process."""

    instance: str
    incarnation: str
    secret: bytes
    next_serial: int = 1
    records: dict[int, TicketRecord] = field(default_factory=dict)


class TicketClaims(NamedTuple):
    """What a ticket says; nothing of it is trusted before the issuer has verified it."""

    instance: str
    incarnation: str
    serial: int


class UseDecision(StrEnum):
    """What the issuer does with a request that carries a ticket."""

    RUN = "run"
    WAIT = "wait"
    REPLAY = "replay"
    REFUSE = "refuse"
    UNKNOWN = "unknown"


class Use(NamedTuple):
    """Decision, the serial, and a code and sentence when the request is refused or unknown."""

    decision: UseDecision
    serial: int
    code: str = ""
    message: str = ""
