"""Applies what was read from the store, or came from a relay, to what this instance knows."""

from wisteriarock.catalog.decide import adopt
from wisteriarock.customers.diagnostics import report_odd_customers
from wisteriarock.feed.const import RELAY_KEY_PREFIX
from wisteriarock.feed.decide import apply_relay_item, record_changes, reset_history
from wisteriarock.feed.models import FeedAnswer
from wisteriarock.store.models import Item, Position, Snapshot

from .const import LAPSE_WINDOW_MS
from .decide import (
    apply_entry,
    expire_lapsed,
    is_outdated_copy,
    missing_items,
    remove_entry,
    resync,
)
from .evacuation import (
    advance_evacuations,
    begin_evacuation,
    end_evacuation,
    expired_unconfirmed,
    has_ended_lately,
    keep_unconfirmed,
)
from .models import DirectoryChange, EndpointEntry
from .state import DiscoveryState, is_near_outage, loop_time_ms


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


def known_keys(state: DiscoveryState) -> list[str]:
    """Return the keys of the endpoints, relays and evacuations that this instance knows."""
    keys = [state.format.endpoints_prefix + name for name in state.directory.by_id]
    keys += [RELAY_KEY_PREFIX + zone for zone in state.feed.relays]
    keys += [state.format.evacuations_prefix + zone for zone in state.directory.evacuations]
    return keys


def apply_configuration(state: DiscoveryState, value: bytes, revision: int) -> None:
    """Put a configuration in force unless it is malformed or not newer than the current one."""
    configuration = state.format.decode_configuration(value)
    if isinstance(configuration, str):
        state.log.record("configuration_bad", revision=revision, reason=configuration)
        return
    now_ms = loop_time_ms(state)
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


def _is_of_copy(state: DiscoveryState, item: Item) -> bool:
    """Return whether an item may be older than what this instance knows.

    The store has returned from a copy, and the item is what that copy showed.
    """
    feed = state.feed
    return item.position.era == feed.position.era and item.position.revision <= feed.copy_revision


def _apply_event(state: DiscoveryState, item: Item) -> None:
    now_ms = loop_time_ms(state)
    endpoint_id = item.key.removeprefix(state.format.endpoints_prefix)
    if item.value is None:
        changes = remove_entry(
            state.directory, endpoint_id, now_ms, may_have_lapsed=is_near_outage(state, now_ms)
        )
    else:
        entry = _decode_entry(state, item)
        if entry is None:
            changes = remove_entry(state.directory, endpoint_id, now_ms, may_have_lapsed=False)
        elif _is_of_copy(state, item) and is_outdated_copy(state.directory, entry):
            state.counters.count("outdated_copies", "endpoint")
            state.log.detail("entry_outdated", key=item.key, revision=item.position.revision)
            return
        else:
            changes = apply_entry(state.directory, entry, now_ms)
    _notify_changes(state, changes)


def _apply_evacuation(state: DiscoveryState, item: Item, *, is_news: bool) -> None:
    """Begin or end the evacuation of a zone.

    News that may have waited for an outage to end leaves no time to move the services one by one.
    """
    now_ms = loop_time_ms(state)
    zone = item.key.removeprefix(state.format.evacuations_prefix)
    if _is_of_copy(state, item):
        if item.value is None:
            keep_unconfirmed(state.directory, zone, now_ms)
            return
        if has_ended_lately(state.directory, zone, now_ms):
            state.counters.count("outdated_copies", "evacuation")
            return
    if item.value is None:
        _end_evacuation(state, zone, now_ms)
        return
    is_timely = is_news and not is_near_outage(state, now_ms)
    if zone not in state.directory.evacuations:
        state.counters.count("evacuations")
        state.log.record(
            "evacuation_begun", zone=zone, revision=item.position.revision, timely=is_timely
        )
    within_ms = state.evacuation_ms if is_timely else 0.0
    changes = begin_evacuation(state.directory, zone, now_ms, within_ms=within_ms)
    _notify_evacuated(state, changes, now_ms)


def _end_evacuation(state: DiscoveryState, zone: str, now_ms: float) -> None:
    ended, changes = end_evacuation(state.directory, zone, now_ms)
    if ended is not None:
        state.log.record(
            "evacuation_ended",
            zone=zone,
            endpoints=len(changes),
            lasted_ms=now_ms - ended.begun_at_ms,
        )
    state.on_changes(changes)


def end_unconfirmed_evacuations(state: DiscoveryState) -> None:
    """End evacuations that were not written again after the store's return from a copy."""
    if state.directory.unconfirmed_evacuations:
        now_ms = loop_time_ms(state)
        for zone in expired_unconfirmed(state.directory, now_ms):
            _end_evacuation(state, zone, now_ms)


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
        now_ms = loop_time_ms(state)
        _notify_evacuated(state, advance_evacuations(state.directory, now_ms), now_ms)


def drop_lapsed_endpoints(state: DiscoveryState) -> None:
    """Remove endpoints whose entries did not reappear in time after an outage of the store."""
    if state.directory.lapsed_until_ms:
        _notify_changes(state, expire_lapsed(state.directory, loop_time_ms(state)))


def apply_first_snapshot(state: DiscoveryState, snapshot: Snapshot) -> None:
    """Initialise the configuration, the evacuations, the relays and the directory."""
    now_ms = loop_time_ms(state)
    for item in snapshot.configuration:
        apply_configuration(state, item.value or b"", item.position.revision)
    state.feed.relays.clear()
    for item in snapshot.relays:
        apply_relay_item(state.feed, item, now_ms)
    decoded = [_decode_entry(state, item) for item in snapshot.endpoints]
    entries = [entry for entry in decoded if entry is not None]
    may_have_lapsed = is_near_outage(state, now_ms)
    _notify_changes(
        state, resync(state.directory, entries, now_ms, may_have_lapsed=may_have_lapsed)
    )
    for item in snapshot.evacuations:
        _apply_evacuation(state, item, is_news=False)
    reset_history(state.feed, snapshot.position)


def apply_returned_copy(
    state: DiscoveryState, items: list[Item], position: Position, copy_revision: int
) -> None:
    """Apply all that the store holds after its return from an older copy.

    Entries of endpoints that are missing count as lapsed. What this instance knows better is kept
    until it is written again.

    Parameters
    ----------
    copy_revision : int
        Revision up to which the items are what the copy showed; later ones were written since.
    """
    now_ms = loop_time_ms(state)
    former = state.feed.position
    state.outage_ended_at_ms = now_ms
    copy_position = Position(position.era, copy_revision)
    missing = missing_items(known_keys(state), items, copy_position)
    reset_history(state.feed, Position(position.era, 0))
    state.feed.copy_revision = copy_revision
    state.log.record(
        "store_returned",
        era=position.era,
        revision=position.revision,
        former_era=former.era,
        former_revision=former.revision,
        missing=len(missing),
    )
    apply_changes(state, [*missing, *items], position, is_news=False)


def apply_changes(
    state: DiscoveryState, items: list[Item], position: Position, *, is_news: bool = True
) -> None:
    """Apply all changes up to a position, from the store or from a relay.

    Parameters
    ----------
    is_news : bool
        Whether the changes were made just now, as far as this instance can tell.
    """
    for item in record_changes(state.feed, items, position):
        with state.failures.contain("apply_change", key=item.key, revision=item.position.revision):
            _apply_change(state, item, is_news=is_news)
    state.on_history_updated()


def _apply_change(state: DiscoveryState, item: Item, *, is_news: bool) -> None:
    if item.key.startswith(state.format.evacuations_prefix):
        _apply_evacuation(state, item, is_news=is_news)
    elif apply_relay_item(state.feed, item, loop_time_ms(state)):
        state.log.detail("relay_changed", key=item.key, revision=item.position.revision)
    elif item.key.startswith(state.format.endpoints_prefix):
        _apply_event(state, item)
    elif item.key == state.format.configuration_key and item.value is not None:
        apply_configuration(state, item.value, item.position.revision)


def apply_feed_answer(state: DiscoveryState, items: list[Item], answer: FeedAnswer) -> None:
    """Apply the changes from a relay and its view of the store's availability."""
    now_ms = loop_time_ms(state)
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
    position = Position(answer["era"], answer["revision"])
    if not answer["is_full"]:
        apply_changes(state, items, position)
    elif position.era > state.feed.position.era:
        apply_returned_copy(state, items, position, answer["copy_revision"])
