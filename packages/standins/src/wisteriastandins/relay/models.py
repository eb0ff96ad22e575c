"""Configuration and state of links."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NotRequired, TypedDict

# Minimum retransmission timeout of Linux, which applies if no packet follows the lost one.
RETRANSMIT_DELAY_MS = 200


class LinkConfig(TypedDict):
    """One link.

    `delay_ms` is the one-way delay, to which each chunk adds up to `jitter_ms`. A share
    `loss_share` of the chunks is retransmitted after `RETRANSMIT_DELAY_MS` and delays the chunks
    behind it.
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
    """Configuration file of a relay."""

    control_host: str
    control_port: int
    seed: int
    links: list[LinkConfig]


class Action(StrEnum):
    """Action of a control request on links."""

    CUT = "cut"
    HEAL = "heal"
    SILENCE = "silence"
    DELAY = "delay"
    CUT_AFTER_BYTES = "cut_after_bytes"


class OpenWhenCut(StrEnum):
    """Effect of a cut on open connections."""

    RESET = "reset"
    SILENCE = "silence"


class NewWhenCut(StrEnum):
    """Effect of a cut on new connections."""

    REFUSE = "refuse"
    UNANSWERED = "unanswered"


class LinkControl(TypedDict):
    """Body of `POST /control`; `match` is a shell-style pattern for link names.

    `delay` requires `delay_ms` and `jitter_ms` and accepts `loss_share`. `cut_after_bytes` requires
    `bytes`. `cut` accepts `open` (default `reset`) and `new` (default `refuse`).
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
    """Counters of a link.

    Bytes are counted when they are written to the target (`up`) or to the client (`down`).
    `most_late_ms` is the longest delay with which the event loop released a chunk.
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

    `queue` holds (release time in milliseconds, data), oldest first; empty data ends the stream.
    `bytes_left` is the number of bytes to forward before the connection is reset. A silent pipe
    forwards nothing, while the other direction may still work.
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
