"""Tests of the state machines."""

from wisteriarock.endpoints import lifecycle
from wisteriarock.endpoints.const import DRAINING_REPLY_HOLDS_MS, GONE_AFTER_REPORTS
from wisteriarock.endpoints.lifecycle import ConnectionState, EndpointLife, next_connection_state
from wisteriarock.endpoints.models import EndpointReport
from wisteriarock.membership.models import EndpointState
from wisteriarock.settings.load import check_tunables

from tests.common import function_suite

TUNABLES = check_tunables({}).unwrap()


def _report(state: str = "ready", incarnation: str = "i1") -> EndpointReport:
    return {
        "endpoint": "a",
        "incarnation": incarnation,
        "state": state,
        "slots": 2,
        "busy": 0,
        "holdings": {},
    }


def _ready(known: str = "") -> EndpointLife:
    life = lifecycle.create_life(known)
    lifecycle.on_report(life, _report(), 0.0, TUNABLES)
    return life


def test_failures_in_a_row_eject_for_a_time() -> None:
    """Guards against ejection by scattered failures, and against one that does not end."""
    life = _ready()
    for _ in range(4):
        assert not lifecycle.on_failure(life, 10.0, TUNABLES)
    lifecycle.on_success(life)
    for _ in range(4):
        assert not lifecycle.on_failure(life, 10.0, TUNABLES)
    assert lifecycle.on_failure(life, 10.0, TUNABLES)
    assert life.state is EndpointState.EJECTED
    assert not lifecycle.on_report(life, _report(), 5_009.0, TUNABLES)
    assert lifecycle.update(life, 5_010.0)
    assert life.state is EndpointState.READY


def test_a_new_incarnation_is_cold_for_the_slow_start() -> None:
    """Guards against full load right after a restart, also when the holder changed meanwhile."""
    assert _ready().state is EndpointState.READY
    assert _ready("i1").state is EndpointState.READY
    assert _ready("i0").state is EndpointState.COLD
    life = _ready()
    lifecycle.on_report(life, _report(incarnation="i2"), 100.0, TUNABLES)
    assert life.state is EndpointState.COLD
    lifecycle.on_report(life, _report(incarnation="i2"), 3_099.0, TUNABLES)
    assert life.state is EndpointState.COLD
    lifecycle.update(life, 3_100.0)
    assert life.state is EndpointState.READY


def test_draining_wins_over_ejection_and_slow_start() -> None:
    """Guards against new legs for an endpoint that leaves, whoever says so."""
    life = _ready("i0")
    for _ in range(5):
        lifecycle.on_failure(life, 0.0, TUNABLES)
    assert lifecycle.on_listed(life, True, 1.0)
    assert life.state is EndpointState.DRAINING
    lifecycle.on_listed(life, False, 2.0)
    assert life.state is EndpointState.EJECTED
    lifecycle.on_report(life, _report("draining"), 3.0, TUNABLES)
    assert life.state is EndpointState.DRAINING


def test_a_lagging_report_does_not_revoke_a_draining_reply() -> None:
    """Guards against legs for a draining endpoint whose report still says ready."""
    life = _ready()
    assert lifecycle.on_draining_reply(life, 100.0)
    lifecycle.on_report(life, _report(), 200.0, TUNABLES)
    assert life.state is EndpointState.DRAINING
    lifecycle.on_report(life, _report(), 101.0 + DRAINING_REPLY_HOLDS_MS, TUNABLES)
    assert life.state is EndpointState.READY
    lifecycle.on_draining_reply(life, 9_000.0)
    lifecycle.on_report(life, _report(incarnation="i2"), 9_001.0, TUNABLES)
    assert life.state is EndpointState.COLD


def test_an_endpoint_that_does_not_report_is_gone_until_it_does() -> None:
    """Guards against a dead endpoint that stays ready, and a live one lost with its reports."""
    life = _ready()
    for _ in range(2 * GONE_AFTER_REPORTS):
        assert not lifecycle.on_report_failure(life, 0.0)
        lifecycle.on_success(life)
    for _ in range(GONE_AFTER_REPORTS):
        lifecycle.on_report_failure(life, 0.0)
    assert life.state is EndpointState.GONE
    lifecycle.on_report(life, _report(), 1.0, TUNABLES)
    assert life.state is EndpointState.READY


def test_equal_endpoints_each_have_a_state() -> None:
    """Guards against `transitions`, which registers no model that equals one it has."""
    lives = [lifecycle.create_life(), lifecycle.create_life()]
    assert all(lifecycle.on_report(life, _report(), 0.0, TUNABLES) for life in lives)
    lifecycle.forget_life(lives[0])
    assert lifecycle.on_listed(lives[1], True, 1.0)


def test_a_closed_connection_cannot_be_used() -> None:
    """Guards against a leg on a connection that was closed or is in use."""
    for state in ConnectionState:
        if state is ConnectionState.IDLE:
            assert next_connection_state(state, "use") is ConnectionState.BUSY
            continue
        try:
            next_connection_state(state, "use")
        except RuntimeError as error:
            assert state.value in str(error)
        else:
            raise AssertionError(state)


load_tests = function_suite(globals())
