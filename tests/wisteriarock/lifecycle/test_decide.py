"""Tests of the life cycle of the process."""

from wisteriarock.lifecycle.decide import (
    MAX_HOLDINGS_WAIT_MS,
    TRIGGER_BECOME_READY,
    TRIGGER_DRAIN,
    TRIGGER_STOP,
    Lifecycle,
    may_become_ready,
)
from wisteriarock.membership.models import Phase

from tests.common import function_suite


def test_a_draining_instance_never_becomes_ready_again() -> None:
    """Guards against a late event that makes a stopping instance ready."""
    phases: list[Phase] = []
    lifecycle = Lifecycle(phases.append)
    assert not lifecycle.fire(TRIGGER_STOP)
    assert lifecycle.fire(TRIGGER_DRAIN)
    assert not lifecycle.fire(TRIGGER_BECOME_READY)
    assert not lifecycle.fire(TRIGGER_DRAIN)
    assert lifecycle.fire(TRIGGER_STOP)
    assert phases == [Phase.DRAINING, Phase.STOPPED]


def test_readiness_needs_every_condition() -> None:
    """Guards against an instance that accepts requests with an old bundle or as a second holder."""
    for missing in range(3):
        conditions = [index != missing for index in range(3)]
        assert not may_become_ready(*conditions, waited_ms=0.0)
    assert may_become_ready(True, True, True, 0.0)


def test_an_endpoint_that_is_down_delays_readiness_for_a_limited_time() -> None:
    """Guards against answers without some shards after a start, and against waiting forever."""
    assert not may_become_ready(True, True, False, MAX_HOLDINGS_WAIT_MS - 1)
    assert may_become_ready(True, True, False, MAX_HOLDINGS_WAIT_MS)
    assert not may_become_ready(False, True, False, MAX_HOLDINGS_WAIT_MS)


load_tests = function_suite(globals())
