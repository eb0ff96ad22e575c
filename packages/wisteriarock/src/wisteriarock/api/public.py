"""Public listener for caller requests, liveness and readiness."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec
from returns.result import Result, Success
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from wisteriarock.admission.const import MAX_CALLER_BODY_BYTES
from wisteriarock.admission.models import Rejection
from wisteriarock.requests.models import Reply, TicketAnswer

from .const import LIVE_PATH, OPENAPI_PATH, QUERY_PATH, READY_PATH, TICKETS_PATH

JSON_TYPE = "application/json"
# Nobody receives this status: the caller has closed the connection.
CLIENT_CLOSED_REQUEST_STATUS = 499


class PublicHandlers(NamedTuple):
    """Dependencies of the public listener."""

    handle_query: Callable[[bytes, str], Awaitable[Reply]]
    handle_tickets: Callable[[bytes, str], Result[TicketAnswer, Rejection]]
    is_ready: Callable[[], bool]
    openapi: Callable[[], dict[str, object]]


async def read_body(request: Request, max_bytes: int) -> bytes:
    """Read at most `max_bytes` + 1 bytes, so that the decoder rejects a body over the limit."""
    chunks: list[bytes] = []
    size_bytes = 0
    async for chunk in request.stream():
        chunks.append(chunk)
        size_bytes += len(chunk)
        if size_bytes > max_bytes:
            break
    return b"".join(chunks)[: max_bytes + 1]


async def _wait_for_disconnect(request: Request) -> None:
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return


async def run_until_disconnect(request: Request, pending_response: Awaitable[Response]) -> Response:
    """Await a response and cancel it on client disconnect, which uvicorn does not do itself."""
    task = asyncio.ensure_future(pending_response)
    disconnect = asyncio.create_task(_wait_for_disconnect(request))
    try:
        await asyncio.wait({task, disconnect}, return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return task.result()
        return Response(status_code=CLIENT_CLOSED_REQUEST_STATUS)
    finally:
        disconnect.cancel()
        if not task.done():
            task.cancel()


def _retry_headers(retry_after_ms: int | None) -> dict[str, str]:
    if retry_after_ms is None:
        return {}
    return {"Retry-After": str(max(1, -(-retry_after_ms // 1000)))}


def create_public_app(handlers: PublicHandlers) -> Starlette:
    """Return the ASGI application of the public listener."""

    async def answer_query(body: bytes, authorization: str) -> Response:
        reply = await handlers.handle_query(body, authorization)
        return Response(
            msgspec.json.encode(reply.answer),
            status_code=reply.status,
            media_type=JSON_TYPE,
            headers=_retry_headers(reply.answer["retry_after_ms"]),
        )

    async def query(request: Request) -> Response:
        body = await read_body(request, MAX_CALLER_BODY_BYTES)
        authorization = request.headers.get("authorization", "")
        return await run_until_disconnect(request, answer_query(body, authorization))

    async def tickets(request: Request) -> Response:
        body = await read_body(request, MAX_CALLER_BODY_BYTES)
        result = handlers.handle_tickets(body, request.headers.get("authorization", ""))
        if isinstance(result, Success):
            return JSONResponse(result.unwrap())
        rejection = result.failure()
        error = {"code": rejection.code, "message": rejection.message, "path": rejection.path}
        return JSONResponse(
            {"error": error, "retry_after_ms": rejection.retry_after_ms},
            status_code=rejection.status,
            headers=_retry_headers(rejection.retry_after_ms),
        )

    async def live(request: Request) -> Response:
        return JSONResponse({"live": True})

    async def ready(request: Request) -> Response:
        is_ready = handlers.is_ready()
        return JSONResponse({"ready": is_ready}, status_code=200 if is_ready else 503)

    async def openapi(request: Request) -> Response:
        return JSONResponse(handlers.openapi())

    return Starlette(
        routes=[
            Route(QUERY_PATH, query, methods=["POST"]),
            Route(TICKETS_PATH, tickets, methods=["POST"]),
            Route(LIVE_PATH, live, methods=["GET"]),
            Route(READY_PATH, ready, methods=["GET"]),
            Route(OPENAPI_PATH, openapi, methods=["GET"]),
        ]
    )
