"""Data of the platform's services."""

from enum import StrEnum
from typing import NamedTuple, TypedDict


class ListedInstance(TypedDict):
    """An entry of the list; `role` is `entry` or `endpoint`, `state` `live` or `leaving`."""

    name: str
    role: str
    zone: str
    host: str
    port: int
    state: str


class InstanceList(TypedDict):
    """Body of `GET /v1/instances`; `as_of_ms` is the platform's wall-clock time in milliseconds."""

    instances: list[ListedInstance]
    as_of_ms: float


class KeyValue(NamedTuple):
    """A value of the key-value service and its revision, which starts at 1."""

    value: str
    revision: int


class PlatformError(StrEnum):
    """Why a call to the platform has no result.

    `CONFLICT` is a compare-and-swap that lost. After `UNKNOWN` a write may have taken effect.
    """

    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    OVER_RATE = "over_rate"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    NO_CHANGE = "no_change"
