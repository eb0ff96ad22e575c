"""Data of measurements."""

from pathlib import Path
from typing import NamedTuple, TypedDict


class MeasureOptions(NamedTuple):
    """Options that all measurements share; `share` is that of the busiest service's capacity."""

    customers: tuple[str, ...]
    shares: tuple[float, ...]
    runs: int
    warm_up_s: float
    duration_s: float
    seed: int
    base_port: int
    output: Path


class LegCost(TypedDict):
    """Processor time of one run in milliseconds for each leg that reached an endpoint.

    `tier_busiest_ms` is that of the entry instance that used most, for the legs of all instances.
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
