"""Notices of requests that end endpoints, passed on to all instances through the relays."""

import asyncio
from urllib.parse import quote

from wisteriarock.observability.counters import Counters
from wisteriarock.quarantine.models import Notice
from wisteriarock.store.client import StoreClient
from wisteriarock.store.models import StoreError

from .const import REPORT_TIMEOUT_MS
from .decide import record_notice
from .models import Relay
from .state import Feed, classify_relay_status, loop_time_ms, wake_followers

NOTICE_PATH = "/quarantine"


async def report_notice(feed: Feed, notice: Notice) -> None:
    """Report a request that ends endpoints to the relays of all zones."""
    if record_notice(feed.state, notice, loop_time_ms(feed)):
        wake_followers(feed)
    target = f"{NOTICE_PATH}?route={quote(notice.route)}&fingerprint={notice.fingerprint}"
    if notice.is_confirmed:
        target += "&confirmed=1"
    relays = [each for each in feed.state.relays.values() if each.instance != feed.instance]
    await asyncio.gather(*(send_report(feed, relay, target) for relay in relays))


def receive_notice(feed: Feed, notice: Notice) -> None:
    """Apply a notice that is new, and pass it on to the followers of this relay."""
    if record_notice(feed.state, notice, loop_time_ms(feed)):
        feed.on_notice(notice)
        wake_followers(feed)


async def send_report(feed: Feed, relay: Relay, target: str) -> None:
    """Send a report to a relay on a connection of its own."""
    client = StoreClient(feed.loop, relay.host, relay.port, classify_relay_status, Counters())
    call = f"GET {target} HTTP/1.1\r\nHost: {relay.instance}\r\n\r\n".encode()
    outcome = await client.call(call, REPORT_TIMEOUT_MS)
    if isinstance(outcome, StoreError):
        feed.log.detail("report_failed", relay=relay.instance, kind=outcome.kind.value)
    client.close("reported")
