"""Tests of the endpoints controller against a scripted endpoint on 127.0.0.1."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from typing import Any, NamedTuple

from wisteriarock.blackboard.models import Blackboard
from wisteriarock.bundle.models import EndpointSpec
from wisteriarock.endpoints.controller import EndpointsController, create_endpoints_controller
from wisteriarock.membership.models import EndpointState
from wisteriarock.observability.metrics import create_metrics
from wisteriarock.query.models import LegOutcome, LegReply, LegRequest

from tests.boards import make_board, make_leg
from tests.common import function_suite
from tests.servers import EndpointServer, answer_ok, run_endpoint_server, wait_until


def _now_ms() -> float:
    return time.monotonic() * 1000


class ControllerSetup(NamedTuple):
    """A controller that holds endpoint `a`, with its blackboard and the server of `a`."""

    board: Blackboard
    controller: EndpointsController
    server: EndpointServer


@asynccontextmanager
async def run_controller(
    on_leg: Any = answer_ok, **overrides: Any
) -> AsyncIterator[ControllerSetup]:
    """Run a controller that holds endpoint `a` of a scripted server."""
    async with run_endpoint_server(on_leg) as server:
        board = make_board(server.port, **overrides)
        controller = create_endpoints_controller(
            board, create_metrics(), _now_ms, Random(1), lambda: None
        )
        controller.set_held_endpoints(frozenset({"a"}), {})
        running = asyncio.ensure_future(controller.run())
        try:
            yield ControllerSetup(board, controller, server)
        finally:
            assert not running.done(), "an invariant was broken"
            running.cancel()
            await controller.close()


async def run_leg(setup: ControllerSetup, leg: LegRequest) -> LegReply:
    """Run a leg and return its reply."""
    future: asyncio.Future[LegReply] = asyncio.get_running_loop().create_future()
    setup.controller.execute_leg(leg, future.set_result)
    return await future


def get_endpoints(setup: ControllerSetup) -> dict[str, EndpointSpec]:
    """Return the endpoints of the active bundle."""
    assert setup.board.bundle is not None
    return setup.board.bundle.content["services"]["bales"]["endpoints"]


def change_endpoints(setup: ControllerSetup, **endpoints: EndpointSpec) -> None:
    """Activate a new bundle with the given endpoints."""
    assert setup.board.bundle is not None
    get_endpoints(setup).update(endpoints)
    setup.board.bundle = setup.board.bundle._replace(revision=2)


async def test_legs_reuse_an_idle_connection() -> None:
    """Guards against a new connection for each leg: endpoints allow few connections."""
    async with run_controller() as setup:
        for number in range(5):
            reply = await run_leg(setup, make_leg(f"r1.{number}"))
            assert (reply["outcome"], reply["rows"]) == (LegOutcome.OK, [{"lot": 1}])
        assert len(set(setup.server.leg_connections)) == 1


async def test_slots_are_not_exceeded_and_urgent_legs_run_first() -> None:
    """Guards against more legs than slots, and urgent legs behind background ones."""
    order: list[str] = []

    async def slow(server: EndpointServer, leg: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        order.append(leg["leg_id"])
        await asyncio.sleep(0.02)
        return await answer_ok(server, leg)

    async with run_controller(slow) as setup:
        legs = [make_leg(f"b.{n}", priority="background") for n in range(6)]
        legs += [make_leg(f"u.{n}", priority="urgent") for n in range(2)]
        replies = await asyncio.gather(*(run_leg(setup, leg) for leg in legs))
        assert {reply["outcome"] for reply in replies} == {LegOutcome.OK}
        assert setup.server.max_busy == 2
        assert set(order[2:4]) == {"u.0", "u.1"}


async def test_a_cancelled_leg_frees_its_slot_and_is_cancelled_at_the_endpoint() -> None:
    """Guards against legs that keep running after a cancel, and replies to cancelled legs."""

    async def stuck(server: EndpointServer, leg: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if leg["leg_id"].startswith("s"):
            await asyncio.sleep(60)
        return await answer_ok(server, leg)

    async with run_controller(stuck) as setup:
        replies: list[LegReply] = []
        cancels = [
            setup.controller.execute_leg(make_leg(f"s.{n}"), replies.append) for n in range(3)
        ]
        await wait_until(lambda: len(setup.server.legs) == 2)
        for cancel in cancels:
            cancel()
            cancel()
        assert (await run_leg(setup, make_leg("ok")))["outcome"] is LegOutcome.OK
        await wait_until(lambda: setup.server.cancelled == 2)
        assert replies == []
        assert "s.2" not in {leg["leg_id"] for leg in setup.server.legs}


async def test_a_silent_connection_is_replaced_without_counting_a_failure() -> None:
    """Guards against legs that wait for a connection that never answers."""
    async with run_controller(tunables={"silence_suspect_ms": 60}) as setup:
        assert (await run_leg(setup, make_leg("r1.1")))["outcome"] is LegOutcome.OK
        setup.server.muted = set(range(1, setup.server.accepted + 1))
        reply = await run_leg(setup, make_leg("r1.2"))
        assert reply["outcome"] is LegOutcome.OK
        assert [leg["leg_id"] for leg in setup.server.legs] == ["r1.1", "r1.2"]
        assert setup.server.max_open <= 6
        dump = setup.board.diagnostics["endpoints"]()["a"]
        assert dump["failures_in_row"] == 0
        assert dump["counters"]["resent"] == 1


async def test_a_non_idempotent_leg_is_not_sent_again() -> None:
    """Guards against running a non-idempotent leg twice after its connection went silent."""
    async with run_controller(tunables={"silence_suspect_ms": 60}) as setup:
        await run_leg(setup, make_leg("r1.1"))
        setup.server.muted = set(range(1, setup.server.accepted + 1))
        reply = await run_leg(setup, make_leg("r1.2", idempotent=False, deadline_ms=400.0))
        assert (reply["outcome"], reply["executed"]) == (LegOutcome.DEADLINE_PASSED, True)
        assert len(setup.server.legs) == 1


async def test_a_lagging_report_does_not_end_a_non_idempotent_leg() -> None:
    """Guards against a non-idempotent leg that loses its answer because a report lags."""

    async def slow(server: EndpointServer, leg: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        server.busy = 0
        await asyncio.sleep(0.3)
        server.busy = 1
        return await answer_ok(server, leg)

    async with run_controller(slow, tunables={"silence_suspect_ms": 50}) as setup:
        reply = await run_leg(setup, make_leg("r1.1", idempotent=False))
        assert (reply["outcome"], len(setup.server.legs)) == (LegOutcome.OK, 1)


async def test_a_slow_leg_on_a_healthy_connection_is_not_sent_twice() -> None:
    """Guards against extra load if a leg takes longer than usual."""

    async def slow(server: EndpointServer, leg: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        await asyncio.sleep(0.4)
        return await answer_ok(server, leg)

    async with run_controller(slow, tunables={"silence_suspect_ms": 50}) as setup:
        replies = await asyncio.gather(*(run_leg(setup, make_leg(f"r1.{n}")) for n in range(2)))
        assert {reply["outcome"] for reply in replies} == {LegOutcome.OK}
        assert len(setup.server.legs) == 2
        assert setup.server.cancelled == 0


async def test_a_draining_endpoint_gets_no_new_leg() -> None:
    """Guards against legs sent to a draining endpoint, or queued for it."""
    async with run_controller(tunables={"report_interval_ms": 50}) as setup:
        await run_leg(setup, make_leg("r1.1"))
        setup.server.state = "draining"
        await wait_until(lambda: setup.board.held_views["a"]["state"] is EndpointState.DRAINING)
        reply = await run_leg(setup, make_leg("r1.2"))
        assert (reply["outcome"], reply["executed"]) == (LegOutcome.DRAINING, False)
        assert len(setup.server.legs) == 1


async def test_a_new_incarnation_gets_a_slow_start() -> None:
    """Guards against full load on an endpoint right after its restart."""
    async with run_controller(tunables={"report_interval_ms": 50}) as setup:
        await wait_until(lambda: setup.board.held_views["a"]["state"] is EndpointState.READY)
        setup.server.incarnation = "i2"
        await wait_until(lambda: setup.board.held_views["a"]["incarnation"] == "i2")
        assert setup.board.held_views["a"]["state"] is EndpointState.COLD


async def test_legs_wait_for_the_end_of_the_handover() -> None:
    """Guards against two holders that use the same slots at the same time."""
    async with run_controller() as setup:
        setup.controller.set_held_endpoints(frozenset(), {})
        assert "a" not in setup.board.held_views
        assert (await run_leg(setup, make_leg()))["outcome"] is LegOutcome.NOT_SENT
        ready_at_ms = _now_ms() + 80
        setup.controller.set_held_endpoints(frozenset({"a"}), {"a": ready_at_ms})
        reply = await run_leg(setup, make_leg())
        assert reply["outcome"] is LegOutcome.OK
        assert _now_ms() >= ready_at_ms
        late = await run_leg(setup, make_leg("r1.9", deadline_ms=0.5))
        assert (late["outcome"], late["executed"]) == (LegOutcome.DEADLINE_PASSED, False)


async def test_a_paused_holder_sends_no_legs_until_confirmed() -> None:
    """Guards against a resumed process that uses slots which now belong to another holder."""
    async with run_controller() as setup:
        setup.controller.pause(True)
        replies: list[LegReply] = []
        setup.controller.execute_leg(make_leg(), replies.append)
        await asyncio.sleep(0.05)
        assert setup.server.legs == []
        setup.controller.set_held_endpoints(frozenset({"a"}), {})
        await wait_until(lambda: replies)
        assert replies[0]["outcome"] is LegOutcome.OK


async def test_legs_to_an_unreachable_endpoint_are_not_executed_and_eject_it() -> None:
    """Guards against a refused connection reported as a leg that may have run."""
    async with run_controller(tunables={"eject_after_failures": 2}) as setup:
        await wait_until(lambda: setup.server.reports)
        change_endpoints(setup, a={**get_endpoints(setup)["a"], "port": 9})
        setup.controller.set_held_endpoints(frozenset({"a"}), {})
        for number in range(2):
            reply = await run_leg(setup, make_leg(f"r1.{number}"))
            assert (reply["outcome"], reply["executed"]) == (LegOutcome.REFUSED, False)
        assert setup.board.held_views["a"]["state"] is EndpointState.EJECTED


async def test_endpoints_with_equal_fields_have_separate_states() -> None:
    """Guards against state machines that treat two endpoints with equal fields as one."""
    async with run_controller(tunables={"report_interval_ms": 50}) as setup:
        change_endpoints(setup, b=get_endpoints(setup)["a"])
        setup.controller.set_held_endpoints(frozenset({"a", "b"}), {})
        await wait_until(lambda: setup.board.held_views["a"]["state"] is EndpointState.READY)
        # Endpoint `b` has the address of `a`, whose reports must be rejected for `b`.
        await wait_until(lambda: setup.board.held_views["b"]["state"] is EndpointState.GONE)


async def test_close_waits_for_running_legs() -> None:
    """Guards against a planned stop that interrupts running legs."""

    async def slow(server: EndpointServer, leg: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        await asyncio.sleep(0.05)
        return await answer_ok(server, leg)

    async with run_controller(slow) as setup:
        replies: list[LegReply] = []
        for number in range(4):
            setup.controller.execute_leg(make_leg(f"r1.{number}"), replies.append)
        await setup.controller.close()
        assert [reply["outcome"] for reply in replies] == [LegOutcome.OK] * 4
        await wait_until(lambda: setup.server.open == 0)


load_tests = function_suite(globals())
