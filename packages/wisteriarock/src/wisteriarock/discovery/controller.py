"""Follows changes of the configuration and of endpoint entries in the store."""

import asyncio

from wisteriarock.feed.const import RELAY_WAIT_MS
from wisteriarock.feed.decide import count_instances
from wisteriarock.observability.failures import run_supervised
from wisteriarock.store.client import StoreClient
from wisteriarock.store.models import StoreError, StoreErrorKind

from .changes import (
    apply_changes,
    apply_first_snapshot,
    apply_returned_copy,
    known_keys,
)
from .const import (
    CATCH_UP_WAIT_MS,
    COALESCE_MS,
    FEED_CHECK_INTERVAL_MS,
    RETRY_BACKOFF_MIN_MS,
    RETURN_SPREAD_MS,
    WATCH_SLACK_MS,
    WATCH_WAIT_MS,
)
from .decide import changes_since, retry_backoff_max_ms, snapshot_items
from .reads import read_snapshot
from .state import (
    DiscoveryState,
    is_loading_return,
    loop_time_ms,
    record_answer,
    record_failure,
)

# Errors of a watch after which only a full load brings this instance up to date: the changes are
# gone, too many at once, malformed, or of another era.
_UNREADABLE_WATCH = frozenset(
    {
        StoreErrorKind.HISTORY_GONE,
        StoreErrorKind.TOO_LARGE,
        StoreErrorKind.BAD_REPLY,
        StoreErrorKind.RETURNED,
        StoreErrorKind.FORMER_ERA,
    }
)


async def _load(state: DiscoveryState, client: StoreClient, *, is_stale: bool) -> StoreError | None:
    """Read a full snapshot and apply it.

    After the first load, only the differences are applied, as changes, so that the history stays
    usable and followers need no full load of their own.
    """
    snapshot = await read_snapshot(state, client, is_stale=is_stale)
    if isinstance(snapshot, StoreError):
        return snapshot
    if not state.feed.position.revision:
        apply_first_snapshot(state, snapshot)
    elif snapshot.position.era > state.feed.position.era:
        position = snapshot.position
        apply_returned_copy(state, snapshot_items(snapshot), position, position.revision)
    else:
        changes = changes_since(state.feed.position, known_keys(state), snapshot)
        apply_changes(state, changes, snapshot.position, is_news=False)
    return None


async def _watch(state: DiscoveryState, client: StoreClient, wait_ms: int) -> StoreError | None:
    """Run one watch call and apply the changes that it returns.

    One watch covers all keys, because each watch call counts towards the load on the store.
    """
    call = state.format.encode_watch("", state.feed.position.revision, wait_ms)
    outcome = await client.call(call, wait_ms + WATCH_SLACK_MS)
    if isinstance(outcome, StoreError):
        return outcome
    if is_loading_return(state):
        return StoreError(StoreErrorKind.RETURNED, "the store returned from a copy")
    events = state.format.decode_events(outcome.body, state.eras.known)
    if events is None:
        return StoreError(StoreErrorKind.BAD_REPLY, "cannot decode events")
    record_answer(state)
    apply_changes(state, events.items, events.position)
    state.is_loaded = True
    if events.items:
        await asyncio.sleep(COALESCE_MS / 1000)
    return None


async def _wait_for_relays(state: DiscoveryState) -> None:
    """Wait until a relay is found, up to a limit, before this instance watches the store itself."""
    end_ms = loop_time_ms(state) + RELAY_WAIT_MS
    while loop_time_ms(state) < end_ms and not state.has_live_feed() and not state.is_relay():
        await asyncio.sleep(FEED_CHECK_INTERVAL_MS / 1000)


async def _wait_for_returned_copy(state: DiscoveryState) -> bool:
    """Wait a random time for a relay to pass on the copy that the store has returned from.

    Returns
    -------
    bool
        Whether this instance has got it.
    """
    end_ms = loop_time_ms(state) + RETURN_SPREAD_MS * state.rng.random()
    while loop_time_ms(state) < end_ms and is_loading_return(state) and not state.is_relay():
        await asyncio.sleep(FEED_CHECK_INTERVAL_MS / 1000)
    return not is_loading_return(state)


async def _follow_store(state: DiscoveryState) -> None:
    """Load a snapshot and follow changes until the task is cancelled."""
    try:
        await _load_and_watch(state, state.client)
    finally:
        state.client.close("not followed")


async def _load_and_watch(state: DiscoveryState, client: StoreClient) -> None:
    """Load a snapshot and follow changes; reload when the store no longer has the history."""
    # A stale snapshot may be older than what an earlier run of this task has loaded.
    needs_load, is_stale = True, not state.feed.position.revision
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
        elif state.has_live_feed() and not is_loading_return(state):
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
            position = state.feed.position
            state.log.record(
                "watch_reset", era=position.era, revision=position.revision, detail=error.detail
            )
            # A stale snapshot may be older than the oldest change that the store still has.
            needs_load, is_stale = True, False
            if is_loading_return(state) and await _wait_for_returned_copy(state):
                needs_load = False
                continue
            if not has_reloaded:
                has_reloaded = True
                state.counters.count("store_failures", error.kind.value)
                continue
        record_failure(state, error)
        await asyncio.sleep(backoff_ms * (0.5 + state.rng.random()) / 1000)
        instances = count_instances(state.feed, loop_time_ms(state))
        max_ms = retry_backoff_max_ms(instances, is_relay=state.is_relay())
        backoff_ms = min(backoff_ms * 2, max_ms)


def start(state: DiscoveryState) -> list[asyncio.Task[None]]:
    """Start the task that follows the store."""
    work = run_supervised("discovery", lambda: _follow_store(state), state.failures)
    return [state.loop.create_task(work, name="discovery")]
