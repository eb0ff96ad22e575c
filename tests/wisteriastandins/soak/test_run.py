"""Short runs of the soak: the programs pass it, and bugs planted in a copy are detected."""

import shutil
import tempfile
from pathlib import Path

from wisteriastandins.soak.models import Fault, FaultKind
from wisteriastandins.soak.run import SoakOptions, SoakResult, format_result, run_soak

from tests.common import function_suite

ROOT = Path(__file__).parents[3]
PACKAGES = (
    ROOT / "packages" / "wisteriarock" / "src" / "wisteriarock",
    ROOT / "platform" / "wisteriaplatform",
)


def test_seeded_run_keeps_what_must_hold():
    """Guards against mixed answers, repeated executions and exceeded total limits under faults.

    Guarantees with a time limit are left to manual runs, as the result must not depend on the
    speed of the machine.
    """
    for seed in (3, 4, 5):
        options = SoakOptions(seed, 20.0, instances=4, callers=8, check_timing=False)
        result = run_soak(options)
        assert not result.violations, "\n".join(format_result(options, result))
        assert sum(1 for attempt in result.observations.attempts if attempt.status == 200) > 100


def run_copy(path: str, before: str, after: str, plan: list[Fault]) -> SoakResult:
    """Run a copy of the programs with a bug planted in one file."""
    with tempfile.TemporaryDirectory() as folder:
        for package in PACKAGES:
            shutil.copytree(package, Path(folder) / package.name)
        file = Path(folder) / "wisteriarock" / path
        text = file.read_text(encoding="utf-8")
        assert text.count(before) == 1, f"{path} does not hold the line to change"
        file.write_text(text.replace(before, after), encoding="utf-8")
        options = SoakOptions(5, 8.0, instances=2, callers=6, source=Path(folder))
        return run_soak(options, plan)


def test_doubled_send_is_found():
    """Guards against missing a request that runs twice."""
    result = run_copy(
        "dispatch/legs.py",
        "    state.pool_of(endpoint).send(leg.exchange)\n",
        "    state.pool_of(endpoint).send(leg.exchange)\n"
        "    state.pool_of(endpoint).send("
        "Exchange(encode, accepts, lambda outcome: None, lambda: None))\n",
        [],
    )
    assert "twice" in {violation.guarantee for violation in result.violations}


def test_lost_part_counted_as_present_is_found():
    """Guards against trusting the reported number of missing parts."""
    failing = [Fault(0.5, FaultKind.ENDPOINT_ERROR, target, 6.0) for target in (4, 5)]
    result = run_copy(
        "dispatch/answers.py",
        "    missing = len(query.shards) - query.parts\n",
        "    missing = 0\n",
        failing,
    )
    assert "answer" in {violation.guarantee for violation in result.violations}


def test_stale_configuration_is_found():
    """Guards against missing an instance that keeps an older configuration version."""
    result = run_copy(
        "discovery/changes.py",
        "    if not adopt(state.catalog, configuration, now_ms):\n",
        "    if state.catalog.configuration or not adopt(state.catalog, configuration, now_ms):\n",
        [Fault(0.5, FaultKind.CONFIGURE, 0, 0.0)],
    )
    assert "configuration" in {violation.guarantee for violation in result.violations}


def test_ignored_rate_limit_is_found():
    """Guards against missing instances that send more than an endpoint takes."""
    result = run_copy(
        "dispatch/limits.py",
        "    limits = (endpoint.rate_limit, update_cold(state, endpoint, now_ms))\n",
        "    limits: tuple[EndpointLimit | None, ...] = ()\n",
        [Fault(0.5, FaultKind.ENDPOINT_LIMIT, 4, 1.0)],
    )
    assert "rate_limit" in {violation.guarantee for violation in result.violations}


def test_ignored_allotment_is_found():
    """Guards against missing a customer that gets more than its allotment."""
    result = run_copy(
        "front/instance.py",
        "    if exchange.local.pending:\n",
        "    wait_ms = None\n    if exchange.local.pending:\n",
        [Fault(0.5, FaultKind.HOT_CUSTOMER, 0, 6.0)],
    )
    assert "allotment" in {violation.guarantee for violation in result.violations}


load_tests = function_suite(globals())
