"""Reads from the store: full snapshots, and cheap checks whether it answers."""

import asyncio

from wisteriarock.feed.const import RELAY_KEY_PREFIX
from wisteriarock.store.client import StoreClient
from wisteriarock.store.models import Item, Position, Snapshot, StoreError, StoreErrorKind

from .const import READ_TIMEOUT_MS
from .state import DiscoveryState, loop_time_ms

_RETURNED = StoreError(StoreErrorKind.RETURNED, "the store returned from a copy while it was read")


async def check_store(state: DiscoveryState, timeout_ms: float) -> bool:
    """Check with a cheap read whether the store answers this instance.

    A check that is under way serves all who ask.

    Returns
    -------
    bool
        Whether the read succeeded, its reply was of a former era, or it timed out while the store
        was sending the reply to another call. A refusal returns False, but shows that the store is
        reachable, and so clears `is_store_silent`.
    """
    if state.running_check is not None:
        return await asyncio.shield(state.running_check)
    state.running_check = running = state.loop.create_future()
    is_answered = False
    try:
        is_answered = await _check(state, timeout_ms)
    finally:
        state.running_check = None
        running.set_result(is_answered)
    return is_answered


async def _check(state: DiscoveryState, timeout_ms: float) -> bool:
    state.store_checked_at_ms = loop_time_ms(state)
    call = state.format.encode_list(state.format.configuration_key + "/", "", True)
    outcome = await state.check_client.call(call, timeout_ms)
    if not isinstance(outcome, StoreError):
        state.is_store_silent = False
        state.last_answer_at_ms = state.last_direct_answer_at_ms = loop_time_ms(state)
        return True
    if outcome.kind is StoreErrorKind.REFUSED:
        state.is_store_silent = False
        return False
    is_sending = state.client.data_at_ms >= state.store_checked_at_ms
    if is_sending or outcome.kind is StoreErrorKind.FORMER_ERA:
        # The reply to the check waits behind a large one on the link of this machine, or came from
        # a part of the store that lags behind its return from a copy.
        state.is_store_silent = False
        return True
    if not state.is_store_silent:
        state.log.record("store_silent", kind=outcome.kind.value, detail=outcome.detail)
    state.is_store_silent = True
    return False


async def _list_prefix(
    state: DiscoveryState, client: StoreClient, prefix: str, *, is_stale: bool
) -> tuple[list[Item], Position] | StoreError:
    """List a prefix page by page; return its items and the lowest position of the pages.

    The pages are not one consistent snapshot, so changes must be followed from that position.
    """
    items: list[Item] = []
    position: Position | None = None
    while True:
        after = items[-1].key if items else ""
        call = state.format.encode_list(prefix, after, is_stale)
        outcome = await client.call(call, READ_TIMEOUT_MS)
        if isinstance(outcome, StoreError):
            return outcome
        page = state.format.decode_listing(outcome.body, state.eras.known)
        if page is None:
            return StoreError(StoreErrorKind.BAD_REPLY, "cannot decode listing")
        if position is not None and page.position.era != position.era:
            return _RETURNED
        position = page.position if position is None else min(position, page.position)
        items += page.items
        if not page.has_more or not page.items:
            return items, position


async def read_snapshot(
    state: DiscoveryState, client: StoreClient, *, is_stale: bool
) -> Snapshot | StoreError:
    """Read the configuration, the evacuations, the relays and the endpoints.

    One listing of the operator's keys costs as much as a read of the configuration alone. A stale
    read costs a tenth of a consistent one. It returns the position that it reflects, from which a
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
    positions = [operator[1], relays[1], endpoints[1]]
    if len({position.era for position in positions}) > 1:
        return _RETURNED
    return Snapshot(configuration, evacuations, relays[0], endpoints[0], min(positions))
