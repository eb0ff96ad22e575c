"""Tests of the public listener, called as an ASGI application."""

import asyncio
from typing import Any

import msgspec
from returns.result import Success
from wisteriarock.api.public import PublicHandlers, create_public_app
from wisteriarock.query.models import Outcome
from wisteriarock.requests.answers import empty_answer
from wisteriarock.requests.models import Reply

from tests.common import function_suite


async def _call(
    handlers: PublicHandlers, path: str, events: "asyncio.Queue[dict[str, Any]]"
) -> tuple[int, bytes]:
    """Send one request to the application and return the status and the body."""
    sent: list[dict[str, Any]] = []

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    method = "POST" if path.startswith("/v1/") else "GET"
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": [(b"authorization", b"Bearer c")],
    }
    await create_public_app(handlers)(scope, events.get, send)
    body = b"".join(message.get("body", b"") for message in sent)
    return sent[0]["status"], body


def _events(*messages: dict[str, Any]) -> "asyncio.Queue[dict[str, Any]]":
    queue: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
    for message in messages:
        queue.put_nowait(message)
    return queue


REQUEST = {"type": "http.request", "body": b"{}", "more_body": False}
DISCONNECT = {"type": "http.disconnect"}


def _handlers(handle_query: Any, ready: bool = True) -> PublicHandlers:
    tickets = {"tickets": ["t"], "expires_in_ms": 1.0}
    return PublicHandlers(handle_query, lambda b, a: Success(tickets), lambda: ready, dict)


async def test_an_answer_is_returned_with_its_status() -> None:
    """Guards against a status or retry delay that is missing from the HTTP response."""

    async def handle(body: bytes, authorization: str) -> Reply:
        assert (body, authorization) == (b"{}", "Bearer c")
        answer = empty_answer("r1", Outcome.NOT_RUN, "overloaded", "", "$", 1)
        answer["retry_after_ms"] = 1_200
        return Reply(429, answer)

    status, body = await _call(_handlers(handle), "/v1/query", _events(REQUEST))
    assert status == 429
    assert msgspec.json.decode(body)["retry_after_ms"] == 1_200


async def test_a_query_is_cancelled_when_the_client_disconnects() -> None:
    """Guards against legs that keep running for a disconnected caller."""
    cancelled = asyncio.Event()

    async def handle(body: bytes, authorization: str) -> Reply:
        try:
            await asyncio.Event().wait()
        finally:
            cancelled.set()
        raise AssertionError("not reached")

    await _call(_handlers(handle), "/v1/query", _events(REQUEST, DISCONNECT))
    await cancelled.wait()


async def test_readiness_follows_the_phase() -> None:
    """Guards against a load balancer that sends requests to an instance that is not ready."""
    for ready, expected in ((True, 200), (False, 503)):
        status, _ = await _call(_handlers(None, ready), "/readyz", _events(REQUEST))
        assert status == expected
    assert (await _call(_handlers(None, False), "/livez", _events(REQUEST)))[0] == 200


load_tests = function_suite(globals())
