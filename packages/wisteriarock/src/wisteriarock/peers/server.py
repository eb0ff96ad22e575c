"""Routes for other instances, on the internal listener."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from wisteriarock.blackboard.models import Blackboard
from wisteriarock.codec.decode import decode
from wisteriarock.membership.models import Heartbeat
from wisteriarock.observability.metrics import Metrics
from wisteriarock.query.models import Cancel, ExecuteLeg, LegReply, LegRequest
from wisteriarock.requests.models import ForwardedQuery

from .auth import NonceStore, verify
from .const import (
    KEEPALIVE_MS,
    MAX_BODY_BYTES,
    PATH_BUNDLE,
    PATH_CANCEL,
    PATH_HEARTBEAT,
    PATH_LEGS,
    PATH_QUERY,
)
from .models import CancelBody, LegsBody, PeerHandlers

T = TypeVar("T")
_ENCODER = msgspec.json.Encoder()
_STREAM_START = {
    "type": "http.response.start",
    "status": 200,
    "headers": [(b"content-type", b"application/x-ndjson")],
}


def _json(value: Any, status: int = 200) -> Response:
    return Response(_ENCODER.encode(value), status, media_type="application/json")


def _error(status: int, code: str, message: str, path: str = "$") -> Response:
    return _json({"error": {"code": code, "message": message, "path": path}}, status)


def peer_routes(
    board: Blackboard,
    metrics: Metrics,
    now_ms: Callable[[], float],
    execute_leg: ExecuteLeg,
    handlers: PeerHandlers,
    wall_ms: Callable[[], float] = lambda: time.time() * 1000,
) -> list[Route]:
    """Return the routes that other instances use.

    Parameters
    ----------
    board : Blackboard
        Read: the keys.
    metrics : Metrics
        Counted into.
    now_ms : callable
        Monotonic clock.
    execute_leg : ExecuteLeg
        Runs a leg on an endpoint held here.
    handlers : PeerHandlers
        What other controllers do with requests.
    wall_ms : callable
        Wall clock, for the time in signed requests.
    """
    nonces = NonceStore()
    running: dict[tuple[str, str], set[Cancel]] = {}
    received = {p: metrics.peer_bytes.labels(p, "received") for p in ("control", "legs")}
    sent = {p: metrics.peer_bytes.labels(p, "sent") for p in ("control", "legs")}

    async def authenticated(request: Request, purpose: str) -> Result[tuple[str, bytes], Response]:
        length = request.headers.get("content-length", "0")
        if not length.isdigit() or int(length) > MAX_BODY_BYTES:
            return Failure(_error(413, "too_long", f"The body is over {MAX_BODY_BYTES} bytes."))
        body = await request.body()
        received[purpose].inc(len(body))
        path = request.url.path
        checked = verify(
            board.settings.peer_keys, request.method, path, request.headers, body, wall_ms(), nonces
        )
        if isinstance(checked, Success):
            return Success((checked.unwrap(), body))
        return Failure(_error(401, checked.failure().value, "The request is not authentic."))

    async def accept(request: Request, kind: type[T]) -> Result[tuple[str, T], Response]:
        """Check and decode a request of the control traffic."""
        authentic = await authenticated(request, "control")
        if not isinstance(authentic, Success):
            return Failure(authentic.failure())
        sender, body = authentic.unwrap()
        return _decoded(sender, body, kind)

    def answer(value: Any) -> Response:
        response = _json(value)
        sent["control"].inc(len(response.body))
        return response

    async def heartbeat(request: Request) -> Response:
        accepted = await accept(request, Heartbeat)
        if not isinstance(accepted, Success):
            return accepted.failure()
        sender, body = accepted.unwrap()
        if body["instance"] != sender:
            return _error(403, "wrong_sender", "The heartbeat names another instance.")
        return answer(await handlers.on_heartbeat(body))

    async def query(request: Request) -> Response:
        accepted = await accept(request, ForwardedQuery)
        if not isinstance(accepted, Success):
            return accepted.failure()
        return answer(await handlers.on_query(accepted.unwrap()[1]))

    async def bundle(request: Request) -> Response:
        authentic = await authenticated(request, "control")
        if not isinstance(authentic, Success):
            return authentic.failure()
        content = await handlers.bundle_body(request.path_params["digest"])
        if content is None:
            return _error(404, "unknown_digest", "There is no bundle with this digest here.")
        sent["control"].inc(len(content))
        return Response(content, media_type="application/json")

    async def cancel(request: Request) -> Response:
        accepted = await accept(request, CancelBody)
        if not isinstance(accepted, Success):
            return accepted.failure()
        sender, body = accepted.unwrap()
        for leg_id in body["leg_ids"]:
            for cancel_leg in running.pop((sender, leg_id), set()):
                cancel_leg()
        return answer({})

    async def legs(request: Request) -> Any:
        authentic = await authenticated(request, "legs")
        if not isinstance(authentic, Success):
            return authentic.failure()
        sender, body = authentic.unwrap()
        decoded = _decoded(sender, body, LegsBody)
        if not isinstance(decoded, Success):
            return decoded.failure()
        return _leg_stream(
            decoded.unwrap()[1]["legs"], sender, running, execute_leg, sent["legs"].inc
        )

    return [
        Route(PATH_HEARTBEAT, heartbeat, methods=["POST"]),
        Route(PATH_LEGS, legs, methods=["POST"]),
        Route(PATH_CANCEL, cancel, methods=["POST"]),
        Route(PATH_QUERY, query, methods=["POST"]),
        Route(PATH_BUNDLE, bundle, methods=["GET"]),
    ]


def _decoded(sender: str, body: bytes, kind: type[T]) -> Result[tuple[str, T], Response]:
    decoded = decode(body, kind, MAX_BODY_BYTES)
    if isinstance(decoded, Success):
        return Success((sender, decoded.unwrap()))
    error = decoded.failure()
    return Failure(_error(400, error.code, error.message, error.path))


def _leg_stream(
    legs: list[LegRequest],
    sender: str,
    running: dict[tuple[str, str], set[Cancel]],
    execute_leg: ExecuteLeg,
    on_sent: Callable[[int], None],
) -> Callable[[Scope, Receive, Send], Awaitable[None]]:
    """Return an ASGI response that runs legs and streams their replies as lines."""

    async def respond(scope: Scope, receive: Receive, send: Send) -> None:
        lines: list[bytes] = []
        wake = asyncio.Event()
        cancels: dict[int, tuple[tuple[str, str], Cancel]] = {}
        open_legs = len(legs)
        gone = False

        def start(number: int, leg: LegRequest) -> None:
            key = (sender, leg["leg_id"])

            def on_reply(reply: LegReply) -> None:
                nonlocal open_legs
                open_legs -= 1
                forget(number)
                lines.append(_ENCODER.encode(reply) + b"\n")
                wake.set()

            def cancel() -> None:
                nonlocal open_legs
                open_legs -= 1
                forget(number)
                cancel_leg()
                wake.set()

            cancels[number] = (key, cancel)
            running.setdefault(key, set()).add(cancel)
            cancel_leg = execute_leg(leg, on_reply)

        def forget(number: int) -> None:
            key, cancel = cancels.pop(number)
            same_id = running.get(key)
            if same_id is not None:
                same_id.discard(cancel)
                if not same_id:
                    del running[key]

        async def watch_disconnect() -> None:
            """Uvicorn does not cancel a handler whose client has gone."""
            nonlocal gone
            while (await receive())["type"] != "http.disconnect":
                pass
            gone = True
            wake.set()

        watch = asyncio.create_task(watch_disconnect())
        try:
            for number, leg in enumerate(legs):
                start(number, leg)
            await send(_STREAM_START)
            while not gone:
                if not lines and open_legs:
                    wake.clear()
                    try:
                        async with asyncio.timeout(KEEPALIVE_MS / 1000):
                            await wake.wait()
                    except TimeoutError:
                        lines.append(b"\n")
                    continue
                chunk = b"".join(lines)
                lines.clear()
                on_sent(len(chunk))
                await send(
                    {"type": "http.response.body", "body": chunk, "more_body": open_legs > 0}
                )
                if not open_legs:
                    return
        finally:
            watch.cancel()
            for _, cancel_leg in list(cancels.values()):
                cancel_leg()

    return respond
