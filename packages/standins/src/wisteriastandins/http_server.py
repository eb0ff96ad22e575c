"""Minimal HTTP/1.1 server based on asyncio protocols.

The stand-ins control single connections: they limit their number, stop answering, delay the first
read and close without a response. A protocol based on `httptools` allows this and uses less
processor time per request than an application server.
"""

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, NamedTuple, cast
from urllib.parse import parse_qsl, unquote

import httptools
import msgspec
from wisteriarock.codec.decode import decode
from wisteriarock.observability.logs import log_event

# Fits a value of 1 MB, which grows when it is escaped as a JSON string.
MAX_BODY_BYTES = 8_000_000
MAX_PIPELINED = 64
_ZERO_LINGER = struct.pack("ii", 1, 0)

_RESPONSE_HEADS = {
    status.value: (
        f"HTTP/1.1 {status.value} {status.phrase}\r\ncontent-type: application/json\r\n"
        "content-length: "
    ).encode()
    for status in HTTPStatus
}


class Request(NamedTuple):
    """A request. `path` is still percent-encoded, `query` is decoded."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """A status and a body to encode as JSON; 204 is sent without a body."""

    status: int
    body: Any = None


def error_response(status: int, code: str, message: str, path: str = "$") -> Response:
    """Return a response with the common error body."""
    return Response(status, {"error": {"code": code, "message": message, "path": path}})


def reset_transport(transport: asyncio.Transport | None) -> None:
    """Close a connection with a TCP reset."""
    if transport is None or transport.is_closing():
        return
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
    transport.abort()


class HttpConnection(asyncio.Protocol):
    """A server connection. Handles its requests one at a time, in order.

    Attributes
    ----------
    silent : bool
        If set, received data is ignored and nothing is sent, but the connection stays open.
    on_abandoned : callable or None
        Called once if the connection closes before the current request is answered.
    """

    def __init__(self, handlers: "Handlers") -> None:
        self.handlers = handlers
        self.transport: asyncio.Transport | None = None
        self.silent = False
        self.on_abandoned: Callable[[], None] | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._body = b""
        self._pipelined: deque[tuple[Request, bool]] = deque()
        self._current_keep_alive: bool | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection unless `on_open` refuses it, and delay the first read."""
        self.transport = cast(asyncio.Transport, transport)
        delay_ms = self.handlers.on_open(self)
        if delay_ms is None:
            reset_transport(self.transport)
        elif delay_ms > 0:
            self.transport.pause_reading()
            asyncio.get_running_loop().call_later(delay_ms / 1000, self._resume)

    def _resume(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Abandon the current request and discard the queued ones."""
        self.transport = None
        self._pipelined.clear()
        on_abandoned_callback, self.on_abandoned = self.on_abandoned, None
        if on_abandoned_callback is not None:
            on_abandoned_callback()
        self.handlers.on_close(self)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; answer a malformed request with 400 and close the connection."""
        if self.silent:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            raise
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(error_response(400, "invalid_http", "The request is not HTTP/1.1."))

    def _reject(self, response: Response) -> None:
        """Close the connection; send the response only if no earlier request is in progress."""
        if self._current_keep_alive is not None:
            self.close()
            return
        self._current_keep_alive = False
        self.respond(response)

    def on_url(self, url: bytes) -> None:
        """Parser callback: append a fragment of the request target."""
        self._target += url

    def on_body(self, body: bytes) -> None:
        """Parser callback: append a fragment of the body."""
        self._body = self._body + body if self._body else body
        if len(self._body) > MAX_BODY_BYTES:
            self._reject(error_response(413, "too_long", f"The limit is {MAX_BODY_BYTES} bytes."))
            self._body = b""

    def on_message_complete(self) -> None:
        """Parser callback: handle the request, or queue it while another is in progress."""
        path, _, query = self._target.decode("latin-1").partition("?")
        request = Request(
            self._parser.get_method().decode(),
            path,
            dict(parse_qsl(query)) if query else {},
            self._body,
        )
        self._target = self._body = b""
        keep_alive = self._parser.should_keep_alive()
        if self._current_keep_alive is not None:
            self._pipelined.append((request, keep_alive))
            if len(self._pipelined) > MAX_PIPELINED:
                self.close()
            return
        self._handle(request, keep_alive)

    def _handle(self, request: Request, keep_alive: bool) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self._current_keep_alive = keep_alive
        self.handlers.on_request(self, request)

    def respond(self, response: Response) -> None:
        """Answer the current request. Send nothing on a closed or silent connection."""
        self.on_abandoned = None
        keep_alive, self._current_keep_alive = self._current_keep_alive, None
        if self.transport is None or self.silent or self.transport.is_closing():
            return
        if response.status == HTTPStatus.NO_CONTENT:
            self.transport.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        else:
            body = msgspec.json.encode(response.body)
            close = b"" if keep_alive else b"\r\nconnection: close"
            head = b"%b%d%b\r\n\r\n" % (_RESPONSE_HEADS[response.status], len(body), close)
            self.transport.write(head + body)
        if not keep_alive:
            self.transport.close()
        elif self._pipelined:
            self._handle(*self._pipelined.popleft())

    def close(self) -> None:
        """Reset the connection without a response."""
        reset_transport(self.transport)

    def close_gracefully(self) -> None:
        """Close the connection without a reset and without a response."""
        if self.transport is not None:
            self.transport.close()


class Handlers(NamedTuple):
    """Callbacks of a listener for its connections.

    `on_open` returns the delay in milliseconds before the first read, or None to refuse the
    connection. Each `on_request` must be followed by one `respond` or `close`, at once or later.
    """

    on_request: Callable[[HttpConnection, Request], None]
    on_open: Callable[[HttpConnection], float | None]
    on_close: Callable[[HttpConnection], None]


async def listen(handlers: Handlers, host: str, port: int) -> asyncio.Server:
    """Open a listener; port 0 lets the operating system choose."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: HttpConnection(handlers), host, port, backlog=1024)


def get_port(server: asyncio.Server) -> int:
    """Return the port of an open listener."""
    return cast(int, server.sockets[0].getsockname()[1])


def create_tracking_handlers(
    on_request: Callable[[HttpConnection, Request], None],
) -> tuple[Handlers, Callable[[], None]]:
    """Return handlers that accept all connections, and a function that closes the open ones."""
    connections: set[HttpConnection] = set()

    def on_open(connection: HttpConnection) -> float:
        connections.add(connection)
        return 0.0

    def close_all() -> None:
        for connection in list(connections):
            connection.close()

    return Handlers(on_request, on_open, connections.discard), close_all


Route = Callable[[Request], Awaitable[Response]]


def route_requests(
    routes: dict[tuple[str, str], Route],
) -> Callable[[HttpConnection, Request], None]:
    """Return an `on_request` handler for control listeners that routes by method and path."""
    tasks: set[asyncio.Task[None]] = set()

    async def run_route(connection: HttpConnection, route: Route, request: Request) -> None:
        response = await route(request)
        log_event("control", path=request.path, status=response.status)
        connection.respond(response)

    def on_task_done(task: asyncio.Task[None]) -> None:
        tasks.discard(task)
        if not task.cancelled():
            # Re-raises an exception of the task, so that the loop's exception handler reports it.
            task.result()

    def on_request(connection: HttpConnection, request: Request) -> None:
        route = routes.get((request.method, unquote(request.path)))
        if route is None:
            connection.respond(error_response(404, "not_found", "There is no such resource."))
            return
        task = asyncio.get_running_loop().create_task(run_route(connection, route, request))
        tasks.add(task)
        task.add_done_callback(on_task_done)

    return on_request


def json_route(
    body_type: Any, handler: Callable[[Any], Awaitable[Response]]
) -> Callable[[Request], Awaitable[Response]]:
    """Return a route that decodes and validates the body before it calls `handler`."""

    async def route(request: Request) -> Response:
        decoded = decode(request.body or b"{}", body_type, MAX_BODY_BYTES)
        match decoded.value_or(None):
            case None:
                error = decoded.failure()
                return error_response(400, error.code, error.message, error.path)
            case body:
                return await handler(body)

    return route
