"""Read the record of executed requests from the stand-in endpoints."""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any, NamedTuple, TypedDict

import aiosonic
import msgspec
from aiosonic.exceptions import AiosonicError

from .client import create_client

_READ_TIMEOUT_S = 20.0
# Every instance must have stopped sending legs to a draining endpoint within this time.
DRAIN_LIMIT_MS = 3_000


class ExecutedLeg(TypedDict):
    """A leg that is not idempotent and was started `count` times at one endpoint."""

    request_id: str
    shard: str
    part: int
    parts: int
    count: int


class EndpointRecord(TypedDict):
    """Counters of an endpoint, and the number of executions of each request.

    `executed` maps request ids to counts, or lists legs, which keeps partitions apart.
    """

    counters: dict[str, Any]
    executed: dict[str, int] | list[ExecutedLeg]


class EndpointCounts(NamedTuple):
    """Sums of the counters of several endpoints.

    Attributes
    ----------
    received, shed : int
        Legs that arrived, and those refused because the slots and the queue were full.
    connections_refused : int
        Connections refused because an endpoint was at its connection cap.
    legs_after_drain, legs_late_after_drain : int
        Legs that arrived at a draining endpoint, and those that arrived more than
        `DRAIN_LIMIT_MS` after the drain began.
    """

    received: int
    shed: int
    connections_refused: int
    legs_after_drain: int
    legs_late_after_drain: int


class ExecutionRecord(TypedDict):
    """Body of `GET /record` of an `endpoints` stand-in."""

    endpoints: dict[str, EndpointRecord]


async def read_record(control_url: str) -> ExecutionRecord | None:
    """Return the record of one stand-in, or None if it cannot be read."""
    client: aiosonic.HTTPClient = create_client()
    try:
        async with asyncio.timeout(_READ_TIMEOUT_S):
            response = await client.get(control_url + "/record")
            body = await response.content()
        return (
            msgspec.json.decode(body, type=ExecutionRecord) if response.status_code == 200 else None
        )
    except (AiosonicError, OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return None
    finally:
        await client.aclose()


async def read_records(control_urls: list[str]) -> list[ExecutionRecord | None]:
    """Return the record of every stand-in, None for those that cannot be read."""
    return list(await asyncio.gather(*(read_record(url) for url in control_urls)))


def count_executions(records: Iterable[ExecutionRecord]) -> dict[str, int]:
    """Return the number of executions of each request: that of its most executed part.

    A request to a shard with several partitions runs once in each of them. Partitions of different
    partition counts overlap, so the executions under each partition count of a shard add up.
    """
    executions: Counter[str] = Counter()
    parts: dict[str, dict[tuple[str, int], Counter[int]]] = defaultdict(
        lambda: defaultdict(Counter)
    )
    for record in records:
        for endpoint in record["endpoints"].values():
            executed = endpoint["executed"]
            if isinstance(executed, dict):
                executions.update(executed)
                continue
            for leg in executed:
                partitioning = (leg["shard"], leg["parts"])
                parts[leg["request_id"]][partitioning][leg["part"]] += leg["count"]
    for request_id, partitionings in parts.items():
        by_shard: Counter[str] = Counter()
        for (shard, _), counts in partitionings.items():
            by_shard[shard] += max(counts.values())
        executions[request_id] += max(by_shard.values())
    return dict(executions)


def sum_counters(records: Iterable[ExecutionRecord]) -> EndpointCounts:
    """Return the sums of the counters of all endpoints since their start."""
    total = EndpointCounts(0, 0, 0, 0, 0)
    for record in records:
        for endpoint in record["endpoints"].values():
            counters = endpoint["counters"]
            delays_ms = counters.get("drain_delays_ms", [])
            counts = EndpointCounts(
                received=int(counters.get("received", 0)),
                shed=int(counters.get("shed", 0)),
                connections_refused=int(counters.get("connections_refused", 0)),
                legs_after_drain=int(counters.get("legs_after_drain", 0)),
                legs_late_after_drain=sum(delay > DRAIN_LIMIT_MS for delay in delays_ms),
            )
            total = EndpointCounts(*map(sum, zip(total, counts, strict=True)))
    return total
