"""Tests of run-time changes to an endpoint stand-in."""

from wisteriastandins.endpoint.changes import (
    apply_change,
    change_error,
    clear_faults,
    restart,
    visible_report,
)
from wisteriastandins.endpoint.legs import receive_leg
from wisteriastandins.endpoint.models import EndpointChange, Refusal

from tests.common import function_suite

from .test_legs import accept_leg, make_endpoint_config, make_leg_body, make_state


def test_holdings_change() -> None:
    """Guards against serving snapshots and partitions before they are added or once removed."""
    state = make_state()
    apply_change(state, EndpointChange(copy_snapshot={"source": 1, "target": 2}), 0)
    apply_change(
        state,
        EndpointChange(
            drop_snapshots=[1],
            repartition={"snapshot": 2, "shard": "mill-01", "parts": [(0, 2), (1, 2)]},
        ),
        0,
    )
    assert visible_report(state, 0)["holdings"] == {"2": [("mill-01", 0, 2), ("mill-01", 1, 2)]}
    assert receive_leg(state, make_leg_body(), 0) is Refusal.SNAPSHOT_GONE
    accept_leg(state, make_leg_body(snapshot=2, part=1, parts=2))
    other = EndpointChange(repartition={"snapshot": 2, "shard": "mill-09", "parts": [(0, 1)]})
    apply_change(state, other, 0)
    assert len(state.held_partitions[2]) == 2
    assert change_error(EndpointChange(add_snapshots={"new": []}))
    assert change_error(EndpointChange(slots=-1))


def test_drain_counts_late_legs_with_their_delay() -> None:
    """Guards against accepting legs while draining, and against a delay since the wrong moment."""
    state = make_state()
    running = accept_leg(state, make_leg_body(0))
    apply_change(state, EndpointChange(drain=True), 100)
    apply_change(state, EndpointChange(drain=True), 200)
    assert visible_report(state, 200)["state"] == "draining"
    assert receive_leg(state, make_leg_body(1), 350) is Refusal.DRAINING
    assert state.counters.drain_delays_ms == [250]
    assert running in state.running


def test_reports_can_lag_and_be_false() -> None:
    """Guards against accurate reports in tests that need delayed or false ones."""
    state = make_state(cold_ms=50)
    apply_change(state, EndpointChange(report_lag_ms=100), 0)
    accept_leg(state, make_leg_body(), 10)
    apply_change(state, EndpointChange(drain=True), 20)
    reports = [visible_report(state, now_ms) for now_ms in (110, 120)]
    assert [(report["state"], report["busy"]) for report in reports] == [
        ("cold", 0),
        ("draining", 1),
    ]
    lie = EndpointChange(report_lag_ms=0, report_lie={"state": "ready", "busy": 0})
    apply_change(state, lie, 200)
    report = visible_report(state, 200)
    assert (report["state"], report["busy"]) == ("ready", 0)
    apply_change(state, EndpointChange(report_lie={}), 200)
    assert visible_report(state, 200)["busy"] == 1


def test_restart_and_reset() -> None:
    """Guards against faults that outlast a reset, and against restarts that are not cold."""
    state = make_state(cold_ms=50)
    apply_change(state, EndpointChange(drain=True, slow_factor=3, slots=9, holdings={}), 60)
    restart(state, "i2", 70)
    report = visible_report(state, 119)
    assert (report["incarnation"], report["state"], report["slots"]) == ("i2", "cold", 9)
    clear_faults(state, make_endpoint_config(), 200)
    assert (state.slow_factor, state.config["slots"], list(state.held_partitions)) == (1, 2, [1])


load_tests = function_suite(globals())
