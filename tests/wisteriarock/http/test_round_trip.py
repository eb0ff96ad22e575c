"""Tests of the round trip that requests of callers state."""

import asyncio
from collections.abc import Callable

from wisteriarock.http.front import Answer, CallerConnection, CallerRequest, ListenerState, Respond
from wisteriarock.http.round_trip import read_round_trip_ms

from tests.common import function_suite


async def _serve_one(*, reads_round_trips: bool) -> CallerRequest:
    """Return what a listener makes of one request over the loopback interface."""
    loop = asyncio.get_running_loop()
    requests: list[CallerRequest] = []

    def handle(request: CallerRequest, respond: Respond) -> Callable[[], None]:
        requests.append(request)
        respond(Answer(200, [], b""))
        return lambda: None

    listener = ListenerState(loop, handle, lambda status, reason: None)
    listener.reads_round_trips = reads_round_trips
    server = await loop.create_server(lambda: CallerConnection(listener), "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
    await reader.read()
    writer.close()
    server.close()
    return requests[0]


def test_request_states_the_round_trip_only_if_asked():
    """Guards against early answers by a round trip of nothing, and against reading it unasked."""
    with_it = asyncio.run(_serve_one(reads_round_trips=True))
    assert with_it.round_trip_ms is not None and with_it.round_trip_ms > 0.0
    assert asyncio.run(_serve_one(reads_round_trips=False)).round_trip_ms is None


def test_unknown_round_trip_is_none():
    """Guards against a connection without a socket, or whose kernel does not tell."""

    class Socket:
        def __init__(self, info: bytes | OSError) -> None:
            self.info = info

        def getsockopt(self, level: int, option: int, size: int) -> bytes:
            if isinstance(self.info, OSError):
                raise self.info
            return self.info

    for connection in (None, Socket(OSError()), Socket(b""), Socket(bytes(72))):
        transport = asyncio.BaseTransport({"socket": connection})
        assert read_round_trip_ms(transport) is None
    known = asyncio.BaseTransport({"socket": Socket(bytes(68) + (2_200).to_bytes(4, "little"))})
    assert read_round_trip_ms(known) is not None


load_tests = function_suite(globals())
