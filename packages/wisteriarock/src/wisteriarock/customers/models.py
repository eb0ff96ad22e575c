"""Data types of allotments."""

from typing import NamedTuple

from wisteriarock.limits.token_bucket import TokenBucket


class Tolerance(NamedTuple):
    """Requests above the allotment that are tolerated in a window.

    Attributes
    ----------
    window_s : float
        Length of the window.
    ratio, fixed : float
        Tolerated excess: a share of the allotment of the window, and a number of requests.
    """

    window_s: float = 5.0
    ratio: float = 0.0
    fixed: float = 0.0


class Counts(NamedTuple):
    """Requests of a customer.

    Attributes
    ----------
    asked, admitted : int
        All that it asked for, and those of them that were admitted.
    back : int
        Those of all whose caller came back after an earlier attempt.
    """

    asked: int
    admitted: int
    back: int = 0


class Order(NamedTuple):
    """How to treat the requests of a customer that is near its allotment.

    Attributes
    ----------
    share : float
        Share (0 to 1) of the first attempts to admit.
    wait_ms : float
        Time after which a refused one may come back.
    back_share : float
        Share of the later attempts to admit.
    """

    share: float
    wait_ms: float
    back_share: float = 0.0


class Report(NamedTuple):
    """Counts that an instance, or a relay for all its members, has not reported before.

    Attributes
    ----------
    sender, zone : str
        Name and zone of the instance.
    members : dict
        Number of instances for which it speaks, by their zone; empty if it speaks for itself only.
    counts : dict
        Counts by customer.
    bound_ms : float
        Time for which another relay may still count the sender as its member.
    """

    sender: str
    zone: str
    members: dict[str, int]
    counts: dict[str, Counts]
    bound_ms: float = 0.0


class OrdersAnswer(NamedTuple):
    """Answer of a relay: all orders in force.

    Attributes
    ----------
    is_settled : bool
        Whether the relay has watched long enough to lift orders of its predecessor.
    interval_ms : float
        Shortest interval at which it wants reports of an instance.
    """

    relay: str
    version: int
    is_settled: bool
    interval_ms: float
    orders: dict[str, Order]


class Member(NamedTuple):
    """An instance that reports to a relay.

    Attributes
    ----------
    seen_at_ms : float
        Time of its last message.
    counted_from_ms : float
        Time from which no other relay counts it any more.
    """

    zone: str
    seen_at_ms: float
    counted_from_ms: float


class Usage:
    """What this instance has done for one customer.

    Attributes
    ----------
    share : TokenBucket
        Equal share of the allotment, used without contact to a relay. Requests that are admitted
        with contact are taken from it as well, so that a loss of contact gives nothing new.
    """

    __slots__ = ("admitted", "refused", "share")

    def __init__(self, started_at_ms: float) -> None:
        self.admitted = 0
        self.refused = 0
        self.share = TokenBucket(0.0, 0.0, 0.0, started_at_ms)


class LocalAllotments:
    """Allotments as one instance uses them.

    Attributes
    ----------
    usage : dict
        Usage by customer, of those with a limit that have sent requests here.
    pending : dict
        Counts by customer that were not reported yet.
    pending_since_ms : float or None
        Time of the oldest admitted request that no relay has confirmed.
    orders, orders_at_ms
        Orders in force, and the time at which a relay last confirmed them.
    heard_at_ms : float
        Time of the last answer of a relay.
    interval_ms : float
        Shortest interval of reports.
    counted_until_ms : dict
        Time until which a relay that was called may count this instance, by its name.
    calls : dict
        Start times of the calls under way, by the relay.
    started_at_ms : float
        Time at which the process started.
    relay, version
        The relay that last answered, and the version of its orders.
    """

    def __init__(self, tolerance: Tolerance, now_ms: float) -> None:
        self.tolerance = tolerance
        self.started_at_ms = now_ms
        self.usage: dict[str, Usage] = {}
        self.pending: dict[str, Counts] = {}
        self.pending_since_ms: float | None = None
        self.orders: dict[str, Order] = {}
        self.orders_at_ms = 0.0
        self.heard_at_ms = float("-inf")
        self.interval_ms = 0.0
        self.relay = ""
        self.counted_until_ms: dict[str, float] = {}
        self.calls: dict[str, list[float]] = {}
        self.version = 0


class CustomerTotal:
    """What a relay knows of the requests of one customer at all instances.

    `tokens` may be negative. `asked_per_s`, and the part `back_per_s` of callers that have come
    back, decay with time since `updated_at_ms`. `calm_asked` and `calm_back` are the last requests
    without an order, and those of them that look like later attempts.
    """

    __slots__ = (
        "asked_per_s",
        "back_per_s",
        "calm_asked",
        "calm_back",
        "tokens",
        "updated_at_ms",
    )

    def __init__(self, now_ms: float) -> None:
        self.tokens = 0.0
        self.asked_per_s = 0.0
        self.back_per_s = 0.0
        self.calm_asked = 0.0
        self.calm_back = 0.0
        self.updated_at_ms = now_ms


class Outbox:
    """Counts that another relay has not got yet, the oldest of them since `since_ms`."""

    __slots__ = ("counts", "sent_at_ms", "since_ms")

    def __init__(self) -> None:
        self.counts: dict[str, Counts] = {}
        self.since_ms: float | None = None
        self.sent_at_ms = float("-inf")


class Totals:
    """Allotments as the relay of a zone sees them.

    Attributes
    ----------
    customers : dict
        Totals by customer, of those that have sent requests lately.
    members : dict
        Each instance that reports to this relay.
    member_counts, counted_at_ms
        Number of members by zone, and the time at which they were counted.
    peers : dict
        Number of members of each other relay by zone, with the time of that information.
    outboxes : dict
        Counts of the members that another relay has not got yet, by its name.
    orders, version
        Orders in force, and a number that grows with each change, the last one at `changed_at_ms`.
    incomplete_at_ms : float
        Last time at which too few instances were heard of; at first the start of the relay.
    started_at_ms : float
        Time at which this instance became relay.
    """

    def __init__(self, name: str, zone: str, tolerance: Tolerance, now_ms: float) -> None:
        self.name = name
        self.zone = zone
        self.tolerance = tolerance
        self.customers: dict[str, CustomerTotal] = {}
        self.members: dict[str, Member] = {}
        self.member_counts: dict[str, int] = {}
        self.counted_at_ms = float("-inf")
        self.peers: dict[str, tuple[dict[str, int], float]] = {}
        self.outboxes: dict[str, Outbox] = {}
        self.orders: dict[str, Order] = {}
        self.version = 1
        self.changed_at_ms = now_ms
        self.incomplete_at_ms = now_ms
        self.started_at_ms = now_ms
