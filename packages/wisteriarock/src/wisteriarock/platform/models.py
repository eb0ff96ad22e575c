"""Data types of the platform's services."""

from enum import StrEnum
from typing import NamedTuple, TypedDict


class ListedInstance(TypedDict):
    """An entry of the instance list.

    `role` is `entry` or `endpoint`, and `state` is `live` or `leaving`.
    """

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
    """Error of a call to the platform.

    `CONFLICT` means that a compare-and-swap found another revision. After `UNKNOWN`, a write may
    have taken effect.
    """

    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    OVER_RATE = "over_rate"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    NO_CHANGE = "no_change"
