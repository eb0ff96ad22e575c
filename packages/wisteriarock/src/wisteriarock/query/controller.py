"""Run queries: send and cancel legs, run timers and return answers."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

from wisteriarock.blackboard.models import Blackboard
from wisteriarock.bundle.models import ActiveBundle
from wisteriarock.membership.decide import is_live
from wisteriarock.observability.logs import log_event
from wisteriarock.observability.metrics import Metrics
from wisteriarock.routing.decide import apply_view, build_routes, remove_stale_endpoints
from wisteriarock.routing.models import Routes, RoutingState
from wisteriarock.snapshot.decide import refresh_index, set_routes
from wisteriarock.snapshot.models import HoldingIndex

from .decide import cancel_query, on_reply, on_timer, start_query
from .diagnostics import query_diagnostics
from .hedging import create_hedge_state
from .models import (
    Cancel,
    ExecuteLeg,
    LegOutcome,
    LegReply,
    LegRequest,
    QueryAnswer,
    QueryRequest,
    SendLegs,
)
from .replies import reply_without_rows
from .state import Action, CancelLeg, QueryState, SendLeg, SetTimer, SharedState

# Minimum time between index refreshes, each of which takes milliseconds at the target size.
REFRESH_INTERVAL_MS = 10.0

CancelLegs = Callable[[str, list[str]], None]
HolderOfEndpoint = Callable[[str], str | None]
CallLater = Callable[[float, Callable[[], None]], Cancel]


class QueryController(NamedTuple):
    """Functions of the query controller for the composition root."""

    run_query: Callable[[QueryRequest, ActiveBundle], Awaitable[QueryAnswer]]
    in_flight: Callable[[], int]
    diagnostics: Callable[[], dict[str, Any]]


@dataclass(slots=True)
class _Batch:
    """Legs that were sent to a holder in one call."""

    holder: str
    open_ids: set[str]
    cancel: Cancel | None = None


@dataclass(slots=True)
class _QueryRun:
    """A query in flight with its sent batches and its timer.

    `pending_replies` holds replies that arrive while actions are executed, such as the reply to
    a leg that could not be sent.
    """

    state: QueryState
    answer: asyncio.Future[QueryAnswer]
    batches: dict[str, _Batch] = field(default_factory=dict)
    pending_replies: deque[LegReply] = field(default_factory=deque)
    executing: bool = False
    cancel_timer: Cancel | None = None


def create_shared_state(board: Blackboard, rng: Random) -> SharedState:
    """Return the state shared by all queries, according to the settings of this process."""
    tunables = board.settings.tunables
    routing = RoutingState(
        own_zone=board.settings.zone,
        eject_after_failures=int(tunables.eject_after_failures),
        eject_ms=tunables.eject_ms,
        eject_max_share=tunables.eject_max_share,
        slow_start_ms=tunables.slow_start_ms,
    )
    hedging = create_hedge_state(
        tunables.hedge_quantile, tunables.hedge_min_ms, tunables.hedge_initial_ms
    )
    return SharedState(HoldingIndex(), routing, hedging, rng)


def create_query_controller(
    board: Blackboard,
    metrics: Metrics,
    send_legs: SendLegs,
    cancel_legs: CancelLegs,
    execute_leg: ExecuteLeg,
    holder_of_endpoint: HolderOfEndpoint,
    now_ms: Callable[[], float],
    rng: Random,
    call_later: CallLater,
) -> QueryController:
    """Return the controller that runs queries.

    Parameters
    ----------
    board : Blackboard
        Settings, members and endpoint views; not modified.
    metrics : Metrics
        Metrics of the process.
    send_legs : SendLegs
        Sends legs to another instance in one call.
    cancel_legs : CancelLegs
        Cancels individual legs of such a call, given the holder's name and the leg ids.
    execute_leg : ExecuteLeg
        Runs a leg on an endpoint that this instance holds.
    holder_of_endpoint : HolderOfEndpoint
        Returns the instance that legs for an endpoint are sent to, or None.
    now_ms : callable
        Monotonic time in milliseconds.
    rng : Random
        Source of random numbers.
    call_later : CallLater
        Calls a function after a delay in milliseconds; returns a function that cancels the call.

    Returns
    -------
    QueryController
        `run_query` cancels all legs of its query when the awaiting task is cancelled.
    """
    own_instance = board.settings.instance
    suspect_after_ms = board.settings.tunables.suspect_after_ms
    shared = create_shared_state(board, rng)
    runs: dict[int, _QueryRun] = {}
    routes_by_digest: dict[str, Routes] = {}
    exported_drops: dict[str, int] = {}

    def routes_for(bundle: ActiveBundle) -> Routes:
        routes = routes_by_digest.get(bundle.digest)
        if routes is None:
            # Queries in flight hold their own reference, so the cache keeps only the newest two.
            while len(routes_by_digest) > 1:
                del routes_by_digest[next(iter(routes_by_digest))]
            routes = routes_by_digest[bundle.digest] = build_routes(bundle.content)
        return routes

    def refresh(now: float, routes: Routes, force: bool = False) -> None:
        index = shared.index
        if force or now - index.scanned_at_ms >= REFRESH_INTERVAL_MS:
            for view in refresh_index(index, board.endpoint_views, now):
                apply_view(shared.routing, view, now)
            if len(shared.routing.endpoints) > len(index.indexed_views):
                remove_stale_endpoints(shared.routing, index.indexed_views)
            live = [n for n, m in board.members.items() if is_live(m, now, suspect_after_ms)]
            set_routes(index, routes, frozenset([own_instance, *live]))
        elif index.routes is not routes:
            set_routes(index, routes, index.live_holders)

    def export_dropped_replies() -> None:
        for reason, count in shared.dropped.items():
            if new := count - exported_drops.get(reason, 0):
                metrics.dropped_replies.labels(reason).inc(new)
                exported_drops[reason] = count

    def receive_reply(run: _QueryRun, reply: LegReply) -> None:
        batch = run.batches.pop(reply["leg_id"], None)
        if batch is not None:
            batch.open_ids.discard(reply["leg_id"])
        run.pending_replies.append(reply)
        if not run.executing:
            execute_until_idle(run, [])

    def send(run: _QueryRun, sends: list[LegRequest]) -> None:
        by_holder: dict[str | None, list[LegRequest]] = {}
        for leg in sends:
            by_holder.setdefault(holder_of_endpoint(leg["endpoint"]), []).append(leg)
        for holder, legs in by_holder.items():
            if holder is None:
                not_sent = LegOutcome.NOT_SENT
                run.pending_replies.extend(reply_without_rows(leg, not_sent, False) for leg in legs)
            elif holder == own_instance:
                for leg in legs:
                    batch = _Batch(holder, {leg["leg_id"]})
                    run.batches[leg["leg_id"]] = batch
                    batch.cancel = execute_leg(leg, lambda reply: receive_reply(run, reply))
            else:
                batch = _Batch(holder, {leg["leg_id"] for leg in legs})
                for leg in legs:
                    run.batches[leg["leg_id"]] = batch
                batch.cancel = send_legs(holder, legs, lambda reply: receive_reply(run, reply))

    def cancel(run: _QueryRun, leg_ids: list[str]) -> None:
        by_batch: dict[int, tuple[_Batch, list[str]]] = {}
        for leg_id in leg_ids:
            batch = run.batches.pop(leg_id, None)
            if batch is not None:
                by_batch.setdefault(id(batch), (batch, []))[1].append(leg_id)
        for batch, ids in by_batch.values():
            if len(ids) == len(batch.open_ids) and batch.cancel is not None:
                batch.cancel()
            else:
                cancel_legs(batch.holder, ids)
            batch.open_ids.difference_update(ids)

    def execute_actions(run: _QueryRun, actions: list[Action]) -> None:
        sends: list[LegRequest] = []
        cancels: list[str] = []
        timer_at_ms: float | None = None
        for action in actions:
            if isinstance(action, SendLeg):
                sends.append(action.leg)
            elif isinstance(action, CancelLeg):
                cancels.append(action.leg_id)
            elif isinstance(action, SetTimer):
                timer_at_ms = action.at_ms
            elif not run.answer.done():
                run.answer.set_result(action.answer)
        if cancels:
            cancel(run, cancels)
        if sends:
            send(run, sends)
        if timer_at_ms is not None and not run.state.finished:
            if run.cancel_timer is not None:
                run.cancel_timer()
            run.cancel_timer = call_later(
                max(0.0, timer_at_ms - now_ms()), lambda: handle_timer(run)
            )

    def execute_until_idle(run: _QueryRun, actions: list[Action]) -> None:
        """Execute actions and process the replies that arrive meanwhile."""
        run.executing = True
        try:
            if actions:
                execute_actions(run, actions)
            while run.pending_replies:
                reply = run.pending_replies.popleft()
                now = now_ms()
                if reply["outcome"] == LegOutcome.SNAPSHOT_GONE:
                    refresh(now, run.state.routes, force=True)
                if next_actions := on_reply(shared, run.state, reply, now):
                    execute_actions(run, next_actions)
                elif run.state.finished:
                    export_dropped_replies()
        finally:
            run.executing = False

    def handle_timer(run: _QueryRun) -> None:
        run.cancel_timer = None
        now = now_ms()
        refresh(now, run.state.routes)
        execute_until_idle(run, on_timer(shared, run.state, now))

    def record_answer(run: _QueryRun, answer: QueryAnswer) -> None:
        request = run.state.request
        stats = answer["stats"]
        coverage = answer["coverage"]
        metrics.requests.labels(request.kind, answer["outcome"].value).inc()
        metrics.request_seconds.labels(request.kind).observe(stats["elapsed_ms"] / 1000)
        metrics.coverage.labels(request.kind).observe(
            len(coverage["answered"]) / max(1, len(request.shards))
        )
        for (role, cross_zone), count in run.state.leg_counts.items():
            metrics.legs.labels(role, "yes" if cross_zone else "no").inc(count)
        export_dropped_replies()
        log_event(
            "request",
            request_id=request.request_id,
            caller=request.caller,
            kind=request.kind,
            outcome=answer["outcome"].value,
            snapshot=answer["snapshot"],
            answered=len(coverage["answered"]),
            missing=len(coverage["missing"]),
            bundle_revision=answer["bundle_revision"],
            **stats,
        )

    async def run_query(request: QueryRequest, bundle: ActiveBundle) -> QueryAnswer:
        now = now_ms()
        routes = routes_for(bundle)
        refresh(now, routes)
        state, actions = start_query(shared, request, bundle, routes, now)
        run = _QueryRun(state, asyncio.get_running_loop().create_future())
        runs[id(run)] = run
        try:
            execute_until_idle(run, actions)
            answer = await run.answer
        finally:
            del runs[id(run)]
            if run.cancel_timer is not None:
                run.cancel_timer()
            if not state.finished:
                cancel(
                    run, [a.leg_id for a in cancel_query(shared, state) if isinstance(a, CancelLeg)]
                )
        record_answer(run, answer)
        return answer

    return QueryController(
        run_query=run_query,
        in_flight=lambda: len(runs),
        diagnostics=lambda: query_diagnostics(shared, len(runs), now_ms()),
    )
