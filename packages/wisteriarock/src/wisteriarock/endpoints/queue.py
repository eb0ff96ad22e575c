"""Priority queue of an endpoint: decides which legs run, wait, or are dropped."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from wisteriarock.bundle.models import Priority
from wisteriarock.query.models import LegOutcome, LegRequest

from .const import MIN_LEG_MS

_RANKS = {priority.value: rank for rank, priority in enumerate(Priority)}


@dataclass(slots=True)
class QueuedLeg:
    """A leg at its holder. `number` is unique in the queue, as leg ids come from callers."""

    number: int
    leg: LegRequest
    arrived_ms: float
    deadline_at_ms: float
    rank: int


class Dropped(NamedTuple):
    """A leg that left the queue without having run, and why."""

    entry: QueuedLeg
    outcome: LegOutcome


class Place(StrEnum):
    """Where a cancelled leg was."""

    QUEUED = "queued"
    RUNNING = "running"


@dataclass(slots=True)
class LegQueue:
    """Legs of one endpoint: `waiting` by rank in order of arrival, and `running`, by number."""

    waiting: tuple[dict[int, QueuedLeg], ...] = field(
        default_factory=lambda: tuple({} for _ in _RANKS)
    )
    running: dict[int, QueuedLeg] = field(default_factory=dict)
    last_number: int = 0


def queued(queue: LegQueue) -> int:
    """Return the number of waiting legs."""
    return sum(map(len, queue.waiting))


def enqueue(
    queue: LegQueue, leg: LegRequest, now_ms: float, max_queued: int
) -> tuple[QueuedLeg, list[Dropped]]:
    """Add a leg; when too many wait, shed the newest of the least important ones.

    Parameters
    ----------
    queue : LegQueue
        Changed in place.
    leg : LegRequest
        Its `deadline_ms` is the time left now.
    now_ms : float
        Monotonic time.
    max_queued : int
        Most legs that may wait.

    Returns
    -------
    tuple
        The entry of the leg, and the legs shed, which may include it.
    """
    queue.last_number += 1
    rank = _RANKS.get(leg["priority"], len(_RANKS) - 1)
    entry = QueuedLeg(queue.last_number, leg, now_ms, now_ms + leg["deadline_ms"], rank)
    queue.waiting[rank][entry.number] = entry
    if queued(queue) <= max_queued:
        return entry, []
    dropped = drop_expired(queue, now_ms)
    while queued(queue) > max_queued:
        least = next(legs for legs in reversed(queue.waiting) if legs)
        _, shed = least.popitem()
        dropped.append(Dropped(shed, LegOutcome.SHEDDING))
    return entry, dropped


def drop_expired(queue: LegQueue, now_ms: float) -> list[Dropped]:
    """Remove the waiting legs whose deadline can no longer be met."""
    dropped = []
    for legs in queue.waiting:
        late = [e for e in legs.values() if e.deadline_at_ms - now_ms < MIN_LEG_MS]
        for entry in late:
            del legs[entry.number]
            dropped.append(Dropped(entry, LegOutcome.DEADLINE_PASSED))
    return dropped


def drop_all(queue: LegQueue, outcome: LegOutcome) -> list[Dropped]:
    """Remove every waiting leg, with the same outcome."""
    dropped = [Dropped(entry, outcome) for legs in queue.waiting for entry in legs.values()]
    for legs in queue.waiting:
        legs.clear()
    return dropped


def take(
    queue: LegQueue,
    now_ms: float,
    slots: int,
    least_ms: Callable[[str], float] = lambda _: MIN_LEG_MS,
) -> tuple[list[QueuedLeg], list[Dropped]]:
    """Move legs from waiting to running while a slot is free.

    Parameters
    ----------
    queue : LegQueue
        Changed in place.
    now_ms : float
        Monotonic time.
    slots : int
        Most legs that may run.
    least_ms : callable
        Kind to the time below which no leg of this kind is answered.

    Returns
    -------
    tuple
        The legs to start now, and those whose deadline can no longer be met.
    """
    started: list[QueuedLeg] = []
    dropped: list[Dropped] = []
    for legs in queue.waiting:
        while legs and len(queue.running) < slots:
            entry = legs.pop(next(iter(legs)))
            if entry.deadline_at_ms - now_ms < least_ms(entry.leg["kind"]):
                dropped.append(Dropped(entry, LegOutcome.DEADLINE_PASSED))
                continue
            queue.running[entry.number] = entry
            started.append(entry)
    return started, dropped


def finish(queue: LegQueue, entry: QueuedLeg) -> None:
    """Free the slot of a leg; does nothing when it has been freed already."""
    queue.running.pop(entry.number, None)


def cancel(queue: LegQueue, entry: QueuedLeg) -> Place | None:
    """Remove a leg and tell where it was; None when it is no longer here."""
    if queue.waiting[entry.rank].pop(entry.number, None):
        return Place.QUEUED
    if queue.running.pop(entry.number, None):
        return Place.RUNNING
    return None


def next_expiry_ms(queue: LegQueue) -> float | None:
    """Return the monotonic time when the first waiting leg has to be dropped, or None."""
    return min(
        (e.deadline_at_ms - MIN_LEG_MS for legs in queue.waiting for e in legs.values()),
        default=None,
    )
