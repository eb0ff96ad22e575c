"""Tests of the life cycle of the process."""

from wisteriarock.lifecycle.decide import (
    TRIGGER_BECOME_READY,
    TRIGGER_DRAIN,
    TRIGGER_STOP,
    Lifecycle,
    may_become_ready,
)
from wisteriarock.membership.models import Phase

from tests.common import function_suite


def test_an_instance_that_drains_never_becomes_ready_again() -> None:
    """Guards against an instance that a late event makes ready while it stops."""
    phases: list[Phase] = []
    lifecycle = Lifecycle(phases.append)
    assert not lifecycle.fire(TRIGGER_STOP)
    assert lifecycle.fire(TRIGGER_DRAIN)
    assert not lifecycle.fire(TRIGGER_BECOME_READY)
    assert not lifecycle.fire(TRIGGER_DRAIN)
    assert lifecycle.fire(TRIGGER_STOP)
    assert phases == [Phase.DRAINING, Phase.STOPPED]


def test_readiness_needs_every_condition() -> None:
    """Guards against an instance that takes requests with an old bundle or as a second holder."""
    for missing in range(3):
        conditions = [index != missing for index in range(3)]
        assert not may_become_ready(*conditions)
    assert may_become_ready(True, True, True)


load_tests = function_suite(globals())
