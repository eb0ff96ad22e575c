"""An in-memory platform that simulates lost replies, delayed writes and outages."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from returns.result import Failure, Result, Success
from wisteriarock.platform.client import PlatformClient
from wisteriarock.platform.models import KeyValue, PlatformError

Sleep = Callable[[float], Awaitable[None]]


class Fault(StrEnum):
    """Fault that a call to the platform meets.

    `LATE` delays a write until `apply_delayed_writes` is called, and loses its reply.
    """

    NONE = "none"
    DOWN = "down"
    LOST_REQUEST = "lost_request"
    LOST_REPLY = "lost_reply"
    LATE = "late"


@dataclass
class FakePlatform:
    """State of the platform. Each call consumes one of `faults`; `down` applies to all calls.

    `written_keys` and `written_values` list the writes that took effect.
    """

    values: dict[str, KeyValue] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    delayed_writes: list[Callable[[], Any]] = field(default_factory=list)
    down: bool = False
    written_keys: list[str] = field(default_factory=list)
    written_values: list[str] = field(default_factory=list)
    read_keys: list[str] = field(default_factory=list)
    before_write: Callable[[str], None] | None = None

    def apply_delayed_writes(self) -> None:
        """Apply the delayed writes in order."""
        while self.delayed_writes:
            self.delayed_writes.pop(0)()


def _next_fault(fake: FakePlatform) -> Fault:
    if fake.down:
        return Fault.DOWN
    return fake.faults.pop(0) if fake.faults else Fault.NONE


def _compare_and_swap(
    fake: FakePlatform, key: str, value: str, expected_revision: int
) -> Result[int, PlatformError]:
    current = fake.values.get(key)
    if (current.revision if current else 0) != expected_revision:
        return Failure(PlatformError.CONFLICT)
    fake.written_keys.append(key)
    fake.written_values.append(value)
    fake.values[key] = KeyValue(value, expected_revision + 1)
    return Success(expected_revision + 1)


def fake_client(fake: FakePlatform, sleep: Sleep = asyncio.sleep) -> PlatformClient:
    """Return a client of the fake platform; each call yields to the event loop once.

    A watch that finds no change sleeps for its waiting time and reads the key once more.
    """

    async def get(key: str) -> Result[KeyValue, PlatformError]:
        await asyncio.sleep(0)
        fake.read_keys.append(key)
        if _next_fault(fake) is not Fault.NONE:
            return Failure(PlatformError.UNAVAILABLE)
        value = fake.values.get(key)
        return Success(value) if value else Failure(PlatformError.NOT_FOUND)

    async def watch(key: str, after_revision: int, wait_ms: int) -> Result[KeyValue, PlatformError]:
        result = await get(key)
        if isinstance(result, Success) and result.unwrap().revision <= after_revision:
            await sleep(wait_ms / 1000)
            result = await get(key)
        if isinstance(result, Success) and result.unwrap().revision <= after_revision:
            return Failure(PlatformError.NO_CHANGE)
        return result

    async def put(
        key: str, value: str, expected_revision: int, lease_id: str | None = None
    ) -> Result[int, PlatformError]:
        await asyncio.sleep(0)
        if fake.before_write is not None:
            fake.before_write(key)
        fault = _next_fault(fake)
        if fault is Fault.DOWN:
            return Failure(PlatformError.UNAVAILABLE)
        if fault is Fault.LATE:
            fake.delayed_writes.append(
                lambda: _compare_and_swap(fake, key, value, expected_revision)
            )
        if fault in (Fault.LOST_REQUEST, Fault.LATE):
            return Failure(PlatformError.UNKNOWN)
        result = _compare_and_swap(fake, key, value, expected_revision)
        return Failure(PlatformError.UNKNOWN) if fault is Fault.LOST_REPLY else result

    async def unused(*_: Any) -> Any:
        raise AssertionError("not used by these tests")

    async def close() -> None:
        return None

    return PlatformClient(get, watch, put, unused, unused, unused, unused, close)
