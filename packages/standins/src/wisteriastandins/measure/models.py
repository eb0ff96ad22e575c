"""Options and results of measurements."""

from pathlib import Path
from typing import NamedTuple, TypedDict


class MeasureOptions(NamedTuple):
    """Options of all measurements; `shares` are loads as shares of the deployment's capacity."""

    customers: tuple[str, ...]
    shares: tuple[float, ...]
    runs: int
    warm_up_s: float
    duration_s: float
    seed: int
    base_port: int
    output: Path


class LegCost(TypedDict):
    """Processor time of one run in milliseconds per leg that reached an endpoint.

    `tier_busiest_ms` is the time of the busiest entry instance per leg of all instances.
    """

    tier_legs: int
    tier_ms: float
    tier_busiest_ms: float
    bare_legs: int
    bare_ms: float
    bare_errors: int
    correct: bool


class MemoryUse(TypedDict):
    """Resident sets of the entry instances of one run in bytes, when idle and after load."""

    idle_bytes: list[int]
    loaded_bytes: list[int]
    correct: bool
