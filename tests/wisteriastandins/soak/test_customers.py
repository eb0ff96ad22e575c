"""Tests of the checks of customers, and of what hostile callers make processes hold."""

from wisteriastandins.soak.const import (
    ALLOTTED_CUSTOMER,
    CONFIGURATION_APPLY_MS,
    MEMORY_LIMIT_MB,
)
from wisteriastandins.soak.customers import (
    check_allotments,
    check_customers,
    check_withdrawn_keys,
)
from wisteriastandins.soak.hostile import check_memory
from wisteriastandins.soak.models import (
    Arrival,
    Attempt,
    Disturbance,
    KeyWithdrawal,
    Observations,
    RequestKind,
)

from tests.common import function_suite


def _attempt(
    observations: Observations, request_id: str, at_ms: float, *, status: int = 200
) -> None:
    kind, customer = RequestKind.LOOKUP, ALLOTTED_CUSTOMER
    observations.attempts.append(
        Attempt(
            request_id,
            kind,
            0,
            at_ms,
            at_ms + 10,
            status,
            {},
            b"",
            customer=customer,
            key="choir-1",
        )
    )


def _arrival(
    observations: Observations, request_id: str, at_ms: float, customer: str, *, has_key: bool
) -> None:
    arrival = Arrival(
        at_ms, request_id, "ledger-a", "ledger-a.1", "/", b"", f"s-{request_id}", customer, has_key
    )
    observations.arrivals.append(arrival)


def _observe(count: int, interval_ms: float) -> Observations:
    observations = Observations()
    for number in range(count):
        at_ms = number * interval_ms
        _attempt(observations, f"r-{number}", at_ms)
        _arrival(observations, f"r-{number}", at_ms + 5, ALLOTTED_CUSTOMER, has_key=False)
    return observations


def test_customers():
    """Guards against missing a forged name, a key that is passed on or a refused key."""
    assert not list(check_customers(_observe(3, 10.0)))
    for customer, has_key in (("forged", False), ("", False), (ALLOTTED_CUSTOMER, True)):
        observations = _observe(3, 10.0)
        _attempt(observations, "r-x", 50.0)
        _arrival(observations, "r-x", 55.0, customer, has_key=has_key)
        assert [each.guarantee for each in check_customers(observations)] == ["customer"]
    observations = _observe(3, 10.0)
    _attempt(observations, "r-x", 50.0, status=401)
    assert [each.guarantee for each in check_customers(observations)] == ["key"]
    observations.key_withdrawals.append(KeyWithdrawal("choir-1", 0.0, 40.0))
    assert not list(check_customers(observations))


def test_allotments():
    """Guards against missing requests above an allotment that several endpoints share."""
    # 170 requests in a window, with a tenth and 20 more tolerated.
    assert not list(check_allotments(_observe(207, 20.0)))
    assert [each.guarantee for each in check_allotments(_observe(208, 20.0))] == ["allotment"]
    assert not list(check_allotments(_observe(1_000, 30.0)))


def test_withdrawn_keys():
    """Guards against missing a request with a key that is no longer in force."""
    observations = _observe(1, 10.0)
    late_ms = CONFIGURATION_APPLY_MS + 100.0
    _attempt(observations, "r-late", late_ms)
    _arrival(observations, "r-late", late_ms + 5, ALLOTTED_CUSTOMER, has_key=False)
    assert not list(check_withdrawn_keys(observations))
    observations.key_withdrawals.append(KeyWithdrawal("choir-2", 0.0, 10_000.0))
    assert not list(check_withdrawn_keys(observations))
    observations.key_withdrawals.append(KeyWithdrawal("choir-1", 0.0, 10_000.0))
    assert [each.guarantee for each in check_withdrawn_keys(observations)] == ["key"]
    observations.disturbances.append(Disturbance(0, 1_000.0, 2_000.0, False))
    assert not list(check_withdrawn_keys(observations))


def test_memory():
    """Guards against missing a process near its memory limit."""
    observations = Observations()
    observations.peak_memory_bytes = {0: MEMORY_LIMIT_MB * 900_000, 1: MEMORY_LIMIT_MB * 900_001}
    assert [each.detail.split()[1] for each in check_memory(observations)] == ["1"]


load_tests = function_suite(globals())
