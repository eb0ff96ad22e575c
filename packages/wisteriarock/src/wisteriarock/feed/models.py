"""Types of the feed."""

from collections import deque
from typing import NamedTuple, TypedDict

from wisteriarock.store.models import Item


class Relay(NamedTuple):
    """The relay of a zone, as it registered in the store.

    Attributes
    ----------
    instances : int
        Number of instances in its zone, itself included; 0 as long as that is not known.
    revision : int
        Revision of its registration.
    """

    zone: str
    instance: str
    host: str
    port: int
    instances: int
    revision: int


class RelayValue(TypedDict):
    """What a relay writes into the store."""

    instance: str
    address: str
    instances: int


class FeedAnswer(TypedDict):
    """What a relay answers a follower: all changes between two revisions.

    A change is a list of key, revision, and value (a character for each byte) or None where the key
    was removed. A relay that is on standby for the follower says None instead of the changes.
    `store_age_ms` is the time since the relay heard the store, `calm_ms` how long the store has
    answered it without failure. `lost_zones` are zones that an instance of the relay's own zone
    cannot reach, while it is cut off from the store as well.
    """

    revision: int
    store_age_ms: float
    calm_ms: float
    changes: list[tuple[str, int, str | None]] | None
    lost_zones: list[str]


class FeedState:
    """What an instance knows of relays, and what it keeps for its own followers.

    Attributes
    ----------
    counts : dict
        Number of instances by zone, with the time at which it was learnt.
    followers : dict
        Time of the last call of each follower of the own zone, by instance.
    relay_answered_at_ms : dict
        Time of the last useful answer of each relay that is followed, by place. A relay that
        refuses or does not answer has none.
    lost_zones : tuple of str
        Zones that an instance of the own zone reported as lost, at `lost_zones_at_ms`.
    encoded : dict
        Encoded answers by the revision that was asked for, as of `encoded_at_ms` and of
        `encoded_revision`.
    lease : int or None
        The lease under which this instance is the relay of its zone, since `relay_since_ms`.
    """

    __slots__ = (
        "instance_counts",
        "encoded_answers",
        "encoded_at_ms",
        "encoded_revision",
        "relay_answered_at_ms",
        "followers",
        "history",
        "history_bytes",
        "history_start_revision",
        "lease",
        "lost_zones",
        "lost_zones_at_ms",
        "published_count",
        "relay_since_ms",
        "relays",
        "revision",
    )

    def __init__(self) -> None:
        self.relays: dict[str, Relay] = {}
        self.instance_counts: dict[str, tuple[int, float]] = {}
        self.followers: dict[str, float] = {}
        self.history: deque[Item] = deque()
        self.history_bytes = 0
        self.history_start_revision = 0
        self.revision = 0
        self.lost_zones: tuple[str, ...] = ()
        self.lost_zones_at_ms = 0.0
        self.encoded_answers: dict[int, bytes] = {}
        self.encoded_at_ms = 0.0
        self.encoded_revision = 0
        self.relay_answered_at_ms: dict[int, float] = {}
        self.lease: int | None = None
        self.published_count = 0
        self.relay_since_ms = 0.0
