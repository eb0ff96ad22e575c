"""Internal listener for peers, operators and metrics."""

import hmac
from collections.abc import Callable
from typing import Any, NamedTuple

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import BaseRoute, Route

from .const import DUMP_PATH, METRICS_PATH, STATUS_PATH


class InternalHandlers(NamedTuple):
    """Dependencies of the internal listener."""

    operator_token: str
    dump: Callable[[], dict[str, Any]]
    status: Callable[[], dict[str, Any]]
    registry: CollectorRegistry


def _authorized(request: Request, token: str) -> bool:
    expected = f"Bearer {token}".encode()
    return hmac.compare_digest(request.headers.get("authorization", "").encode(), expected)


def create_internal_app(handlers: InternalHandlers, peer_routes: list[Route]) -> Starlette:
    """Return the ASGI application of the internal listener."""

    def require_operator(get_content: Callable[[], dict[str, Any]]) -> Callable[[Request], Any]:
        async def endpoint(request: Request) -> Response:
            if not _authorized(request, handlers.operator_token):
                error = {"code": "unknown_operator", "message": "The token is not known."}
                return JSONResponse({"error": {**error, "path": "$"}}, status_code=401)
            return JSONResponse(get_content())

        return endpoint

    async def metrics(request: Request) -> Response:
        return Response(generate_latest(handlers.registry), media_type=CONTENT_TYPE_LATEST)

    routes: list[BaseRoute] = [
        Route(DUMP_PATH, require_operator(handlers.dump), methods=["GET"]),
        Route(STATUS_PATH, require_operator(handlers.status), methods=["GET"]),
        Route(METRICS_PATH, metrics, methods=["GET"]),
        *peer_routes,
    ]
    return Starlette(routes=routes)
