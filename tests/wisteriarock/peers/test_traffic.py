"""Tests of the peer client and server, connected over 127.0.0.1."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Success
from starlette.applications import Starlette
from wisteriarock.membership.models import Heartbeat, Member, Phase
from wisteriarock.observability.metrics import create_metrics
from wisteriarock.peers.client import PeerClient, create_peer_client
from wisteriarock.peers.const import CANCEL_PATH, HANDOVER_PATH, HEARTBEAT_PATH, QUERY_PATH
from wisteriarock.peers.models import PeerError, PeerHandlers
from wisteriarock.peers.server import bypass_for_legs, create_peer_app
from wisteriarock.query.models import Cancel, LegOutcome, LegReply, LegRequest, OnLegReply
from wisteriarock.requests.models import ForwardedQuery
from wisteriarock.tickets.models import HandoverBody
from wisteriastandins.users.slow_link import SlowLink

from tests.boards import make_board, make_leg
from tests.common import function_suite
from tests.servers import run_app_server, wait_until

LONG_BUNDLE = b"x" * 200_000


def _now_ms() -> float:
    return time.monotonic() * 1000


class PeerPair(NamedTuple):
    """The client of `e1`, and the legs started and cancelled at its peer `e2`."""

    client: PeerClient
    board: Any
    started: list[tuple[LegRequest, OnLegReply]]
    cancelled: list[str]


def _make_ok_reply(leg: LegRequest) -> LegReply:
    return {
        "leg_id": leg["leg_id"],
        "endpoint": leg["endpoint"],
        "outcome": LegOutcome.OK,
        "executed": True,
        "shard": leg["shard"],
        "part": leg["part"],
        "parts": leg["parts"],
        "snapshot": leg["snapshot"],
        "rows": [{"lot": 1}],
        "queued_ms": 0.0,
        "service_ms": 1.0,
    }


@asynccontextmanager
async def run_peer_pair(reply_bits_per_s: float | None = None) -> AsyncIterator[PeerPair]:
    """Run a client and its peer `e2`, at which the test answers the legs.

    With `reply_bits_per_s`, the replies reach the client over a link of that rate.
    """
    started: list[tuple[LegRequest, OnLegReply]] = []
    cancelled: list[str] = []

    def execute_leg(leg: LegRequest, on_reply: OnLegReply) -> Cancel:
        started.append((leg, on_reply))
        return lambda: cancelled.append(leg["leg_id"])

    async def on_heartbeat(body: Heartbeat) -> Heartbeat:
        return {**body, "instance": "e2"}

    async def on_query(body: ForwardedQuery) -> Any:
        return {"echo": body}

    def on_handover(body: HandoverBody) -> bool:
        return len(body["books"]) == 1

    async def get_bundle_body(digest: str) -> bytes | None:
        return {"d1": b"{}", "long": LONG_BUNDLE}.get(digest)

    handlers = PeerHandlers(on_heartbeat, on_query, on_handover, get_bundle_body)
    peer_app = create_peer_app(make_board(), create_metrics(), _now_ms, execute_leg, handlers)
    app = bypass_for_legs(Starlette(routes=peer_app.routes), peer_app.legs)
    async with run_app_server(app) as server_port:
        link = SlowLink(server_port, reply_bits_per_s or 0.0)
        if reply_bits_per_s is not None:
            await link.start()
        port = link.port or server_port
        peer = {"instance": "e2", "zone": "north", "host": "127.0.0.1", "port": port}
        board = make_board(peers=[peer])
        board.members["e2"] = Member(
            "e2", "1", "north", "127.0.0.1", port, Phase.READY, _now_ms(), 0, ""
        )
        client = create_peer_client(board, create_metrics(), _now_ms)
        try:
            yield PeerPair(client, board, started, cancelled)
        finally:
            await client.close()
            await link.stop()


def _encode_heartbeat(instance: str) -> bytes:
    body: Heartbeat = {
        "instance": instance,
        "incarnation": "1",
        "zone": "north",
        "host": "127.0.0.1",
        "port": 1,
        "phase": Phase.READY,
        "sequence": 0,
        "acknowledged": 0,
        "bundle_revision": 0,
        "bundle_digest": "",
        "endpoints": [],
        "holding": [],
        "callers": {},
        "ticket_successor": "",
    }
    return msgspec.json.encode(body)


async def test_replies_are_streamed_as_they_arrive() -> None:
    """Guards against replies delayed until the slowest leg of the same request is answered."""
    async with run_peer_pair() as pair:
        replies: list[LegReply] = []
        pair.client.send_legs("e2", [make_leg("r.1"), make_leg("r.2")], replies.append)
        await wait_until(lambda: len(pair.started) == 2)
        for index in (1, 0):
            leg, on_reply = pair.started[index]
            on_reply(_make_ok_reply(leg))
            await wait_until(
                lambda: replies and replies[-1]["leg_id"] == leg["leg_id"]  # noqa: B023
            )
        assert [reply["leg_id"] for reply in replies] == ["r.2", "r.1"]
        assert pair.cancelled == []
        await wait_until(lambda: pair.board.diagnostics["peers"]()["open_streams"] == 0)
        counts = pair.board.diagnostics["peers"]()["connections"]
        assert counts == {"e2": {"legs": {"open": 1, "idle": 1}}}


async def test_cancelling_a_stream_cancels_its_legs_without_further_replies() -> None:
    """Guards against legs that continue at the holder after the caller has disconnected."""
    async with run_peer_pair() as pair:
        replies: list[LegReply] = []
        cancel = pair.client.send_legs("e2", [make_leg("r.1"), make_leg("r.2")], replies.append)
        await wait_until(lambda: len(pair.started) == 2)
        cancel()
        cancel()
        await wait_until(lambda: sorted(pair.cancelled) == ["r.1", "r.2"])
        assert replies == []


async def test_a_slow_leg_does_not_end_its_stream() -> None:
    """Guards against an inactivity timeout that ends streams with slow legs."""
    async with run_peer_pair() as pair:
        replies: list[LegReply] = []
        pair.client.send_legs("e2", [make_leg("r.1")], replies.append)
        await wait_until(lambda: pair.started)
        await asyncio.sleep(1.0)
        assert replies == []
        pair.started[0][1](_make_ok_reply(pair.started[0][0]))
        await wait_until(lambda: replies)
        assert replies[0]["outcome"] is LegOutcome.OK


async def test_a_single_leg_of_a_stream_is_cancelled() -> None:
    """Guards against a cancellation that also ends the other legs of the stream."""
    async with run_peer_pair() as pair:
        replies: list[LegReply] = []
        pair.client.send_legs("e2", [make_leg("r.1"), make_leg("r.2")], replies.append)
        await wait_until(lambda: len(pair.started) == 2)
        body = msgspec.json.encode({"leg_ids": ["r.1", "unknown"]})
        assert isinstance(await pair.client.post("e2", CANCEL_PATH, body, 1_000), Success)
        assert pair.cancelled == ["r.1"]
        pair.started[1][1](_make_ok_reply(pair.started[1][0]))
        await wait_until(lambda: len(replies) == 2)
        assert {r["leg_id"]: r["outcome"] for r in replies} == {
            "r.1": LegOutcome.PEER_LOST,
            "r.2": LegOutcome.OK,
        }


async def test_legs_to_a_suspected_or_unknown_peer_fail_immediately_as_not_run() -> None:
    """Guards against waiting for a peer that is already known to be silent."""
    async with run_peer_pair() as pair:
        pair.board.members["e2"] = pair.board.members["e2"]._replace(
            last_heartbeat_at_ms=_now_ms() - 10_000
        )
        for name in ("e2", "e3"):
            replies: list[LegReply] = []
            pair.client.send_legs(name, [make_leg("r.1")], replies.append)
            assert replies == []
            await wait_until(lambda: replies)  # noqa: B023
            assert (replies[0]["outcome"], replies[0]["executed"]) == ("peer_lost", False)
        assert pair.started == []
        query = await pair.client.post("e2", QUERY_PATH, b"{}", 1_000)
        assert query == Failure(PeerError.SUSPECTED)
        reply = await pair.client.post("e2", HEARTBEAT_PATH, _encode_heartbeat("e1"), 1_000)
        assert isinstance(reply, Success)


async def test_control_requests_are_validated_and_answered() -> None:
    """Guards against routes that accept another sender's name or an invalid body."""
    async with run_peer_pair() as pair:
        reply = await pair.client.post("e2", HEARTBEAT_PATH, _encode_heartbeat("e1"), 1_000)
        assert msgspec.json.decode(reply.unwrap())["instance"] == "e2"
        for body in (_encode_heartbeat("e3"), b"{}", b"["):
            refused = await pair.client.post("e2", HEARTBEAT_PATH, body, 1_000)
            assert refused == Failure(PeerError.REFUSED)
        query = {"request_id": "r1", "kind": "k", "shards": ["s"], "deadline_ms": 1}
        forwarded = {"caller": "desk", "query": {**query, "repeatable": False, "ticket": "t"}}
        forwarded["may_run"] = True
        sent = msgspec.json.encode(forwarded)
        answer = await pair.client.post("e2", QUERY_PATH, sent, 1_000)
        assert msgspec.json.decode(answer.unwrap()) == {"echo": forwarded}
        for body in (b"{}", sent.replace(b'"caller"', b'"color"')):
            refused = await pair.client.post("e2", QUERY_PATH, body, 1_000)
            assert refused == Failure(PeerError.REFUSED)
        book = {"instance": "e1", "incarnation": "1", "next_serial": 1, "tickets": []}
        for count, expected in ((1, Success(b"{}")), (0, Failure(PeerError.REFUSED))):
            body = msgspec.json.encode({"books": [book] * count})
            assert await pair.client.post("e2", HANDOVER_PATH, body, 1_000) == expected
        assert await pair.client.get("e2", "/peer/v1/bundle/d1", 1_000) == Success(b"{}")
        missing = await pair.client.get("e2", "/peer/v1/bundle/d2", 1_000)
        assert missing == Failure(PeerError.REFUSED)


async def test_bundle_that_arrives_slowly_is_read() -> None:
    """Guards against a bundle that no peer can deliver, as that takes longer than the timeout."""
    async with run_peer_pair(reply_bits_per_s=1_600_000) as pair:
        bundle = await pair.client.get("e2", "/peer/v1/bundle/long", 500)
        assert bundle == Success(LONG_BUNDLE)


async def test_bodies_of_unknown_or_excessive_length_are_not_read() -> None:
    """Guards against memory exhaustion by unauthenticated requests."""
    async with run_peer_pair() as pair:
        cases = (("transfer-encoding: chunked", 411), ("content-length: 9999999", 413))
        for header, status in cases:
            port = pair.board.members["e2"].port
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            head = f"POST {HEARTBEAT_PATH} HTTP/1.1\r\nhost: e2\r\n{header}\r\n\r\n"
            writer.write(head.encode())
            assert int((await reader.readline()).split()[1]) == status
            writer.close()


@asynccontextmanager
async def run_scripted_peer(serve: Callable[..., Any]) -> AsyncIterator[tuple[PeerClient, Any]]:
    """Run a client whose peer `e2` is a scripted TCP server."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    board = make_board()
    member = Member("e2", "1", "north", "127.0.0.1", port, Phase.READY, _now_ms(), 0, "")
    board.members["e2"] = member
    client = create_peer_client(board, create_metrics(), _now_ms)
    try:
        yield client, server
    finally:
        await client.close()
        server.close()


async def test_open_legs_of_a_broken_stream_are_reported_once_as_possibly_run() -> None:
    """Guards against a leg reported as not run although the holder received it."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        line = msgspec.json.encode(_make_ok_reply(make_leg("r.1"))) + b"\n"
        writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        writer.write(f"{2 * len(line):x}\r\n".encode() + 2 * line + b"\r\n")
        await writer.drain()
        writer.close()

    async with run_scripted_peer(serve) as (client, _):
        replies: list[LegReply] = []
        client.send_legs("e2", [make_leg("r.1"), make_leg("r.2")], replies.append)
        await wait_until(lambda: len(replies) == 2)
        assert [reply["outcome"] for reply in replies] == ["ok", "peer_lost"]
        assert replies[1]["executed"]


async def test_legs_to_a_peer_that_refuses_connections_are_reported_as_not_run() -> None:
    """Guards against an unknown outcome although nothing was written."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.close()

    async with run_scripted_peer(serve) as (client, server):
        server.close()
        await server.wait_closed()
        replies: list[LegReply] = []
        client.send_legs("e2", [make_leg("r.1")], replies.append)
        await wait_until(lambda: replies)
        assert (replies[0]["outcome"], replies[0]["executed"]) == ("peer_lost", False)


async def test_a_silent_peer_is_detected_before_the_deadline() -> None:
    """Guards against legs that wait until their deadline on a silent connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.CancelledError):
            await reader.read()
        writer.close()

    async with run_scripted_peer(serve) as (client, _):
        replies: list[LegReply] = []
        client.send_legs("e2", [make_leg("r.1", deadline_ms=600_000.0)], replies.append)
        await wait_until(lambda: replies)
        assert (replies[0]["outcome"], replies[0]["executed"]) == ("peer_lost", True)


load_tests = function_suite(globals())
