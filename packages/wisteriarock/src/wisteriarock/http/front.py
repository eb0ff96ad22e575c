"""HTTP/1.1 server: answers the requests of a connection in order, one at a time."""

import asyncio
from collections import deque
from collections.abc import Callable

from .answer import encode_answer
from .const import (
    AHEAD_MAX_BYTES,
    HEADER_COST_BYTES,
    LINGER_MS,
    REQUEST_COPIES,
    REQUEST_COST_BYTES,
    SMALL_CHUNK_LINES,
    SMALLEST_CHUNK_BYTES,
    TURN_MAX_BYTES,
    UNREAD_ANSWER_MAX_MS,
)
from .listener import CallerLimit, ListenerState, RequestHandler, Respond
from .models import Answer, CallerRequest
from .read_buffer import SharedBufferProtocol
from .request_reader import RejectedRequestError, RequestReader
from .round_trip import read_round_trip_ms

__all__ = [
    "Answer",
    "CallerConnection",
    "CallerRequest",
    "ListenerState",
    "RequestHandler",
    "Respond",
    "encode_answer",
]


_HEAD = b"HEAD"


def request_cost_bytes(request: CallerRequest) -> int:
    """Return the memory that a request takes while it is under way."""
    return (
        REQUEST_COST_BYTES
        + HEADER_COST_BYTES * len(request.headers)
        + REQUEST_COPIES * len(request.body)
    )


class CallerConnection(SharedBufferProtocol):
    """Protocol of a connection from a caller.

    While a request is under way, or an answer is not read yet, further bytes are not parsed; above
    `AHEAD_MAX_BYTES` they are not read. Requests sent ahead, those that follow a refusal and bodies
    in small chunks wait for their turn in the listener.

    Attributes
    ----------
    ahead : bytes
        Received bytes that are not parsed yet, from `ahead_position` on.
    is_refused : bool
        Whether the last request was answered with a failure as soon as it was received.
    lingering_bytes : int
        Bytes received after a rejected request.
    reserved_bytes : int
        Memory counted for the request under way.
    unread_bytes : int
        Size of the answer that the caller has not read, at the last check.
    unread_since_ms, progress_at_ms : float
        Times since which an answer waits to be read, and at which part of it was read.
    """

    __slots__ = (
        "ahead",
        "ahead_position",
        "cancel_request",
        "is_charged",
        "is_closed",
        "is_reading_paused",
        "is_refused",
        "is_unread",
        "lingering_bytes",
        "listener",
        "must_close",
        "progress_at_ms",
        "queue",
        "reader",
        "reserved_bytes",
        "transport",
        "unread_bytes",
        "unread_since_ms",
        "wait_started_at_ms",
    )

    def __init__(self, listener: ListenerState) -> None:
        self.listener = listener
        self.reader = RequestReader(listener.loop, self._on_expect, self._on_request)
        self.transport: asyncio.Transport | None = None
        self.queue: deque[tuple[CallerRequest, bool]] = deque()
        self.cancel_request: Callable[[], None] | None = None
        self.ahead = b""
        self.ahead_position = 0
        self.reserved_bytes = 0
        self.unread_bytes = 0
        self.unread_since_ms = 0.0
        self.progress_at_ms = 0.0
        self.is_charged = False
        self.is_closed = False
        self.is_reading_paused = False
        self.is_refused = False
        self.is_unread = False
        self.lingering_bytes = 0
        self.must_close = False
        self.wait_started_at_ms = 0.0

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)
        self.wait_started_at_ms = self.listener.loop.time() * 1000
        self.listener.connections.add(self)
        self.listener.close_least_useful()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the current request of a caller that has disconnected."""
        self.is_closed = True
        self.listener.connections.discard(self)
        self.listener.turns.discard(self)
        self.queue.clear()
        self._drop_input()
        self.is_unread = False
        self._count_memory()
        self.reader.close()
        cancel_request, self.cancel_request = self.cancel_request, None
        self._return_reserved()
        if cancel_request is not None:
            cancel_request()

    def eof_received(self) -> bool:
        """Close the connection when the caller half-closes it."""
        return False

    def evict(self) -> None:
        """Release the memory of the connection: refuse what is received, or close it."""
        self.is_charged = False
        self.listener.on_limit(CallerLimit.MEMORY)
        if self.is_unread or self.must_close or self.transport is None:
            self.abort()
        elif self.cancel_request is not None:
            # The answer to the request under way closes the connection.
            self.must_close = True
            self._drop_input()
            self._update_reading()
        else:
            self._reject(503, "buffers are full")

    def abort(self) -> None:
        """Close the connection without sending what is left."""
        if self.transport is not None:
            self.transport.abort()

    def is_idle(self) -> bool:
        """Return whether no request is being received or handled."""
        has_input = self.reader.is_receiving or self.queue or self.ahead
        return self.cancel_request is None and not has_input

    def usefulness(self) -> tuple[int, float]:
        """Return a key that orders connections without a request under way, useless ones first."""
        if self.must_close or (self.is_refused and self.is_idle()):
            return 0, self.wait_started_at_ms
        if self.is_unread:
            return 1, self.unread_since_ms
        return (2 if self.is_idle() else 3), self.wait_started_at_ms

    def close(self) -> None:
        """Close the connection after the buffered data is sent."""
        if self.transport is not None:
            self.transport.close()

    def check_timeouts(self, now_ms: float) -> None:
        """Close an idle connection, or reject a request that takes too long to arrive."""
        if self.is_closed:
            return
        if self.is_unread:
            self._check_unread_answer(now_ms)
            return
        if self.cancel_request is not None:
            return
        waited_ms = now_ms - self.wait_started_at_ms
        if self.must_close:
            if waited_ms > LINGER_MS:
                self.close()
            return
        if self.reader.is_receiving:
            limits = self.listener.limits
            if waited_ms > limits.header_timeout_ms and not self.reader.body_bytes:
                self._reject(408, "request headers took too long")
            elif waited_ms > limits.idle_timeout_ms:
                self._reject(408, "request body took too long")
        elif waited_ms > self.listener.limits.idle_timeout_ms:
            self.close()

    def _check_unread_answer(self, now_ms: float) -> None:
        """Close the connection of a caller that does not read its answer."""
        assert self.transport is not None
        size_bytes = self.transport.get_write_buffer_size()
        if size_bytes != self.unread_bytes:
            self.unread_bytes = size_bytes
            self.progress_at_ms = now_ms
            self._count_memory()
        if (
            now_ms - self.progress_at_ms > self.listener.limits.idle_timeout_ms
            or now_ms - self.unread_since_ms > UNREAD_ANSWER_MAX_MS
        ):
            self.listener.on_limit(CallerLimit.UNREAD_ANSWER)
            self.abort()

    # Flow control

    def pause_writing(self) -> None:
        """Start no further request until the caller has read its answer."""
        assert self.transport is not None
        self.is_unread = True
        self.unread_bytes = self.transport.get_write_buffer_size()
        self.unread_since_ms = self.progress_at_ms = self.listener.loop.time() * 1000
        self._count_memory()

    def resume_writing(self) -> None:
        """Go on with the requests that the caller has sent ahead."""
        self.is_unread = False
        self.unread_bytes = 0
        self.wait_started_at_ms = self.listener.loop.time() * 1000
        self._resume_soon()

    def _update_reading(self) -> None:
        """Pause reading while a caller sends ahead of its answers, and resume it afterwards."""
        if self.transport is None:
            return
        ahead_bytes = len(self.ahead) - self.ahead_position
        must_pause = ahead_bytes > (0 if self.is_unread else AHEAD_MAX_BYTES)
        if self.listener.closes_connections:
            # Only what was read by now is still answered.
            must_pause = must_pause or bool(self.queue or self.ahead)
        if must_pause != self.is_reading_paused:
            self.is_reading_paused = must_pause
            self.transport.pause_reading() if must_pause else self.transport.resume_reading()

    def _count_memory(self) -> None:
        """Count what the connection holds beside a complete request."""
        buffers = self.listener.buffers
        if buffers is None:
            return
        size_bytes = len(self.ahead) + self.unread_bytes
        if self.reader.is_receiving:
            size_bytes += self.reader.held_bytes
        if self.is_closed or not size_bytes:
            if self.is_charged:
                self.is_charged = False
                buffers.release(self)
            return
        self.is_charged = True
        buffers.charge(self, size_bytes)

    def _drop_input(self) -> None:
        self.ahead = b""
        self.ahead_position = 0
        self.reader.close()

    # Requests

    def data_received(self, data: bytes) -> None:
        """Parse received data, or keep it until the request before is answered."""
        if self.must_close or self.is_closed:
            self._drop_lingering(len(data))
            return
        if self._is_busy():
            self.ahead = self.ahead[self.ahead_position :] + data
            self.ahead_position = 0
        elif self.is_refused or self.listener.takes_turns:
            self.ahead = data
            self.listener.turns.add(self, is_ahead=False)
        else:
            self._parse(data)
        self._after_input()

    def _is_busy(self) -> bool:
        """Return whether received bytes must not be parsed yet."""
        return bool(self.ahead or self.queue or self.cancel_request or self.is_unread)

    def _after_input(self) -> None:
        if self.reader.is_receiving or self.ahead or self.is_charged:
            self._count_memory()
        if self.ahead or self.is_reading_paused:
            self._update_reading()

    def _drop_lingering(self, size_bytes: int) -> None:
        """Cut the connection of a caller that sends more after a refusal than a whole request.

        Not while a request before it is under way, which is still answered.
        """
        self.lingering_bytes += size_bytes
        limits = self.listener.limits
        # Head, body in the smallest chunks, and trailers.
        request_bytes = 2 * limits.header_bytes + SMALLEST_CHUNK_BYTES * limits.body_bytes
        if self.lingering_bytes > request_bytes and self.cancel_request is None:
            self.abort()

    def _parse(self, data: bytes, position: int = 0, turn_bytes: int = 0) -> None:
        """Parse up to the end of a request and start it; keep the bytes after it.

        Of a body in small chunks, only `turn_bytes` are parsed.
        """
        if not self.reader.is_receiving:
            self.wait_started_at_ms = self.listener.loop.time() * 1000
        size_bytes = len(data)
        turn_end = position + turn_bytes
        while position < size_bytes and not self.queue:
            end = self.reader.find_end(data, position)
            if end > turn_end and self._has_small_chunks(data, position):
                if position >= turn_end:
                    self.listener.turns.add(self)
                    break
                end = turn_end
            try:
                self.reader.feed(data[position:end], self.listener.limits)
            except RejectedRequestError as rejection:
                self._reject(rejection.status, str(rejection))
                return
            position = end
        if position < size_bytes:
            self.ahead, self.ahead_position = data, position
        self._start_next_request()

    def _has_small_chunks(self, data: bytes, position: int) -> bool:
        """Return whether the rest of the received bytes is a body whose parsing takes long."""
        if not self.reader.is_receiving_chunks:
            return False
        # Faster than a count while lines are few, as in a body of large chunks.
        for _ in range(SMALL_CHUNK_LINES):
            position = data.find(b"\r", position) + 1
            if not position:
                return False
        return True

    def _on_expect(self) -> None:
        if self.transport is not None and not self.queue:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _on_request(self, request: CallerRequest, is_keep_alive: bool) -> None:
        """Queue the request; it is handled after the previous one is answered."""
        if self.listener.reads_round_trips and self.transport is not None:
            request = request._replace(round_trip_ms=read_round_trip_ms(self.transport))
        self.queue.append((request, is_keep_alive))

    def _resume_soon(self) -> None:
        if self.queue or self.ahead:
            self.listener.turns.add(self)
        self._after_input()

    def take_turn(self) -> None:
        """Go on with received bytes that are not parsed yet."""
        if self.cancel_request is not None or self.is_unread or self.must_close or self.is_closed:
            return
        if self.queue:
            self._start_next_request()
        elif self.ahead:
            data, position = self.ahead, self.ahead_position
            self.ahead, self.ahead_position = b"", 0
            self._parse(data, position, TURN_MAX_BYTES)
        self._after_input()

    # Answers

    def _start_next_request(self) -> None:
        """Start the next queued request if none is in progress."""
        if (
            not self.queue
            or self.cancel_request is not None
            or self.is_unread
            or self.is_closed
            or self.must_close
        ):
            return
        request, is_keep_alive = self.queue.popleft()
        buffers = self.listener.buffers
        if buffers is not None:
            cost_bytes = request_cost_bytes(request)
            if not buffers.reserve(cost_bytes):
                self.listener.on_limit(CallerLimit.REQUESTS)
                self.is_refused = True
                self.cancel_request = _do_nothing
                answer = Answer(503, [], b"too many requests under way")
                self._answer(answer, is_keep_alive, is_head=request.method == _HEAD)
                return
            self.reserved_bytes = cost_bytes
        self._start_request(request, is_keep_alive)

    def _return_reserved(self) -> None:
        if self.reserved_bytes and self.listener.buffers is not None:
            self.listener.buffers.return_reserved(self.reserved_bytes)
            self.reserved_bytes = 0

    def _start_request(self, request: CallerRequest, is_keep_alive: bool) -> None:
        is_answered = False

        def respond(answer: Answer) -> None:
            nonlocal is_answered
            if is_answered:
                return
            is_answered = True
            self.is_refused = answer.status >= 400 and self.cancel_request is _do_nothing
            self._return_reserved()
            is_last = not is_keep_alive or request.is_http_10
            self._answer(answer, not is_last, is_head=request.method == _HEAD)

        self.cancel_request = _do_nothing
        cancel_request = self.listener.handle(request, respond)
        if not is_answered:
            self.cancel_request = cancel_request

    def _has_request_ahead(self) -> bool:
        """Parse what was sent ahead; return whether another request is complete.

        The request before it is still under way, so that it does not start yet.
        """
        if not self.queue and self.ahead:
            data, position = self.ahead, self.ahead_position
            self.ahead, self.ahead_position = b"", 0
            self._parse(data, position, len(data))
        return bool(self.queue)

    def _answer(self, answer: Answer, is_keep_alive: bool, *, is_head: bool) -> None:
        if self.is_closed or self.transport is None:
            self.cancel_request = None
            return
        with_close = self.must_close or not is_keep_alive
        if self.listener.closes_connections and not with_close:
            with_close = not self._has_request_ahead()
        self.cancel_request = None
        self.wait_started_at_ms = self.listener.loop.time() * 1000
        self.transport.write(encode_answer(answer, with_close=with_close, is_head=is_head))
        if with_close:
            self.must_close = True
            self.queue.clear()
            self._drop_input()
            self._close_after_answer()
            return
        self._resume_soon()
        if self.listener.closes_connections:
            self._update_reading()

    def _close_after_answer(self) -> None:
        """Close the connection; keep reading for a while if the caller has sent more.

        Closing with unread bytes would reset the connection and lose the answer.
        """
        assert self.transport is not None
        if not self.is_reading_paused:
            self.transport.close()
        elif self.transport.can_write_eof():
            self.transport.write_eof()
            self._update_reading()

    def _reject(self, status: int, reason: str) -> None:
        """Answer a bad request with an error, and close the connection."""
        if self.must_close or self.is_closed or self.transport is None:
            return
        self.listener.on_bad_request(status, reason)
        self._start_next_request()
        self.must_close = True
        self.queue.clear()
        self._drop_input()
        if self.cancel_request is None:
            answer = Answer(status, [], reason.encode())
            self.wait_started_at_ms = self.listener.loop.time() * 1000
            self.transport.write(encode_answer(answer, with_close=True))
            # Closing with unread bytes would reset the connection and lose the answer.
            if self.transport.can_write_eof():
                self.transport.write_eof()
        # Otherwise an earlier request is still in progress; its answer closes the connection.
        self._after_input()


def _do_nothing() -> None:
    """Do nothing: the request was answered at once."""
