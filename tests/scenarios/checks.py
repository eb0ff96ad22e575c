"""What a scenario claims to hold, checked against what the fake endpoints truly did."""

from collections import Counter
from collections.abc import Callable
from typing import Any

from wisteriarock.query.models import QueryAnswer, QueryRequest

from tests.scenarios.fakes import World, parts_of


def p99_ms(world: World, kind: str) -> float:
    """Return the 99th percentile of the time to the answers of a kind."""
    times = sorted(elapsed_ms for request, _, elapsed_ms in world.answers if request.kind == kind)
    return times[int(0.99 * (len(times) - 1))]


def one_snapshot(world: World) -> None:
    """Check that rows are of the snapshot that the answer names, and of its own request."""
    for request, answer, _ in world.answers:
        for row in answer["rows"]:
            assert row["snapshot"] == answer["snapshot"], (request, row)
            assert row["request_id"] == request.request_id, (request, row)


def _check_coverage(world: World, request: QueryRequest, answer: QueryAnswer) -> None:
    coverage = answer["coverage"]
    missing = [item["shard"] for item in coverage["missing"]]
    assert sorted(coverage["answered"] + missing) == sorted(request.shards), request
    expected: Counter[tuple[str, int, int]] = Counter()
    for shard in coverage["answered"]:
        parts = parts_of(world, shard, answer["snapshot"] or 0)
        expected.update((shard, part, parts) for part in range(parts))
    rows = Counter((row["shard"], row["part"], row["parts"]) for row in answer["rows"])
    assert rows == expected, (request, answer)
    full, some = not missing, bool(coverage["answered"])
    allowed = {"complete"} if full else {"partial"} if some else {"unknown", "not_run"}
    assert answer["outcome"] in allowed, (request, answer)


def accurate(world: World) -> None:
    """Check that rows are those of the answered shards, each part once, and the outcome agrees."""
    for request, answer, _ in world.answers:
        _check_coverage(world, request, answer)


def in_time(world: World) -> None:
    """Check that each request is answered by its deadline."""
    assert len(world.answers) == len(world.asked)
    for request, _, elapsed_ms in world.answers:
        assert elapsed_ms <= world.kinds[request.kind]["deadline_max_ms"] + 1, request


def _outcomes(world: World, kind: str) -> Counter[str]:
    return Counter(a["outcome"].value for r, a, _ in world.answers if r.kind == kind)


def share(world: World, at_least: float, kind: str, outcome: str) -> None:
    """Check that enough answers have the outcome."""
    found = _outcomes(world, kind)
    assert 100 * found[outcome] >= at_least * found.total(), found


def some(world: World, kind: str, outcome: str) -> None:
    """Check that the outcome occurs, so that the scenario does test it."""
    assert _outcomes(world, kind)[outcome], _outcomes(world, kind)


def only_missing(world: World, shard: str) -> None:
    """Check that one shard is missing now and then, and that no other one ever is."""
    missing = {i["shard"] for _, a, _ in world.answers for i in a["coverage"]["missing"]}
    assert missing == {shard}, missing


def extra(world: World, most: float) -> None:
    """Check that hedges and retries are within their share of the primary legs."""
    extra_after(world, -1, most)


def extra_after(world: World, from_ms: float, most: float) -> None:
    """Check the share of hedges and retries among the legs sent after a time."""
    counts = Counter(sent.is_extra for sent in world.sent if sent.at_ms > from_ms)
    assert 100 * counts[True] <= most * counts[False], counts


def once_only(world: World) -> None:
    """Check that no partition of a request that is not repeatable ran twice."""
    for request, _, _ in world.answers:
        if not request.repeatable:
            ran = world.ran.get(request.request_id, [])
            assert len(ran) == len(set(ran)), request


def not_run(world: World) -> None:
    """Check that a request that was answered "not run" ran on no endpoint."""
    for request, answer, _ in world.answers:
        if answer["outcome"] == "not_run":
            assert request.request_id not in world.ran, request


def no_leg(world: World, name: str, from_ms: float, to_ms: float) -> None:
    """Check that an endpoint gets no leg in a period."""
    times = [s.at_ms for s in world.sent if s.endpoint == name and from_ms <= s.at_ms <= to_ms]
    assert not times, times


def dropped(world: World, reason: str) -> None:
    """Check that replies were dropped for this reason."""
    assert world.controller is not None
    counts = world.controller.diagnostics()["dropped_replies"]
    assert counts.get(reason), counts


def restarted(world: World) -> None:
    """Check that a query started again on a newer snapshot."""
    assert world.controller is not None
    assert world.controller.diagnostics()["restarts"]


def both_used(world: World, first: int, second: int) -> None:
    """Check that answers come from two snapshots and from no other one."""
    found = {answer["snapshot"] for _, answer, _ in world.answers if answer["rows"]}
    assert found == {first, second}, found


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


def check(name: str, values: list[Any], world: World, without_hedging: World | None) -> None:
    """Raise AssertionError unless a claim holds."""
    if name == "p99":
        assert without_hedging is not None
        kind, times = values
        slow_ms, fast_ms = p99_ms(without_hedging, kind), p99_ms(world, kind)
        assert slow_ms >= times * fast_ms, (slow_ms, fast_ms)
    else:
        CHECKS[name](world, *values)
