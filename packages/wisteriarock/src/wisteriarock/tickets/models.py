"""Data of tickets."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple, TypedDict


class TicketState(StrEnum):
    """What became of a ticket. A void one never runs."""

    ISSUED = "issued"
    RUNNING = "running"
    DONE = "done"
    VOID = "void"


@dataclass
class TicketRecord:
    """A ticket; `fingerprint` is set by its first use, `answer` by its end."""

    caller: str
    token_sha256: str
    expires_at_ms: float
    state: TicketState = TicketState.ISSUED
    fingerprint: str = ""
    answer: Any = None


@dataclass
class TicketBook:
    """The tickets that one run of an instance issued, kept by the one process that may run them."""

    instance: str
    incarnation: str
    next_serial: int = 1
    records: dict[int, TicketRecord] = field(default_factory=dict)


class TicketClaims(NamedTuple):
    """What a ticket says; nothing of it is trusted before its record has been compared."""

    instance: str
    incarnation: str
    serial: int


class UseDecision(StrEnum):
    """What the keeper of a book does with a request that carries a ticket."""

    RUN = "run"
    WAIT = "wait"
    REPLAY = "replay"
    REFUSE = "refuse"
    UNKNOWN = "unknown"


class TicketUse(NamedTuple):
    """Decision, the serial, and a code and sentence when the request is refused or unknown."""

    decision: UseDecision
    serial: int
    code: str = ""
    message: str = ""


class HandedOverTicket(TypedDict):
    """An unused ticket that another process may run from now on."""

    serial: int
    caller: str
    token_sha256: str
    expires_in_ms: float


class HandedOverBook(TypedDict):
    """The unused tickets of a book."""

    instance: str
    incarnation: str
    next_serial: int
    tickets: list[HandedOverTicket]


class HandoverBody(TypedDict):
    """Body of `POST /peer/v1/tickets`: the books of a process that stops."""

    books: list[HandedOverBook]
