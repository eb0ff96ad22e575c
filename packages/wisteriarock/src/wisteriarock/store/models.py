"""Data types of calls to the store and of their results."""

import enum
from collections.abc import Callable
from typing import NamedTuple

from wisteriarock.catalog.models import Configuration
from wisteriarock.discovery.models import EndpointEntry
from wisteriarock.http.models import Headers


class StoreErrorKind(enum.Enum):
    """Reason why a call to the store failed."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    HISTORY_GONE = "history_gone"
    TOO_LARGE = "too_large"
    BAD_REPLY = "bad_reply"
    RETURNED = "returned"
    FORMER_ERA = "former_era"


class Position(NamedTuple):
    """How new content of the store is.

    The era rises when the store comes back from an older copy; it gives out revisions again then,
    so that only those of one era can be compared. It is 0 if the store names none.
    """

    era: int
    revision: int


class StoreError(NamedTuple):
    """A failed call to the store; `is_sent` tells whether the call may have arrived."""

    kind: StoreErrorKind
    detail: str
    is_sent: bool = True


class Item(NamedTuple):
    """A key with its value; `value` is None if the key was removed."""

    key: str
    value: bytes | None
    position: Position


class Listing(NamedTuple):
    """A page of items, with the store's position from which to follow changes."""

    items: list[Item]
    has_more: bool
    position: Position


class Snapshot(NamedTuple):
    """All data of interest in the store, with the position from which to follow changes."""

    configuration: list[Item]
    evacuations: list[Item]
    relays: list[Item]
    endpoints: list[Item]
    position: Position


class StoreFormat(NamedTuple):
    """Encoding of calls to the store, decoding of its replies, and key names.

    Attributes
    ----------
    encode_read, encode_list : callable
        Return the bytes of a read; the last argument allows stale content, seconds old.
    encode_watch, encode_lease, encode_renewal, encode_release : callable
        Return the bytes of a call.
    encode_write : callable
        Returns the bytes of a write. The last argument is the revision that the key must have for
        the write to succeed: 0 if the key must not exist, None for no condition.
    decode_item, decode_listing, decode_events : callable
        Return the content of a successful reply, given its body and era, or None if it is
        malformed.
    decode_lease : callable
        Returns the id of a lease, or None if the reply is malformed.
    decode_configuration, decode_endpoint : callable
        Return the decoded value, or the reason why it is invalid.
    decode_era : callable
        Returns the era from the headers of a reply: None if they name none, and the reason why it
        is invalid.
    classify : callable
        Maps an HTTP status to a kind of error, or to None for success.
    configuration_key : str
        Key of the configuration, written by the operator.
    endpoints_prefix : str
        Prefix of the keys that endpoints write.
    operator_prefix : str
        Prefix of all keys that the operator writes.
    evacuations_prefix : str
        Prefix of the keys that ask for the evacuation of an availability zone, whose name follows.
    """

    encode_read: Callable[[str, bool], bytes]
    encode_list: Callable[[str, str, bool], bytes]
    encode_watch: Callable[[str, int, int], bytes]
    encode_write: Callable[[str, bytes, int, int | None], bytes]
    encode_lease: Callable[[int], bytes]
    encode_renewal: Callable[[int], bytes]
    encode_release: Callable[[int], bytes]
    decode_item: Callable[[bytes, int], Listing | None]
    decode_listing: Callable[[bytes, int], Listing | None]
    decode_events: Callable[[bytes, int], Listing | None]
    decode_lease: Callable[[bytes], int | None]
    decode_configuration: Callable[[bytes], Configuration | str]
    decode_endpoint: Callable[[str, bytes], EndpointEntry | str]
    decode_era: Callable[[Headers], int | str | None]
    classify: Callable[[int], StoreErrorKind | None]
    configuration_key: str
    endpoints_prefix: str
    operator_prefix: str
    evacuations_prefix: str
