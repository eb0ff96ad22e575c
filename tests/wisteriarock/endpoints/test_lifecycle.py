"""Tests of the state machines of endpoints and connections."""

from wisteriarock.endpoints import lifecycle
from wisteriarock.endpoints.const import DRAINING_REPLY_VALID_MS, GONE_AFTER_REPORT_FAILURES
from wisteriarock.endpoints.lifecycle import (
    ConnectionState,
    EndpointLifecycle,
    next_connection_state,
)
from wisteriarock.endpoints.models import EndpointReport
from wisteriarock.membership.models import EndpointState
from wisteriarock.settings.load import check_tunables

from tests.common import function_suite

TUNABLES = check_tunables({}).unwrap()


def make_report(state: str = "ready", incarnation: str = "i1") -> EndpointReport:
    return {
        "endpoint": "a",
        "incarnation": incarnation,
        "state": state,
        "slots": 2,
        "busy": 0,
        "holdings": {},
    }


def make_ready_endpoint(known_incarnation: str = "") -> EndpointLifecycle:
    endpoint = lifecycle.create_lifecycle(known_incarnation)
    lifecycle.on_report(endpoint, make_report(), 0.0, TUNABLES)
    return endpoint


def test_consecutive_failures_eject_temporarily() -> None:
    """Guards against ejection by non-consecutive failures, and against permanent ejection."""
    endpoint = make_ready_endpoint()
    for _ in range(4):
        assert not lifecycle.on_leg_failure(endpoint, 10.0, TUNABLES)
    lifecycle.on_leg_answered(endpoint)
    for _ in range(4):
        assert not lifecycle.on_leg_failure(endpoint, 10.0, TUNABLES)
    assert lifecycle.on_leg_failure(endpoint, 10.0, TUNABLES)
    assert endpoint.state is EndpointState.EJECTED
    assert not lifecycle.on_report(endpoint, make_report(), 5_009.0, TUNABLES)
    assert lifecycle.update_state(endpoint, 5_010.0)
    assert endpoint.state is EndpointState.READY


def test_a_new_incarnation_is_cold_during_slow_start() -> None:
    """Guards against full load right after a restart, even if the holder changed as well."""
    assert make_ready_endpoint().state is EndpointState.READY
    assert make_ready_endpoint("i1").state is EndpointState.READY
    assert make_ready_endpoint("i0").state is EndpointState.COLD
    endpoint = make_ready_endpoint()
    lifecycle.on_report(endpoint, make_report(incarnation="i2"), 100.0, TUNABLES)
    assert endpoint.state is EndpointState.COLD
    lifecycle.on_report(endpoint, make_report(incarnation="i2"), 3_099.0, TUNABLES)
    assert endpoint.state is EndpointState.COLD
    lifecycle.update_state(endpoint, 3_100.0)
    assert endpoint.state is EndpointState.READY


def test_draining_takes_precedence_over_ejection_and_slow_start() -> None:
    """Guards against new legs for an endpoint that the platform or its report calls draining."""
    endpoint = make_ready_endpoint("i0")
    for _ in range(5):
        lifecycle.on_leg_failure(endpoint, 0.0, TUNABLES)
    assert lifecycle.on_platform_list(endpoint, True, 1.0)
    assert endpoint.state is EndpointState.DRAINING
    lifecycle.on_platform_list(endpoint, False, 2.0)
    assert endpoint.state is EndpointState.EJECTED
    lifecycle.on_report(endpoint, make_report("draining"), 3.0, TUNABLES)
    assert endpoint.state is EndpointState.DRAINING


def test_a_lagging_report_does_not_revoke_a_draining_reply() -> None:
    """Guards against legs sent to a draining endpoint whose report still says ready."""
    endpoint = make_ready_endpoint()
    assert lifecycle.on_draining_reply(endpoint, 100.0)
    lifecycle.on_report(endpoint, make_report(), 200.0, TUNABLES)
    assert endpoint.state is EndpointState.DRAINING
    lifecycle.on_report(endpoint, make_report(), 101.0 + DRAINING_REPLY_VALID_MS, TUNABLES)
    assert endpoint.state is EndpointState.READY
    lifecycle.on_draining_reply(endpoint, 9_000.0)
    lifecycle.on_report(endpoint, make_report(incarnation="i2"), 9_001.0, TUNABLES)
    assert endpoint.state is EndpointState.COLD


def test_an_endpoint_without_reports_is_gone_until_it_reports() -> None:
    """Guards against a dead endpoint that stays ready.

    Answered legs must keep an endpoint from being gone even if its reports fail.
    """
    endpoint = make_ready_endpoint()
    for _ in range(2 * GONE_AFTER_REPORT_FAILURES):
        assert not lifecycle.on_report_failure(endpoint, 0.0)
        lifecycle.on_leg_answered(endpoint)
    for _ in range(GONE_AFTER_REPORT_FAILURES):
        lifecycle.on_report_failure(endpoint, 0.0)
    assert endpoint.state is EndpointState.GONE
    lifecycle.on_report(endpoint, make_report(), 1.0, TUNABLES)
    assert endpoint.state is EndpointState.READY


def test_equal_lifecycles_have_separate_states() -> None:
    """Guards against `transitions` ignoring a model that equals a registered one."""
    endpoints = [lifecycle.create_lifecycle(), lifecycle.create_lifecycle()]
    assert all(
        lifecycle.on_report(endpoint, make_report(), 0.0, TUNABLES) for endpoint in endpoints
    )
    lifecycle.remove_lifecycle(endpoints[0])
    assert lifecycle.on_platform_list(endpoints[1], True, 1.0)


def test_a_closed_connection_cannot_be_used() -> None:
    """Guards against a leg on a connection that is closed or in use."""
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
