"""A value that readers see with a delay."""

from collections import deque
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass
class LaggedValue(Generic[T]):
    """Current and past values, oldest first, as (time in milliseconds, value)."""

    history: deque[tuple[float, T]] = field(default_factory=deque)


def record_value(lagged: LaggedValue[T], value: T, now_ms: float, lag_ms: float) -> None:
    """Add the value that is valid from now on, and drop those older than any reader can see."""
    history = lagged.history
    history.append((now_ms, value))
    while len(history) > 1 and history[1][0] <= now_ms - lag_ms:
        history.popleft()


def value_as_of(lagged: LaggedValue[T], now_ms: float, lag_ms: float) -> T:
    """Return the value that was valid `lag_ms` ago, or the oldest one if none is that old."""
    history = lagged.history
    while len(history) > 1 and history[1][0] <= now_ms - lag_ms:
        history.popleft()
    return history[0][1]
