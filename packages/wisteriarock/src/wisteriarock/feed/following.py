"""Follows relays, and reports lost zones to the relay of the local zone."""

import asyncio

from wisteriarock.observability.counters import Counters
from wisteriarock.store.client import StoreClient
from wisteriarock.store.models import Position, StoreError

from .const import POLL_SLACK_MS, POLL_WAIT_MS, RELAY_RETRY_BACKOFF_MS
from .decide import (
    accept_gatherers,
    choose_relays,
    decode_answer,
    encode_position,
    has_live_relay,
    record_lost_zones,
)
from .models import Relay
from .notices import receive_notice, send_report
from .state import (
    Feed,
    classify_relay_status,
    is_relay,
    loop_time_ms,
    offered_capacity_cores,
    wake_followers,
)


async def report_lost_zones(feed: Feed, zones: list[str]) -> None:
    """Report lost zones to the other instances of the local zone, through its relay.

    The load balancer moves callers away only when no instance of a zone is ready, and an instance
    without requests does not notice by itself that it is cut off.
    """
    if is_relay(feed):
        if record_lost_zones(feed.state, zones, loop_time_ms(feed)):
            wake_followers(feed)
        return
    relay = feed.state.relays.get(feed.zone)
    if relay is None:
        return
    target = f"/lost?zones={','.join(zones)}&instance={feed.instance}&zone={feed.zone}"
    await send_report(feed, relay, target)


async def follow_relay(feed: Feed, rank: int) -> None:
    """Follow the relay at a rank in `choose_relays`, until the task is cancelled."""
    client: StoreClient | None = None
    current: Relay | None = None
    is_behind = False
    while True:
        relays = choose_relays(feed.state, feed.zone, feed.instance)
        if len(relays) <= rank or feed.state.position.revision == 0:
            feed.state.relay_answered_at_ms.pop(rank, None)
            await asyncio.sleep(RELAY_RETRY_BACKOFF_MS / 1000)
            continue
        relay = relays[rank]
        if client is None or current is None or (relay.host, relay.port) != current[2:4]:
            if client is not None:
                client.close("relay changed")
            client = StoreClient(
                feed.loop, relay.host, relay.port, classify_relay_status, Counters()
            )
        current = relay
        has_own_relay = has_live_relay(feed.state, 0, loop_time_ms(feed))
        is_standby = rank > 0 and not is_behind and has_own_relay
        position = await _poll(feed, client, relay, is_standby=is_standby)
        is_behind = position is not None and position > feed.state.position
        if is_behind:
            continue
        if position is not None:
            feed.state.relay_answered_at_ms[rank] = loop_time_ms(feed)
        else:
            feed.state.relay_answered_at_ms.pop(rank, None)
            await asyncio.sleep(RELAY_RETRY_BACKOFF_MS * (0.5 + feed.rng.random()) / 1000)


async def _poll(
    feed: Feed, client: StoreClient, relay: Relay, *, is_standby: bool
) -> Position | None:
    """Poll a relay once and apply its changes; a standby relay sends only its position.

    Returns
    -------
    Position or None
        The position of the relay; None if there is no useful answer.
    """
    target = (
        f"/feed?after={encode_position(feed.state.position)}&instance={feed.instance}&zone={feed.zone}"
        f"&address={feed.address[0]}:{feed.address[1]}&capacity={offered_capacity_cores(feed):g}"
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
    feed.eras.learn(answer["era"])
    if answer["era"] < feed.eras.known:
        feed.log.detail("feed_former_era", relay=relay.instance, era=answer["era"])
        return None
    for notice in answer["notices"]:
        receive_notice(feed, notice)
    if not accept_gatherers(feed.state, answer):
        feed.log.record("feed_bad", relay=relay.instance)
        return None
    if items is not None:
        feed.apply_answer(items, answer)
    return Position(answer["era"], answer["revision"])
