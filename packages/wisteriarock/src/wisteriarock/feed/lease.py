"""Claims and renews the relay lease of a zone, and monitors the store as its relay."""

import asyncio

from wisteriarock.gathering.models import Gatherer
from wisteriarock.store.models import StoreError, StoreErrorKind

from .const import (
    CLAIM_AFTER_RETURN_MS,
    CLAIM_DELAY_MAX_MS,
    LEASE_RENEWAL_INTERVAL_MS,
    LEASE_TTL_MS,
    RELAY_KEY_PREFIX,
    RELAY_RETRY_BACKOFF_MS,
    STORE_CALL_TIMEOUT_MS,
    STORE_CHECK_INTERVAL_MS,
    STORE_CHECK_TIMEOUT_MS,
)
from .decide import (
    apply_relay_item,
    count_instances,
    count_own_zone_instances,
    encode_relay_value,
    lacks_era,
    update_gatherers,
)
from .state import Feed, is_relay, loop_time_ms, offered_capacity_cores, wake_followers


async def maintain_lease(feed: Feed) -> None:
    """Claim the relay lease when the zone has no relay, and renew it while this instance has it."""
    while not feed.is_stopping:
        if is_relay(feed):
            await _renew_lease(feed)
            continue
        registered = feed.state.relays.get(feed.zone)
        is_taken = registered is not None and registered.instance != feed.instance
        since_return_ms = loop_time_ms(feed) - feed.returned_at_ms
        if (
            is_taken
            or feed.state.position.revision == 0
            or not feed.is_callable
            or since_return_ms < CLAIM_AFTER_RETURN_MS
        ):
            await asyncio.sleep(RELAY_RETRY_BACKOFF_MS / 1000)
            continue
        await asyncio.sleep(CLAIM_DELAY_MAX_MS * feed.rng.random() / 1000)
        registered = feed.state.relays.get(feed.zone)
        if registered is None and not await load_relays(feed):
            continue
        registered = feed.state.relays.get(feed.zone)
        if registered is None or registered.instance == feed.instance:
            await _claim_lease(feed)


async def load_relays(feed: Feed) -> bool:
    """Read the registered relays; return whether the store answered.

    This read costs less than a claim that loses the race, which takes a lease and a write.
    """
    call = feed.format.encode_list(RELAY_KEY_PREFIX, "", False)
    outcome = await feed.store.call(call, STORE_CALL_TIMEOUT_MS)
    if isinstance(outcome, StoreError):
        return False
    listing = feed.format.decode_listing(outcome.body, feed.eras.known)
    if listing is None:
        return False
    now_ms = loop_time_ms(feed)
    for item in listing.items:
        apply_relay_item(feed.state, item, now_ms)
    return True


async def _claim_lease(feed: Feed) -> None:
    outcome = await feed.store.call(feed.format.encode_lease(LEASE_TTL_MS), STORE_CALL_TIMEOUT_MS)
    lease = None if isinstance(outcome, StoreError) else feed.format.decode_lease(outcome.body)
    if lease is None:
        return
    registered = feed.state.relays.get(feed.zone)
    expected_revision = registered.revision if registered is not None else 0
    instances = count_own_zone_instances(feed.state, feed.zone, loop_time_ms(feed))
    if await _write_registration(feed, lease, instances, expected_revision):
        feed.state.lease = lease
        feed.state.relay_since_ms = loop_time_ms(feed)
        feed.log.record("relay_started", zone=feed.zone, lease=lease)


async def _write_registration(
    feed: Feed, lease: int, instances: int, expected_revision: int | None
) -> bool:
    """Register as relay.

    With `expected_revision`, the write succeeds only if the key has that revision (0: no key).
    """
    gatherers = len(feed.state.gatherers or ())
    value = encode_relay_value(feed.instance, *feed.address, instances, gatherers)
    call = feed.format.encode_write(RELAY_KEY_PREFIX + feed.zone, value, lease, expected_revision)
    outcome = await feed.store.call(call, STORE_CALL_TIMEOUT_MS)
    if isinstance(outcome, StoreError):
        if outcome.kind is not StoreErrorKind.CONFLICT:
            feed.log.detail("relay_write_failed", kind=outcome.kind.value)
        return False
    feed.state.published_count = instances
    feed.state.published_gatherers = gatherers
    return True


async def _renew_lease(feed: Feed) -> None:
    """Renew the lease once, and publish the number of instances if it has changed."""
    await asyncio.sleep(LEASE_RENEWAL_INTERVAL_MS / 1000)
    lease = feed.state.lease
    if lease is None or feed.is_stopping:
        return
    outcome = await feed.store.call(feed.format.encode_renewal(lease), STORE_CALL_TIMEOUT_MS)
    if isinstance(outcome, StoreError):
        if outcome.kind is StoreErrorKind.NOT_FOUND:
            feed.state.lease = None
            feed.log.record("relay_lost", zone=feed.zone, lease=lease)
        return
    if feed.state.is_registration_unsure and not lacks_era(feed.state, feed.eras.known):
        await _confirm_registration(feed, lease)
        return
    instances = count_own_zone_instances(feed.state, feed.zone, loop_time_ms(feed))
    gatherers = len(feed.state.gatherers or ())
    published = (feed.state.published_count, feed.state.published_gatherers)
    if (instances, gatherers) != published:
        await _write_registration(feed, lease, instances, None)


async def _confirm_registration(feed: Feed, lease: int) -> None:
    """Write the registration again after the store's return, or step down if another one has it."""
    registered = feed.state.relays.get(feed.zone)
    expected_revision = registered.revision if registered is not None else 0
    is_taken = registered is not None and registered.instance != feed.instance
    instances = count_own_zone_instances(feed.state, feed.zone, loop_time_ms(feed))
    if not is_taken and await _write_registration(feed, lease, instances, expected_revision):
        feed.state.is_registration_unsure = False
        return
    feed.state.lease = None
    feed.state.is_registration_unsure = False
    feed.log.record("relay_lost", zone=feed.zone, lease=lease)


def _update_gatherers(feed: Feed) -> None:
    now_ms = loop_time_ms(feed)
    instances = count_instances(feed.state, now_ms)
    if instances is None:
        return
    own = Gatherer(feed.instance, *feed.address, offered_capacity_cores(feed))
    update_gatherers(feed.state, own, feed.fan_out_shape(), instances, now_ms)


async def monitor_store(feed: Feed) -> None:
    """Check often whether the store answers this relay; a watch would notice only after seconds."""
    while not feed.is_stopping:
        await asyncio.sleep(STORE_CHECK_INTERVAL_MS / 1000)
        if not is_relay(feed):
            feed.is_cut_off = False
            continue
        _update_gatherers(feed)
        is_cut_off = not await feed.check_store(STORE_CHECK_TIMEOUT_MS)
        if is_cut_off != feed.is_cut_off:
            feed.is_cut_off = is_cut_off
            feed.log.record("relay_cut_off" if is_cut_off else "relay_serving", zone=feed.zone)
            wake_followers(feed)
