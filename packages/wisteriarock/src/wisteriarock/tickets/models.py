"""Data model of tickets."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple, TypedDict


class TicketState(StrEnum):
    """State of a ticket. A void ticket never runs."""

    ISSUED = "issued"
    RUNNING = "running"
    DONE = "done"
    VOID = "void"


@dataclass
class TicketRecord:
    """An issued ticket; `fingerprint` is set at its first use, `answer` when its run ends."""

    caller: str
    token_sha256: str
    expires_at_ms: float
    state: TicketState = TicketState.ISSUED
    fingerprint: str = ""
    answer: Any = None


@dataclass
class TicketBook:
    """Tickets of one incarnation of an instance, owned by the one process that may run them."""

    instance: str
    incarnation: str
    next_serial: int = 1
    records: dict[int, TicketRecord] = field(default_factory=dict)


class TicketClaims(NamedTuple):
    """Contents of a ticket, untrusted until its hash is compared with the record."""

    instance: str
    incarnation: str
    serial: int


class UseDecision(StrEnum):
    """How the owner of a book handles a request with a ticket."""

    RUN = "run"
    WAIT = "wait"
    REPLAY = "replay"
    REFUSE = "refuse"
    UNKNOWN = "unknown"


class TicketUse(NamedTuple):
    """Decision for a ticket; `code` and `message` are set if it is `REFUSE` or `UNKNOWN`."""

    decision: UseDecision
    serial: int
    code: str = ""
    message: str = ""


class HandedOverTicket(TypedDict):
    """An unused ticket that is handed over to another process."""

    serial: int
    caller: str
    token_sha256: str
    expires_in_ms: float


class HandedOverBook(TypedDict):
    """The unused tickets of a book that is handed over."""

    instance: str
    incarnation: str
    next_serial: int
    tickets: list[HandedOverTicket]


class HandoverBody(TypedDict):
    """Body of `POST /peer/v1/tickets`: the books of a stopping process."""

    books: list[HandedOverBook]
