"""Tests of the fault plans."""

from wisteriastandins.soak.const import FAULT_FREE_END_S
from wisteriastandins.soak.models import FaultKind
from wisteriastandins.soak.plan import format_plan, make_plan, make_returns

from tests.common import function_suite


def test_one_seed_gives_one_plan():
    """Guards against a failing seed that cannot be reproduced."""
    assert make_plan(7, 60.0) == make_plan(7, 60.0)
    assert make_plan(7, 60.0) != make_plan(8, 60.0)
    assert len(format_plan(make_plan(7, 60.0))) == len(make_plan(7, 60.0))


def test_faults_end_before_the_fault_free_end():
    """Guards against checking recovery while faults are still active."""
    for seed in range(50):
        plan = make_plan(seed, 60.0)
        assert plan == sorted(plan)
        assert all(
            fault.at_s + fault.duration_s <= 60.0 - FAULT_FREE_END_S + 1e-6 for fault in plan
        )


def test_every_kind_is_played():
    """Guards against a fault kind that no seed generates, and against faults that never overlap."""
    plans = [make_plan(seed, 60.0) for seed in range(50)]
    returns = [make_returns(seed, 60.0) for seed in range(50)]
    assert {fault.kind for plan in plans + returns for fault in plan} == set(FaultKind)
    overlaps = sum(
        1
        for plan in plans
        for one, next_one in zip(plan, plan[1:], strict=False)
        if one.at_s + one.duration_s > next_one.at_s
    )
    assert overlaps > 500


def test_returns_do_not_change_the_other_faults():
    """Guards against seeds that no longer play the faults for which they are kept."""
    for seed in range(20):
        assert all(fault.kind is not FaultKind.STORE_RETURN for fault in make_plan(seed, 60.0))
        returns = make_returns(seed, 60.0)
        assert returns == make_returns(seed, 60.0)
        assert returns and all(fault.kind is FaultKind.STORE_RETURN for fault in returns)


load_tests = function_suite(globals())
