"""State of following the store: what was read, and whether the store answers."""

import asyncio
import random
from collections.abc import Callable

from wisteriarock.catalog.models import Catalog, Configuration
from wisteriarock.feed.decide import lacks_era
from wisteriarock.feed.models import FeedState
from wisteriarock.observability.counters import Counters
from wisteriarock.observability.event_log import EventLog
from wisteriarock.observability.failures import FailureReporter
from wisteriarock.store.client import StoreClient
from wisteriarock.store.eras import StoreEras
from wisteriarock.store.models import StoreError, StoreErrorKind, StoreFormat

from .const import LAPSE_WINDOW_MS
from .models import Directory, DirectoryChange


class DiscoveryState:
    """Connection state of the store and the data read from it.

    Attributes
    ----------
    client, check_client : StoreClient
        Clients of the calls that follow the store, and of the checks whether it answers.
    eras : StoreEras
        Highest era of the store that is known.
    last_answer_at_ms : float
        Time of the last answer of the store, to this instance or to the relay that it follows.
    last_direct_answer_at_ms : float
        Time of the last answer of the store to this instance.
    failure_free_since_ms : float
        Time since which the store has answered without failure.
    is_loaded : bool
        Whether the configuration and the endpoints have been read and brought up to date once.
    evacuation_ms : float
        Time within which requests to an evacuated zone must end; 0 to end them at once.
    has_live_feed, is_relay : callable
        Return whether changes arrive from a relay, and whether this instance is a relay.
    on_history_updated : callable
        Called after changes were applied and added to the history for followers.
    outage_ended_at_ms : float
        Time at which the store answered again after an outage.
    is_store_down : bool
        Whether a load or watch has failed and no answer of the store, direct or through a relay,
        has followed.
    is_store_silent : bool
        Whether the last check of the store got no answer.
    store_checked_at_ms : float
        Time at which the last check of the store began.
    running_check : asyncio.Future or None
        Whether the store answers the check that is under way; None if there is none.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        format_: StoreFormat,
        create_client: Callable[[], StoreClient],
        catalog: Catalog,
        directory: Directory,
        feed: FeedState,
        on_changes: Callable[[list[DirectoryChange]], None],
        on_configuration: Callable[[Configuration], None],
        log: EventLog,
        counters: Counters,
        rng: random.Random,
        eras: StoreEras,
    ) -> None:
        self.loop = loop
        self.format = format_
        self.catalog = catalog
        self.directory = directory
        self.feed = feed
        self.on_changes = on_changes
        self.on_configuration = on_configuration
        self.log = log
        self.counters = counters
        self.failures = FailureReporter(log, counters)
        self.rng = rng
        self.eras = eras
        self.last_answer_at_ms = 0.0
        self.outage_ended_at_ms = -LAPSE_WINDOW_MS
        self.is_store_down = False
        self.is_store_silent = False
        self.store_checked_at_ms = 0.0
        self.client = create_client()
        self.check_client = create_client()
        self.running_check: asyncio.Future[bool] | None = None
        self.last_direct_answer_at_ms = 0.0
        self.failure_free_since_ms = 0.0
        self.is_loaded = False
        self.evacuation_ms = 0.0
        self.has_live_feed: Callable[[], bool] = lambda: False
        self.is_relay: Callable[[], bool] = lambda: False
        self.on_history_updated: Callable[[], None] = lambda: None


def loop_time_ms(state: DiscoveryState) -> float:
    """Return the event loop time in ms."""
    return state.loop.time() * 1000


def record_answer(state: DiscoveryState) -> None:
    """Record an answer of the store to this instance."""
    now_ms = loop_time_ms(state)
    state.last_answer_at_ms = state.last_direct_answer_at_ms = now_ms
    state.is_store_silent = False
    if state.is_store_down:
        state.is_store_down = False
        state.outage_ended_at_ms = state.failure_free_since_ms = now_ms
        state.log.record("store_regained")


def record_failure(state: DiscoveryState, error: StoreError) -> None:
    """Record a failed call to the store."""
    state.counters.count("store_failures", error.kind.value)
    if error.kind is StoreErrorKind.NOT_FOUND:
        # The store did answer: the key has not been written yet.
        record_answer(state)
    elif not state.is_store_down:
        state.is_store_down = True
        state.log.record("store_lost", kind=error.kind.value, detail=error.detail)


def is_loading_return(state: DiscoveryState) -> bool:
    """Return whether the store has returned from a copy that this instance has not read yet."""
    return lacks_era(state.feed, state.eras.known)


def is_near_outage(state: DiscoveryState, now_ms: float) -> bool:
    """Return whether entries may have expired because the store had an outage."""
    return state.is_store_down or now_ms - state.outage_ended_at_ms < LAPSE_WINDOW_MS
