"""Tests of the checks: each violation is reported, and permitted cases are not."""

import signal

from wisteriastandins.soak.checks import (
    check_answer_times,
    check_answers,
    check_budget,
    check_configuration,
    check_connections,
    check_deadly_requests,
    check_draining,
    check_leaving,
    check_pauses,
    check_planned_stops,
    check_process_ends,
    check_rate_limits,
    check_recovery,
    check_runs,
    make_records,
    merge_records,
)
from wisteriastandins.soak.models import (
    Arrival,
    Attempt,
    ConfigurationVersion,
    DeadlyEnd,
    Disturbance,
    DrainingEndpoint,
    LeavingNotice,
    LimitNotice,
    Observations,
    PauseNotice,
    ProcessLifetime,
    RateLimit,
    RequestKind,
)

from tests.common import function_suite

SHARDS = ("shard-0", "shard-1", "shard-2", "shard-3")


def make_observations() -> Observations:
    """Return observations with one version and one process."""
    observations = Observations()
    observations.versions.append(ConfigurationVersion(1, 0.0, SHARDS, "ledger-a"))
    observations.lifetimes.append(ProcessLifetime(0, 0.0, 100_000.0))
    return observations


def add_arrival(
    observations: Observations, request_id: str, service: str, at_ms: float = 10.0
) -> str:
    """Record an arrival at the endpoint 1 of a service and return its stamp."""
    stamp = f"{service}.{len(observations.arrivals)}"
    observations.arrivals.append(
        Arrival(at_ms, request_id, service, f"{service}.1", "/", b"", stamp)
    )
    return stamp


def make_attempt(kind: RequestKind = RequestKind.BOOK, **changes: object) -> Attempt:
    """Return an answered request; `changes` replaces fields."""
    attempt = Attempt("r", kind, 0, 0.0, 50.0, 200, {}, b"")
    return attempt._replace(**changes)  # type: ignore[arg-type]


def _make_search(observations: Observations, shards: tuple[str, ...], missing: int) -> Attempt:
    stamps = ", ".join(add_arrival(observations, "r", shard) for shard in shards)
    headers = {"part-stamps": stamps, "missing-parts": str(missing)}
    return make_attempt(RequestKind.SEARCH, headers=headers, body=merge_records(list(shards), "r"))


def _count_violations(observations: Observations, attempt: Attempt) -> int:
    observations.attempts = [attempt]
    return len(list(check_answers(observations)))


def test_answers():
    """Guards against accepting incomplete answers or answers to another request."""
    observations = make_observations()
    good = _make_search(observations, SHARDS[:3], 1)
    assert not _count_violations(observations, good)
    assert _count_violations(observations, good._replace(body=good.body[:-16]))
    assert _count_violations(observations, good._replace(request_id="other"))
    assert _count_violations(observations, _make_search(observations, SHARDS[:3], 0))
    assert _count_violations(observations, _make_search(observations, SHARDS[:2], 2))
    assert _count_violations(
        observations, _make_search(observations, ("shard-0", "shard-0", "shard-1"), 1)
    )
    assert _count_violations(
        observations, _make_search(observations, ("shard-0", "part-1", "shard-2", "shard-3"), 0)
    )
    stamp = add_arrival(observations, "r", "ledger-a")
    plain = make_attempt(headers={"server-stamp": stamp}, body=make_records("ledger-a", "r"))
    assert not _count_violations(observations, plain)
    assert _count_violations(observations, plain._replace(body=b"other"))
    assert _count_violations(observations, plain._replace(headers={}))


def test_runs():
    """Guards against missing repeated executions, false refusals or requests nobody sent."""
    observations = make_observations()
    observations.attempts = [make_attempt()]
    add_arrival(observations, "r", "ledger-a")
    assert not list(check_runs(observations))
    observations.attempts = [make_attempt(status=503)]
    assert [each.guarantee for each in check_runs(observations)] == ["refused"]
    add_arrival(observations, "r", "ledger-a")
    observations.attempts = [make_attempt()]
    assert [each.guarantee for each in check_runs(observations)] == ["twice"]
    observations.attempts = [make_attempt(RequestKind.LOOKUP)]
    assert not list(check_runs(observations))
    add_arrival(observations, "r", "ledger-a")
    assert [each.guarantee for each in check_runs(observations)] == ["attempts"]
    observations.arrivals = []
    add_arrival(observations, "hidden", "ledger-a")
    assert [each.guarantee for each in check_runs(observations)] == ["unasked"]


def test_process_ends():
    """Guards against missing a process that ends by itself, also after another signal."""
    observations = make_observations()
    kill, stop, hang_up = signal.SIGKILL, signal.SIGTERM, signal.SIGHUP
    for status, sent_signals, is_violation in (
        (-kill, {kill}, False),
        (0, {stop}, False),
        (-stop, {stop}, False),
        (-kill, {stop, kill}, False),
        (0, set(), True),
        (1, set(), True),
        (70, {stop}, True),
        (-hang_up, {hang_up}, True),
        (-hang_up, {hang_up, stop}, True),
        (-signal.SIGSEGV, {stop, kill}, True),
    ):
        lifetime = ProcessLifetime(0, 0.0, 9.0, status, frozenset(sent_signals))
        observations.lifetimes = [lifetime]
        assert bool(list(check_process_ends(observations))) == is_violation, lifetime


def test_leaving_endpoints_and_pauses():
    """Guards against missing requests to an endpoint that said it wants none."""
    observations = make_observations()
    observations.attempts = [
        make_attempt(request_id=name, sent_ms=9_000.0) for name in ("told", "r", "r2", "r3")
    ]
    observations.leaving_notices = [LeavingNotice("ledger-a.1", "told", 1_000.0)]
    add_arrival(observations, "r", "ledger-a", 3_900.0)
    assert not list(check_leaving(observations))
    add_arrival(observations, "r2", "ledger-a", 4_100.0)
    assert list(check_leaving(observations))
    observations.pause_notices = [PauseNotice("ledger-a.1", "told", 1_000.0, 5_000.0)]
    add_arrival(observations, "r3", "ledger-a", 6_100.0)
    assert not list(check_pauses(observations))
    add_arrival(observations, "r3", "ledger-a", 5_900.0)
    assert list(check_pauses(observations))
    observations.disturbances = [Disturbance(0, 500.0, 900.0, False)]
    assert not list(check_pauses(observations)) and not list(check_leaving(observations))


def test_deadly_requests():
    """Guards against missing a request that is sent on after endpoints have ended under it."""
    observations = make_observations()
    observations.deadly_ends = [DeadlyEnd("r", at_ms) for at_ms in (100.0, 110.0, 120.0)]
    add_arrival(observations, "r", "shard-0", 150.0)
    add_arrival(observations, "other", "shard-0", 900.0)
    assert not list(check_deadly_requests(observations))
    add_arrival(observations, "r", "shard-1", 300.0)
    assert list(check_deadly_requests(observations))


def test_draining_endpoints():
    """Guards against missing new requests to a draining endpoint."""
    observations = make_observations()
    observations.attempts = [make_attempt(sent_ms=4_000.0)]
    observations.draining_endpoints = [DrainingEndpoint("ledger-a.1", 1_000.0)]
    add_arrival(observations, "r", "ledger-a", 3_900.0)
    assert not list(check_draining(observations))
    add_arrival(observations, "r", "ledger-a", 4_100.0)
    assert list(check_draining(observations))
    observations.disturbances = [Disturbance(0, 500.0, 900.0, False)]
    assert not list(check_draining(observations))


def test_stops():
    """Guards against missing requests that a planned stop interrupted."""
    observations = make_observations()
    observations.disturbances = [Disturbance(0, 0.0, 6_000.0, True)]
    observations.attempts = [make_attempt(status=0, ended_ms=500.0)]
    assert list(check_planned_stops(observations))
    observations.attempts = [make_attempt(status=0, ended_ms=20.0)]
    assert not list(check_planned_stops(observations))
    add_arrival(observations, "r", "ledger-a")
    assert list(check_planned_stops(observations))
    observations.disturbances.append(Disturbance(-1, 100.0, 200.0, False))
    assert not list(check_planned_stops(observations))


def test_configuration():
    """Guards against missing a version that is applied late or reverted."""
    observations = make_observations()
    observations.versions.append(ConfigurationVersion(2, 10_000.0, SHARDS, "ledger-b"))
    probe = make_attempt(RequestKind.PROBE, expected_version=2, sent_ms=12_000.0, ended_ms=12_010.0)
    observations.attempts = [probe._replace(status=404)]
    assert not list(check_configuration(observations))
    late = probe._replace(status=404, sent_ms=13_500.0, ended_ms=13_510.0)
    observations.attempts = [late]
    assert [each.guarantee for each in check_configuration(observations)] == ["configuration"]
    observations.disturbances = [Disturbance(0, 9_000.0, 11_000.0, False)]
    assert not list(check_configuration(observations))
    observations.attempts = [probe, late]
    assert [each.guarantee for each in check_configuration(observations)] == ["rollback"]
    observations.lifetimes.append(ProcessLifetime(0, 13_000.0, 100_000.0))
    assert not list(check_configuration(observations))


def test_rate_limits():
    """Guards against missing more requests than an endpoint said that it takes."""
    observations = make_observations()
    observations.rate_limits = [RateLimit("ledger-a.1", 1.0, 1_000.0, 12_000.0)]
    observations.attempts = [make_attempt(request_id=f"r{number}") for number in range(12)]
    for number in range(12):
        add_arrival(observations, f"r{number}", "ledger-a", 4_000.0 + number * 300.0)
    assert not list(check_rate_limits(observations)), "no instance was told"
    observations.limit_notices = [LimitNotice("ledger-a.1", "r0", 2_000.0)]
    assert [each.guarantee for each in check_rate_limits(observations)] == ["rate_limit"]
    observations.attempts[:2] = [
        make_attempt(request_id=f"r{number}", instance=1) for number in range(2)
    ]
    observations.limit_notices.append(LimitNotice("ledger-a.1", "r2", 2_000.0))
    assert list(check_rate_limits(observations)), "the sum of both instances counts"
    observations.limit_notices[0] = LimitNotice("ledger-a.1", "r0", 11_000.0)
    assert not list(check_rate_limits(observations)), "the other one was told later"
    observations.attempts[:2] = [make_attempt(request_id=f"r{number}") for number in range(2)]
    observations.limit_notices = [LimitNotice("ledger-a.1", "r0", 2_000.0)]
    assert list(check_rate_limits(observations))
    observations.disturbances = [Disturbance(0, 2_000.0, 2_500.0, False)]
    assert not list(check_rate_limits(observations))


def test_budget_connections_time_and_recovery():
    """Guards against missing violations of limits on all instances together."""
    observations = make_observations()
    for number in range(20):
        for _ in range(4):
            add_arrival(observations, f"r{number}", "shard-0", number * 100.0)
    assert not list(check_budget(observations))
    for _ in range(2):
        add_arrival(observations, "r0", "shard-0", 2_000.0)
    assert [each.guarantee for each in check_budget(observations)] == ["budget"]
    observations.peak_connections = {"a": 26}
    assert not list(check_connections(observations))
    observations.peak_connections = {"a": 27}
    assert list(check_connections(observations))
    observations.attempts = [make_attempt(ended_ms=3_000.0)]
    assert list(check_answer_times(observations))
    observations.disturbances = [Disturbance(0, 0.0, 10.0, False)]
    assert not list(check_answer_times(observations))
    observations.kill_all_times_ms = [0.0]
    observations.attempts = [make_attempt(sent_ms=13_000.0, status=503) for _ in range(4)]
    assert list(check_recovery(observations, 20_000.0))
    observations.attempts[0] = make_attempt(sent_ms=13_000.0)
    assert not list(check_recovery(observations, 20_000.0))


load_tests = function_suite(globals())
