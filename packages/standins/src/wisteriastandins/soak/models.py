"""Types of the soak: the plan of faults and the observations."""

from enum import StrEnum
from typing import NamedTuple


class FaultKind(StrEnum):
    """Kinds of faults; `Fault.target`, modulo a count, selects an instance, endpoint or zone."""

    KILL = "kill"
    KILL_ALL = "kill_all"
    PAUSE = "pause"
    STOP = "stop"
    HANG_UP = "hang_up"
    EARLY_HANG_UP = "early_hang_up"
    EARLY_STOP = "early_stop"
    SETTINGS_REWRITTEN = "settings_rewritten"
    PORT_TAKEN = "port_taken"
    ODD_ENTRY = "odd_entry"
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
    ENDPOINT_CUT_OFF = "endpoint_cut_off"
    ENDPOINT_COPY = "endpoint_copy"
    ENDPOINT_ENDLESS = "endpoint_endless"
    ENDPOINT_LIMIT = "endpoint_limit"
    ENDPOINT_ENCODED = "endpoint_encoded"
    ENDPOINT_UNNAMED = "endpoint_unnamed"
    ENDPOINT_LEAVING = "endpoint_leaving"
    ENDPOINT_PAUSE = "endpoint_pause"
    COLD_RETURN = "cold_return"
    EVACUATE = "evacuate"
    DEADLY_REQUESTS = "deadly_requests"
    LARGE_CHANGES = "large_changes"
    HOSTILE_CALLERS = "hostile_callers"
    HOT_CUSTOMER = "hot_customer"
    KEY_WITHDRAWN = "key_withdrawn"
    ENDPOINT_DRAIN = "endpoint_drain"
    ENDPOINT_MOVE = "endpoint_move"
    CONFIGURE = "configure"
    RESHARD = "reshard"
    STORE_RETURN = "store_return"


class Fault(NamedTuple):
    """A scheduled fault; `at_s` counts from the start of traffic."""

    at_s: float
    kind: FaultKind
    target: int
    duration_s: float


class RequestKind(StrEnum):
    """Kinds of requests that callers send."""

    SEARCH = "search"
    LOOKUP = "lookup"
    BOOK = "book"
    PROBE = "probe"


class Attempt(NamedTuple):
    """Request of a caller and its result; `status` is 0 if the connection ended without an answer.

    Attributes
    ----------
    expected_version : int
        Version that added the route of a probe; 0 for other kinds.
    has_disconnected : bool
        Whether the caller disconnected before it got an answer.
    customer, key : str
        Customer of the caller and its key; empty for a request without a key.
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
    customer: str = ""
    key: str = ""


class Arrival(NamedTuple):
    """A request that reached an endpoint; `stamp` is empty if it did not run.

    Attributes
    ----------
    customer : str
        Customers that the request names, separated by commas.
    has_key : bool
        Whether a key was passed on.
    """

    at_ms: float
    request_id: str
    service: str
    endpoint_id: str
    target: str
    body: bytes
    stamp: str
    customer: str = ""
    has_key: bool = False


class ConfigurationVersion(NamedTuple):
    """A version of the configuration and the time at which the store confirmed it."""

    version: int
    confirmed_ms: float
    shards: tuple[str, ...]
    ledger: str


class Disturbance(NamedTuple):
    """A period in which a fault affects an instance, so that time limits do not apply to it.

    `instance` is -1 for all instances.
    """

    instance: int
    from_ms: float
    to_ms: float
    is_planned: bool


class ProcessLifetime(NamedTuple):
    """The period in which one process of an instance ran.

    Attributes
    ----------
    exit_status : int
        Exit status; the negative number of a signal that ended it.
    sent_signals : frozenset of int
        Signals that the soak sent to it.
    """

    instance: int
    from_ms: float
    to_ms: float
    exit_status: int = 0
    sent_signals: frozenset[int] = frozenset()


class DrainingEndpoint(NamedTuple):
    """A draining endpoint and the time at which the store confirmed its state."""

    endpoint_id: str
    confirmed_ms: float


class RateLimit(NamedTuple):
    """A rate limit that an endpoint named in all replies of a period."""

    endpoint_id: str
    per_s: float
    from_ms: float
    to_ms: float


class LimitNotice(NamedTuple):
    """A reply in which an endpoint named its rate limit."""

    endpoint_id: str
    request_id: str
    at_ms: float


class LeavingNotice(NamedTuple):
    """A reply in which an endpoint said that it leaves."""

    endpoint_id: str
    request_id: str
    at_ms: float


class PauseNotice(NamedTuple):
    """A refusal in which an endpoint asked an instance for a pause."""

    endpoint_id: str
    request_id: str
    at_ms: float
    pause_ms: float


class ZoneEvacuation(NamedTuple):
    """An evacuation of a zone, from the store's confirmation until its end."""

    zone: str
    confirmed_ms: float
    to_ms: float


class ColdPeriod(NamedTuple):
    """A period in which an endpoint was cold."""

    endpoint_id: str
    from_ms: float
    to_ms: float


class KeyWithdrawal(NamedTuple):
    """A period in which a key was withdrawn, from the store's confirmation until its return."""

    key: str
    confirmed_ms: float
    to_ms: float


class DeadlyEnd(NamedTuple):
    """The end of an endpoint under a request."""

    request_id: str
    at_ms: float


class Observations:
    """What callers, endpoints and the operator observed in a run."""

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []
        self.arrivals: list[Arrival] = []
        self.versions: list[ConfigurationVersion] = []
        self.disturbances: list[Disturbance] = []
        self.lifetimes: list[ProcessLifetime] = []
        self.draining_endpoints: list[DrainingEndpoint] = []
        self.rate_limits: list[RateLimit] = []
        self.limit_notices: list[LimitNotice] = []
        self.leaving_notices: list[LeavingNotice] = []
        self.pause_notices: list[PauseNotice] = []
        self.evacuations: list[ZoneEvacuation] = []
        self.cold_periods: list[ColdPeriod] = []
        self.deadly_ends: list[DeadlyEnd] = []
        self.deadly_until_ms = 0.0
        self.key_withdrawals: list[KeyWithdrawal] = []
        self.hot_callers: list[int] = []
        self.peak_memory_bytes: dict[int, int] = {}
        self.kill_all_times_ms: list[float] = []
        self.malformed_ids: set[str] = set()
        self.peak_connections: dict[str, int] = {}


class Violation(NamedTuple):
    """A violated guarantee, with a description and the time of the violation."""

    guarantee: str
    detail: str
    at_ms: float
