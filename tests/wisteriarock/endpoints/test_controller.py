"""Tests of held endpoints against a scripted endpoint on 127.0.0.1."""

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
from tests.servers import EndpointServer, answer_ok, endpoint_server, until


def _now_ms() -> float:
    return time.monotonic() * 1000


class Holding(NamedTuple):
    """A controller that holds endpoint `a`, and the endpoint."""

    board: Blackboard
    controller: EndpointsController
    server: EndpointServer


@asynccontextmanager
async def holding(on_leg: Any = answer_ok, **overrides: Any) -> AsyncIterator[Holding]:
    """Hold endpoint `a` of a scripted server."""
    async with endpoint_server(on_leg) as server:
        board = make_board(server.port, **overrides)
        controller = create_endpoints_controller(
            board, create_metrics(), _now_ms, Random(1), lambda: None
        )
        controller.set_held(frozenset({"a"}), {})
        running = asyncio.ensure_future(controller.run())
        try:
            yield Holding(board, controller, server)
        finally:
            assert not running.done(), "an invariant was broken"
            running.cancel()
            await controller.close()


async def run_leg(holding: Holding, leg: LegRequest) -> LegReply:
    """Run a leg and return its reply."""
    future: asyncio.Future[LegReply] = asyncio.get_running_loop().create_future()
    holding.controller.execute_leg(leg, future.set_result)
    return await future


def endpoints_of(holding: Holding) -> dict[str, EndpointSpec]:
    """Return the endpoints of the bundle in force."""
    assert holding.board.bundle is not None
    return holding.board.bundle.content["services"]["bales"]["endpoints"]


def change_endpoints(holding: Holding, **endpoints: EndpointSpec) -> None:
    """Put a new bundle in force."""
    assert holding.board.bundle is not None
    endpoints_of(holding).update(endpoints)
    holding.board.bundle = holding.board.bundle._replace(revision=2)


async def test_a_leg_is_answered_and_its_connection_used_again() -> None:
    """Guards against a new connection for each leg, of which endpoints allow few."""
    async with holding() as h:
        for number in range(5):
            reply = await run_leg(h, make_leg(f"r1.{number}"))
            assert (reply["outcome"], reply["rows"]) == (LegOutcome.OK, [{"lot": 1}])
        assert len(set(h.server.leg_connections)) == 1


async def test_slots_are_never_exceeded_and_urgent_legs_go_first() -> None:
    """Guards against an endpoint that gets more legs than it has slots."""
    order: list[str] = []

    async def slow(server: EndpointServer, leg: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        order.append(leg["leg_id"])
        await asyncio.sleep(0.02)
        return await answer_ok(server, leg)

    async with holding(slow) as h:
        legs = [make_leg(f"b.{n}", priority="background") for n in range(6)]
        legs += [make_leg(f"u.{n}", priority="urgent") for n in range(2)]
        replies = await asyncio.gather(*(run_leg(h, leg) for leg in legs))
        assert {reply["outcome"] for reply in replies} == {LegOutcome.OK}
        assert h.server.most_busy == 2
        assert set(order[2:4]) == {"u.0", "u.1"}


async def test_a_cancelled_leg_frees_its_slot_and_is_cancelled_at_the_endpoint() -> None:
    """Guards against work that goes on after its caller has gone, and replies after a cancel."""

    async def stuck(server: EndpointServer, leg: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if leg["leg_id"].startswith("s"):
            await asyncio.sleep(60)
        return await answer_ok(server, leg)

    async with holding(stuck) as h:
        replies: list[LegReply] = []
        cancels = [h.controller.execute_leg(make_leg(f"s.{n}"), replies.append) for n in range(3)]
        await until(lambda: len(h.server.legs) == 2)
        for cancel in cancels:
            cancel()
            cancel()
        assert (await run_leg(h, make_leg("ok")))["outcome"] is LegOutcome.OK
        await until(lambda: h.server.cancelled == 2)
        assert replies == []
        assert "s.2" not in {leg["leg_id"] for leg in h.server.legs}


async def test_a_silent_connection_is_replaced_and_the_endpoint_not_blamed() -> None:
    """Guards against legs that wait for a connection that will never answer."""
    async with holding(tunables={"silence_suspect_ms": 60}) as h:
        assert (await run_leg(h, make_leg("r1.1")))["outcome"] is LegOutcome.OK
        h.server.muted = set(range(1, h.server.accepted + 1))
        reply = await run_leg(h, make_leg("r1.2"))
        assert reply["outcome"] is LegOutcome.OK
        assert [leg["leg_id"] for leg in h.server.legs] == ["r1.1", "r1.2"]
        assert h.server.most_open <= 6
        dump = h.board.diagnostics["endpoints"]()["a"]
        assert dump["failures_in_row"] == 0
        assert dump["counters"]["resent"] == 1


async def test_a_leg_that_may_not_be_repeated_is_not_sent_again() -> None:
    """Guards against a second run of a booking whose connection went silent."""
    async with holding(tunables={"silence_suspect_ms": 60}) as h:
        await run_leg(h, make_leg("r1.1"))
        h.server.muted = set(range(1, h.server.accepted + 1))
        reply = await run_leg(h, make_leg("r1.2", idempotent=False, deadline_ms=400.0))
        assert (reply["outcome"], reply["executed"]) == (LegOutcome.DEADLINE_PASSED, True)
        assert len(h.server.legs) == 1


async def test_a_wrong_report_costs_no_answer_of_a_leg_that_may_run_once() -> None:
    """Guards against a booking that ends as unknown because a report lags."""

    async def slow(server: EndpointServer, leg: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        server.busy = 0
        await asyncio.sleep(0.3)
        server.busy = 1
        return await answer_ok(server, leg)

    async with holding(slow, tunables={"silence_suspect_ms": 50}) as h:
        reply = await run_leg(h, make_leg("r1.1", idempotent=False))
        assert (reply["outcome"], len(h.server.legs)) == (LegOutcome.OK, 1)


async def test_a_slow_leg_on_a_healthy_connection_is_not_doubled() -> None:
    """Guards against extra load when a leg merely takes longer than usual."""

    async def slow(server: EndpointServer, leg: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        await asyncio.sleep(0.4)
        return await answer_ok(server, leg)

    async with holding(slow, tunables={"silence_suspect_ms": 50}) as h:
        replies = await asyncio.gather(*(run_leg(h, make_leg(f"r1.{n}")) for n in range(2)))
        assert {reply["outcome"] for reply in replies} == {LegOutcome.OK}
        assert len(h.server.legs) == 2
        assert h.server.cancelled == 0


async def test_a_draining_endpoint_gets_no_new_leg() -> None:
    """Guards against work for an endpoint that leaves, and against waiting for it."""
    async with holding(tunables={"report_interval_ms": 50}) as h:
        await run_leg(h, make_leg("r1.1"))
        h.server.state = "draining"
        await until(lambda: h.board.held_views["a"]["state"] is EndpointState.DRAINING)
        reply = await run_leg(h, make_leg("r1.2"))
        assert (reply["outcome"], reply["executed"]) == (LegOutcome.DRAINING, False)
        assert len(h.server.legs) == 1


async def test_a_new_incarnation_starts_slowly() -> None:
    """Guards against full load on an endpoint that has just restarted."""
    async with holding(tunables={"report_interval_ms": 50}) as h:
        await until(lambda: h.board.held_views["a"]["state"] is EndpointState.READY)
        h.server.incarnation = "i2"
        await until(lambda: h.board.held_views["a"]["incarnation"] == "i2")
        assert h.board.held_views["a"]["state"] is EndpointState.COLD


async def test_legs_wait_for_the_end_of_the_handover() -> None:
    """Guards against two holders that use the same slots at once."""
    async with holding() as h:
        h.controller.set_held(frozenset(), {})
        assert "a" not in h.board.held_views
        assert (await run_leg(h, make_leg()))["outcome"] is LegOutcome.NOT_SENT
        ready_ms = _now_ms() + 80
        h.controller.set_held(frozenset({"a"}), {"a": ready_ms})
        reply = await run_leg(h, make_leg())
        assert reply["outcome"] is LegOutcome.OK
        assert _now_ms() >= ready_ms
        late = await run_leg(h, make_leg("r1.9", deadline_ms=0.5))
        assert (late["outcome"], late["executed"]) == (LegOutcome.DEADLINE_PASSED, False)


async def test_a_paused_holder_sends_nothing_until_it_is_confirmed() -> None:
    """Guards against a process that resumes and uses slots its successor has taken."""
    async with holding() as h:
        h.controller.pause(True)
        replies: list[LegReply] = []
        h.controller.execute_leg(make_leg(), replies.append)
        await asyncio.sleep(0.05)
        assert h.server.legs == []
        h.controller.set_held(frozenset({"a"}), {})
        await until(lambda: replies)
        assert replies[0]["outcome"] is LegOutcome.OK


async def test_an_unreachable_endpoint_is_ejected_and_legs_are_not_run() -> None:
    """Guards against a refused connection that is reported as work that may have run."""
    async with holding(tunables={"eject_after_failures": 2}) as h:
        await until(lambda: h.server.reports)
        change_endpoints(h, a={**endpoints_of(h)["a"], "port": 9})
        h.controller.set_held(frozenset({"a"}), {})
        for number in range(2):
            reply = await run_leg(h, make_leg(f"r1.{number}"))
            assert (reply["outcome"], reply["executed"]) == (LegOutcome.REFUSED, False)
        assert h.board.held_views["a"]["state"] is EndpointState.EJECTED


async def test_endpoints_have_a_state_each() -> None:
    """Guards against state machines that take two endpoints with equal facts for one."""
    async with holding(tunables={"report_interval_ms": 50}) as h:
        change_endpoints(h, b=endpoints_of(h)["a"])
        h.controller.set_held(frozenset({"a", "b"}), {})
        await until(lambda: h.board.held_views["a"]["state"] is EndpointState.READY)
        # Endpoint `b` is reached at the address of `a`, whose reports it must not take.
        await until(lambda: h.board.held_views["b"]["state"] is EndpointState.GONE)


async def test_close_finishes_running_legs() -> None:
    """Guards against a planned stop that interrupts a request."""

    async def slow(server: EndpointServer, leg: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        await asyncio.sleep(0.05)
        return await answer_ok(server, leg)

    async with holding(slow) as h:
        replies: list[LegReply] = []
        for number in range(4):
            h.controller.execute_leg(make_leg(f"r1.{number}"), replies.append)
        await h.controller.close()
        assert [reply["outcome"] for reply in replies] == [LegOutcome.OK] * 4
        await until(lambda: h.server.open == 0)


load_tests = function_suite(globals())
