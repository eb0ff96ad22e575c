"""Follows relays, serves followers and maintains the relay lease."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qsl, urlsplit

from wisteriarock.gathering.models import FanOutShape, Gatherer
from wisteriarock.http.front import Answer, CallerRequest, Respond
from wisteriarock.observability.counters import Counters
from wisteriarock.observability.event_log import EventLog
from wisteriarock.store.client import StoreClient
from wisteriarock.store.models import Item, StoreError, StoreErrorKind, StoreFormat

from .const import (
    CLAIM_DELAY_MAX_MS,
    LEASE_RENEWAL_INTERVAL_MS,
    LEASE_TTL_MS,
    POLL_SLACK_MS,
    POLL_WAIT_MS,
    RELAY_KEY_PREFIX,
    RELAY_RETRY_BACKOFF_MS,
    RELAY_STORE_AGE_MAX_MS,
    REPORT_TIMEOUT_MS,
    STANDBY_DELAY_MS,
    STORE_CHECK_INTERVAL_MS,
    STORE_CHECK_TIMEOUT_MS,
)
from .decide import (
    accept_gatherers,
    apply_relay_item,
    choose_relays,
    count_instances,
    count_own_zone_instances,
    current_lost_zones,
    decode_answer,
    encode_answer,
    encode_relay_value,
    encoded_changes,
    has_live_relay,
    record_lost_zones,
    standby_answer,
    update_gatherers,
)
from .models import FeedAnswer, FeedState, Relay

_STORE_CALL_TIMEOUT_MS = 600.0


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
    is_cut_off : bool
        Whether the store does not answer this relay, so that its followers need another source.
    waiting_followers : list of callable
        Callbacks that answer followers whose poll waits for changes.
    on_lost_zones : callable
        Called with the zones that another instance of the local zone cannot reach.
    capacity_cores : float
        Processing capacity of this instance.
    fan_out_shape : callable
        Returns the size of the largest fan-out of the configuration in force.
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
        self.is_stopping = False
        self.is_cut_off = False
        self.waiting_followers: list[Callable[[], None]] = []
        self.on_lost_zones: Callable[[list[str]], None] = lambda zones: None


def _now_ms(feed: Feed) -> float:
    return feed.loop.time() * 1000


def is_relay(feed: Feed) -> bool:
    """Return whether this instance is the relay of its zone."""
    return feed.state.lease is not None


def wake_followers(feed: Feed) -> None:
    """Wake the followers whose poll waits for changes."""
    waiting_followers, feed.waiting_followers = feed.waiting_followers, []
    for wake in waiting_followers:
        wake()


def handle_follower_request(
    feed: Feed, request: CallerRequest, respond: Respond
) -> Callable[[], None]:
    """Answer a follower as soon as there are changes, or when its wait ends.

    Returns
    -------
    callable
        Cancels the pending answer.
    """
    parts = urlsplit(request.target.decode("latin-1"))
    query = dict(parse_qsl(parts.query))
    if parts.path == "/lost":
        _handle_lost_zones_report(feed, query)
        respond(Answer(200, [], b""))
        return _do_nothing
    is_own_zone = query.get("zone") == feed.zone
    lost_zones = current_lost_zones(feed.state, _now_ms(feed)) if is_own_zone else ()
    if lost_zones:
        respond(_lost_zones_answer(feed, lost_zones))
        return _do_nothing
    after_text = query.get("after", "")
    is_serving = is_relay(feed) and not feed.is_stopping and not feed.is_cut_off
    if not after_text.isdigit() or not is_serving:
        respond(Answer(503 if after_text.isdigit() else 400, [], b"no relay"))
        return _do_nothing
    after = int(after_text)
    is_standby = query.get("standby") == "1"
    if is_own_zone:
        _record_follower(feed, query)
    end_ms = _now_ms(feed) + POLL_WAIT_MS
    timer = feed.loop.call_later(POLL_WAIT_MS / 1000, lambda: answer())

    def answer() -> None:
        cancel()
        respond(_answer_follower(feed, after, is_standby=is_standby, is_own_zone=is_own_zone))

    def wake() -> None:
        nonlocal timer
        if not is_standby or feed.is_cut_off or feed.is_stopping:
            answer()
            return
        cancel()
        delay_ms = max(0.0, min(STANDBY_DELAY_MS, end_ms - _now_ms(feed)))
        timer = feed.loop.call_later(delay_ms / 1000, answer)

    def cancel() -> None:
        timer.cancel()
        if wake in feed.waiting_followers:
            feed.waiting_followers.remove(wake)

    if feed.state.revision > after or after < feed.state.history_start_revision:
        wake()
    else:
        feed.waiting_followers.append(wake)
    return cancel


def _record_follower(feed: Feed, query: dict[str, str]) -> None:
    name = query.get("instance", "")
    feed.state.followers[name] = _now_ms(feed)
    host, _, port = query.get("address", "").rpartition(":")
    try:
        capacity_cores = float(query.get("capacity", "0"))
        feed.state.candidates[name] = Gatherer(name, host, int(port), capacity_cores)
    except ValueError:
        feed.state.candidates.pop(name, None)


def _handle_lost_zones_report(feed: Feed, query: dict[str, str]) -> None:
    """Pass on a report that an instance of the local zone is cut off from other zones."""
    zones = [zone for zone in query.get("zones", "").split(",") if zone]
    is_own_zone = query.get("zone") == feed.zone
    if is_own_zone and record_lost_zones(feed.state, zones, _now_ms(feed)):
        feed.log.record("zones_reported_lost", zones=",".join(zones), by=query.get("instance"))
        wake_followers(feed)
        feed.on_lost_zones(zones)


async def report_lost_zones(feed: Feed, zones: list[str]) -> None:
    """Report lost zones to the other instances of the local zone, through its relay.

    The load balancer moves callers away only when no instance of a zone is ready, and an instance
    without requests does not notice by itself that it is cut off.
    """
    if is_relay(feed):
        if record_lost_zones(feed.state, zones, _now_ms(feed)):
            wake_followers(feed)
        return
    relay = feed.state.relays.get(feed.zone)
    if relay is None:
        return
    client = StoreClient(feed.loop, relay.host, relay.port, _classify, Counters())
    target = f"/lost?zones={','.join(zones)}&instance={feed.instance}&zone={feed.zone}"
    call = f"GET {target} HTTP/1.1\r\nHost: {relay.instance}\r\n\r\n".encode()
    outcome = await client.call(call, REPORT_TIMEOUT_MS)
    if isinstance(outcome, StoreError):
        feed.log.detail("report_failed", relay=relay.instance, kind=outcome.kind.value)
    if client.connection is not None:
        client.connection.close("reported")


def _lost_zones_answer(feed: Feed, lost_zones: tuple[str, ...]) -> Answer:
    answer = standby_answer(feed.state, feed.store_age_ms(), feed.failure_free_ms(), lost_zones)
    return Answer(200, [], encode_answer(answer))


def _answer_follower(feed: Feed, after: int, *, is_standby: bool, is_own_zone: bool) -> Answer:
    lost_zones = current_lost_zones(feed.state, _now_ms(feed)) if is_own_zone else ()
    if lost_zones:
        return _lost_zones_answer(feed, lost_zones)
    if feed.is_cut_off or feed.store_age_ms() > RELAY_STORE_AGE_MAX_MS:
        return Answer(503, [], b"store is away")
    if is_standby:
        answer = standby_answer(feed.state, feed.store_age_ms(), feed.failure_free_ms())
        return Answer(200, [], encode_answer(answer))
    body = encoded_changes(
        feed.state, after, feed.store_age_ms(), feed.failure_free_ms(), _now_ms(feed)
    )
    return Answer(410, [], b"not kept") if body is None else Answer(200, [], body)


def _do_nothing() -> None:
    """Do nothing: the request has already been answered."""


def _classify(status: int) -> StoreErrorKind | None:
    if status == 200:
        return None
    return StoreErrorKind.HISTORY_GONE if status == 410 else StoreErrorKind.REFUSED


async def _follow_relay(feed: Feed, rank: int) -> None:
    """Follow the relay at a rank in `choose_relays`, until the task is cancelled."""
    client: StoreClient | None = None
    current: Relay | None = None
    is_behind = False
    while True:
        relays = choose_relays(feed.state, feed.zone, feed.instance)
        if len(relays) <= rank or feed.state.revision == 0:
            feed.state.relay_answered_at_ms.pop(rank, None)
            await asyncio.sleep(RELAY_RETRY_BACKOFF_MS / 1000)
            continue
        relay = relays[rank]
        if client is None or current is None or (relay.host, relay.port) != current[2:4]:
            if client is not None and client.connection is not None:
                client.connection.close("relay changed")
            client = StoreClient(feed.loop, relay.host, relay.port, _classify, Counters())
        current = relay
        is_standby = rank > 0 and not is_behind and has_live_relay(feed.state, 0, _now_ms(feed))
        revision = await _poll(feed, client, relay, is_standby=is_standby)
        is_behind = revision is not None and revision > feed.state.revision
        if is_behind:
            continue
        if revision is not None:
            feed.state.relay_answered_at_ms[rank] = _now_ms(feed)
        else:
            feed.state.relay_answered_at_ms.pop(rank, None)
            await asyncio.sleep(RELAY_RETRY_BACKOFF_MS * (0.5 + feed.rng.random()) / 1000)


async def _poll(feed: Feed, client: StoreClient, relay: Relay, *, is_standby: bool) -> int | None:
    """Poll a relay once and apply its changes; a standby relay sends only its revision.

    Returns
    -------
    int or None
        The revision of the relay; None if there is no useful answer.
    """
    capacity_cores = 0.0 if feed.is_stopping else feed.capacity_cores
    target = (
        f"/feed?after={feed.state.revision}&instance={feed.instance}&zone={feed.zone}"
        f"&address={feed.address[0]}:{feed.address[1]}&capacity={capacity_cores:g}"
    )
    if is_standby:
        target += "&standby=1"
    call = f"GET {target} HTTP/1.1\r\nHost: {relay.instance}\r\n\r\n".encode()
    outcome = await client.call(call, POLL_WAIT_MS + POLL_SLACK_MS)
    if isinstance(outcome, StoreError):
        feed.counters.count("feed_failures", outcome.kind.value)
        feed.log.detail("feed_failed", relay=relay.instance, kind=outcome.kind.value)
        return None
    decoded = decode_answer(outcome.body)
    if decoded is None:
        feed.log.record("feed_bad", relay=relay.instance)
        return None
    items, answer = decoded
    if answer["lost_zones"]:
        feed.on_lost_zones(answer["lost_zones"])
        return None
    if not accept_gatherers(feed.state, answer):
        feed.log.record("feed_bad", relay=relay.instance)
        return None
    if items is not None:
        feed.apply_answer(items, answer)
    return answer["revision"]


async def _maintain_lease(feed: Feed) -> None:
    """Claim the relay lease when the zone has no relay, and renew it while this instance has it."""
    while not feed.is_stopping:
        if is_relay(feed):
            await _renew_lease(feed)
            continue
        registered = feed.state.relays.get(feed.zone)
        if feed.state.revision == 0 or (
            registered is not None and registered.instance != feed.instance
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
    outcome = await feed.store.call(call, _STORE_CALL_TIMEOUT_MS)
    listing = None if isinstance(outcome, StoreError) else feed.format.decode_listing(outcome.body)
    if listing is None:
        return False
    now_ms = _now_ms(feed)
    for item in listing.items:
        apply_relay_item(feed.state, item, now_ms)
    return True


async def _claim_lease(feed: Feed) -> None:
    outcome = await feed.store.call(feed.format.encode_lease(LEASE_TTL_MS), _STORE_CALL_TIMEOUT_MS)
    lease = None if isinstance(outcome, StoreError) else feed.format.decode_lease(outcome.body)
    if lease is None:
        return
    registered = feed.state.relays.get(feed.zone)
    expected_revision = registered.revision if registered is not None else 0
    instances = count_own_zone_instances(feed.state, feed.zone, _now_ms(feed))
    if await _write_registration(feed, lease, instances, expected_revision):
        feed.state.lease = lease
        feed.state.relay_since_ms = _now_ms(feed)
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
    outcome = await feed.store.call(call, _STORE_CALL_TIMEOUT_MS)
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
    outcome = await feed.store.call(feed.format.encode_renewal(lease), _STORE_CALL_TIMEOUT_MS)
    if isinstance(outcome, StoreError):
        if outcome.kind is StoreErrorKind.NOT_FOUND:
            feed.state.lease = None
            feed.log.record("relay_lost", zone=feed.zone, lease=lease)
        return
    instances = count_own_zone_instances(feed.state, feed.zone, _now_ms(feed))
    gatherers = len(feed.state.gatherers or ())
    published = (feed.state.published_count, feed.state.published_gatherers)
    if (instances, gatherers) != published:
        await _write_registration(feed, lease, instances, None)


async def stop(feed: Feed) -> None:
    """Release the lease, so that another instance of the zone can become relay at once."""
    feed.is_stopping = True
    wake_followers(feed)
    lease, feed.state.lease = feed.state.lease, None
    if lease is not None:
        await feed.store.call(feed.format.encode_release(lease), _STORE_CALL_TIMEOUT_MS)
        feed.log.record("relay_stopped", zone=feed.zone, lease=lease)


def _update_gatherers(feed: Feed) -> None:
    now_ms = _now_ms(feed)
    instances = count_instances(feed.state, now_ms)
    if instances is None:
        return
    capacity_cores = 0.0 if feed.is_stopping else feed.capacity_cores
    own = Gatherer(feed.instance, *feed.address, capacity_cores)
    update_gatherers(feed.state, own, feed.fan_out_shape(), instances, now_ms)


async def _monitor_store(feed: Feed) -> None:
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


def start(feed: Feed) -> list[asyncio.Task[None]]:
    """Start the tasks that follow relays, maintain the lease and monitor the store."""
    return [
        feed.loop.create_task(_follow_relay(feed, 0), name="feed-own-zone"),
        feed.loop.create_task(_follow_relay(feed, 1), name="feed-other-zone"),
        feed.loop.create_task(_maintain_lease(feed), name="feed-lease"),
        feed.loop.create_task(_monitor_store(feed), name="feed-check"),
    ]
