"""Tests of fault runs."""

import asyncio
import json
from pathlib import Path
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route
from wisteriastandins.faults.catalogue import FAULTS
from wisteriastandins.faults.models import Target
from wisteriastandins.faults.run import find_problems
from wisteriastandins.launcher import RunningProcesses
from wisteriastandins.load.models import LoadResult

from tests.common import function_suite
from tests.wisteriastandins.fakes import serve
from tests.wisteriastandins.plans import make_cascade_plan
from tests.wisteriastandins.results import make_load_result


async def _changes(name: str, status: int = 200) -> tuple[list[Any], list[str | None]]:
    """Return what a fault sends to the control listeners, and what its two parts return."""
    seen: list[Any] = []

    async def control(request: Request) -> JSONResponse:
        seen.append(json.loads(await request.body()))
        return JSONResponse({"matched": []}, status_code=status)

    async with serve(Starlette(routes=[Route("/control", control, methods=["POST"])])) as port:
        url = f"http://127.0.0.1:{port}"
        plan = make_cascade_plan()
        plan["endpoint_controls"] = plan["relay_controls"] = [url]
        plan["platform_control"] = url
        target = Target(plan, RunningProcesses(Path()))
        returned = [await FAULTS[name].begin(target), await FAULTS[name].end(target)]
    return seen, returned


async def test_every_control_fault_begins_and_ends() -> None:
    """Guards against a fault that is begun and not ended, or changes nothing."""
    for name in ("drain", "stragglers", "gone", "zone_cut", "loss", "platform", "snapshot"):
        seen, returned = await _changes(name)
        assert returned == [None, None], name
        assert len(seen) >= 2, name
        assert seen[0] != seen[-1], name


async def test_a_fault_that_is_refused_is_reported() -> None:
    """Guards against a run that passes because its fault was never there."""
    _, (began, _) = await _changes("platform", status=400)
    assert began is not None
    assert "status 400" in began
    plan = make_cascade_plan()
    plan["platform_control"] = "http://127.0.0.1:1"
    began = await asyncio.wait_for(
        FAULTS["platform"].begin(Target(plan, RunningProcesses(Path()))), 30
    )
    assert began is not None


def test_problems_are_those_of_the_kind_of_run() -> None:
    """Guards against harm by a planned change that passes, and against a fault that cannot."""
    planned, fault = FAULTS["drain"], FAULTS["kill"]
    clean, unknown = make_load_result(), make_load_result(outcomes={"complete": 9, "unknown": 1})
    assert find_problems(planned, clean, {"entry-a1": 0}) == []
    assert find_problems(planned, unknown, {}) == ["a planned change harmed 1 requests"]
    assert find_problems(fault, unknown, {}) == []
    refused = make_load_result(outcomes={"complete": 9, "not_run": 1})
    assert find_problems(planned, refused, {}) == ["a planned change harmed 1 requests"]
    timed_out = make_load_result(errors={"timeout": 2})
    assert find_problems(planned, timed_out, {}) == ["a planned change harmed 2 requests"]
    wrong: LoadResult = {**clean, "failed_checks": {"doubles": 1}, "record_checked": False}
    assert len(find_problems(fault, wrong, {"entry-a1": -9, "relay-zone-a": 0})) == 3


load_tests = function_suite(globals())
