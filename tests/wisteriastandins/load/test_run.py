"""Tests of a load run against a fake tier."""

from collections import Counter
from typing import Any

from wisteriastandins.load.models import LoadOptions, LoadResult
from wisteriastandins.load.report import format_result, is_correct
from wisteriastandins.load.run import run_load
from wisteriastandins.topology.customers import CASCADE

from tests.common import function_suite
from tests.wisteriastandins.fakes import (
    AnswerChange,
    make_entry_app,
    partition_rows,
    replace_ports,
    serve_app,
)
from tests.wisteriastandins.plans import make_cascade_plan

OPTIONS = LoadOptions(rate_per_s=200, warm_up_s=0.0, duration_s=0.5, seed=3)


async def _run_load(
    change: AnswerChange, refused_port: bool = False
) -> tuple[LoadResult, Counter[str]]:
    plan = make_cascade_plan()
    executed: Counter[str] = Counter()
    tickets: Counter[str] = Counter()
    async with serve_app(make_entry_app(CASCADE.lots_per_shard, executed, tickets, change)) as port:
        # Nothing listens on port 1, so connections to it are refused.
        ports = [port, 1] if refused_port else [port]
        return await run_load(replace_ports(plan, ports), OPTIONS, partition_rows, "r"), tickets


async def test_correct_answers_pass() -> None:
    """Guards against failed checks of correct answers, and against reused tickets."""
    result, tickets = await _run_load(lambda answer: answer)
    assert is_correct(result), format_result(result)
    assert sum(item["requests"] for item in result["classes"]) > 50
    assert all(item["requests"] == item["outcomes"]["complete"] for item in result["classes"])
    assert max(tickets.values()) == 1
    blend = result["classes"][0]
    assert (blend["extra_load_pct"], blend["cross_zone_legs"]) == (2.0, 2.0)


async def test_a_refusing_instance_is_skipped() -> None:
    """Guards against errors for requests that another instance can handle."""
    result, _ = await _run_load(lambda answer: answer, refused_port=True)
    assert is_correct(result), format_result(result)
    assert not any(item["errors"] for item in result["classes"])


async def test_wrong_answers_fail() -> None:
    """Guards against a run that passes although its answers are wrong."""

    def drop_row(answer: dict[str, Any]) -> dict[str, Any]:
        return {**answer, "rows": answer["rows"][1:]}

    result, _ = await _run_load(drop_row)
    assert not is_correct(result)
    answers = sum(item["requests"] for item in result["classes"])
    assert result["failed_checks"] == {"absent_rows": answers}
    assert "absent_rows" in format_result(result)


async def test_a_malformed_body_fails() -> None:
    """Guards against counting a malformed answer as a connection error only."""
    result, _ = await _run_load(lambda answer: {"request_id": answer["request_id"]})
    answers = sum(item["requests"] for item in result["classes"])
    assert result["failed_checks"] == {"format": answers}


async def test_refusals_do_not_count_as_latency() -> None:
    """Guards against quick refusals that lower the reported latency."""

    def refuse(answer: dict[str, Any]) -> dict[str, Any]:
        coverage = {"answered": [], "missing": []}
        return {**answer, "outcome": "not_run", "rows": [], "coverage": coverage}

    result, _ = await _run_load(refuse)
    assert all(item["p99_ms"] == 0 for item in result["classes"])
    assert all(item["mean_coverage"] == 0 for item in result["classes"])


load_tests = function_suite(globals())
