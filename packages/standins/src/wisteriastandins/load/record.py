"""Read the record of executed requests from the endpoint stand-ins."""

import asyncio
from collections import Counter
from typing import Any, TypedDict

import aiosonic
import msgspec
from aiosonic.exceptions import AiosonicError

from .client import create_client

_READ_TIMEOUT_S = 20.0


class EndpointRecord(TypedDict):
    """Counters of an endpoint and how often each request was executed there."""

    counters: dict[str, Any]
    executed: dict[str, int]


class Record(TypedDict):
    """Body of `GET /record` of an `endpoints` stand-in."""

    endpoints: dict[str, EndpointRecord]


async def read_record(control_url: str) -> Record | None:
    """Return the record of one stand-in, or None when it cannot be read."""
    client: aiosonic.HTTPClient = create_client()
    try:
        async with asyncio.timeout(_READ_TIMEOUT_S):
            response = await client.get(control_url + "/record")
            body = await response.content()
        return msgspec.json.decode(body, type=Record) if response.status_code == 200 else None
    except (AiosonicError, OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return None
    finally:
        await client.aclose()


async def read_executed(control_urls: list[str]) -> tuple[Counter[str], bool]:
    """Return executions by request id over all stand-ins, and whether every record was read."""
    records = await asyncio.gather(*(read_record(url) for url in control_urls))
    executed: Counter[str] = Counter()
    for record in records:
        for endpoint in (record or Record(endpoints={}))["endpoints"].values():
            executed.update(endpoint["executed"])
    return executed, all(record is not None for record in records)
