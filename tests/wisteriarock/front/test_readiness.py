"""Tests of the readiness of an instance in a zone that is cut off from the others."""

from wisteriarock.front.readiness import (
    Phase,
    ReadinessInput,
    is_isolated,
    is_ready,
    is_report_due,
    zones_to_report,
)

from tests.common import function_suite

CUT_OFF = ReadinessInput(Phase.RUNNING, True, 320.0, False, 74, 86)
OTHER_ZONES = ("zone-a", "zone-b")


def test_cut_zone_is_reported_before_the_store_is_found_silent():
    """Guards against callers kept in a cut zone while its instances notice one after the other.

    The load balancer moves callers away when the last instance of the zone is not ready. Instances
    without requests notice by the report alone, and each checks the store for 300 ms after it.
    """
    assert is_ready(CUT_OFF) and not is_isolated(CUT_OFF)
    assert zones_to_report(CUT_OFF, OTHER_ZONES, ()) == OTHER_ZONES
    silent = CUT_OFF._replace(is_store_silent=True)
    assert not is_ready(silent)
    assert zones_to_report(silent, OTHER_ZONES, OTHER_ZONES) == OTHER_ZONES


def test_zones_that_reset_connections_are_reported_one_by_one():
    """Guards against a zone that stays unreported as its endpoints became unreachable later."""
    assert zones_to_report(CUT_OFF, (), ()) == ()
    assert zones_to_report(CUT_OFF, ("zone-b",), ()) == ("zone-b",)
    assert zones_to_report(CUT_OFF, ("zone-a",), ("zone-b",)) == OTHER_ZONES


def test_zones_are_not_reported_while_all_shards_are_reached():
    """Guards against checks of the store by a whole zone for endpoints that nobody misses."""
    enough = CUT_OFF._replace(reachable_shards=86)
    assert zones_to_report(enough, OTHER_ZONES, OTHER_ZONES) == ()
    assert zones_to_report(CUT_OFF._replace(is_loaded=False), OTHER_ZONES, ()) == ()


def test_zones_are_reported_again_when_the_store_is_lost_later():
    """Guards against a zone that nobody reports after the store still answered the first report."""

    def is_due(zones: tuple[str, ...], reported: tuple[str, ...], was: bool, now: bool) -> bool:
        return is_report_due(zones, reported, was_isolated=was, is_isolated=now)

    assert is_due(OTHER_ZONES, (), False, False)
    assert not is_due(OTHER_ZONES, OTHER_ZONES, False, False)
    assert is_due(OTHER_ZONES, OTHER_ZONES, False, True)
    assert not is_due(OTHER_ZONES, OTHER_ZONES, True, True)
    assert not is_due((), (), False, True)


load_tests = function_suite(globals())
