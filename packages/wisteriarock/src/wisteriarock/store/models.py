"""Calls of the store and their outcomes."""

import enum
from collections.abc import Callable
from typing import NamedTuple

from wisteriarock.catalog.models import Configuration
from wisteriarock.discovery.models import EndpointEntry


class StoreErrorKind(enum.Enum):
    """Why a call of the store gave no result."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    HISTORY_GONE = "history_gone"
    BAD_REPLY = "bad_reply"


class StoreError(NamedTuple):
    """A call that gave no result."""

    kind: StoreErrorKind
    detail: str


class Item(NamedTuple):
    """A key with its value; `value` is None where the key was removed."""

    key: str
    value: bytes | None
    revision: int


class Listing(NamedTuple):
    """Items, with the revision of the store from which changes are to be followed."""

    items: list[Item]
    has_more: bool
    revision: int


class Snapshot(NamedTuple):
    """Everything that was read of the store, with the revision from which changes follow."""

    configuration: list[Item]
    relays: list[Item]
    endpoints: list[Item]
    revision: int


class StoreFormat(NamedTuple):
    """Names and formats of the store's calls.

    Attributes
    ----------
    encode_read, encode_list : callable
        Return the bytes of a read; the last argument allows content that is seconds old.
    encode_watch, encode_lease, encode_renewal, encode_release : callable
        Return the bytes of a call.
    encode_write : callable
        Returns the bytes of a write; the last argument is the revision that the key must have
        (0: none), or None for any.
    decode_item, decode_listing, decode_events : callable
        Return the content of a successful reply, None where it cannot be read.
    decode_lease : callable
        Returns the id of a lease.
    decode_configuration, decode_endpoint : callable
        Return the content of a value, or the reason why it cannot be used.
    classify : callable
        Returns the kind of error that a status stands for, None for success.
    configuration_key, endpoints_prefix : str
        Where the operator and the endpoints write.
    """

    encode_read: Callable[[str, bool], bytes]
    encode_list: Callable[[str, str, bool], bytes]
    encode_watch: Callable[[str, int, int], bytes]
    encode_write: Callable[[str, bytes, int, int | None], bytes]
    encode_lease: Callable[[int], bytes]
    encode_renewal: Callable[[int], bytes]
    encode_release: Callable[[int], bytes]
    decode_item: Callable[[bytes], Listing | None]
    decode_listing: Callable[[bytes], Listing | None]
    decode_events: Callable[[bytes], Listing | None]
    decode_lease: Callable[[bytes], int | None]
    decode_configuration: Callable[[bytes], Configuration | str]
    decode_endpoint: Callable[[str, bytes], EndpointEntry | str]
    classify: Callable[[int], StoreErrorKind | None]
    configuration_key: str
    endpoints_prefix: str
