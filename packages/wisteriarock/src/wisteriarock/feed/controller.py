"""Starts and stops the tasks of the feed."""

import asyncio

from wisteriarock.observability.failures import FailureReporter, run_supervised

from .const import STORE_CALL_TIMEOUT_MS
from .following import follow_relay
from .lease import maintain_lease, monitor_store
from .state import Feed, wake_followers


def start(feed: Feed) -> list[asyncio.Task[None]]:
    """Start the tasks that follow relays, maintain the lease and monitor the store."""
    failures = FailureReporter(feed.log, feed.counters)
    works = {
        "feed-own-zone": lambda: follow_relay(feed, 0),
        "feed-other-zone": lambda: follow_relay(feed, 1),
        "feed-lease": lambda: maintain_lease(feed),
        "feed-check": lambda: monitor_store(feed),
    }
    return [
        feed.loop.create_task(run_supervised(name, work, failures), name=name)
        for name, work in works.items()
    ]


async def stop(feed: Feed) -> None:
    """Release the lease, so that another instance of the zone can become relay at once."""
    feed.is_stopping = True
    wake_followers(feed)
    lease, feed.state.lease = feed.state.lease, None
    if lease is not None:
        await feed.store.call(feed.format.encode_release(lease), STORE_CALL_TIMEOUT_MS)
        feed.log.record("relay_stopped", zone=feed.zone, lease=lease)
