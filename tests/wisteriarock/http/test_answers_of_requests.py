"""Tests that each request on a connection gets one answer, framed for its method."""

import asyncio
from collections.abc import Callable
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from wisteriarock.http.front import Answer, CallerConnection, CallerRequest, ListenerState

from tests.common import function_suite

OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAEAAEAA\r\n"
METHODS = (b"GET", b"HEAD", b"POST", b"OPTIONS", b"PURGE")
EXTRAS = (b"", OFFER, b"Upgrade: websocket\r\n", b"Connection: keep-alive, x-hop\r\n")
BODIES = (
    (b"", b""),
    (b"Content-Length: 3\r\n", b"abc"),
    (b"Transfer-Encoding: chunked\r\n", b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"),
    (b"Expect: 100-continue\r\nContent-Length: 3\r\n", b"abc"),
)
BODY = b"answer body"


class RecordingTransport(asyncio.Transport):
    """Transport whose peer reads everything at once."""

    def __init__(self) -> None:
        super().__init__()
        self.sent = b""
        self.is_ended = False
        self.is_paused = False

    def write(self, data: Any) -> None:
        """Keep the data."""
        assert not self.is_ended, data
        self.sent += data

    def get_write_buffer_size(self) -> int:
        """Return that all is sent."""
        return 0

    def set_write_buffer_limits(self, high: Any = None, low: Any = None) -> None:
        """Ignore the limits."""

    def pause_reading(self) -> None:
        """Record that reading is paused."""
        self.is_paused = True

    def resume_reading(self) -> None:
        """Record that reading goes on."""
        self.is_paused = False

    def can_write_eof(self) -> bool:
        """Return that the write end can be closed."""
        return True

    def write_eof(self) -> None:
        """Close the write end."""
        self.is_ended = True

    def close(self) -> None:
        """Close the transport."""
        self.is_ended = True

    def abort(self) -> None:
        """Cut the connection."""
        self.is_ended = True


class Caller:
    """A connection whose requests are answered at once, or when the test says so.

    Attributes
    ----------
    is_refusing : bool
        Whether requests are refused as soon as they are received.
    started : list of CallerRequest
        Requests that the listener has started.
    """

    def __init__(self, *, is_refusing: bool) -> None:
        self.is_refusing = is_refusing
        self.started: list[CallerRequest] = []
        self.responds: list[Callable[[Answer], None]] = []
        self.listener = ListenerState(asyncio.get_running_loop(), self._handle, lambda *_: None)
        self.transport = RecordingTransport()
        self.connection = CallerConnection(self.listener)
        self.connection.connection_made(self.transport)

    def _handle(self, request: CallerRequest, respond: Any) -> Callable[[], None]:
        self.started.append(request)
        if self.is_refusing:
            respond(Answer(503, [], BODY))
        else:
            self.responds.append(respond)
        return lambda: None

    async def send(self, data: bytes) -> None:
        """Send bytes, and let the connection handle them."""
        if not self.transport.is_ended and not self.transport.is_paused:
            self.connection.data_received(data)
        await self.settle()

    async def settle(self) -> None:
        """Let the connection take its turns."""
        for _ in range(20):
            await asyncio.sleep(0)

    async def answer_all(self) -> None:
        """Answer the requests under way, and those that start then."""
        while self.responds:
            self.responds.pop(0)(Answer(200, [], BODY))
            await self.settle()


def parse_answers(sent: bytes, methods: list[bytes]) -> tuple[list[int], bool]:
    """Return the statuses of the answers to requests, and whether the last one announces a close.

    Raises an assertion error if the bytes are not these answers.
    """
    statuses: list[int] = []
    is_last = False
    while sent:
        assert not is_last, "an answer after one that announces a close"
        head, separator, sent = sent.partition(b"\r\n\r\n")
        assert separator and head.startswith(b"HTTP/1.1 "), head
        status = int(head.split(b" ")[1])
        if status == 100:
            continue
        assert len(statuses) < len(methods), "more answers than requests"
        lines = head.split(b"\r\n")[1:]
        lengths = [int(line[15:]) for line in lines if line.startswith(b"Content-Length:")]
        is_head = methods[len(statuses)] == b"HEAD"
        length = 0 if is_head else sum(lengths)
        assert is_head or len(lengths) == 1, head
        assert len(sent) >= length
        sent = sent[length:]
        statuses.append(status)
        is_last = b"Connection: close" in lines
    return statuses, is_last


async def test_refused_request_that_offers_an_upgrade_gets_one_answer():
    """Guards against a second answer that is taken for that to the next request, review/8.

    The offer was reported after the request was complete, and answered once more with 400.
    """
    for is_refusing in (True, False):
        caller = Caller(is_refusing=is_refusing)
        request = b"GET /1 HTTP/1.1\r\nHost: h\r\n" + OFFER + b"\r\n"
        await caller.send(request + b"POST /2 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc")
        await caller.answer_all()
        assert [each.target for each in caller.started] == [b"/1", b"/2"]
        assert caller.started[1].body == b"abc"
        statuses, is_last = parse_answers(caller.transport.sent, [b"GET", b"POST"])
        assert len(statuses) == 2 and not is_last


async def test_tunnel_is_rejected_once():
    """Guards against two answers to a request for a tunnel, and one that reaches an endpoint."""
    caller = Caller(is_refusing=True)
    await caller.send(b"CONNECT h:443 HTTP/1.1\r\nHost: h:443\r\n\r\n")
    assert not caller.started
    assert parse_answers(caller.transport.sent, [b"CONNECT"]) == ([400], True)


async def test_refused_head_has_no_body():
    """Guards against a body that a caller reads as the start of the next answer."""
    caller = Caller(is_refusing=True)
    await caller.send(b"HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
    assert parse_answers(caller.transport.sent, [b"HEAD", b"GET"]) == ([503, 503], False)


async def _play(
    requests: list[tuple[bytes, bytes, tuple[bytes, bytes]]],
    cuts: list[int],
    *,
    is_refusing: bool,
) -> None:
    data = b""
    for method, extra, (framing, body) in requests:
        data += b"%b /x HTTP/1.1\r\nHost: h\r\n%b%b\r\n%b" % (method, extra, framing, body)
    caller = Caller(is_refusing=is_refusing)
    start = 0
    for end in [*sorted(cut % (len(data) + 1) for cut in cuts), len(data)]:
        if end > start:
            await caller.send(data[start:end])
            start = end
    await caller.answer_all()
    methods = [method for method, _, _ in requests]
    statuses, is_last = parse_answers(caller.transport.sent, methods)
    assert len(statuses) == len(requests) and not is_last
    assert [each.method for each in caller.started] == methods


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.sampled_from(METHODS), st.sampled_from(EXTRAS), st.sampled_from(BODIES)),
        min_size=1,
        max_size=5,
    ),
    st.lists(st.integers(min_value=0, max_value=2_000), max_size=6),
    st.booleans(),
)
def test_each_request_gets_one_answer(
    requests: list[tuple[bytes, bytes, tuple[bytes, bytes]]], cuts: list[int], is_refusing: bool
):
    """Guards against too many or too few answers to odd but proper requests, split at any byte."""
    asyncio.run(_play(requests, cuts, is_refusing=is_refusing))


async def test_requests_sent_ahead_of_a_planned_stop_are_answered():
    """Guards against requests that were read and end without an answer in a stop, review/10.

    The answer to the first one closed the connection. The last answer announces the close.
    """
    for is_split in (False, True):
        caller = Caller(is_refusing=False)
        pieces = [b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % number for number in range(3)]
        for data in pieces if is_split else [b"".join(pieces)]:
            await caller.send(data)
        caller.listener.closes_connections = True
        await caller.answer_all()
        statuses, is_last = parse_answers(caller.transport.sent, [b"GET"] * 3)
        assert statuses == [200] * 3 and is_last
        assert caller.transport.is_ended


async def test_caller_that_keeps_sending_ahead_does_not_hold_up_a_stop():
    """Guards against a connection that is never closed as its caller always sends ahead."""
    caller = Caller(is_refusing=False)
    request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    await caller.send(request * 2)
    caller.listener.closes_connections = True
    for _ in range(50):
        if not caller.responds:
            break
        caller.responds.pop(0)(Answer(200, [], BODY))
        await caller.send(request)
    assert caller.transport.is_ended
    statuses, is_last = parse_answers(caller.transport.sent, [b"GET"] * 50)
    assert statuses == [200] * 2 and is_last


async def test_incomplete_request_does_not_hold_up_a_stop():
    """Guards against a connection that stays open for a request that was not read."""
    caller = Caller(is_refusing=False)
    await caller.send(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHo")
    caller.listener.closes_connections = True
    await caller.answer_all()
    assert parse_answers(caller.transport.sent, [b"GET"]) == ([200], True)


async def test_malformed_request_sent_ahead_gets_no_answer_in_a_stop():
    """Guards against an answer after the one that announces the close."""
    caller = Caller(is_refusing=False)
    await caller.send(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nno request\r\n\r\n")
    caller.listener.closes_connections = True
    await caller.answer_all()
    assert parse_answers(caller.transport.sent, [b"GET"]) == ([200], True)


load_tests = function_suite(globals())
