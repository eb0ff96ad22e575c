"""Stand-in for an endpoint of the users' services, on loopback."""

import asyncio
from collections.abc import Callable
from typing import Any

from wisteriarock.http.front import (
    Answer,
    CallerConnection,
    CallerRequest,
    ListenerState,
    Respond,
)
from wisteriarock.http.models import Headers

from .faulty import FaultyConnection, ReplyFaults
from .listener import Listener


class StubEndpoint(Listener):
    """Endpoint that answers requests on loopback.

    Attributes
    ----------
    reply_body : bytes
        Body of its replies, unless `make_body` is set.
    service_ms : float
        Time to serve a request.
    make_body : callable or None
        Returns the body of the reply for a request id, in place of `reply_body`.
    mode : str
        `ok`, `shed`, `error` or `silent` (no reply).
    error_status : int
        Status of its replies in mode `error`, in which it runs the requests.
    requests : list of CallerRequest
        Requests that it received and ran.
    on_arrival : callable
        Called with each request that it received and the stamp of the reply, which is empty if the
        request did not run.
    is_deadly : callable
        Returns whether a request ends the endpoint, with all connections, when it has run.
    on_deadly_end : callable
        Called with the id of a request that has ended the endpoint.
    reply_faults : ReplyFaults
        What it does to its replies.
    rate_limit_per_s : float or None
        Requests per second that it names in its replies as its limit, None to name none.
    extra_headers : list
        Headers that it adds to its replies.
    is_stamped : bool
        Whether its replies carry the proof that it ran the request.
    is_leaving : bool
        Whether its replies say that it leaves.
    pause_s : float or None
        Time that it names in refusals (mode `shed`) for which it wants no request.
    is_refusal_named : bool
        Whether its refusals carry the request's id.
    on_limit_named, on_leaving_named, on_pause_named : callable
        Called with the id of a request in whose reply it names its limit, that it leaves, or a
        pause.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, endpoint_id: str, service: str, reply_body: bytes
    ) -> None:
        super().__init__(loop, self._handle)
        self.endpoint_id = endpoint_id
        self.service = service
        self.reply_body = reply_body
        self.make_body: Callable[[bytes], bytes] | None = None
        self.on_arrival: Callable[[CallerRequest, bytes], None] = lambda *_: None
        self.is_deadly: Callable[[CallerRequest], bool] = lambda _: False
        self.on_deadly_end: Callable[[bytes], None] = lambda _: None
        self.service_ms = 1.0
        self.mode = "ok"
        self.error_status = 500
        self.requests: list[CallerRequest] = []
        self.reply_faults = ReplyFaults(endpoint_id)
        self.rate_limit_per_s: float | None = None
        self.extra_headers: Headers = []
        self.is_stamped = True
        self.is_leaving = False
        self.pause_s: float | None = None
        self.is_refusal_named = True
        self.on_leaving_named: Callable[[bytes], None] = lambda _: None
        self.on_pause_named: Callable[[bytes], None] = lambda _: None
        self.on_limit_named: Callable[[bytes], None] = lambda _: None

    def create_connection(self, state: ListenerState) -> CallerConnection:
        """Create a connection whose replies the endpoint may spoil."""
        return FaultyConnection(state, self.reply_faults)

    def make_entry(self, **changes: Any) -> dict[str, Any]:
        """Return the entry that the endpoint registers in the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "concurrency": 2,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": 1_000,
            **changes,
        }

    def _handle(self, request: CallerRequest, respond: Respond) -> Callable[[], None]:
        headers = {name.lower(): value for name, value in request.headers}
        request_id = headers.get(b"request-id", b"")
        expected = headers.get(b"expect-instance", self.endpoint_id.encode())
        if expected != self.endpoint_id.encode():
            respond(Answer(421, [(b"Instance-Id", self.endpoint_id.encode())], b""))
            return _do_nothing
        if self.mode == "shed":
            self.on_arrival(request, b"")
            self._refuse(request_id, respond)
            return _do_nothing
        self.requests.append(request)
        stamp = b"%s.%s.%d" % (self.endpoint_id.encode(), request_id, len(self.requests))
        self.on_arrival(request, stamp)
        if self.mode == "silent":
            return _do_nothing
        if self.is_deadly(request):
            return self.loop.call_later(self.service_ms / 1000, self._end, request_id).cancel
        body = self.reply_body if self.make_body is None else self.make_body(request_id)

        def reply() -> None:
            headers = [(b"Request-Id", request_id), *self.extra_headers]
            if self.is_stamped:
                headers.append((b"Server-Stamp", stamp))
            if self.is_leaving:
                headers.append((b"Server-Leaving", b"1"))
                if self.reply_faults.current is None:
                    self.on_leaving_named(request_id)
            if self.rate_limit_per_s is not None:
                headers.append((b"Server-Limit", b"%.1f" % self.rate_limit_per_s))
                if self.reply_faults.current is None:
                    self.on_limit_named(request_id)
            respond(Answer(self.error_status if self.mode == "error" else 200, headers, body))

        return self.loop.call_later(self.service_ms / 1000, reply).cancel

    def _refuse(self, request_id: bytes, respond: Respond) -> None:
        headers = [(b"Not-Executed", b"1")]
        if self.is_refusal_named:
            headers.append((b"Request-Id", request_id))
        if self.pause_s is not None:
            headers.append((b"Retry-After", b"%.2f" % self.pause_s))
            if self.reply_faults.current is None:
                self.on_pause_named(request_id)
        respond(Answer(503, headers, b""))

    def _end(self, request_id: bytes) -> None:
        """End as a process does: the listener and all connections are closed without a reply."""
        self.close()
        self.on_deadly_end(request_id)


def _do_nothing() -> None:
    """Cancel nothing."""
