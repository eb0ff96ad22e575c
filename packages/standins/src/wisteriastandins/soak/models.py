"""Types of the soak: the plan of faults and what was seen."""

from enum import StrEnum
from typing import NamedTuple


class FaultKind(StrEnum):
    """What a fault does; `target` of the fault counts instances, endpoints or zones."""

    KILL = "kill"
    KILL_ALL = "kill_all"
    PAUSE = "pause"
    STOP = "stop"
    HANG_UP = "hang_up"
    STORE_BUSY = "store_busy"
    STORE_SILENT = "store_silent"
    STORE_LOST = "store_lost"
    STORE_SLOW = "store_slow"
    STORE_FORGETS = "store_forgets"
    LEASES_EXPIRE = "leases_expire"
    STORE_LINK_SILENT = "store_link_silent"
    STORE_LINK_CUT = "store_link_cut"
    LINK_RESET = "link_reset"
    LINK_SILENT = "link_silent"
    LINK_ONE_WAY = "link_one_way"
    LINK_SLOW = "link_slow"
    ENDPOINT_SHED = "endpoint_shed"
    ENDPOINT_ERROR = "endpoint_error"
    ENDPOINT_MUTE = "endpoint_mute"
    ENDPOINT_DRAIN = "endpoint_drain"
    ENDPOINT_MOVE = "endpoint_move"
    CONFIGURE = "configure"
    RESHARD = "reshard"


class Fault(NamedTuple):
    """One fault: what, when after the start of traffic, where, and for how long."""

    at_s: float
    kind: FaultKind
    target: int
    duration_s: float


class RequestKind(StrEnum):
    """Kinds of callers' requests."""

    SEARCH = "search"
    LOOKUP = "lookup"
    BOOK = "book"
    PROBE = "probe"


class Attempt(NamedTuple):
    """A caller's request and its end; `status` 0 stands for a connection that ended before.

    Attributes
    ----------
    expected_version : int
        For a probe: the version that added its route.
    has_disconnected : bool
        The caller closed its connection while it waited.
    """

    request_id: str
    kind: RequestKind
    instance: int
    sent_ms: float
    ended_ms: float
    status: int
    headers: dict[str, str]
    body: bytes
    expected_version: int = 0
    has_disconnected: bool = False


class Arrival(NamedTuple):
    """A request that reached an endpoint; `proof` is empty where it did not run."""

    at_ms: float
    request_id: str
    service: str
    endpoint_id: str
    target: str
    body: bytes
    stamp: str


class ConfigurationVersion(NamedTuple):
    """A version of the configuration, with the time at which the store confirmed it."""

    version: int
    confirmed_ms: float
    shards: tuple[str, ...]
    ledger: str


class Disturbance(NamedTuple):
    """A span in which an instance was not in touch, so that bounds of time do not hold there."""

    instance: int
    from_ms: float
    to_ms: float
    is_planned: bool


class ProcessLifetime(NamedTuple):
    """The life of one process of an instance."""

    instance: int
    from_ms: float
    to_ms: float


class DrainingEndpoint(NamedTuple):
    """An endpoint that drains, with the time at which the store confirmed it."""

    endpoint_id: str
    confirmed_ms: float


class Observations:
    """All that callers, endpoints and the operator saw in a run."""

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []
        self.arrivals: list[Arrival] = []
        self.versions: list[ConfigurationVersion] = []
        self.disturbances: list[Disturbance] = []
        self.lifetimes: list[ProcessLifetime] = []
        self.draining_endpoints: list[DrainingEndpoint] = []
        self.kill_all_times_ms: list[float] = []
        self.malformed_ids: set[str] = set()
        self.peak_connections: dict[str, int] = {}


class Violation(NamedTuple):
    """A broken promise: which, what was seen, and when."""

    guarantee: str
    detail: str
    at_ms: float
