"""Data types of the feed."""

from collections import deque
from typing import NamedTuple, TypedDict

from wisteriarock.gathering.models import Gatherer
from wisteriarock.quarantine.models import Notice
from wisteriarock.store.models import Item, Position


class Relay(NamedTuple):
    """The relay of a zone, as registered in the store.

    Attributes
    ----------
    instances : int
        Number of instances in its zone, itself included; 0 if not known yet.
    gatherers : int
        Number of gatherers in its zone; 0 if every instance queries the endpoints itself.
    revision : int
        Store revision of the registration.
    """

    zone: str
    instance: str
    host: str
    port: int
    instances: int
    gatherers: int
    revision: int


class RelayValue(TypedDict):
    """Value that a relay writes to its key in the store."""

    instance: str
    address: str
    instances: int
    gatherers: int


class FeedAnswer(TypedDict):
    """Answer of a relay to a follower: all changes between two positions.

    Attributes
    ----------
    era, revision : int
        Position of the relay; all changes are of its era.
    copy_revision : int
        Revision up to which changes of this era are what the store's copy showed as it returned; 0
        in the first era that the relay knows.
    is_full : bool
        Whether the changes list everything, so that a follower of a former era drops what is not
        among them.
    store_age_ms : float
        Time since the last answer of the store to the relay.
    calm_ms : float
        How long the store has answered the relay without failure.
    changes : list of tuple or None
        Key, revision and value of each change. The value has one character for each byte, or is
        None if the key was removed. A standby relay sends None instead of the list.
    lost_zones : list of str
        Zones that an instance of the relay's own zone cannot reach while it is cut off from the
        store as well.
    zone : str
        Zone of the relay.
    gatherers : list of list or None
        Name, address and capacity of the gatherers of that zone; None if they are not known yet.
    notices : list of Notice
        Requests that ended endpoints lately.
    """

    era: int
    revision: int
    copy_revision: int
    is_full: bool
    store_age_ms: float
    calm_ms: float
    changes: list[tuple[str, int, str | None]] | None
    lost_zones: list[str]
    zone: str
    gatherers: list[list[str | float]] | None
    notices: list[Notice]


class FeedState:
    """Known relays, and the history that an instance keeps for its own followers.

    Attributes
    ----------
    instance_counts : dict
        Number of instances by zone, with the time of that information.
    followers : dict
        Time of the last call of each follower of the local zone, by instance.
    candidates : dict
        Address and capacity of these followers, by instance.
    zone : str
        The local zone.
    gatherers : tuple of Gatherer or None
        Gatherers of the local zone; empty if every instance queries the endpoints itself, None if
        they are not known yet.
    gatherer_counts : dict
        Number of gatherers by zone, as the relays published it.
    published_gatherers : int
        Number of gatherers in the last registration that this relay wrote.
    position : Position
        Position up to which this instance knows the content of the store.
    copy_revision : int
        Revision up to which content of this era is what the store's copy showed as it returned; 0
        in the first era that this instance knows.
    history_start : Position
        Position after which the history has all changes.
    relay_answered_at_ms : dict
        Time of the last useful answer of each followed relay, by its rank in `choose_relays`. A
        relay that refuses or does not answer has no entry.
    lost_zones : tuple of str
        Zones that an instance of the local zone reported as lost, at `lost_zones_at_ms`.
    encoded_answers : dict
        Cache of encoded answers by requested position, valid for `encoded_position` and started at
        `encoded_at_ms`.
    is_registration_unsure : bool
        Whether the store has returned from a copy since this relay last wrote its registration.
    lease : int or None
        The lease under which this instance is the relay of its zone, since `relay_since_ms`.
    notices : dict
        Time at which each notice was last reported to this relay.
    published_count : int
        Number of instances in the last registration that this relay wrote.
    """

    __slots__ = (
        "candidates",
        "copy_revision",
        "gatherer_counts",
        "gatherers",
        "instance_counts",
        "encoded_answers",
        "encoded_at_ms",
        "encoded_position",
        "relay_answered_at_ms",
        "followers",
        "history",
        "history_bytes",
        "history_start",
        "is_registration_unsure",
        "lease",
        "lost_zones",
        "lost_zones_at_ms",
        "notices",
        "position",
        "published_count",
        "published_gatherers",
        "relay_since_ms",
        "relays",
        "zone",
    )

    def __init__(self, zone: str = "") -> None:
        self.zone = zone
        self.candidates: dict[str, Gatherer] = {}
        self.gatherers: tuple[Gatherer, ...] | None = None
        self.gatherer_counts: dict[str, int] = {}
        self.published_gatherers = 0
        self.relays: dict[str, Relay] = {}
        self.instance_counts: dict[str, tuple[int, float]] = {}
        self.followers: dict[str, float] = {}
        self.history: deque[Item] = deque()
        self.history_bytes = 0
        self.history_start = Position(0, 0)
        self.position = Position(0, 0)
        self.copy_revision = 0
        self.lost_zones: tuple[str, ...] = ()
        self.lost_zones_at_ms = 0.0
        self.notices: dict[Notice, float] = {}
        self.encoded_answers: dict[Position, bytes] = {}
        self.encoded_at_ms = 0.0
        self.encoded_position = Position(0, 0)
        self.relay_answered_at_ms: dict[int, float] = {}
        self.lease: int | None = None
        self.is_registration_unsure = False
        self.published_count = 0
        self.relay_since_ms = 0.0
