"""Tests of the invariants of a holder under random faults of its endpoint."""

import asyncio
import os
from collections import Counter
from random import Random
from typing import Any

from wisteriarock.query.models import LegOutcome, LegReply

from tests.boards import make_leg
from tests.common import function_suite
from tests.servers import EndpointServer, answer_ok
from tests.wisteriarock.endpoints.test_controller import ControllerSetup, run_controller

SEEDS = range(int(os.environ.get("FAULT_SEEDS", "2")))
TUNABLES = {"silence_suspect_ms": 30, "report_interval_ms": 50, "report_timeout_ms": 40}


def make_faulty_endpoint(rng: Random) -> Any:
    """Return an endpoint handler that answers most legs and fails the others at random."""

    async def on_leg(server: EndpointServer, leg: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        fault = rng.random()
        if fault < 0.05:
            code = rng.choice(("shedding", "snapshot_gone"))
            server.legs.remove(leg)
            return 503, {"leg_id": leg["leg_id"], "code": code, "executed": False}
        await asyncio.sleep(rng.choice((0.0, 0.002, 0.01, 0.05)))
        if fault < 0.08:
            rng.choice(list(server.writers)).transport.abort()
        if fault < 0.12:
            server.muted = set(range(1, server.accepted + 1))
        if fault < 0.14:
            return 200, {**(await answer_ok(server, leg))[1], "leg_id": "other"}
        return await answer_ok(server, leg)

    return on_leg


async def change_membership(setup: ControllerSetup, rng: Random) -> None:
    """Release, pause and drain the endpoint at random, as membership changes do."""
    while True:
        await asyncio.sleep(rng.random() / 5)
        action = rng.choice(("release", "pause", "state"))
        if action == "pause":
            setup.controller.pause(True)
        elif action == "state":
            setup.server.state = rng.choice(("ready", "ready", "draining"))
        else:
            setup.controller.set_held_endpoints(frozenset(), {})
        await asyncio.sleep(rng.random() / 50)
        setup.controller.set_held_endpoints(frozenset("a"), {})


async def run_with_faults(seed: int) -> None:
    rng = Random(seed)
    replies: dict[str, list[LegReply]] = {}
    cancelled: set[str] = set()
    async with run_controller(make_faulty_endpoint(rng), tunables=TUNABLES) as setup:
        membership_task = asyncio.create_task(change_membership(setup, rng))
        for leg_number in range(150):
            leg_id = f"r.{leg_number}"
            priority = rng.choice(("urgent", "normal", "background"))
            idempotent = rng.random() < 0.5
            time_left_ms = rng.choice((5.0, 100.0, 400.0))
            leg = make_leg(
                leg_id, priority=priority, idempotent=idempotent, deadline_ms=time_left_ms
            )
            leg_replies = replies.setdefault(leg_id, [])
            cancel = setup.controller.execute_leg(leg, leg_replies.append)
            if rng.random() < 0.1:
                cancelled.add(leg_id)
                asyncio.get_running_loop().call_later(rng.random() / 20, cancel)
            await asyncio.sleep(rng.choice((0.0, 0.01, 0.03)))
        membership_task.cancel()
        setup.controller.set_held_endpoints(frozenset("a"), {})
        await setup.controller.close()
        await asyncio.sleep(0.05)
        executed = Counter(leg["leg_id"] for leg in setup.server.legs)
        non_idempotent_ids = {leg["leg_id"] for leg in setup.server.legs if not leg["idempotent"]}
        assert setup.server.open == 0
        assert setup.server.max_open <= 6
    for leg_id, received in replies.items():
        assert len(received) == 1 or (not received and leg_id in cancelled), (
            seed,
            leg_id,
            received,
        )
        if received and not received[0]["executed"]:
            assert executed[leg_id] == 0, (seed, received)
    assert all(executed[leg_id] == 1 for leg_id in non_idempotent_ids), seed
    assert any(
        received and received[0]["outcome"] is LegOutcome.OK for received in replies.values()
    )


async def test_invariants_hold_under_random_faults() -> None:
    """Guards against duplicate, missing or false replies, and repeated non-idempotent legs."""
    for seed in SEEDS:
        await run_with_faults(seed)


load_tests = function_suite(globals())
