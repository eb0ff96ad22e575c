"""Tests of the checks of answers and of the record of executions."""

from typing import Any, cast

from wisteriarock.query.models import Outcome, QueryAnswer
from wisteriastandins.load.check import ObservedRequest, check_answer, check_record
from wisteriastandins.load.models import Arrival
from wisteriastandins.load.record import (
    ExecutedLeg,
    ExecutionRecord,
    count_executions,
    sum_counters,
)

from tests.common import function_suite
from tests.wisteriastandins.fakes import SNAPSHOT, make_answer, partition_rows

LOTS = 3
SHARDS = ("mill-01", "mill-02")
ARRIVAL = Arrival(0.0, "r-1", "blend_finder", SHARDS, 1000, True, {})


def _failed_checks(status: int = 200, **changes: Any) -> list[str]:
    """Return the names of the checks that a changed answer fails."""
    answer = make_answer("r-1", list(SHARDS), LOTS, {}) | changes
    failed = check_answer(ARRIVAL, status, cast(QueryAnswer, answer), partition_rows, LOTS)
    return [item.check for item in failed]


def _make_rows(shard: str, snapshot: int = SNAPSHOT) -> list[dict[str, Any]]:
    return partition_rows(shard, 0, 1, snapshot, LOTS, {})


ROWS = _make_rows("mill-01") + _make_rows("mill-02")
MISSING_2 = {"answered": ["mill-01"], "missing": [{"shard": "mill-02", "reason": "timeout"}]}
ALL_MISSING = {"answered": [], "missing": [{"shard": s, "reason": "late"} for s in SHARDS]}
REFUSAL: dict[str, Any] = {
    "outcome": "not_run",
    "snapshot": None,
    "coverage": {"answered": [], "missing": []},
    "rows": [],
    "retry_after_ms": 100,
}


def test_correct_answers_of_every_outcome_pass() -> None:
    """Guards against failed checks of correct answers."""
    assert _failed_checks() == []
    assert _failed_checks(rows=ROWS[::-1]) == []
    assert _failed_checks(outcome="partial", coverage=MISSING_2, rows=_make_rows("mill-01")) == []
    assert _failed_checks(outcome="unknown", coverage=ALL_MISSING, rows=[], snapshot=None) == []
    assert _failed_checks(429, **REFUSAL) == []
    assert _failed_checks(503, **REFUSAL | {"coverage": ALL_MISSING}) == []
    assert _failed_checks(401, **REFUSAL | {"request_id": "", "retry_after_ms": None}) == []


def test_wrong_rows_are_found() -> None:
    """Guards against accepting missing, foreign, duplicate or mixed rows."""
    assert _failed_checks(rows=ROWS[1:]) == ["absent_rows"]
    assert _failed_checks(rows=ROWS + ROWS[:1]) == ["doubles"]
    assert _failed_checks(rows=ROWS + _make_rows("mill-03")) == ["surplus_rows"]
    assert _failed_checks(rows=[ROWS[0] | {"shard": "mill-09"}, *ROWS[1:]]) == ["wrong_rows"]
    mixed = _make_rows("mill-01") + _make_rows("mill-02", SNAPSHOT + 1)
    assert _failed_checks(rows=mixed) == ["snapshot", "wrong_rows"]
    assert _failed_checks(snapshot=None) == ["snapshot"]


def test_rows_of_a_missing_shard_are_found() -> None:
    """Guards against coverage that reports an answered shard as missing."""
    assert _failed_checks(outcome="partial", coverage=MISSING_2) == ["surplus_rows"]


def test_a_lookup_must_return_its_lot() -> None:
    """Guards against accepting another lot, or none, as the answer to a lookup."""
    arrival = ARRIVAL._replace(shards=("mill-01",), params={"lot": "mill-01-0002"})
    answer = make_answer("r-1", ["mill-01"], LOTS, arrival.params)
    assert check_answer(arrival, 200, cast(QueryAnswer, answer), partition_rows, LOTS) == []
    answer["rows"] = _make_rows("mill-01")[:1]
    failed = check_answer(arrival, 200, cast(QueryAnswer, answer), partition_rows, LOTS)
    assert [item.check for item in failed] == ["absent_rows", "surplus_rows"]


def test_wrong_coverage_is_found() -> None:
    """Guards against coverage with omitted, repeated or unrequested shards."""
    assert "coverage" in _failed_checks(coverage={"answered": ["mill-01"], "missing": []})
    both = {"answered": list(SHARDS), "missing": [{"shard": "mill-02", "reason": "late"}]}
    assert "coverage" in _failed_checks(outcome="partial", coverage=both)
    twice = {"answered": ["mill-01", "mill-01", "mill-02"], "missing": []}
    assert "coverage" in _failed_checks(coverage=twice)
    foreign = {"answered": [*SHARDS, "mill-03"], "missing": []}
    assert "coverage" in _failed_checks(coverage=foreign)


def test_outcome_must_agree_with_coverage_and_status() -> None:
    """Guards against a partial answer that is reported as complete, and the reverse."""
    assert _failed_checks(coverage=MISSING_2, rows=_make_rows("mill-01")) == ["outcome"]
    assert _failed_checks(outcome="partial") == ["outcome"]
    assert _failed_checks(outcome="unknown") == ["outcome"]
    assert "status" in _failed_checks(503)
    assert _failed_checks(200, **REFUSAL) == ["status"]
    assert _failed_checks(429, **REFUSAL | {"retry_after_ms": None}) == ["retry_after"]


def test_cost_must_fit_the_answer() -> None:
    """Guards against a reported cost that leaves out legs."""
    cost = make_answer("r-1", list(SHARDS), LOTS, {})["stats"]
    assert _failed_checks(stats=cost | {"legs": 1}) == ["stats"]
    assert _failed_checks(stats=cost | {"retries": 5}) == ["stats"]
    assert _failed_checks(stats=cost | {"hedges": -1}) == ["stats"]


def test_another_request_id_is_found() -> None:
    """Guards against accepting the answer to another request."""
    assert _failed_checks(request_id="r-2") == ["request_id"]
    assert _failed_checks(request_id="") == ["request_id"]
    assert _failed_checks(429, **REFUSAL | {"request_id": "r-2"}) == ["request_id"]


def test_the_record_shows_forbidden_executions() -> None:
    """Guards against executions that run twice, or that are reported as not run."""
    observed = {
        "once": ObservedRequest(False, Outcome.COMPLETE),
        "twice": ObservedRequest(False, Outcome.UNKNOWN),
        "repeatable": ObservedRequest(True, Outcome.COMPLETE),
        "denied": ObservedRequest(True, Outcome.NOT_RUN),
        "lost": ObservedRequest(False, None),
        "never": ObservedRequest(False, Outcome.COMPLETE),
    }
    executed = {"once": 1, "twice": 2, "repeatable": 3, "denied": 1, "lost": 1}
    failures = [(f.request_id, f.check) for f in check_record(executed, observed)]
    assert failures == [("twice", "run_twice"), ("denied", "not_run_ran"), ("never", "never_ran")]
    partly_read = check_record(executed, observed, complete=False)
    assert [f.request_id for f in partly_read] == ["twice", "denied"]


def _make_leg(request_id: str, part: int, parts: int, count: int = 1) -> ExecutedLeg:
    return ExecutedLeg(request_id=request_id, shard="s", part=part, parts=parts, count=count)


def test_executions_are_counted_by_partition() -> None:
    """Guards against counting partitions as repeats, and missing repeats at another replica."""
    first = ExecutionRecord(
        endpoints={
            "a": {"counters": {}, "executed": [_make_leg("split", 0, 2), _make_leg("again", 0, 1)]},
            "b": {
                "counters": {},
                "executed": [_make_leg("split", 1, 2), _make_leg("renumbered", 0, 2)],
            },
        }
    )
    second = ExecutionRecord(
        endpoints={
            "c": {
                "counters": {},
                "executed": [_make_leg("again", 0, 1), _make_leg("renumbered", 0, 1)],
            },
            "d": {"counters": {}, "executed": {"counted": 1}},
        }
    )
    executed = count_executions([first, second])
    assert executed == {"split": 1, "again": 2, "renumbered": 2, "counted": 1}


def test_counts_are_sums_over_endpoints() -> None:
    """Guards against overlooking legs sent to a draining endpoint."""
    delays_ms = [10, 3001, 9000]
    counters = {"received": 5, "shed": 1, "legs_after_drain": 3, "drain_delays_ms": delays_ms}
    record = ExecutionRecord(
        endpoints={
            "a": {"counters": counters, "executed": []},
            "b": {"counters": {"received": 2, "connections_refused": 4}, "executed": []},
        }
    )
    assert sum_counters([record, record]) == (14, 2, 8, 6, 4)


load_tests = function_suite(globals())
