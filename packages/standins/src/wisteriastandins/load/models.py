"""Data of load runs."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple, TypedDict

from wisteriarock.query.models import QueryAnswer

PartitionRows = Callable[[str, int, int, int, int, dict[str, Any]], list[dict[str, Any]]]


class LoadOptions(NamedTuple):
    """How to load. `rate_per_s` counts requests of all classes together."""

    rate_per_s: float
    warm_up_s: float
    duration_s: float
    seed: int


class Arrival(NamedTuple):
    """A request that is due `scheduled_ms` after the start of the run."""

    scheduled_ms: float
    request_id: str
    kind: str
    shards: tuple[str, ...]
    deadline_ms: int
    repeatable: bool
    params: dict[str, Any]


class SendError(StrEnum):
    """Why a request has no answer."""

    NO_INSTANCE = "no_instance"
    NO_TICKET = "no_ticket"
    NO_CONNECTION = "no_connection"
    TIMEOUT = "timeout"
    CONNECTION_LOST = "connection_lost"
    BAD_ANSWER = "bad_answer"
    TOO_MANY = "too_many_in_flight"


class ReceivedAnswer(NamedTuple):
    """An answer as it came in."""

    status: int
    answer: QueryAnswer


class CheckFailure(NamedTuple):
    """A check that an answer did not pass."""

    request_id: str
    check: str
    detail: str


class ClassResult(TypedDict):
    """Figures of one class.

    Attributes
    ----------
    p50_ms, p99_ms : float
        Latency from the due time, of answers other than `not_run`.
    late_answers : int
        Answers after the deadline and the delays between client and entry instance.
    mean_coverage : float
        Share of the wanted shards that were answered, over all requests that got an answer.
    extra_load_pct : float
        Hedges and retries in per cent of primary legs.
    cross_zone_legs : float
        Mean of an answer.
    missing_reasons : dict
        Reason that an answer gave for a missing shard to the number of such shards.
    answer_errors : dict
        Error code of an answer to the number of such answers.
    errors : dict
        Why there was no answer to the number of such requests.
    """

    kind: str
    requests: int
    rate_per_s: float
    outcomes: dict[str, int]
    p50_ms: float
    p99_ms: float
    late_answers: int
    mean_coverage: float
    extra_load_pct: float
    cross_zone_legs: float
    missing_reasons: dict[str, int]
    answer_errors: dict[str, int]
    errors: dict[str, int]
    check_failures: int


class LoadResult(TypedDict):
    """Figures of a run.

    Attributes
    ----------
    late_starts : int
        Requests that the load tool started over 5 ms late.
    tool_cpu_pct : float
        The load tool's use of one processor; near 100, latency is that of the load tool.
    record_checked : bool
        The record of executions of every stand-in could be read.
    endpoints : dict
        The fields of `record.EndpointCounts` for the run.
    failed_checks : dict
        Name of a check to how often it failed.
    failures : list of dict
        The first failed checks.
    """

    customer: str
    rate_per_s: float
    duration_s: float
    seed: int
    classes: list[ClassResult]
    late_starts: int
    tool_cpu_pct: float
    record_checked: bool
    endpoints: dict[str, int]
    failed_checks: dict[str, int]
    failures: list[dict[str, str]]
