"""Checks for the claims of a scenario, against what the fake endpoints actually executed."""

from collections import Counter
from collections.abc import Callable
from typing import Any

from wisteriarock.query.models import QueryAnswer, QueryRequest

from tests.scenarios.fakes import Simulation, count_parts


def p99_ms(simulation: Simulation, kind: str) -> float:
    """Return the 99th percentile of the response time of a kind of request."""
    times = sorted(
        elapsed_ms for request, _, elapsed_ms in simulation.answers if request.kind == kind
    )
    return times[int(0.99 * (len(times) - 1))]


def one_snapshot(simulation: Simulation) -> None:
    """Check that each row belongs to the answer's snapshot and to its request."""
    for request, answer, _ in simulation.answers:
        for row in answer["rows"]:
            assert row["snapshot"] == answer["snapshot"], (request, row)
            assert row["request_id"] == request.request_id, (request, row)


def _check_coverage(simulation: Simulation, request: QueryRequest, answer: QueryAnswer) -> None:
    coverage = answer["coverage"]
    missing = [item["shard"] for item in coverage["missing"]]
    assert sorted(coverage["answered"] + missing) == sorted(request.shards), request
    expected: Counter[tuple[str, int, int]] = Counter()
    for shard in coverage["answered"]:
        parts = count_parts(simulation, shard, answer["snapshot"] or 0)
        expected.update((shard, part, parts) for part in range(parts))
    rows = Counter((row["shard"], row["part"], row["parts"]) for row in answer["rows"])
    assert rows == expected, (request, answer)
    full, some = not missing, bool(coverage["answered"])
    allowed = {"complete"} if full else {"partial"} if some else {"unknown", "not_run"}
    assert answer["outcome"] in allowed, (request, answer)


def accurate(simulation: Simulation) -> None:
    """Check that rows cover each part of the answered shards once and match the outcome."""
    for request, answer, _ in simulation.answers:
        _check_coverage(simulation, request, answer)


def in_time(simulation: Simulation) -> None:
    """Check that each request is answered by its deadline."""
    assert len(simulation.answers) == len(simulation.planned_requests)
    for request, _, elapsed_ms in simulation.answers:
        assert elapsed_ms <= simulation.kinds[request.kind]["deadline_max_ms"] + 1, request


def _outcomes(simulation: Simulation, kind: str) -> Counter[str]:
    return Counter(a["outcome"].value for r, a, _ in simulation.answers if r.kind == kind)


def share(simulation: Simulation, at_least: float, kind: str, outcome: str) -> None:
    """Check that at least a percentage of the answers to a kind have the outcome."""
    outcomes = _outcomes(simulation, kind)
    assert 100 * outcomes[outcome] >= at_least * outcomes.total(), outcomes


def some(simulation: Simulation, kind: str, outcome: str) -> None:
    """Check that the outcome occurs, so that the scenario exercises it."""
    assert _outcomes(simulation, kind)[outcome], _outcomes(simulation, kind)


def only_missing(simulation: Simulation, shard: str) -> None:
    """Check that the shard is missing from some answers and that no other shard ever is."""
    missing = {i["shard"] for _, a, _ in simulation.answers for i in a["coverage"]["missing"]}
    assert missing == {shard}, missing


def extra(simulation: Simulation, most: float) -> None:
    """Check that hedges and retries stay within a percentage of the primary legs."""
    extra_after(simulation, -1, most)


def extra_after(simulation: Simulation, from_ms: float, most: float) -> None:
    """Check the percentage of hedges and retries for the legs sent after a time."""
    counts = Counter(sent.is_extra for sent in simulation.sent_legs if sent.at_ms > from_ms)
    assert 100 * counts[True] <= most * counts[False], counts


def once_only(simulation: Simulation) -> None:
    """Check that no part of a request that is not repeatable ran twice."""
    for request, _, _ in simulation.answers:
        if not request.repeatable:
            executed = simulation.executed_parts.get(request.request_id, [])
            assert len(executed) == len(set(executed)), request


def not_run(simulation: Simulation) -> None:
    """Check that a request answered with `not_run` ran on no endpoint."""
    for request, answer, _ in simulation.answers:
        if answer["outcome"] == "not_run":
            assert request.request_id not in simulation.executed_parts, request


def no_leg(simulation: Simulation, name: str, from_ms: float, to_ms: float) -> None:
    """Check that an endpoint gets no leg in a period."""
    times = [
        s.at_ms for s in simulation.sent_legs if s.endpoint == name and from_ms <= s.at_ms <= to_ms
    ]
    assert not times, times


def dropped(simulation: Simulation, reason: str) -> None:
    """Check that replies were dropped for the given reason."""
    assert simulation.controller is not None
    counts = simulation.controller.diagnostics()["dropped_replies"]
    assert counts.get(reason), counts


def restarted(simulation: Simulation) -> None:
    """Check that at least one query was restarted on a newer snapshot."""
    assert simulation.controller is not None
    assert simulation.controller.diagnostics()["restarts"]


def both_used(simulation: Simulation, first: int, second: int) -> None:
    """Check that answers come from both snapshots and from no other."""
    snapshots = {answer["snapshot"] for _, answer, _ in simulation.answers if answer["rows"]}
    assert snapshots == {first, second}, snapshots


CHECKS: dict[str, Callable[..., None]] = {
    function.__name__: function
    for function in (
        one_snapshot,
        accurate,
        in_time,
        share,
        some,
        only_missing,
        extra,
        extra_after,
        once_only,
        not_run,
        no_leg,
        dropped,
        restarted,
        both_used,
    )
}


def check(
    name: str, values: list[Any], simulation: Simulation, without_hedging: Simulation | None
) -> None:
    """Raise AssertionError unless a claim holds."""
    if name == "p99":
        assert without_hedging is not None
        kind, factor = values
        unhedged_ms, hedged_ms = p99_ms(without_hedging, kind), p99_ms(simulation, kind)
        assert unhedged_ms >= factor * hedged_ms, (unhedged_ms, hedged_ms)
    else:
        CHECKS[name](simulation, *values)
