"""Routes for requests from other instances, on the internal listener."""

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
    BUNDLE_PATH,
    CANCEL_PATH,
    HANDOVER_PATH,
    HEARTBEAT_PATH,
    LEGS_PATH,
    MAX_BODY_BYTES,
    QUERY_PATH,
)
from .leg_stream import RunningLegs, leg_stream
from .legs_body import decode_legs
from .models import CancelBody, PeerHandlers

T = TypeVar("T")
_ENCODER = msgspec.json.Encoder()


def _json_response(value: Any, status: int = 200) -> Response:
    return Response(_ENCODER.encode(value), status, media_type="application/json")


def _error_response(status: int, code: str, message: str, path: str = "$") -> Response:
    return _json_response({"error": {"code": code, "message": message, "path": path}}, status)


class PeerApp(NamedTuple):
    """Routes for control traffic, and the ASGI application that runs legs."""

    routes: list[Route]
    legs: ASGIApp


def bypass_for_legs(app: ASGIApp, legs: ASGIApp) -> ASGIApp:
    """Return an application that passes legs to `legs`, past the routing and middleware of `app`.

    Routing and middleware add overhead to each call and to each write of a stream.
    """

    async def dispatch(scope: Scope, receive: Receive, send: Send) -> None:
        is_leg = scope["type"] == "http" and scope["path"] == LEGS_PATH
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
    """Return the routes and the application for requests from other instances.

    Parameters
    ----------
    board : Blackboard
        Provides the keys of peers.
    metrics : Metrics
        Metrics to update.
    now_ms : callable
        Monotonic clock, in milliseconds.
    execute_leg : ExecuteLeg
        Runs a leg on an endpoint held here.
    handlers : PeerHandlers
        Handlers in other controllers.
    wall_ms : callable
        Wall clock in milliseconds, as used in signed requests.
    """
    nonces = NonceStore()
    running_legs: RunningLegs = {}
    bytes_received = {p: metrics.peer_bytes.labels(p, "received") for p in ("control", "legs")}
    bytes_sent = {p: metrics.peer_bytes.labels(p, "sent") for p in ("control", "legs")}

    async def authenticate(request: Request, purpose: str) -> Result[tuple[str, bytes], Response]:
        headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in request.scope["headers"]}
        if "transfer-encoding" in headers:
            # The length must be known before the body is read, as no request is authenticated yet.
            return Failure(_error_response(411, "no_length", "The request has no content length."))
        length = headers.get("content-length", "0")
        if not length.isdigit() or int(length) > MAX_BODY_BYTES:
            return Failure(
                _error_response(413, "too_long", f"The body is over {MAX_BODY_BYTES} bytes.")
            )
        body = await request.body()
        bytes_received[purpose].inc(len(body))
        path = request.scope["path"]
        verified = verify(
            board.settings.peer_keys, request.method, path, headers, body, wall_ms(), nonces
        )
        if isinstance(verified, Success):
            return Success((verified.unwrap(), body))
        return Failure(
            _error_response(401, verified.failure().value, "The request is not authentic.")
        )

    async def authenticate_and_decode(
        request: Request, kind: type[T]
    ) -> Result[tuple[str, T], Response]:
        """Authenticate and decode a request of the control traffic."""
        authenticated_request = await authenticate(request, "control")
        if not isinstance(authenticated_request, Success):
            return Failure(authenticated_request.failure())
        sender, body = authenticated_request.unwrap()
        return _decode_body(sender, body, kind)

    def answer(value: Any) -> Response:
        response = _json_response(value)
        bytes_sent["control"].inc(len(response.body))
        return response

    async def heartbeat(request: Request) -> Response:
        accepted = await authenticate_and_decode(request, Heartbeat)
        if not isinstance(accepted, Success):
            return accepted.failure()
        sender, body = accepted.unwrap()
        if body["instance"] != sender:
            return _error_response(403, "wrong_sender", "The heartbeat names another instance.")
        return answer(await handlers.on_heartbeat(body))

    async def query(request: Request) -> Response:
        accepted = await authenticate_and_decode(request, ForwardedQuery)
        if not isinstance(accepted, Success):
            return accepted.failure()
        return answer(await handlers.on_query(accepted.unwrap()[1]))

    async def tickets(request: Request) -> Response:
        accepted = await authenticate_and_decode(request, HandoverBody)
        if not isinstance(accepted, Success):
            return accepted.failure()
        if not handlers.on_handover(accepted.unwrap()[1]):
            return _error_response(409, "not_ready", "This instance takes over no tickets.")
        return answer({})

    async def bundle(request: Request) -> Response:
        authenticated_request = await authenticate(request, "control")
        if not isinstance(authenticated_request, Success):
            return authenticated_request.failure()
        content = await handlers.get_bundle_body(request.path_params["digest"])
        if content is None:
            return _error_response(
                404, "unknown_digest", "There is no bundle with this digest here."
            )
        bytes_sent["control"].inc(len(content))
        return Response(content, media_type="application/json")

    async def cancel(request: Request) -> Response:
        accepted = await authenticate_and_decode(request, CancelBody)
        if not isinstance(accepted, Success):
            return accepted.failure()
        sender, body = accepted.unwrap()
        for leg_id in body["leg_ids"]:
            for cancel_leg in list(running_legs.get((sender, leg_id), ())):
                cancel_leg()
        return answer({})

    async def respond_to_legs(request: Request) -> Any:
        authenticated_request = await authenticate(request, "legs")
        if not isinstance(authenticated_request, Success):
            return authenticated_request.failure()
        sender, body = authenticated_request.unwrap()
        decoded = decode_legs(body)
        if not isinstance(decoded, Success):
            return _decode_error_response(decoded.failure())
        return leg_stream(
            decoded.unwrap(), sender, running_legs, execute_leg, bytes_sent["legs"].inc
        )

    async def legs(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["method"] != "POST":
            response: Any = _error_response(405, "wrong_method", "Legs are sent by POST.")
        else:
            response = await respond_to_legs(Request(scope, receive, send))
        await response(scope, receive, send)

    routes = [
        Route(HEARTBEAT_PATH, heartbeat, methods=["POST"]),
        Route(CANCEL_PATH, cancel, methods=["POST"]),
        Route(QUERY_PATH, query, methods=["POST"]),
        Route(HANDOVER_PATH, tickets, methods=["POST"]),
        Route(BUNDLE_PATH, bundle, methods=["GET"]),
    ]
    return PeerApp(routes, legs)


def _decode_body(sender: str, body: bytes, kind: type[T]) -> Result[tuple[str, T], Response]:
    decoded = decode(body, kind, MAX_BODY_BYTES)
    if isinstance(decoded, Success):
        return Success((sender, decoded.unwrap()))
    return Failure(_decode_error_response(decoded.failure()))


def _decode_error_response(error: DecodeError) -> Response:
    return _error_response(400, error.code, error.message, error.path)
