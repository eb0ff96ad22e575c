"""Check answers against the stand-in endpoints' data and their record of executions."""

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from wisteriarock.query.models import Outcome, QueryAnswer

from .models import Arrival, CheckFailure, PartitionRows

# Statuses of requests that ran no leg. Only their answers may lack the request id, which is
# unknown when the request body could not be read.
_REFUSAL_STATUSES = frozenset({400, 401, 403, 413, 429, 503})
_MAX_DETAIL_CHARS = 200


class ObservedRequest(NamedTuple):
    """Result of one request as its caller saw it; `outcome` is None if it got no answer."""

    repeatable: bool
    outcome: Outcome | None


def _check_status(status: int, answer: QueryAnswer) -> Iterator[tuple[str, str]]:
    refused = answer["outcome"] == Outcome.NOT_RUN
    if refused != (status in _REFUSAL_STATUSES) or (status != 200 and not refused):
        yield "status", f"status {status} with outcome {answer['outcome']}"
    if refused and status in (429, 503) and answer["retry_after_ms"] is None:
        yield "retry_after", f"status {status} without retry_after_ms"


def _check_identity(
    arrival: Arrival, status: int, answer: QueryAnswer
) -> Iterator[tuple[str, str]]:
    request_id = answer["request_id"]
    if request_id != arrival.request_id and not (status in _REFUSAL_STATUSES and not request_id):
        yield "request_id", f"got the answer to {request_id!r}"


def _check_coverage(arrival: Arrival, answer: QueryAnswer) -> Iterator[tuple[str, str]]:
    answered = answer["coverage"]["answered"]
    missing = [item["shard"] for item in answer["coverage"]["missing"]]
    reported = Counter(answered) + Counter(missing)
    refused_without_coverage = answer["outcome"] == Outcome.NOT_RUN and not reported
    if reported != Counter(arrival.shards) and not refused_without_coverage:
        wrong = (reported - Counter(arrival.shards)) + (Counter(arrival.shards) - reported)
        yield "coverage", f"not exactly once: {sorted(wrong)}"
    expected = {
        Outcome.COMPLETE: bool(answered) and not missing,
        Outcome.PARTIAL: bool(answered) and bool(missing),
        Outcome.NOT_RUN: not answered,
        Outcome.UNKNOWN: not answered,
    }
    if not expected[Outcome(answer["outcome"])]:
        detail = f"{answer['outcome']} with {len(answered)} answered, {len(missing)} missing"
        yield "outcome", detail


def _check_rows(
    arrival: Arrival, answer: QueryAnswer, partition_rows: PartitionRows, lots_per_shard: int
) -> Iterator[tuple[str, str]]:
    rows, snapshot = answer["rows"], answer["snapshot"]
    if snapshot is None:
        if rows or answer["coverage"]["answered"]:
            yield "snapshot", "rows or answered shards without a snapshot"
        return
    if other_snapshots := {str(row.get("snapshot")) for row in rows} - {str(snapshot)}:
        yield "snapshot", f"rows of snapshots {sorted(other_snapshots)} in an answer of {snapshot}"
    lots = Counter(str(row.get("lot")) for row in rows)
    if duplicates := [lot for lot, count in lots.items() if count > 1]:
        yield "doubles", f"{sorted(duplicates)}"
    expected = {
        str(row["lot"]): row
        for shard in answer["coverage"]["answered"]
        # With a single partition, that partition holds all lots of the shard.
        for row in partition_rows(shard, 0, 1, snapshot, lots_per_shard, arrival.params)
    }
    if absent := sorted(set(expected) - set(lots)):
        yield "absent_rows", f"{absent}"
    if surplus := sorted(set(lots) - set(expected)):
        yield "surplus_rows", f"{surplus}"
    rows_by_lot = [(str(row.get("lot")), row) for row in rows]
    if wrong := sorted({lot for lot, row in rows_by_lot if expected.get(lot, row) != row}):
        yield "wrong_rows", f"{wrong}"


def _check_stats(answer: QueryAnswer) -> Iterator[tuple[str, str]]:
    """Check that the cost is consistent with the answer; `legs` includes hedges and retries."""
    stats, answered = answer["stats"], len(answer["coverage"]["answered"])
    extra = stats["hedges"] + stats["retries"]
    if min(stats["hedges"], stats["retries"], stats["cross_zone_legs"]) < 0:
        yield "stats", "a negative count"
    elif stats["legs"] < max(answered, extra, stats["cross_zone_legs"]):
        yield "stats", f"{stats['legs']} legs, {extra} extra, for {answered} answered shards"


def check_answer(
    arrival: Arrival,
    status: int,
    answer: QueryAnswer,
    partition_rows: PartitionRows,
    lots_per_shard: int,
) -> list[CheckFailure]:
    """Check one answer.

    Parameters
    ----------
    arrival : Arrival
        The request.
    status : int
        HTTP status of the answer.
    answer : QueryAnswer
        Its decoded body.
    partition_rows : PartitionRows
        `wisteriastandins.data.partition_rows`: the rows of a partition in a snapshot.
    lots_per_shard : int
        Lots that the stand-ins hold for each shard.

    Returns
    -------
    list of CheckFailure
        Every check that failed; empty for a correct answer.
    """
    failed = [
        *_check_status(status, answer),
        *_check_identity(arrival, status, answer),
        *_check_coverage(arrival, answer),
        *_check_rows(arrival, answer, partition_rows, lots_per_shard),
        *_check_stats(answer),
    ]
    return [
        CheckFailure(arrival.request_id, check, detail[:_MAX_DETAIL_CHARS])
        for check, detail in failed
    ]


def check_record(
    executed: Mapping[str, int], observed: Mapping[str, ObservedRequest], complete: bool = True
) -> list[CheckFailure]:
    """Check the stand-ins' record of executed requests against the answers to callers.

    Parameters
    ----------
    executed : Mapping
        Number of executions at all endpoints by request id, as returned by `count_executions`.
    observed : Mapping
        Result that the caller saw, by request id.
    complete : bool
        False if an endpoint was restarted or its record could not be read. A missing execution
        is then no violation.

    Returns
    -------
    list of CheckFailure
        Every violation.
    """
    failures = []
    for request_id, (repeatable, outcome) in observed.items():
        count = executed.get(request_id, 0)
        if not repeatable and count > 1:
            failures.append(CheckFailure(request_id, "run_twice", f"executed {count} times"))
        if outcome == Outcome.NOT_RUN and count:
            detail = f"executed {count} times, reported not_run"
            failures.append(CheckFailure(request_id, "not_run_ran", detail))
        if complete and not repeatable and outcome == Outcome.COMPLETE and not count:
            failures.append(
                CheckFailure(request_id, "never_ran", "reported complete, never executed")
            )
    return failures
