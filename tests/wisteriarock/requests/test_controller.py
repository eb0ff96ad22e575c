"""Tests of request handling, with fakes for query execution and calls to other instances."""

import asyncio
from typing import Any

import msgspec
from returns.result import Failure, Result, Success
from wisteriarock.blackboard.models import Blackboard
from wisteriarock.bundle.models import ActiveBundle
from wisteriarock.membership.models import Member, Phase
from wisteriarock.observability.metrics import create_metrics
from wisteriarock.query.models import Outcome, QueryAnswer, QueryRequest
from wisteriarock.requests.answers import empty_answer
from wisteriarock.requests.controller import RequestController, create_request_controller
from wisteriarock.requests.models import Reply
from wisteriarock.tickets.controller import HANDOVER_PATH

from tests.common import function_suite
from tests.wisteriarock.fixtures import CREDENTIAL, make_board

BEARER = f"Bearer {CREDENTIAL}"


class FakeCluster:
    """Fake query execution that records its runs, and peer calls whose replies can be lost."""

    def __init__(self) -> None:
        self.runs: list[str] = []
        self.may_finish = asyncio.Event()
        self.may_finish.set()
        self.controllers: dict[str, RequestController] = {}
        self.replies_lost = False

    async def run_query(self, request: QueryRequest, bundle: ActiveBundle) -> QueryAnswer:
        """Record a run and wait until it may finish."""
        self.runs.append(request.request_id)
        await self.may_finish.wait()
        answer = empty_answer(request.request_id, Outcome.COMPLETE, "", "", "", bundle.revision)
        answer["error"] = None
        return answer

    async def forward(
        self, instance: str, path: str, body: bytes, limit_ms: float
    ) -> Result[bytes, Any]:
        """Call a peer's controller; with `replies_lost`, the call arrives but its reply is lost."""
        forwarded = msgspec.json.decode(body)
        controller = self.controllers[instance].tickets
        if path == HANDOVER_PATH:
            if not controller.on_handover(forwarded):
                return Failure("refused")
            return Failure("lost") if self.replies_lost else Success(b"{}")
        answer = await controller.on_forwarded(forwarded)
        return Failure("lost") if self.replies_lost else Success(msgspec.json.encode(answer))

    def add_instance(self, name: str) -> tuple[RequestController, Blackboard]:
        """Return a new ready instance that the others can call."""
        board = make_board(name)
        metrics = create_metrics()
        controller = create_request_controller(
            board, self.run_query, self.forward, metrics, lambda: 1_000.0
        )
        self.controllers[name] = controller
        return controller, board


def _add_member(board: Blackboard, other: Blackboard) -> None:
    name = other.settings.instance
    board.members[name] = Member(
        name, other.incarnation, "north", "127.0.0.1", 1, Phase.READY, 1_000, 1, ""
    )


def _make_body(ticket: str | None = None, **fields: object) -> bytes:
    body = {
        "request_id": "r1",
        "kind": "recall_screen" if ticket is None else "invoice_lookup",
        "shards": ["mill-00"],
        "deadline_ms": 500,
        "repeatable": ticket is None,
        **({} if ticket is None else {"ticket": ticket}),
        **fields,
    }
    return msgspec.json.encode(body)


def _issue_ticket(controller: RequestController) -> str:
    return controller.handle_tickets(b'{"count": 1}', BEARER).unwrap()["tickets"][0]


def _summarise(reply: Reply) -> tuple[int, str, str]:
    error = reply.answer["error"]
    return reply.status, reply.answer["outcome"], error["code"] if error else ""


async def test_bad_input_is_not_run() -> None:
    """Guards against executing a request that is answered with "not run" or "unknown"."""
    cluster = FakeCluster()
    controller, board = cluster.add_instance("e1")
    cases = [
        (_make_body(), "Bearer wrong", (401, "not_run", "unknown_caller")),
        (b"{", BEARER, (400, "not_run", "invalid_json")),
        (b"x" * 70_000, BEARER, (413, "not_run", "too_long")),
        (_make_body(color=1), BEARER, (400, "not_run", "unknown_field")),
        (_make_body(deadline_ms="1"), BEARER, (400, "not_run", "invalid_field")),
        (_make_body(shards=["x"]), BEARER, (400, "not_run", "unknown_shard")),
        (_make_body("forged"), BEARER, (400, "not_run", "invalid_ticket")),
    ]
    for raw, header, expected in cases:
        assert _summarise(await controller.handle_query(raw, header)) == expected
    board.phase = Phase.STARTING
    assert _summarise(await controller.handle_query(_make_body(), BEARER))[:2] == (503, "not_run")
    ticketed = await controller.handle_query(_make_body("t"), BEARER)
    assert _summarise(ticketed) == (200, "unknown", "not_ready")
    assert cluster.runs == []


async def test_request_resent_to_any_instance_runs_once() -> None:
    """Guards against a second run when a load balancer resends to another instance."""
    cluster = FakeCluster()
    first, first_board = cluster.add_instance("e1")
    second, second_board = cluster.add_instance("e2")
    _add_member(second_board, first_board)
    ticket = _issue_ticket(first)
    cluster.may_finish.clear()
    tasks = [
        asyncio.create_task(controller.handle_query(_make_body(ticket, request_id=name), BEARER))
        for controller, name in ((first, "a"), (second, "b"), (first, "c"))
    ]
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    # The first caller disconnects while its request runs.
    tasks[0].cancel()
    cluster.may_finish.set()
    replies = await asyncio.gather(*tasks[1:])
    assert [r.answer["request_id"] for r in replies] == ["b", "c"]
    assert all(r.answer["outcome"] == "complete" for r in replies)
    again = await second.handle_query(_make_body(ticket, request_id="d"), BEARER)
    assert again.answer["outcome"] == "complete"
    assert len(cluster.runs) == 1


async def test_outcome_is_unknown_if_the_issuer_is_lost_or_restarted() -> None:
    """Guards against "not run" or a second run when the issuer of a ticket cannot be reached."""
    cluster = FakeCluster()
    first, first_board = cluster.add_instance("e1")
    second, second_board = cluster.add_instance("e2")
    ticket = _issue_ticket(first)
    gone = await second.handle_query(_make_body(ticket), BEARER)
    assert _summarise(gone) == (200, "unknown", "issuer_gone")
    _add_member(second_board, first_board)
    cluster.replies_lost = True
    lost = await second.handle_query(_make_body(ticket), BEARER)
    assert _summarise(lost) == (200, "unknown", "issuer_silent")
    assert lost.answer["coverage"]["missing"] == [{"shard": "mill-00", "reason": "unknown"}]
    cluster.add_instance("e1")
    second_board.members["e1"] = second_board.members["e1"]._replace(incarnation="other")
    restarted = await second.handle_query(_make_body(ticket), BEARER)
    assert _summarise(restarted) == (200, "unknown", "issuer_gone")
    assert len(cluster.runs) == 1


async def test_rejection_by_another_instance_voids_an_unused_ticket() -> None:
    """Guards against "not run" from an overloaded instance while the issuer runs another copy."""
    cluster = FakeCluster()
    first, first_board = cluster.add_instance("e1")
    second, second_board = cluster.add_instance("e2")
    _add_member(second_board, first_board)
    second_board.loop_lag_ms = 1_000.0
    ran, unused = _issue_ticket(first), _issue_ticket(first)
    assert (await first.handle_query(_make_body(ran), BEARER)).answer["outcome"] == "complete"
    resent = await second.handle_query(_make_body(ran), BEARER)
    assert _summarise(resent) == (200, "complete", "")
    refused = await second.handle_query(_make_body(unused), BEARER)
    assert _summarise(refused) == (429, "not_run", "overloaded")
    again = await first.handle_query(_make_body(unused), BEARER)
    assert _summarise(again)[1:] == ("not_run", "ticket_void")
    cluster.replies_lost = True
    silent = await second.handle_query(_make_body(_issue_ticket(first)), BEARER)
    assert _summarise(silent) == (200, "unknown", "issuer_silent")
    assert len(cluster.runs) == 1


async def test_unused_tickets_survive_a_graceful_stop() -> None:
    """Guards against unknown outcomes of unused tickets after a planned restart."""
    cluster = FakeCluster()
    boards = {name: cluster.add_instance(name)[1] for name in ("e1", "e2", "e3")}
    for board in boards.values():
        for other in boards.values():
            if board is not other:
                _add_member(board, other)
    boards["e2"].phase = Phase.DRAINING
    tickets = [_issue_ticket(cluster.controllers["e1"]) for _ in range(2)]
    await cluster.controllers["e1"].tickets.hand_over()
    assert boards["e1"].ticket_successor == "e3"
    boards["e2"].ticket_successors[("e1", boards["e1"].incarnation)] = "e3"
    for name, ticket in (("e1", tickets[0]), ("e2", tickets[1])):
        for _ in range(2):
            reply = await cluster.controllers[name].handle_query(_make_body(ticket), BEARER)
            assert reply.answer["outcome"] == "complete"
    assert len(cluster.runs) == 2


async def test_a_lost_handover_reply_does_not_lead_to_a_second_peer() -> None:
    """Guards against two peers that both own, and so both run, the same ticket."""
    cluster = FakeCluster()
    first, first_board = cluster.add_instance("e1")
    for name in ("e2", "e3"):
        _add_member(first_board, cluster.add_instance(name)[1])
    ticket = _issue_ticket(first)
    cluster.replies_lost = True
    await first.tickets.hand_over()
    owners = [name for name in ("e2", "e3") if cluster.controllers[name].tickets.diagnostics()[1:]]
    assert owners == [first_board.ticket_successor]
    assert _summarise(await first.handle_query(_make_body(ticket), BEARER))[1] == "unknown"


async def test_a_draining_instance_answers_queries_but_issues_no_tickets() -> None:
    """Guards against a planned stop that drops requests or issues tickets that are soon useless."""
    cluster = FakeCluster()
    controller, board = cluster.add_instance("e1")
    board.phase = Phase.DRAINING
    assert isinstance(controller.handle_tickets(b'{"count": 1}', BEARER), Failure)
    assert (await controller.handle_query(_make_body(), BEARER)).status == 200


async def test_request_that_may_outlast_a_planned_stop_is_not_run() -> None:
    """Guards against a request that is taken late in a stop and cut off at its end."""
    cluster = FakeCluster()
    controller, board = cluster.add_instance("e1")
    ticket = _issue_ticket(controller)
    board.phase = Phase.DRAINING
    board.stops_at_ms = 1_000.0 + 2_000.0
    for body in (_make_body(deadline_ms=2_100), _make_body(ticket, deadline_ms=2_100)):
        reply = await controller.handle_query(body, BEARER)
        assert _summarise(reply) == (503, "not_run", "draining")
        assert reply.answer["retry_after_ms"] is not None
    assert not cluster.runs
    reply = await controller.handle_query(_make_body(deadline_ms=1_900), BEARER)
    assert _summarise(reply)[1] == "complete" and cluster.runs == ["r1"]


async def test_forwarded_request_that_may_outlast_a_planned_stop_is_not_run() -> None:
    """Guards against a request cut off because the instance that keeps its ticket stops."""
    cluster = FakeCluster()
    first, first_board = cluster.add_instance("e1")
    second, second_board = cluster.add_instance("e2")
    _add_member(second_board, first_board)
    tickets = [_issue_ticket(first) for _ in range(2)]
    first_board.phase = Phase.DRAINING
    first_board.stops_at_ms = 1_000.0 + 2_000.0
    reply = await second.handle_query(_make_body(tickets[0], deadline_ms=2_100), BEARER)
    assert _summarise(reply) == (503, "not_run", "draining") and not cluster.runs
    reply = await second.handle_query(_make_body(tickets[0], deadline_ms=100), BEARER)
    assert _summarise(reply)[1] == "not_run" and not cluster.runs
    reply = await second.handle_query(_make_body(tickets[1], deadline_ms=1_900), BEARER)
    assert _summarise(reply)[1] == "complete" and cluster.runs == ["r1"]


load_tests = function_suite(globals())
