"""Tests of the checks of answers and of the record of executions."""

from typing import Any, cast

from wisteriarock.query.models import Outcome, QueryAnswer
from wisteriastandins.load.check import Observed, check_answer, check_record
from wisteriastandins.load.models import Arrival
from wisteriastandins.load.record import ExecutedLeg, Record, count, times_executed

from tests.common import function_suite
from tests.wisteriastandins.fakes import SNAPSHOT, make_answer, make_rows

LOTS = 3
SHARDS = ("mill-01", "mill-02")
ARRIVAL = Arrival(0.0, "r-1", "blend_finder", SHARDS, 1000, True, {})


def _failed(status: int = 200, **changes: Any) -> list[str]:
    """Return the names of the checks that a changed answer fails."""
    answer = make_answer("r-1", list(SHARDS), LOTS, {}) | changes
    failed = check_answer(ARRIVAL, status, cast(QueryAnswer, answer), make_rows, LOTS)
    return [item.check for item in failed]


def _rows(shard: str, snapshot: int = SNAPSHOT) -> list[dict[str, Any]]:
    return make_rows(shard, 0, 1, snapshot, LOTS, {})


ROWS = _rows("mill-01") + _rows("mill-02")
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
    """Guards against failures that are reported for correct answers."""
    assert _failed() == []
    assert _failed(rows=ROWS[::-1]) == []
    assert _failed(outcome="partial", coverage=MISSING_2, rows=_rows("mill-01")) == []
    assert _failed(outcome="unknown", coverage=ALL_MISSING, rows=[], snapshot=None) == []
    assert _failed(429, **REFUSAL) == []
    assert _failed(503, **REFUSAL | {"coverage": ALL_MISSING}) == []
    assert _failed(401, **REFUSAL | {"request_id": "", "retry_after_ms": None}) == []


def test_wrong_rows_are_found() -> None:
    """Guards against answers with missing, foreign, double or mixed rows that pass."""
    assert _failed(rows=ROWS[1:]) == ["absent_rows"]
    assert _failed(rows=ROWS + ROWS[:1]) == ["doubles"]
    assert _failed(rows=ROWS + _rows("mill-03")) == ["surplus_rows"]
    assert _failed(rows=[ROWS[0] | {"shard": "mill-09"}, *ROWS[1:]]) == ["wrong_rows"]
    mixed = _rows("mill-01") + _rows("mill-02", SNAPSHOT + 1)
    assert _failed(rows=mixed) == ["snapshot", "wrong_rows"]
    assert _failed(snapshot=None) == ["snapshot"]


def test_rows_of_a_missing_shard_are_found() -> None:
    """Guards against coverage that understates what the answer holds."""
    assert _failed(outcome="partial", coverage=MISSING_2) == ["surplus_rows"]


def test_a_lookup_must_give_its_lot() -> None:
    """Guards against a lookup that is answered with another lot or with none."""
    arrival = ARRIVAL._replace(shards=("mill-01",), params={"lot": "mill-01-0002"})
    answer = make_answer("r-1", ["mill-01"], LOTS, arrival.params)
    assert check_answer(arrival, 200, cast(QueryAnswer, answer), make_rows, LOTS) == []
    answer["rows"] = _rows("mill-01")[:1]
    failed = check_answer(arrival, 200, cast(QueryAnswer, answer), make_rows, LOTS)
    assert [item.check for item in failed] == ["absent_rows", "surplus_rows"]


def test_wrong_coverage_is_found() -> None:
    """Guards against shards that are left out, named twice or not asked for."""
    assert "coverage" in _failed(coverage={"answered": ["mill-01"], "missing": []})
    both = {"answered": list(SHARDS), "missing": [{"shard": "mill-02", "reason": "late"}]}
    assert "coverage" in _failed(outcome="partial", coverage=both)
    twice = {"answered": ["mill-01", "mill-01", "mill-02"], "missing": []}
    assert "coverage" in _failed(coverage=twice)
    foreign = {"answered": [*SHARDS, "mill-03"], "missing": []}
    assert "coverage" in _failed(coverage=foreign)


def test_outcome_must_agree_with_coverage_and_status() -> None:
    """Guards against a partial answer that is reported as complete, and the reverse."""
    assert _failed(coverage=MISSING_2, rows=_rows("mill-01")) == ["outcome"]
    assert _failed(outcome="partial") == ["outcome"]
    assert _failed(outcome="unknown") == ["outcome"]
    assert "status" in _failed(503)
    assert _failed(200, **REFUSAL) == ["status"]
    assert _failed(429, **REFUSAL | {"retry_after_ms": None}) == ["retry_after"]


def test_cost_must_fit_the_answer() -> None:
    """Guards against legs that are left out of the reported extra load."""
    cost = make_answer("r-1", list(SHARDS), LOTS, {})["stats"]
    assert _failed(stats=cost | {"legs": 1}) == ["stats"]
    assert _failed(stats=cost | {"retries": 5}) == ["stats"]
    assert _failed(stats=cost | {"hedges": -1}) == ["stats"]


def test_another_request_id_is_found() -> None:
    """Guards against an answer that belongs to another request."""
    assert _failed(request_id="r-2") == ["request_id"]
    assert _failed(request_id="") == ["request_id"]
    assert _failed(429, **REFUSAL | {"request_id": "r-2"}) == ["request_id"]


def test_the_record_shows_what_ran_against_the_promise() -> None:
    """Guards against a second execution, and against one that was reported as not run."""
    observed = {
        "once": Observed(False, Outcome.COMPLETE),
        "twice": Observed(False, Outcome.UNKNOWN),
        "repeatable": Observed(True, Outcome.COMPLETE),
        "denied": Observed(True, Outcome.NOT_RUN),
        "lost": Observed(False, None),
        "never": Observed(False, Outcome.COMPLETE),
    }
    executed = {"once": 1, "twice": 2, "repeatable": 3, "denied": 1, "lost": 1}
    found = [(f.request_id, f.check) for f in check_record(executed, observed)]
    assert found == [("twice", "run_twice"), ("denied", "not_run_ran"), ("never", "never_ran")]
    partly_read = check_record(executed, observed, complete=False)
    assert [f.request_id for f in partly_read] == ["twice", "denied"]


def _leg(request_id: str, part: int, parts: int, count: int = 1) -> ExecutedLeg:
    return ExecutedLeg(request_id=request_id, shard="s", part=part, parts=parts, count=count)


def test_executions_are_counted_by_partition() -> None:
    """Guards against partitions taken for repeats, and against repeats at another replica."""
    first = Record(
        endpoints={
            "a": {"counters": {}, "executed": [_leg("split", 0, 2), _leg("again", 0, 1)]},
            "b": {"counters": {}, "executed": [_leg("split", 1, 2), _leg("renumbered", 0, 2)]},
        }
    )
    second = Record(
        endpoints={
            "c": {"counters": {}, "executed": [_leg("again", 0, 1), _leg("renumbered", 0, 1)]},
            "d": {"counters": {}, "executed": {"counted": 1}},
        }
    )
    executed = times_executed([first, second])
    assert executed == {"split": 1, "again": 2, "renumbered": 2, "counted": 1}


def test_counts_are_sums_over_endpoints() -> None:
    """Guards against work for a leaving endpoint that is not seen."""
    delays_ms = [10, 3001, 9000]
    counters = {"received": 5, "shed": 1, "legs_after_drain": 3, "drain_delays_ms": delays_ms}
    record = Record(
        endpoints={
            "a": {"counters": counters, "executed": []},
            "b": {"counters": {"received": 2, "connections_refused": 4}, "executed": []},
        }
    )
    assert count([record, record]) == (14, 2, 8, 6, 4)


load_tests = function_suite(globals())
