"""Priority queue of an endpoint: decides which legs run, wait or are dropped."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from wisteriarock.bundle.models import Priority
from wisteriarock.query.models import LegOutcome, LegRequest

from .const import MIN_LEG_MS

_PRIORITY_RANKS = {priority.value: rank for rank, priority in enumerate(Priority)}


@dataclass(slots=True)
class QueuedLeg:
    """Queue entry of a leg.

    `number` identifies the entry; leg ids come from callers and need not be unique.
    """

    number: int
    leg: LegRequest
    arrived_at_ms: float
    deadline_at_ms: float
    rank: int


class DroppedLeg(NamedTuple):
    """A leg that was removed from the queue without having run, and its outcome."""

    entry: QueuedLeg
    outcome: LegOutcome


class LegLocation(StrEnum):
    """Where a leg was when it was cancelled."""

    QUEUED = "queued"
    RUNNING = "running"


@dataclass(slots=True)
class LegQueue:
    """Waiting and running legs of one endpoint, by number.

    `waiting` has one dictionary for each priority rank, in order of arrival.
    """

    waiting: tuple[dict[int, QueuedLeg], ...] = field(
        default_factory=lambda: tuple({} for _ in _PRIORITY_RANKS)
    )
    running: dict[int, QueuedLeg] = field(default_factory=dict)
    last_number: int = 0


def count_waiting(queue: LegQueue) -> int:
    """Return the number of waiting legs."""
    return sum(map(len, queue.waiting))


def enqueue(
    queue: LegQueue, leg: LegRequest, now_ms: float, max_queued: int
) -> tuple[QueuedLeg, list[DroppedLeg]]:
    """Add a leg; if too many legs wait, shed the newest ones of the lowest priority.

    Parameters
    ----------
    queue : LegQueue
        Changed in place.
    leg : LegRequest
        Leg to add; its `deadline_ms` is the time left from now.
    now_ms : float
        Monotonic time.
    max_queued : int
        Maximum number of waiting legs.

    Returns
    -------
    tuple
        The entry of the leg, and the dropped legs, which may include it.
    """
    queue.last_number += 1
    rank = _PRIORITY_RANKS.get(leg["priority"], len(_PRIORITY_RANKS) - 1)
    entry = QueuedLeg(queue.last_number, leg, now_ms, now_ms + leg["deadline_ms"], rank)
    queue.waiting[rank][entry.number] = entry
    if count_waiting(queue) <= max_queued:
        return entry, []
    dropped = drop_expired(queue, now_ms)
    while count_waiting(queue) > max_queued:
        lowest = next(legs for legs in reversed(queue.waiting) if legs)
        _, shed_entry = lowest.popitem()
        dropped.append(DroppedLeg(shed_entry, LegOutcome.SHEDDING))
    return entry, dropped


def drop_expired(queue: LegQueue, now_ms: float) -> list[DroppedLeg]:
    """Remove the waiting legs that can no longer meet their deadline."""
    dropped = []
    for legs in queue.waiting:
        expired = [entry for entry in legs.values() if entry.deadline_at_ms - now_ms < MIN_LEG_MS]
        for entry in expired:
            del legs[entry.number]
            dropped.append(DroppedLeg(entry, LegOutcome.DEADLINE_PASSED))
    return dropped


def drop_all(queue: LegQueue, outcome: LegOutcome) -> list[DroppedLeg]:
    """Remove all waiting legs with the given outcome."""
    dropped = [DroppedLeg(entry, outcome) for legs in queue.waiting for entry in legs.values()]
    for legs in queue.waiting:
        legs.clear()
    return dropped


def start_waiting_legs(
    queue: LegQueue,
    now_ms: float,
    slots: int,
    min_service_ms: Callable[[str], float] = lambda _: MIN_LEG_MS,
) -> tuple[list[QueuedLeg], list[DroppedLeg]]:
    """Move legs from waiting to running while slots are free.

    Parameters
    ----------
    queue : LegQueue
        Changed in place.
    now_ms : float
        Monotonic time.
    slots : int
        Maximum number of running legs.
    min_service_ms : callable
        Returns the minimum service time of a kind. A leg with less time left is dropped.

    Returns
    -------
    tuple
        The legs to start, and the legs dropped because they can no longer meet their deadline.
    """
    started: list[QueuedLeg] = []
    dropped: list[DroppedLeg] = []
    for legs in queue.waiting:
        while legs and len(queue.running) < slots:
            entry = legs.pop(next(iter(legs)))
            if entry.deadline_at_ms - now_ms < min_service_ms(entry.leg["kind"]):
                dropped.append(DroppedLeg(entry, LegOutcome.DEADLINE_PASSED))
                continue
            queue.running[entry.number] = entry
            started.append(entry)
    return started, dropped


def free_slot(queue: LegQueue, entry: QueuedLeg) -> None:
    """Free the slot of a leg; no-op if it is already free."""
    queue.running.pop(entry.number, None)


def cancel_leg(queue: LegQueue, entry: QueuedLeg) -> LegLocation | None:
    """Remove a leg and return where it was; None if it has already left the queue."""
    if queue.waiting[entry.rank].pop(entry.number, None):
        return LegLocation.QUEUED
    if queue.running.pop(entry.number, None):
        return LegLocation.RUNNING
    return None


def next_expiry_at_ms(queue: LegQueue) -> float | None:
    """Return the monotonic time at which the next waiting leg expires; None if none waits."""
    return min(
        (entry.deadline_at_ms - MIN_LEG_MS for legs in queue.waiting for entry in legs.values()),
        default=None,
    )
