"""Stand-in for the platform's load balancer: round-robin over the ready entry instances."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import aiosonic
from aiosonic.exceptions import AiosonicError

from wisteriastandins.topology.models import PlanEntry

from .client import create_client

CHECK_INTERVAL_S = 0.25
CHECK_TIMEOUT_S = 1.0

ReadinessCheck = Callable[[PlanEntry], Coroutine[Any, Any, bool]]


@dataclass
class Balancer:
    """Entry instances, names of the ready ones, and the index at which the next request starts."""

    entries: list[PlanEntry]
    ready: set[str]
    next_index: int = 0


def create_balancer(entries: list[PlanEntry]) -> Balancer:
    """Return a balancer that treats every instance as ready until the first check."""
    return Balancer(entries, {entry["name"] for entry in entries})


def base_url(entry: PlanEntry) -> str:
    """Return the URL of the public listener of an instance."""
    return f"http://{entry['host']}:{entry['public_port']}"


def next_candidates(balancer: Balancer) -> list[PlanEntry]:
    """Return the ready instances in the order to try for the next request."""
    count = len(balancer.entries)
    start, balancer.next_index = balancer.next_index, (balancer.next_index + 1) % count
    order = [balancer.entries[(start + step) % count] for step in range(count)]
    return [entry for entry in order if entry["name"] in balancer.ready]


def set_ready(balancer: Balancer, name: str, ready: bool) -> None:
    """Add an instance to the rotation or remove it."""
    if ready:
        balancer.ready.add(name)
    else:
        balancer.ready.discard(name)


async def check_ready(entry: PlanEntry) -> bool:
    """Tell whether `GET /readyz` of an instance answers 200 in time."""
    # Each check has its own client: one that timed out would return its late reply to the next.
    client: aiosonic.HTTPClient = create_client()
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            response = await client.get(base_url(entry) + "/readyz")
            await response.content()
        return bool(response.status_code == 200)
    except (AiosonicError, OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return False
    finally:
        await client.aclose()


async def run_health_checks(balancer: Balancer, is_ready: ReadinessCheck = check_ready) -> None:
    """Check the readiness of every instance periodically until cancelled."""

    async def check_instance(entry: PlanEntry) -> None:
        while True:
            set_ready(balancer, entry["name"], await is_ready(entry))
            await asyncio.sleep(CHECK_INTERVAL_S)

    async with asyncio.TaskGroup() as group:
        for entry in balancer.entries:
            group.create_task(check_instance(entry))
