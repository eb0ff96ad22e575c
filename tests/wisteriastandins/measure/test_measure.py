"""Tests of the measured figures and of the bare fan-out."""

from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route
from wisteriastandins.load.models import LoadOptions
from wisteriastandins.measure.bare import run_bare
from wisteriastandins.measure.deployments import write_deployments_page
from wisteriastandins.measure.leg_cost import format_cost_row
from wisteriastandins.measure.memory import format_memory_row
from wisteriastandins.measure.models import LegCost, MeasureOptions, MemoryUse
from wisteriastandins.topology.customers import CASCADE

from tests.common import function_suite
from tests.wisteriastandins.fakes import partition_rows, serve_app
from tests.wisteriastandins.plans import make_cascade_plan
from tests.wisteriastandins.results import make_load_result


def test_the_page_gives_medians_and_every_failed_check() -> None:
    """Guards against a page that hides failed checks or reports only the best run."""
    runs = [
        make_load_result(50.0, errors={"timeout": 3}),
        make_load_result(90.0, {"doubles": 2}),
        make_load_result(60.0),
    ]
    with TemporaryDirectory() as folder:
        path = Path(folder) / "new" / "page.md"
        options = MeasureOptions(("cascade",), (0.5,), 3, 0.0, 1.0, 1, 21_000, path)
        assert write_deployments_page(options, [("cascade", 0.5, runs)]) == 2
        text = path.read_text()
    assert "| cascade | 0.5 | recall_screen | 3 | 1.0 | 20.0 | 60.0 | 50.0 to 90.0 |" in text
    assert "| 3 | 0.9980 | 90.00 | 1.50 | 12.0 | 3 | 2 |" in text
    assert "Failed checks over all runs, those of the record of executions included: 2." in text


def test_ratio_and_memory_cover_all_runs() -> None:
    """Guards against dividing medians of different runs, and leaving out an instance."""

    def cost(tier_ms: float, bare_ms: float) -> LegCost:
        return LegCost(
            tier_legs=100,
            tier_ms=tier_ms,
            tier_busiest_ms=1.0,
            bare_legs=90,
            bare_ms=bare_ms,
            bare_errors=1,
            correct=True,
        )

    row = format_cost_row("cascade", 0.5, [cost(1.0, 0.5), cost(3.0, 1.0), cost(2.0, 0.5)])
    assert row[4:6] == ("2.000", "1.000 to 3.000")
    assert row[-2:] == ("3.00", "3")
    use = MemoryUse(idle_bytes=[10**7, 3 * 10**7], loaded_bytes=[4 * 10**7] * 2, correct=True)
    assert format_memory_row("cascade", 0.5, [use])[3:] == ("20.0", "30.0", "40.0", "40.0")


async def test_the_bare_fan_out_sends_every_leg_once() -> None:
    """Guards against a comparison with fewer legs than the tier sends, or with failed legs."""
    seen: Counter[str] = Counter()

    async def leg(request: Request) -> JSONResponse:
        body: dict[str, Any] = await request.json()
        seen[body["leg_id"]] += 1
        rows = partition_rows(body["shard"], 0, 1, 1, CASCADE.lots_per_shard, body["params"])
        return JSONResponse({"leg_id": body["leg_id"], "rows": rows})

    plan = make_cascade_plan()
    async with serve_app(Starlette(routes=[Route("/leg", leg, methods=["POST"])])) as port:
        for endpoint in plan["endpoints"]:
            endpoint["port"] = port
        options = LoadOptions(rate_per_s=30, warm_up_s=0.0, duration_s=0.5, seed=2)
        result = await run_bare(plan, options, "bare")
    assert result.errors == 0
    assert result.legs == len(seen) > 100
    assert set(seen.values()) == {1}
    assert result.rows > result.legs


load_tests = function_suite(globals())
