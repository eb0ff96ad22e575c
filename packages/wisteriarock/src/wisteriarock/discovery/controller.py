"""Follows changes of the configuration and of endpoint entries in the store."""

import asyncio
import random
from collections.abc import Callable

from wisteriarock.catalog.decide import adopt
from wisteriarock.catalog.models import Catalog, Configuration
from wisteriarock.customers.diagnostics import report_odd_customers
from wisteriarock.feed.const import RELAY_KEY_PREFIX, RELAY_WAIT_MS
from wisteriarock.feed.decide import (
    apply_relay_item,
    count_instances,
    record_changes,
    reset_history,
)
from wisteriarock.feed.models import FeedAnswer, FeedState
from wisteriarock.observability.counters import Counters
from wisteriarock.observability.event_log import EventLog
from wisteriarock.observability.failures import FailureReporter, run_supervised
from wisteriarock.store.client import StoreClient
from wisteriarock.store.models import Item, Snapshot, StoreError, StoreErrorKind, StoreFormat

from .const import (
    CATCH_UP_WAIT_MS,
    COALESCE_MS,
    FEED_CHECK_INTERVAL_MS,
    LAPSE_WINDOW_MS,
    READ_TIMEOUT_MS,
    RETRY_BACKOFF_MIN_MS,
    WATCH_SLACK_MS,
    WATCH_WAIT_MS,
)
from .decide import (
    apply_entry,
    changes_since,
    expire_lapsed,
    remove_entry,
    resync,
    retry_backoff_max_ms,
)
from .evacuation import advance_evacuations, begin_evacuation, end_evacuation
from .models import Directory, DirectoryChange, EndpointEntry

# Errors of a watch after which only a full load brings this instance up to date: the changes are
# gone, too many at once, or malformed.
_UNREADABLE_WATCH = frozenset(
    {StoreErrorKind.HISTORY_GONE, StoreErrorKind.TOO_LARGE, StoreErrorKind.BAD_REPLY}
)


class DiscoveryState:
    """Connection state of the store and the data read from it.

    Attributes
    ----------
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
    ) -> None:
        self.loop = loop
        self.format = format_
        self.create_client = create_client
        self.catalog = catalog
        self.directory = directory
        self.feed = feed
        self.on_changes = on_changes
        self.on_configuration = on_configuration
        self.log = log
        self.counters = counters
        self.failures = FailureReporter(log, counters)
        self.rng = rng
        self.last_answer_at_ms = 0.0
        self.outage_ended_at_ms = -LAPSE_WINDOW_MS
        self.is_store_down = False
        self.is_store_silent = False
        self.store_checked_at_ms = 0.0
        self.check_client = create_client()
        self.running_check: asyncio.Future[bool] | None = None
        self.last_direct_answer_at_ms = 0.0
        self.failure_free_since_ms = 0.0
        self.is_loaded = False
        self.evacuation_ms = 0.0
        self.has_live_feed: Callable[[], bool] = lambda: False
        self.is_relay: Callable[[], bool] = lambda: False
        self.on_history_updated: Callable[[], None] = lambda: None


def _now_ms(state: DiscoveryState) -> float:
    return state.loop.time() * 1000


def _record_answer(state: DiscoveryState) -> None:
    now_ms = _now_ms(state)
    state.last_answer_at_ms = state.last_direct_answer_at_ms = now_ms
    state.is_store_silent = False
    if state.is_store_down:
        state.is_store_down = False
        state.outage_ended_at_ms = state.failure_free_since_ms = now_ms
        state.log.record("store_regained")


def _record_failure(state: DiscoveryState, error: StoreError) -> None:
    state.counters.count("store_failures", error.kind.value)
    if error.kind is StoreErrorKind.NOT_FOUND:
        # The store did answer: the key has not been written yet.
        _record_answer(state)
    elif not state.is_store_down:
        state.is_store_down = True
        state.log.record("store_lost", kind=error.kind.value, detail=error.detail)


def _is_near_outage(state: DiscoveryState, now_ms: float) -> bool:
    return state.is_store_down or now_ms - state.outage_ended_at_ms < LAPSE_WINDOW_MS


def _notify_changes(state: DiscoveryState, changes: list[DirectoryChange]) -> None:
    for change in changes:
        endpoint = change.endpoint
        state.log.record(
            "endpoint_" + change.kind,
            endpoint=endpoint.endpoint_id,
            service=endpoint.service,
            address=f"{endpoint.host}:{endpoint.port}",
            zone=endpoint.zone,
        )
    if changes:
        state.on_changes(changes)


def apply_configuration(state: DiscoveryState, value: bytes, revision: int) -> None:
    """Put a configuration in force unless it is malformed or not newer than the current one."""
    configuration = state.format.decode_configuration(value)
    if isinstance(configuration, str):
        state.log.record("configuration_bad", revision=revision, reason=configuration)
        return
    now_ms = _now_ms(state)
    if not adopt(state.catalog, configuration, now_ms):
        return
    state.log.record(
        "configuration_taken",
        version=configuration.version,
        revision=revision,
        routes=len(configuration.routes),
    )
    report_odd_customers(state.catalog, state.log, state.counters)
    state.on_configuration(configuration)


def _decode_entry(state: DiscoveryState, item: Item) -> EndpointEntry | None:
    """Decode the entry of an endpoint; log and count an entry that names none."""
    reason = "unexpected error"
    with state.failures.contain("decode_entry", key=item.key):
        entry = state.format.decode_endpoint(item.key, item.value or b"")
        if not isinstance(entry, str):
            return entry
        reason = entry
    state.counters.count("malformed_entries")
    state.log.detail("entry_bad", key=item.key, reason=reason)
    return None


def _apply_event(state: DiscoveryState, item: Item) -> None:
    now_ms = _now_ms(state)
    endpoint_id = item.key.removeprefix(state.format.endpoints_prefix)
    if item.value is None:
        changes = remove_entry(
            state.directory, endpoint_id, now_ms, may_have_lapsed=_is_near_outage(state, now_ms)
        )
    else:
        entry = _decode_entry(state, item)
        if entry is None:
            changes = remove_entry(state.directory, endpoint_id, now_ms, may_have_lapsed=False)
        else:
            changes = apply_entry(state.directory, entry, now_ms)
    _notify_changes(state, changes)


def _apply_evacuation(state: DiscoveryState, item: Item, *, is_news: bool) -> None:
    """Begin or end the evacuation of a zone.

    News that may have waited for an outage to end leaves no time to move the services one by one.
    """
    now_ms = _now_ms(state)
    zone = item.key.removeprefix(state.format.evacuations_prefix)
    if item.value is None:
        ended, changes = end_evacuation(state.directory, zone, now_ms)
        if ended is not None:
            state.log.record(
                "evacuation_ended",
                zone=zone,
                endpoints=len(changes),
                lasted_ms=now_ms - ended.begun_at_ms,
            )
        state.on_changes(changes)
        return
    is_timely = is_news and not _is_near_outage(state, now_ms)
    if zone not in state.directory.evacuations:
        state.counters.count("evacuations")
        state.log.record("evacuation_begun", zone=zone, revision=item.revision, timely=is_timely)
    within_ms = state.evacuation_ms if is_timely else 0.0
    changes = begin_evacuation(state.directory, zone, now_ms, within_ms=within_ms)
    _notify_evacuated(state, changes, now_ms)


def _notify_evacuated(state: DiscoveryState, changes: list[DirectoryChange], now_ms: float) -> None:
    """Pass on the endpoints that have moved, and log the evacuations that are obeyed from now."""
    for zone, evacuation in state.directory.evacuations.items():
        if evacuation.obeyed_since_ms == now_ms:
            took_ms = now_ms - evacuation.begun_at_ms
            state.log.record("evacuation_obeyed", zone=zone, took_ms=took_ms)
    if changes:
        state.on_changes(changes)


def move_evacuated_services(state: DiscoveryState) -> None:
    """Withdraw the endpoints of evacuated zones whose service is due to move."""
    evacuations = state.directory.evacuations.values()
    if any(evacuation.obeyed_since_ms is None for evacuation in evacuations):
        now_ms = _now_ms(state)
        _notify_evacuated(state, advance_evacuations(state.directory, now_ms), now_ms)


def drop_lapsed_endpoints(state: DiscoveryState) -> None:
    """Remove endpoints whose entries did not reappear in time after an outage of the store."""
    if state.directory.lapsed_until_ms:
        _notify_changes(state, expire_lapsed(state.directory, _now_ms(state)))


async def check_store(state: DiscoveryState, timeout_ms: float) -> bool:
    """Check with a cheap read whether the store answers this instance.

    A check that is under way serves all who ask.

    Returns
    -------
    bool
        Whether the read succeeded. A refusal returns False, but shows that the store is reachable,
        and so clears `is_store_silent`.
    """
    if state.running_check is not None:
        return await asyncio.shield(state.running_check)
    state.running_check = running = asyncio.get_running_loop().create_future()
    is_answered = False
    try:
        is_answered = await _read_from_store(state, timeout_ms)
    finally:
        state.running_check = None
        running.set_result(is_answered)
    return is_answered


async def _read_from_store(state: DiscoveryState, timeout_ms: float) -> bool:
    state.store_checked_at_ms = _now_ms(state)
    call = state.format.encode_list(state.format.configuration_key + "/", "", True)
    outcome = await state.check_client.call(call, timeout_ms)
    if not isinstance(outcome, StoreError):
        state.is_store_silent = False
        state.last_answer_at_ms = state.last_direct_answer_at_ms = _now_ms(state)
        return True
    if outcome.kind is StoreErrorKind.REFUSED:
        state.is_store_silent = False
        return False
    if not state.is_store_silent:
        state.log.record("store_silent", kind=outcome.kind.value, detail=outcome.detail)
    state.is_store_silent = True
    return False


async def _list_prefix(
    state: DiscoveryState, client: StoreClient, prefix: str, *, is_stale: bool
) -> tuple[list[Item], int] | StoreError:
    """List a prefix page by page; return its items and the lowest revision of the pages.

    The pages are not one consistent snapshot, so changes must be followed from that revision.
    """
    items: list[Item] = []
    revision: int | None = None
    while True:
        after = items[-1].key if items else ""
        call = state.format.encode_list(prefix, after, is_stale)
        outcome = await client.call(call, READ_TIMEOUT_MS)
        if isinstance(outcome, StoreError):
            return outcome
        page = state.format.decode_listing(outcome.body)
        if page is None:
            return StoreError(StoreErrorKind.BAD_REPLY, "cannot decode listing")
        revision = page.revision if revision is None else min(revision, page.revision)
        items += page.items
        if not page.has_more or not page.items:
            return items, revision


async def _read_snapshot(
    state: DiscoveryState, client: StoreClient, *, is_stale: bool
) -> Snapshot | StoreError:
    """Read the configuration, the evacuations, the relays and the endpoints.

    One listing of the operator's keys costs as much as a read of the configuration alone. A stale
    read costs a tenth of a consistent one. It returns the revision that it reflects, from which a
    watch delivers the later changes.
    """
    format_ = state.format
    operator = await _list_prefix(state, client, format_.operator_prefix, is_stale=is_stale)
    if isinstance(operator, StoreError):
        return operator
    configuration = [item for item in operator[0] if item.key == format_.configuration_key]
    evacuations = [item for item in operator[0] if item.key.startswith(format_.evacuations_prefix)]
    if not configuration:
        return StoreError(StoreErrorKind.NOT_FOUND, "no configuration")
    relays = await _list_prefix(state, client, RELAY_KEY_PREFIX, is_stale=is_stale)
    if isinstance(relays, StoreError):
        return relays
    endpoints = await _list_prefix(state, client, format_.endpoints_prefix, is_stale=is_stale)
    if isinstance(endpoints, StoreError):
        return endpoints
    revision = min(operator[1], relays[1], endpoints[1])
    return Snapshot(configuration, evacuations, relays[0], endpoints[0], revision)


def _apply_first_snapshot(state: DiscoveryState, snapshot: Snapshot) -> None:
    """Initialise the configuration, the evacuations, the relays and the directory."""
    now_ms = _now_ms(state)
    for item in snapshot.configuration:
        apply_configuration(state, item.value or b"", item.revision)
    state.feed.relays.clear()
    for item in snapshot.relays:
        apply_relay_item(state.feed, item, now_ms)
    decoded = [_decode_entry(state, item) for item in snapshot.endpoints]
    entries = [entry for entry in decoded if entry is not None]
    may_have_lapsed = _is_near_outage(state, now_ms)
    _notify_changes(
        state, resync(state.directory, entries, now_ms, may_have_lapsed=may_have_lapsed)
    )
    for item in snapshot.evacuations:
        _apply_evacuation(state, item, is_news=False)
    reset_history(state.feed, snapshot.revision)


async def _load(state: DiscoveryState, client: StoreClient, *, is_stale: bool) -> StoreError | None:
    """Read a full snapshot and apply it.

    After the first load, only the differences are applied, as changes, so that the history stays
    usable and followers need no full load of their own.
    """
    snapshot = await _read_snapshot(state, client, is_stale=is_stale)
    if isinstance(snapshot, StoreError):
        return snapshot
    if not state.feed.revision:
        _apply_first_snapshot(state, snapshot)
        return None
    keys = [state.format.endpoints_prefix + name for name in state.directory.by_id]
    keys += [RELAY_KEY_PREFIX + zone for zone in state.feed.relays]
    keys += [state.format.evacuations_prefix + zone for zone in state.directory.evacuations]
    changes = changes_since(state.feed.revision, keys, snapshot)
    apply_changes(state, changes, snapshot.revision, is_news=False)
    return None


def apply_changes(
    state: DiscoveryState, items: list[Item], revision: int, *, is_news: bool = True
) -> None:
    """Apply all changes up to a revision, from the store or from a relay.

    Parameters
    ----------
    is_news : bool
        Whether the changes were made just now, as far as this instance can tell.
    """
    for item in record_changes(state.feed, items, revision):
        with state.failures.contain("apply_change", key=item.key, revision=item.revision):
            _apply_change(state, item, is_news=is_news)
    state.on_history_updated()


def _apply_change(state: DiscoveryState, item: Item, *, is_news: bool) -> None:
    if item.key.startswith(state.format.evacuations_prefix):
        _apply_evacuation(state, item, is_news=is_news)
    elif apply_relay_item(state.feed, item, _now_ms(state)):
        state.log.detail("relay_changed", key=item.key, revision=item.revision)
    elif item.key.startswith(state.format.endpoints_prefix):
        _apply_event(state, item)
    elif item.key == state.format.configuration_key and item.value is not None:
        apply_configuration(state, item.value, item.revision)


def apply_feed_answer(state: DiscoveryState, items: list[Item], answer: FeedAnswer) -> None:
    """Apply the changes from a relay and its view of the store's availability."""
    now_ms = _now_ms(state)
    state.last_answer_at_ms = max(state.last_answer_at_ms, now_ms - answer["store_age_ms"])
    if answer["calm_ms"] < LAPSE_WINDOW_MS:
        outage_ended_at_ms = now_ms - answer["calm_ms"]
        state.outage_ended_at_ms = max(state.outage_ended_at_ms, outage_ended_at_ms)
        # A relay that follows another one passes the outage on to its own followers.
        state.failure_free_since_ms = max(state.failure_free_since_ms, outage_ended_at_ms)
    if state.is_store_down and answer["calm_ms"] > 0:
        state.is_store_down = False
        state.log.record("store_regained", by="relay", calm_ms=answer["calm_ms"])
    state.is_loaded = True
    apply_changes(state, items, answer["revision"])


async def _watch(state: DiscoveryState, client: StoreClient, wait_ms: int) -> StoreError | None:
    """Run one watch call and apply the changes that it returns.

    One watch covers all keys, because each watch call counts towards the load on the store.
    """
    call = state.format.encode_watch("", state.feed.revision, wait_ms)
    outcome = await client.call(call, wait_ms + WATCH_SLACK_MS)
    if isinstance(outcome, StoreError):
        return outcome
    events = state.format.decode_events(outcome.body)
    if events is None:
        return StoreError(StoreErrorKind.BAD_REPLY, "cannot decode events")
    _record_answer(state)
    apply_changes(state, events.items, events.revision)
    state.is_loaded = True
    if events.items:
        await asyncio.sleep(COALESCE_MS / 1000)
    return None


async def _wait_for_relays(state: DiscoveryState) -> None:
    """Wait until a relay is found, up to a limit, before this instance watches the store itself."""
    end_ms = _now_ms(state) + RELAY_WAIT_MS
    while _now_ms(state) < end_ms and not state.has_live_feed() and not state.is_relay():
        await asyncio.sleep(FEED_CHECK_INTERVAL_MS / 1000)


async def _follow_store(state: DiscoveryState) -> None:
    """Load a snapshot and follow changes until the task is cancelled."""
    client = state.create_client()
    try:
        await _load_and_watch(state, client)
    finally:
        client.close("not followed")


async def _load_and_watch(state: DiscoveryState, client: StoreClient) -> None:
    """Load a snapshot and follow changes; reload when the store no longer has the history."""
    # A stale snapshot may be older than what an earlier run of this task has loaded.
    needs_load, is_stale = True, not state.feed.revision
    backoff_ms = RETRY_BACKOFF_MIN_MS
    has_reloaded = False
    while True:
        error: StoreError | None = None
        if needs_load:
            error = await _load(state, client, is_stale=is_stale)
            if error is None:
                needs_load = False
                error = await _watch(state, client, CATCH_UP_WAIT_MS)
            if error is None:
                await _wait_for_relays(state)
        elif state.has_live_feed():
            await asyncio.sleep(FEED_CHECK_INTERVAL_MS / 1000)
            continue
        else:
            # After a failure, a short watch tells at once whether this instance is up to date.
            wait_ms = CATCH_UP_WAIT_MS if state.is_store_down else WATCH_WAIT_MS
            error = await _watch(state, client, wait_ms)
        if error is None:
            backoff_ms, has_reloaded = RETRY_BACKOFF_MIN_MS, False
            continue
        if error.kind in _UNREADABLE_WATCH:
            state.log.record("watch_reset", revision=state.feed.revision, detail=error.detail)
            # A stale snapshot may be older than the oldest change that the store still has.
            needs_load, is_stale = True, False
            if not has_reloaded:
                has_reloaded = True
                state.counters.count("store_failures", error.kind.value)
                continue
        _record_failure(state, error)
        await asyncio.sleep(backoff_ms * (0.5 + state.rng.random()) / 1000)
        instances = count_instances(state.feed, _now_ms(state))
        max_ms = retry_backoff_max_ms(instances, is_relay=state.is_relay())
        backoff_ms = min(backoff_ms * 2, max_ms)


def start(state: DiscoveryState) -> list[asyncio.Task[None]]:
    """Start the task that follows the store."""
    work = run_supervised("discovery", lambda: _follow_store(state), state.failures)
    return [state.loop.create_task(work, name="discovery")]
