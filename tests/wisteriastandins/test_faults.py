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
from tests.wisteriastandins.fakes import serve_app
from tests.wisteriastandins.plans import make_cascade_plan
from tests.wisteriastandins.results import make_load_result


async def _collect_changes(name: str, status: int = 200) -> tuple[list[Any], list[str | None]]:
    """Return the control requests of a fault, and the results of its begin and end actions."""
    received: list[Any] = []

    async def control(request: Request) -> JSONResponse:
        received.append(json.loads(await request.body()))
        return JSONResponse({"matched": []}, status_code=status)

    async with serve_app(Starlette(routes=[Route("/control", control, methods=["POST"])])) as port:
        url = f"http://127.0.0.1:{port}"
        plan = make_cascade_plan()
        plan["endpoint_controls"] = plan["relay_controls"] = [url]
        plan["platform_control"] = url
        target = Target(plan, RunningProcesses(Path()))
        returned = [await FAULTS[name].begin(target), await FAULTS[name].end(target)]
    return received, returned


async def test_every_control_fault_begins_and_ends() -> None:
    """Guards against a fault that is not ended, or changes nothing."""
    for name in ("drain", "stragglers", "gone", "zone_cut", "loss", "platform", "snapshot"):
        received, returned = await _collect_changes(name)
        assert returned == [None, None], name
        assert len(received) >= 2, name
        assert received[0] != received[-1], name


async def test_a_fault_that_is_refused_is_reported() -> None:
    """Guards against a run that passes although its fault was never applied."""
    _, (began, _) = await _collect_changes("platform", status=400)
    assert began is not None
    assert "status 400" in began
    plan = make_cascade_plan()
    plan["platform_control"] = "http://127.0.0.1:1"
    began = await asyncio.wait_for(
        FAULTS["platform"].begin(Target(plan, RunningProcesses(Path()))), 30
    )
    assert began is not None


def test_planned_changes_must_not_harm_requests() -> None:
    """Guards against a planned change that passes with harmed requests, or a fault that cannot."""
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
