"""Configuration and state of links."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NotRequired, TypedDict

# Linux waits at least this long before it sends a lost packet again, if none follows it.
RETRANSMIT_DELAY_MS = 200


class LinkConfig(TypedDict):
    """One link.

    `delay_ms` is one way; each chunk takes up to `jitter_ms` longer. A share `loss_share` of the
    chunks is sent a second time, after `RETRANSMIT_DELAY_MS`, and holds up what follows it.
    """

    name: str
    listen_host: str
    listen_port: int
    target_host: str
    target_port: int
    delay_ms: float
    jitter_ms: float
    loss_share: NotRequired[float]


class RelayConfig(TypedDict):
    """The configuration file of a relay."""

    control_host: str
    control_port: int
    seed: int
    links: list[LinkConfig]


class Action(StrEnum):
    """What a control request does to links."""

    CUT = "cut"
    HEAL = "heal"
    SILENCE = "silence"
    DELAY = "delay"
    CUT_AFTER_BYTES = "cut_after_bytes"


class OpenWhenCut(StrEnum):
    """What a cut does to open connections."""

    RESET = "reset"
    SILENCE = "silence"


class NewWhenCut(StrEnum):
    """What a cut does to new connections."""

    REFUSE = "refuse"
    UNANSWERED = "unanswered"


class LinkControl(TypedDict):
    """Body of `POST /control`; `match` is a shell-style pattern of link names.

    `delay` takes `delay_ms`, `jitter_ms` and optionally `loss_share`, `cut_after_bytes` takes
    `bytes`, and `cut` may take `open` (default `reset`) and `new` (default `refuse`).
    """

    match: str
    action: Action
    delay_ms: NotRequired[float]
    jitter_ms: NotRequired[float]
    loss_share: NotRequired[float]
    bytes: NotRequired[int]
    open: NotRequired[OpenWhenCut]
    new: NotRequired[NewWhenCut]


class LinkRecord(TypedDict):
    """Counts of a link.

    Bytes are those written towards the target (`up`) and back (`down`). `most_late_ms` is by how
    much the loop of the process released a chunk too late, at most.
    """

    connections: int
    failed_connections: int
    cut_connections: int
    bytes_up: int
    bytes_down: int
    most_late_ms: float


@dataclass
class LinkState:
    """State of a link. `cut_after_bytes` applies to the next connection."""

    delay_ms: float
    jitter_ms: float
    rng: random.Random
    loss_share: float = 0.0
    new_when_cut: NewWhenCut | None = None
    cut_after_bytes: int | None = None
    record: LinkRecord = field(
        default_factory=lambda: LinkRecord(
            connections=0,
            failed_connections=0,
            cut_connections=0,
            bytes_up=0,
            bytes_down=0,
            most_late_ms=0.0,
        )
    )


@dataclass(eq=False)
class Pipe:
    """One direction of a connection.

    `queue` has (time of release in milliseconds, data), oldest first; empty data ends the stream.
    `bytes_left` is how much may still pass before the connection is reset. A silent pipe forwards
    nothing, while the other direction may still work.
    """

    queue: deque[tuple[float, bytes]] = field(default_factory=deque)
    queued_bytes: int = 0
    last_release_ms: float = 0.0
    bytes_left: int | None = None
    timer: asyncio.TimerHandle | None = None
    source: asyncio.Transport | None = None
    sink: asyncio.Transport | None = None
    sink_full: bool = False
    source_paused: bool = False
    silent: bool = False
