"""Tests of the checker: each broken promise is seen, and allowed cases are not."""

from wisteriastandins.soak.checks import (
    check_answers,
    check_budget,
    check_configuration,
    check_connections,
    check_leaving,
    check_recovery,
    check_runs,
    check_stops,
    check_time,
    merge,
    records_of,
)
from wisteriastandins.soak.models import (
    Arrival,
    Attempt,
    Leaving,
    Life,
    Observations,
    RequestKind,
    Trouble,
    Version,
)

from tests.common import function_suite

SHARDS = ("shard-0", "shard-1", "shard-2", "shard-3")


def _seen() -> Observations:
    seen = Observations()
    seen.versions.append(Version(1, 0.0, SHARDS, "ledger-a"))
    seen.lives.append(Life(0, 0.0, 100_000.0))
    return seen


def _arrive(seen: Observations, request_id: str, service: str, at_ms: float = 10.0) -> str:
    proof = f"{service}.{len(seen.arrivals)}"
    seen.arrivals.append(Arrival(at_ms, request_id, service, f"{service}.1", "/", b"", proof))
    return proof


def _attempt(kind: RequestKind = RequestKind.BOOK, **changes: object) -> Attempt:
    made = Attempt("r", kind, 0, 0.0, 50.0, 200, {}, b"")
    return made._replace(**changes)  # type: ignore[arg-type]


def _search(seen: Observations, shards: tuple[str, ...], missing: int) -> Attempt:
    proofs = ", ".join(_arrive(seen, "r", shard) for shard in shards)
    headers = {"part-stamps": proofs, "missing-parts": str(missing)}
    return _attempt(RequestKind.SEARCH, headers=headers, body=merge(list(shards), "r"))


def _problems(seen: Observations, attempt: Attempt) -> int:
    seen.attempts = [attempt]
    return len(list(check_answers(seen)))


def test_answers():
    """Guards against a checker that takes any success for a whole answer to its own request."""
    seen = _seen()
    good = _search(seen, SHARDS[:3], 1)
    assert not _problems(seen, good)
    assert _problems(seen, good._replace(body=good.body[:-16]))
    assert _problems(seen, good._replace(request_id="other"))
    assert _problems(seen, _search(seen, SHARDS[:3], 0))
    assert _problems(seen, _search(seen, SHARDS[:2], 2))
    assert _problems(seen, _search(seen, ("shard-0", "shard-0", "shard-1"), 1))
    assert _problems(seen, _search(seen, ("shard-0", "part-1", "shard-2", "shard-3"), 0))
    proof = _arrive(seen, "r", "ledger-a")
    plain = _attempt(headers={"server-stamp": proof}, body=records_of("ledger-a", "r"))
    assert not _problems(seen, plain)
    assert _problems(seen, plain._replace(body=b"other"))
    assert _problems(seen, plain._replace(headers={}))


def test_runs():
    """Guards against a checker that misses second runs, false refusals or unasked requests."""
    seen = _seen()
    seen.attempts = [_attempt()]
    _arrive(seen, "r", "ledger-a")
    assert not list(check_runs(seen))
    seen.attempts = [_attempt(status=503)]
    assert [each.promise for each in check_runs(seen)] == ["refused"]
    _arrive(seen, "r", "ledger-a")
    seen.attempts = [_attempt()]
    assert [each.promise for each in check_runs(seen)] == ["twice"]
    seen.attempts = [_attempt(RequestKind.LOOKUP)]
    assert not list(check_runs(seen))
    _arrive(seen, "r", "ledger-a")
    assert [each.promise for each in check_runs(seen)] == ["attempts"]
    seen.arrivals = []
    _arrive(seen, "hidden", "ledger-a")
    assert [each.promise for each in check_runs(seen)] == ["unasked"]


def test_leaving_endpoints():
    """Guards against a checker that misses new work for an endpoint that is leaving."""
    seen = _seen()
    seen.attempts = [_attempt(sent_ms=4_000.0)]
    seen.leaving = [Leaving("ledger-a.1", 1_000.0)]
    _arrive(seen, "r", "ledger-a", 3_900.0)
    assert not list(check_leaving(seen))
    _arrive(seen, "r", "ledger-a", 4_100.0)
    assert list(check_leaving(seen))
    seen.troubles = [Trouble(0, 500.0, 900.0, False)]
    assert not list(check_leaving(seen))


def test_stops():
    """Guards against a checker that misses requests cut by a planned stop."""
    seen = _seen()
    seen.troubles = [Trouble(0, 0.0, 6_000.0, True)]
    seen.attempts = [_attempt(status=0, ended_ms=500.0)]
    assert list(check_stops(seen))
    seen.attempts = [_attempt(status=0, ended_ms=20.0)]
    assert not list(check_stops(seen))
    _arrive(seen, "r", "ledger-a")
    assert list(check_stops(seen))
    seen.troubles.append(Trouble(-1, 100.0, 200.0, False))
    assert not list(check_stops(seen))


def test_configuration():
    """Guards against a checker that misses a version that is late, or that is taken back."""
    seen = _seen()
    seen.versions.append(Version(2, 10_000.0, SHARDS, "ledger-b"))
    probe = _attempt(RequestKind.PROBE, expected_version=2, sent_ms=12_000.0, ended_ms=12_010.0)
    seen.attempts = [probe._replace(status=404)]
    assert not list(check_configuration(seen))
    late = probe._replace(status=404, sent_ms=13_500.0, ended_ms=13_510.0)
    seen.attempts = [late]
    assert [each.promise for each in check_configuration(seen)] == ["configuration"]
    seen.troubles = [Trouble(0, 9_000.0, 11_000.0, False)]
    assert not list(check_configuration(seen))
    seen.attempts = [probe, late]
    assert [each.promise for each in check_configuration(seen)] == ["rollback"]
    seen.lives.append(Life(0, 13_000.0, 100_000.0))
    assert not list(check_configuration(seen))


def test_budget_connections_time_and_recovery():
    """Guards against a checker that misses bounds in sum over all instances."""
    seen = _seen()
    for number in range(20):
        for _ in range(4):
            _arrive(seen, f"r{number}", "shard-0", number * 100.0)
    assert not list(check_budget(seen))
    for _ in range(2):
        _arrive(seen, "r0", "shard-0", 2_000.0)
    assert [each.promise for each in check_budget(seen)] == ["budget"]
    seen.most_connections = {"a": 26}
    assert not list(check_connections(seen))
    seen.most_connections = {"a": 27}
    assert list(check_connections(seen))
    seen.attempts = [_attempt(ended_ms=3_000.0)]
    assert list(check_time(seen))
    seen.troubles = [Trouble(0, 0.0, 10.0, False)]
    assert not list(check_time(seen))
    seen.killed_all_ms = [0.0]
    seen.attempts = [_attempt(sent_ms=13_000.0, status=503) for _ in range(4)]
    assert list(check_recovery(seen, 20_000.0))
    seen.attempts[0] = _attempt(sent_ms=13_000.0)
    assert not list(check_recovery(seen, 20_000.0))


load_tests = function_suite(globals())
