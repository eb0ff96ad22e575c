"""Tests of the checks of evacuations and cold endpoints, and runs that find planted bugs."""

from wisteriastandins.soak.models import (
    ColdPeriod,
    Disturbance,
    Fault,
    FaultKind,
    ZoneEvacuation,
)
from wisteriastandins.soak.zones import check_cold_endpoints, check_evacuations

from tests.common import function_suite
from tests.wisteriastandins.soak.test_checks import add_arrival, make_attempt, make_observations
from tests.wisteriastandins.soak.test_run import run_copy


def test_evacuations():
    """Guards against missing requests to an evacuated zone."""
    observations = make_observations()
    observations.attempts = [make_attempt()]
    observations.evacuations = [ZoneEvacuation("zone-b", 1_000.0, 9_000.0)]
    for at_ms in (5_900.0, 9_100.0):
        add_arrival(observations, "r", "ledger-a", at_ms)
    assert not list(check_evacuations(observations))
    add_arrival(observations, "r", "ledger-a", 6_100.0)
    assert [each.guarantee for each in check_evacuations(observations)] == ["evacuation"]
    observations.disturbances = [Disturbance(0, 500.0, 900.0, False)]
    assert not list(check_evacuations(observations))


def test_cold_endpoints():
    """Guards against missing more requests than a cold endpoint takes, whoever sends them."""
    observations = make_observations()
    observations.cold_periods = [ColdPeriod("ledger-a.1", 1_000.0, 4_000.0)]
    for number in range(11):
        add_arrival(observations, f"r{number}", "ledger-a", 2_000.0 + number * 99.0)
    assert not list(check_cold_endpoints(observations))
    add_arrival(observations, "r11", "ledger-a", 2_999.0)
    assert [each.guarantee for each in check_cold_endpoints(observations)] == ["cold"]
    observations.cold_periods = [ColdPeriod("ledger-a.1", 4_000.0, 7_000.0)]
    assert not list(check_cold_endpoints(observations))


def test_ignored_evacuation_is_found():
    """Guards against missing instances that send to an evacuated zone."""
    result = run_copy(
        "discovery/evacuation.py",
        "            unlist_endpoint(directory, endpoint)\n",
        "",
        [Fault(0.3, FaultKind.EVACUATE, 1, 4.0)],
    )
    assert "evacuation" in {violation.guarantee for violation in result.violations}


def test_ignored_cold_limit_is_found():
    """Guards against missing instances that overload endpoints which return cold."""
    result = run_copy(
        "limits/cold_limit.py",
        "    if per_s <= 0 or",
        "    if per_s >= 0 or",
        [Fault(0.3, FaultKind.COLD_RETURN, 0, 1.0)],
    )
    assert "cold" in {violation.guarantee for violation in result.violations}


load_tests = function_suite(globals())
