"""Data of load runs."""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple, TypedDict

from wisteriarock.query.models import QueryAnswer

PartitionRows = Callable[[str, int, int, int, int, dict[str, Any]], list[dict[str, Any]]]


class LoadOptions(NamedTuple):
    """Options of a load run; `rate_per_s` is the request rate of all classes together."""

    rate_per_s: float
    warm_up_s: float
    duration_s: float
    seed: int


class Arrival(NamedTuple):
    """A request to send `scheduled_ms` after the start of the run."""

    scheduled_ms: float
    request_id: str
    kind: str
    shards: tuple[str, ...]
    deadline_ms: int
    repeatable: bool
    params: dict[str, Any]


class SendError(StrEnum):
    """Reason why a request has no answer."""

    NO_INSTANCE = "no_instance"
    NO_TICKET = "no_ticket"
    NO_CONNECTION = "no_connection"
    TIMEOUT = "timeout"
    CONNECTION_LOST = "connection_lost"
    BAD_ANSWER = "bad_answer"
    TOO_MANY = "too_many_in_flight"


class ReceivedAnswer(NamedTuple):
    """A decoded answer with its HTTP status."""

    status: int
    answer: QueryAnswer


class CheckFailure(NamedTuple):
    """A failed check of an answer."""

    request_id: str
    check: str
    detail: str


class ClassResult(TypedDict):
    """Figures of one request class.

    Attributes
    ----------
    p50_ms, p99_ms : float
        Latency of answers other than `not_run`, from the scheduled time of the request.
    late_answers : int
        Answers that came after the deadline plus the delays between client and entry instance and
        a tolerance.
    mean_coverage : float
        Mean share of the requested shards that were answered, over all requests with an answer.
    extra_load_pct : float
        Hedges and retries in percent of primary legs.
    cross_zone_legs : float
        Mean number of cross-zone legs per answer.
    missing_reasons : dict
        Number of missing shards by the reason that the answer gives.
    answer_errors : dict
        Number of answers by error code.
    errors : dict
        Number of requests without an answer by the value of `SendError`.
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
        Requests that the load tool started more than 5 ms late.
    tool_cpu_pct : float
        Load of one processor by the load tool; near 100, the latency is mostly its own.
    record_checked : bool
        Whether the record of executions of every stand-in could be read.
    endpoints : dict
        The fields of `record.EndpointCounts` for the run.
    failed_checks : dict
        Number of failures by name of the check.
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
