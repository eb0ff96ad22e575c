"""Tests of the query controller: batches, cancellation and timers."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random

from wisteriarock.blackboard.models import Blackboard
from wisteriarock.membership.models import EndpointState, EndpointView, Member, Phase
from wisteriarock.observability.metrics import Metrics, create_metrics
from wisteriarock.query.controller import QueryController, create_query_controller
from wisteriarock.query.models import LegOutcome, LegRequest, OnLegReply, QueryAnswer
from wisteriarock.settings.const import TUNABLES
from wisteriarock.settings.models import Settings, Tunables

from tests.common import function_suite
from tests.wisteriarock.query.fixtures import make_bundle, make_request, make_view, reply_to

ACTIVE = make_bundle({"n": "north", "m": "north", "e": "east", "f": "east"}, "abc", per_100=1_000)
SHARDS = [("a", 0, 1), ("b", 0, 1), ("c", 0, 1)]


@dataclass
class Calls:
    """Calls made by the controller; `batches` are (holder, legs, callback)."""

    metrics: Metrics
    now_ms: float = 0.0
    batches: list[tuple[str, list[LegRequest], OnLegReply]] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    timers: list[tuple[float, Callable[[], None]]] = field(default_factory=list)
    holders: dict[str, str | None] = field(default_factory=dict)
    views: dict[str, EndpointView] = field(default_factory=dict)


@asynccontextmanager
async def _controller() -> AsyncIterator[tuple[QueryController, Calls]]:
    """Provide a controller of instance `e0`, which holds the endpoints `n` and `m`."""
    tunables = Tunables(**{name: limits.default for name, limits in TUNABLES.items()})
    settings = Settings("e0", "north", "", 0, "", 0, (), (), "", {}, "", None, None, tunables)
    board = Blackboard(settings, "1")
    board.members["e1"] = Member("e1", "1", "east", "", 0, Phase.READY, float("inf"), 1, "")
    calls = Calls(create_metrics(), holders={"n": "e0", "m": "e0", "e": "e1", "f": "e1"})
    calls.views = board.endpoint_views
    held = {"n": SHARDS[:1], "m": SHARDS[:1], "e": SHARDS[1:], "f": SHARDS[1:]}
    for name, triples in held.items():
        board.endpoint_views[name] = make_view(name, {7: triples}, holder=calls.holders[name] or "")

    def send(holder: str, legs: list[LegRequest], deliver_reply: OnLegReply) -> Callable[[], None]:
        calls.batches.append((holder, legs, deliver_reply))
        return lambda: calls.cancelled.extend(leg["leg_id"] for leg in legs)

    def call_later(delay_ms: float, callback: Callable[[], None]) -> Callable[[], None]:
        timer = (calls.now_ms + delay_ms, callback)
        calls.timers.append(timer)
        return lambda: calls.timers.remove(timer) if timer in calls.timers else None

    yield (
        create_query_controller(
            board,
            calls.metrics,
            send,
            lambda holder, leg_ids: calls.cancelled.extend([holder, *leg_ids]),
            lambda leg, deliver_reply: send("e0", [leg], deliver_reply),
            lambda endpoint: calls.holders[endpoint],
            lambda: calls.now_ms,
            Random(1),
            call_later,
        ),
        calls,
    )


async def _start_query(controller: QueryController, shards: str) -> asyncio.Task[QueryAnswer]:
    task = asyncio.ensure_future(controller.run_query(make_request(shards), ACTIVE))
    await asyncio.sleep(0)
    return task


async def test_legs_for_one_holder_are_sent_in_one_call() -> None:
    """Guards against sending a separate peer request for each leg."""
    async with _controller() as (controller, calls):
        task = await _start_query(controller, "abc")
        assert [(holder, len(legs)) for holder, legs, _ in calls.batches] == [("e0", 1), ("e1", 2)]
        assert controller.in_flight() == 1
        for _, legs, deliver_reply in calls.batches:
            for leg in legs:
                deliver_reply(reply_to(leg))
        answer = await task
        assert answer["outcome"] == "complete"
        assert answer["stats"]["cross_zone_legs"] == 2
        assert (calls.cancelled, calls.timers, controller.in_flight()) == ([], [], 0)
        sample = calls.metrics.registry.get_sample_value
        labels = {"role": "primary", "cross_zone": "yes"}
        assert sample("wisteriarock_legs_total", labels) == 2


async def test_cancelling_the_run_cancels_all_legs() -> None:
    """Guards against legs that keep running after the caller has disconnected."""
    async with _controller() as (controller, calls):
        task = await _start_query(controller, "abc")
        _, legs, deliver_reply = calls.batches[1]
        deliver_reply(reply_to(legs[0]))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert set(calls.cancelled) >= {"q.0.0", "q.0.2"}
        assert (calls.timers, controller.in_flight()) == ([], 0)
        deliver_reply(reply_to(legs[1]))
        assert controller.diagnostics()["dropped_replies"] == {"late": 1}
        outstanding = [e["outstanding"] for e in controller.diagnostics()["endpoints"].values()]
        assert outstanding == [0, 0, 0, 0]


async def test_a_single_leg_of_a_batch_is_cancelled() -> None:
    """Guards against cancelling a whole batch when a hedge answers before one of its legs."""
    async with _controller() as (controller, calls):
        task = await _start_query(controller, "bc")
        calls.now_ms = 100
        calls.timers[-1][1]()
        hedges = [leg for _, legs, _ in calls.batches[1:] for leg in legs]
        assert len(hedges) == 2
        calls.batches[1][2](reply_to(hedges[0]))
        assert calls.cancelled == ["e1", "q.0.0"]
        calls.batches[1][2](reply_to(hedges[1]))
        assert (await task)["outcome"] == "complete"


async def test_the_next_query_uses_a_changed_view() -> None:
    """Guards against sending legs to endpoints that have reported that they are draining."""
    async with _controller() as (controller, calls):
        for name in ("n", "m"):
            task = await _start_query(controller, "a")
            _, [leg], deliver_reply = calls.batches[-1]
            deliver_reply(reply_to(leg))
            assert (await task)["outcome"] == "complete"
            calls.views[name] = make_view(name, {}, state=EndpointState.DRAINING, holder="e0")
            calls.now_ms += 10
        answer = await (await _start_query(controller, "a"))
        assert (answer["outcome"], len(calls.batches)) == ("not_run", 2)
        assert answer["error"] is not None
        assert answer["error"]["code"] == "no_usable_snapshot"


async def test_a_leg_without_a_holder_fails_as_not_sent() -> None:
    """Guards against a request that waits for a reply to a leg that was never sent."""
    async with _controller() as (controller, calls):
        calls.holders["n"] = calls.holders["m"] = None
        task = await _start_query(controller, "a")
        calls.now_ms = 1_000
        calls.timers[-1][1]()
        answer = await task
        assert (answer["outcome"], answer["stats"]["legs"] > 0) == ("not_run", True)
        assert answer["coverage"]["missing"] == [{"shard": "a", "reason": LegOutcome.NOT_SENT}]


load_tests = function_suite(globals())
