"""Routes for other instances, on the internal listener."""

import time
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

import msgspec
from returns.result import Failure, Result, Success
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import ASGIApp, Receive, Scope, Send

from wisteriarock.blackboard.models import Blackboard
from wisteriarock.codec.decode import decode
from wisteriarock.codec.models import DecodeError
from wisteriarock.membership.models import Heartbeat
from wisteriarock.observability.metrics import Metrics
from wisteriarock.query.models import ExecuteLeg
from wisteriarock.requests.models import ForwardedQuery
from wisteriarock.tickets.models import HandoverBody

from .auth import NonceStore, verify
from .const import (
    MAX_BODY_BYTES,
    PATH_BUNDLE,
    PATH_CANCEL,
    PATH_HEARTBEAT,
    PATH_LEGS,
    PATH_QUERY,
    PATH_TICKETS,
)
from .leg_stream import RunningLegs, leg_stream
from .legs_body import decode_legs
from .models import CancelBody, PeerHandlers

T = TypeVar("T")
_ENCODER = msgspec.json.Encoder()


def _json(value: Any, status: int = 200) -> Response:
    return Response(_ENCODER.encode(value), status, media_type="application/json")


def _error(status: int, code: str, message: str, path: str = "$") -> Response:
    return _json({"error": {"code": code, "message": message, "path": path}}, status)


class PeerApp(NamedTuple):
    """Routes for control traffic, and the application that answers legs."""

    routes: list[Route]
    legs: ASGIApp


def bypass_for_legs(app: ASGIApp, legs: ASGIApp) -> ASGIApp:
    """Return an application that answers legs without the routing and middleware of `app`.

    These wrap each call and each write of a stream.
    """

    async def dispatch(scope: Scope, receive: Receive, send: Send) -> None:
        is_leg = scope["type"] == "http" and scope["path"] == PATH_LEGS
        await (legs if is_leg else app)(scope, receive, send)

    return dispatch


def create_peer_app(
    board: Blackboard,
    metrics: Metrics,
    now_ms: Callable[[], float],
    execute_leg: ExecuteLeg,
    handlers: PeerHandlers,
    wall_ms: Callable[[], float] = lambda: time.time() * 1000,
) -> PeerApp:
    """Return what other instances use.

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
    running: RunningLegs = {}
    received = {p: metrics.peer_bytes.labels(p, "received") for p in ("control", "legs")}
    sent = {p: metrics.peer_bytes.labels(p, "sent") for p in ("control", "legs")}

    async def authenticated(request: Request, purpose: str) -> Result[tuple[str, bytes], Response]:
        headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in request.scope["headers"]}
        if "transfer-encoding" in headers:
            # The length is checked before the body is read, as nothing is authentic before.
            return Failure(_error(411, "no_length", "The request has no content length."))
        length = headers.get("content-length", "0")
        if not length.isdigit() or int(length) > MAX_BODY_BYTES:
            return Failure(_error(413, "too_long", f"The body is over {MAX_BODY_BYTES} bytes."))
        body = await request.body()
        received[purpose].inc(len(body))
        path = request.scope["path"]
        checked = verify(
            board.settings.peer_keys, request.method, path, headers, body, wall_ms(), nonces
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

    async def tickets(request: Request) -> Response:
        accepted = await accept(request, HandoverBody)
        if not isinstance(accepted, Success):
            return accepted.failure()
        if not handlers.on_handover(accepted.unwrap()[1]):
            return _error(409, "not_ready", "This instance takes over no tickets.")
        return answer({})

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
            for cancel_leg in list(running.get((sender, leg_id), ())):
                cancel_leg()
        return answer({})

    async def answer_legs(request: Request) -> Any:
        authentic = await authenticated(request, "legs")
        if not isinstance(authentic, Success):
            return authentic.failure()
        sender, body = authentic.unwrap()
        decoded = decode_legs(body)
        if not isinstance(decoded, Success):
            return _refused(decoded.failure())
        return leg_stream(decoded.unwrap(), sender, running, execute_leg, sent["legs"].inc)

    async def legs(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["method"] != "POST":
            response: Any = _error(405, "wrong_method", "Legs are sent by POST.")
        else:
            response = await answer_legs(Request(scope, receive, send))
        await response(scope, receive, send)

    routes = [
        Route(PATH_HEARTBEAT, heartbeat, methods=["POST"]),
        Route(PATH_CANCEL, cancel, methods=["POST"]),
        Route(PATH_QUERY, query, methods=["POST"]),
        Route(PATH_TICKETS, tickets, methods=["POST"]),
        Route(PATH_BUNDLE, bundle, methods=["GET"]),
    ]
    return PeerApp(routes, legs)


def _decoded(sender: str, body: bytes, kind: type[T]) -> Result[tuple[str, T], Response]:
    decoded = decode(body, kind, MAX_BODY_BYTES)
    if isinstance(decoded, Success):
        return Success((sender, decoded.unwrap()))
    return Failure(_refused(decoded.failure()))


def _refused(error: DecodeError) -> Response:
    return _error(400, error.code, error.message, error.path)
