"""Random faults of an endpoint against what must always hold at its holder."""

import asyncio
import os
from collections import Counter
from random import Random
from typing import Any

from wisteriarock.query.models import LegOutcome, LegReply

from tests.boards import make_leg
from tests.common import function_suite
from tests.servers import EndpointServer, answer_ok
from tests.wisteriarock.endpoints.test_controller import Holding, holding

SEEDS = range(int(os.environ.get("FAULT_SEEDS", "2")))
TUNABLES = {"silence_suspect_ms": 30, "report_interval_ms": 50, "report_timeout_ms": 40}


def _endpoint(rng: Random) -> Any:
    """Return what an endpoint does with a leg: mostly answer, sometimes fail in some way."""

    async def on_leg(server: EndpointServer, leg: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        kind = rng.random()
        if kind < 0.05:
            code = rng.choice(("shedding", "snapshot_gone"))
            server.legs.remove(leg)
            return 503, {"leg_id": leg["leg_id"], "code": code, "executed": False}
        await asyncio.sleep(rng.choice((0.0, 0.002, 0.01, 0.05)))
        if kind < 0.08:
            rng.choice(list(server.writers)).transport.abort()
        if kind < 0.12:
            server.muted = set(range(1, server.accepted + 1))
        if kind < 0.14:
            return 200, {**(await answer_ok(server, leg))[1], "leg_id": "other"}
        return await answer_ok(server, leg)

    return on_leg


async def _disturb(h: Holding, rng: Random) -> None:
    """Do what membership does when beliefs change."""
    while True:
        await asyncio.sleep(rng.random() / 5)
        action = rng.choice(("release", "pause", "state"))
        if action == "pause":
            h.controller.pause(True)
        elif action == "state":
            h.server.state = rng.choice(("ready", "ready", "draining"))
        else:
            h.controller.set_held(frozenset(), {})
        await asyncio.sleep(rng.random() / 50)
        h.controller.set_held(frozenset("a"), {})


async def _run(seed: int) -> None:
    rng = Random(seed)
    replies: dict[str, list[LegReply]] = {}
    cancelled: set[str] = set()
    async with holding(_endpoint(rng), tunables=TUNABLES) as h:
        disturbing = asyncio.create_task(_disturb(h, rng))
        for number in range(150):
            leg_id = f"r.{number}"
            priority = rng.choice(("urgent", "normal", "background"))
            idempotent = rng.random() < 0.5
            left_ms = rng.choice((5.0, 100.0, 400.0))
            leg = make_leg(leg_id, priority=priority, idempotent=idempotent, deadline_ms=left_ms)
            mine = replies.setdefault(leg_id, [])
            cancel = h.controller.execute_leg(leg, mine.append)
            if rng.random() < 0.1:
                cancelled.add(leg_id)
                asyncio.get_running_loop().call_later(rng.random() / 20, cancel)
            await asyncio.sleep(rng.choice((0.0, 0.01, 0.03)))
        disturbing.cancel()
        h.controller.set_held(frozenset("a"), {})
        await h.controller.close()
        await asyncio.sleep(0.05)
        executed = Counter(leg["leg_id"] for leg in h.server.legs)
        once = {leg["leg_id"] for leg in h.server.legs if not leg["idempotent"]}
        assert h.server.open == 0
        assert h.server.max_open <= 6
    for leg_id, got in replies.items():
        assert len(got) == 1 or (not got and leg_id in cancelled), (seed, leg_id, got)
        if got and not got[0]["executed"]:
            assert executed[leg_id] == 0, (seed, got)
    assert all(executed[leg_id] == 1 for leg_id in once), seed
    assert any(got and got[0]["outcome"] is LegOutcome.OK for got in replies.values())


async def test_faults_break_no_promise() -> None:
    """Guards against legs reported twice, never, or wrongly as not run, and against repeats."""
    for seed in SEEDS:
        await _run(seed)


load_tests = function_suite(globals())
