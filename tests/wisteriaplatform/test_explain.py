"""Tests of explanations at the addresses of an instance, and of `wisteriactl explain`."""

import asyncio
import json
import os
import subprocess
import sys
from typing import Any

from wisteriarock.explain.answer import create_explain_limit

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import HOST, deployment, operator_configuration, send
from tests.wisteriaplatform.process_fixtures import instance_process

BLEND = f"/explain?host={HOST}&path=/blend/x"


async def _ask(port: int, target: str, method: str = "GET") -> tuple[int, Any]:
    raw = f"{method} {target} HTTP/1.1\r\nHost: x\r\nRequest-Id: r\r\n\r\n".encode("latin-1")
    response = await send(port, raw)
    is_json = dict(response.headers).get("content-type") == "application/json"
    return response.status, json.loads(response.body) if is_json else None


async def test_operators_are_answered_and_callers_are_not():
    """Guards against an explanation that anybody can read, or that opens connections."""
    async with deployment() as running:
        status, explanation = await _ask(running.metrics_port, BLEND)
        assert status == 200 and explanation["outcome"] == "sent"
        assert [row["candidates"] for row in explanation["services"]] == [2, 2, 2, 2]
        assert running.instance.pools == {} and running.instance.counters.total("legs") == 0
        assert (await _ask(running.port, BLEND))[0] == 404
        assert (await _ask(running.ready_port, BLEND))[1] is None
        assert (await _ask(running.peer_port, BLEND))[1] is None
        assert (await _ask(running.metrics_port, "/explained"))[0] == 404


async def test_odd_questions_get_a_code_and_a_sentence():
    """Guards against odd input that ends a connection without a reason, or the process."""
    questions = {
        "/explain": "unknown_parameter",
        "/explain?host=a": "missing_parameter",
        "/explain?host=a&path=/&path=/": "repeated_parameter",
        "/explain?host=a&path=blend": "path_not_absolute",
        f"/explain?host={'a' * 10_000}&path=/": "too_long",
        f"/explain?host=a&path=/{'a' * 5_000}": "too_long",
        "/explain?host=a&path=/%0d%0a": "not_text",
        "/explain?host=&path=/": "not_text",
        "/explain?host=%ed%a0%80&path=/": "not_text",
        f"{BLEND}&customer=%ed%a0%80": "not_text",
        f"{BLEND}&customer=acme": "unknown_customer",
        f"{BLEND}&shard=%ff": "not_text",
        f"{BLEND}&shard=shard-9": "unknown_shard",
    }
    async with deployment() as running:
        for target, code in questions.items():
            status, reply = await _ask(running.metrics_port, target)
            assert 400 <= status < 500 and reply["error"]["code"] == code, (target, reply)
            assert reply["error"]["message"].endswith(".")
        assert (await _ask(running.metrics_port, BLEND, "PUT"))[0] == 405
        assert (await _ask(running.metrics_port, BLEND))[0] == 200


async def test_explanations_are_limited_to_a_few_a_second():
    """Guards against a loop of explanations that takes the time of callers' requests."""
    async with deployment() as running:
        limit = create_explain_limit(0.0)
        limit.rate_per_s, limit.tokens = 1e-6, 2.0
        running.instance.explain_limit = limit
        replies = [await _ask(running.metrics_port, BLEND) for _ in range(3)]
        assert [status for status, _ in replies] == [200, 200, 429]
        assert replies[2][1]["error"]["code"] == "too_many_requests"


async def _run(*arguments: str | bytes) -> "subprocess.CompletedProcess[bytes]":
    command = [sys.executable, "-m", "wisteriactl", "explain", "--timeout-s=600", *arguments]
    environment = {**os.environ, "PYTHONUTF8": "1", "COLUMNS": "400"}
    return await asyncio.to_thread(
        subprocess.run, command, capture_output=True, env=environment, check=False
    )


async def test_an_operator_asks_a_running_process():
    """Guards against a tool that no longer reads what an instance answers."""
    async with instance_process() as running:
        at = f"--at=127.0.0.1:{running.ports['metrics']}"
        done = await _run(HOST, "/lookup/50%25?x=1", at, "--json")
        result = json.loads(done.stdout)
        assert (done.returncode, result["outcome"]) == (0, "ok")
        explanation = result["explanation"]
        assert explanation["path"] == "/lookup/50%25" and explanation["outcome"] == "sent"
        (row,) = explanation["services"]
        assert row["endpoint"] == row["endpoints"][0]["endpoint"]
        assert {each["endpoint"] for each in row["endpoints"]} == {"invoicing.0", "invoicing.1"}
        done = await _run(HOST, "/blend/x", at, "--shard=shard-1")
        table = done.stdout.decode()
        assert done.returncode == 0 and "shard-1: 2 of 2 endpoints" in table, done
        assert "shard-2" not in table and "note: Random jitter is left out" in table
        for arguments in ((HOST, "blend", at), (b"a\xed\xa0\x80", "/", at), (HOST, "/", "--at=x")):
            done = await _run(*arguments)
            assert done.returncode == 2 and b"Traceback" not in done.stderr and done.stderr


async def test_names_from_the_configuration_are_escaped():
    """Guards against control characters of a name on the terminal of an operator."""
    async with deployment() as running:
        configuration: dict[str, Any] = operator_configuration(4)
        configuration["routes"][1]["name"] = "red\x1b[31m\ud800"
        running.store.put("op/config", configuration)
        at = f"--at=127.0.0.1:{running.metrics_port}"
        while running.instance.catalog.configuration.version < 4:  # type: ignore[union-attr]
            await asyncio.sleep(0.01)
        for options in (["--json"], []):
            done = await _run(HOST, "/lookup/x", at, *options)
            assert done.returncode == 0 and b"\x1b" not in done.stdout, done
            assert b"invoicing.1" in done.stdout


load_tests = function_suite(globals())
