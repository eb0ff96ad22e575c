"""State of the feed of an instance, as follower or as relay."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from wisteriarock.gathering.models import FanOutShape
from wisteriarock.observability.counters import Counters
from wisteriarock.observability.event_log import EventLog
from wisteriarock.quarantine.models import Notice
from wisteriarock.store.client import StoreClient
from wisteriarock.store.eras import StoreEras
from wisteriarock.store.models import Item, StoreErrorKind, StoreFormat

from .models import FeedAnswer, FeedState


class Feed:
    """The feed of an instance, as follower or as relay.

    Attributes
    ----------
    apply_answer : callable
        Applies the changes of a relay's answer.
    store_age_ms, failure_free_ms : callable
        Return the time since the last answer of the store to this instance, and how long the store
        has answered without failure.
    check_store : callable
        Checks within a timeout whether the store answers this instance.
    is_callable : bool
        Whether the listener for other instances is open; without it, this instance can be neither
        relay nor gatherer.
    is_cut_off : bool
        Whether the store does not answer this relay, so that its followers need another source.
    waiting_followers : list of callable
        Callbacks that answer followers whose poll waits for changes.
    on_notice : callable
        Called with each notice of a request that ends endpoints.
    on_lost_zones : callable
        Called with the zones that another instance of the local zone cannot reach.
    capacity_cores : float
        Processing capacity of this instance.
    fan_out_shape : callable
        Returns the size of the largest fan-out of the configuration in force.
    eras : StoreEras
        Highest era of the store that is known.
    returned_at_ms : float
        Time at which this instance learnt that the store has returned from an older copy.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        state: FeedState,
        format_: StoreFormat,
        store: StoreClient,
        zone: str,
        instance: str,
        address: tuple[str, int],
        apply_answer: Callable[[list[Item], FeedAnswer], None],
        store_age_ms: Callable[[], float],
        failure_free_ms: Callable[[], float],
        check_store: Callable[[float], Awaitable[bool]],
        log: EventLog,
        counters: Counters,
        rng: random.Random,
        capacity_cores: float,
        fan_out_shape: Callable[[], FanOutShape],
        eras: StoreEras,
    ) -> None:
        self.loop = loop
        self.state = state
        self.format = format_
        self.store = store
        self.zone = zone
        self.instance = instance
        self.address = address
        self.apply_answer = apply_answer
        self.store_age_ms = store_age_ms
        self.failure_free_ms = failure_free_ms
        self.check_store = check_store
        self.log = log
        self.counters = counters
        self.rng = rng
        self.capacity_cores = capacity_cores
        self.fan_out_shape = fan_out_shape
        self.eras = eras
        self.returned_at_ms = float("-inf")
        self.is_stopping = False
        self.is_callable = False
        self.is_cut_off = False
        self.waiting_followers: list[Callable[[], None]] = []
        self.on_notice: Callable[[Notice], None] = lambda notice: None
        self.on_lost_zones: Callable[[list[str]], None] = lambda zones: None


def loop_time_ms(feed: Feed) -> float:
    """Return the event loop time in ms."""
    return feed.loop.time() * 1000


def offered_capacity_cores(feed: Feed) -> float:
    """Return the capacity that this instance offers as a gatherer, 0 if it cannot be one."""
    return feed.capacity_cores if feed.is_callable and not feed.is_stopping else 0.0


def is_relay(feed: Feed) -> bool:
    """Return whether this instance is the relay of its zone."""
    return feed.state.lease is not None


def note_return(feed: Feed) -> None:
    """Take note that the store has returned from an older copy.

    The registration of this relay may be gone, or be that of another one.
    """
    feed.returned_at_ms = loop_time_ms(feed)
    feed.state.is_registration_unsure = is_relay(feed)


def wake_followers(feed: Feed) -> None:
    """Wake the followers whose poll waits for changes."""
    waiting_followers, feed.waiting_followers = feed.waiting_followers, []
    for wake in waiting_followers:
        wake()


def classify_relay_status(status: int) -> StoreErrorKind | None:
    """Return the kind of error of a relay's status, or None for success."""
    if status == 200:
        return None
    return StoreErrorKind.HISTORY_GONE if status == 410 else StoreErrorKind.REFUSED
