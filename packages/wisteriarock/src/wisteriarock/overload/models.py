"""State of the order of service under overload."""

import enum
import math
from collections.abc import Callable
from typing import NamedTuple

# Priority of the customer, then of the route; the lowest rank goes first.
Rank = tuple[int, int]


class RefusalReason(enum.Enum):
    """Reason for which work is refused for lack of room; nothing of it has run."""

    BUSY = "busy"
    UNSERVABLE = "unservable"
    QUEUE_FULL = "queue_full"
    DISPLACED = "displaced"
    TOO_LATE = "too_late"


class Refusal(NamedTuple):
    """Refusal of work, with the time after which the customer's queue has room."""

    reason: RefusalReason
    retry_after_ms: float


class Work(NamedTuple):
    """Work that asks for places in a room.

    Attributes
    ----------
    customer : str
        Name of the customer; empty if the request has none.
    weight : float
        Share of the customer in relation to the others of its rank.
    places : float
        Number of places that the work takes.
    hold_ms : float
        Time for which work of this kind usually holds them.
    enter_by_ms : float
        Time by which the work has to be expected to start, or else its caller is sent away to come
        back: the caller's answer would be later than the latency target.
    start_by_ms : float
        Time after which the work cannot end before its caller's deadline.
    start, refuse : callable
        Called once, by the room's owner, when waiting work starts or is refused.
    """

    customer: str
    rank: Rank
    weight: float
    places: float
    hold_ms: float
    enter_by_ms: float
    start_by_ms: float
    start: Callable[[], None]
    refuse: Callable[[Refusal], None]


class CustomerUse:
    """What a customer uses of a room.

    Attributes
    ----------
    asked, started : float
        Decaying counts of the work that was asked for and started, as of `counted_at_ms`.
    virtual_end : float
        Virtual time at which the work that has started ends, if every customer had exactly its
        weighted share of the time of all places.
    waiting : list of Work
        Waiting work, the next one first.
    """

    __slots__ = ("asked", "counted_at_ms", "started", "virtual_end", "waiting")

    def __init__(self, now_ms: float) -> None:
        self.asked = 0.0
        self.started = 0.0
        self.counted_at_ms = now_ms
        self.virtual_end = 0.0
        self.waiting: list[Work] = []


class Room:
    """Places for work under way, and the bounded queues of the customers that wait for one.

    Attributes
    ----------
    places : float
        Places that may be in use at the same time; a single work that needs more may still start.
    used : float
        Places in use.
    used_ms : float
        Places in use, each multiplied by the time for which its work usually holds it.
    pace : float
        Moving average of the time for which work held its places, relative to the usual time.
    virtual_time : float
        Virtual time at which the work that started last began.
    total : CustomerUse
        Counts of all customers together.
    """

    __slots__ = (
        "name",
        "pace",
        "places",
        "total",
        "used",
        "used_ms",
        "uses",
        "virtual_time",
        "waiting_count",
    )

    def __init__(self, name: str, places: float, now_ms: float) -> None:
        self.name = name
        self.places = places
        self.used = 0.0
        self.used_ms = 0.0
        self.pace = 1.0
        self.virtual_time = 0.0
        self.total = CustomerUse(now_ms)
        self.uses: dict[str, CustomerUse] = {}
        self.waiting_count = 0


class Stay:
    """A query in a room, or waiting for one.

    Attributes
    ----------
    started_at_ms : float or None
        Time at which its work started; None while it waits.
    """

    __slots__ = ("room", "started_at_ms", "work")

    def __init__(self, room: Room, work: Work) -> None:
        self.room = room
        self.work = work
        self.started_at_ms: float | None = None


class LegUse:
    """Decaying count of the legs sent for a customer, as of `counted_at_ms`."""

    __slots__ = ("counted_at_ms", "legs", "weight")

    def __init__(self, weight: float, now_ms: float) -> None:
        self.weight = weight
        self.legs = 0.0
        self.counted_at_ms = now_ms


class OverloadState:
    """State of one instance; empty as long as the configuration names no customers.

    Attributes
    ----------
    processor : Room
        Room for the legs of fan-outs that this instance processes.
    average_weight : float
        Average allotment of the customers that have one.
    version : int
        Version of the configuration from which this and the size of that room were derived.
    services : dict
        Rooms of the services that are short of slots.
    short_until_ms : dict
        Time until which a service counts as short of room.
    legs : dict
        Legs sent lately, by customer.
    """

    __slots__ = ("average_weight", "legs", "processor", "services", "short_until_ms", "version")

    def __init__(self) -> None:
        self.processor = Room("processor", math.inf, 0.0)
        self.version = 0
        self.average_weight = 1.0
        self.services: dict[str, Room] = {}
        self.short_until_ms: dict[str, float] = {}
        self.legs: dict[str, LegUse] = {}
