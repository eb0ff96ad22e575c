"""Seeded fuzzing of what arrives from outside: any bytes give a value or a typed error.

`FUZZ_EXAMPLES` sets the number of examples of each test, for long runs by hand.
"""

import asyncio
import json
import os
import zlib
from typing import Any

from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st
from wisteriaplatform.requests import read_reply, read_request
from wisteriaplatform.store import (
    decode_configuration,
    decode_endpoint,
    decode_events,
    decode_item,
    decode_lease,
    decode_listing,
)
from wisteriarock.discovery.decide import apply_entry
from wisteriarock.discovery.models import Directory, EndpointEntry
from wisteriarock.feed.const import RELAY_KEY_PREFIX
from wisteriarock.feed.decide import apply_relay_item, decode_answer
from wisteriarock.feed.models import FeedState
from wisteriarock.front.settings import parse_settings
from wisteriarock.gathering.decide import decode_fragment_answer, decode_fragment_request
from wisteriarock.http.front import Answer, CallerConnection, CallerRequest, ListenerState
from wisteriarock.http.link import OutgoingConnection, keep_alive_ms
from wisteriarock.http.models import Exchange
from wisteriarock.store.models import Item

from tests.common import function_suite
from tests.wisteriarock.samples import at

EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "300"))
fuzz = settings(
    max_examples=EXAMPLES,
    derandomize=EXAMPLES <= 1_000,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)

_scalars = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**400, -(10**400), 2**64, 0, -1])
    | st.floats(allow_nan=True, allow_infinity=True)
    | st.text()
    | st.sampled_from(
        ["mill \ud83d", "10.1.0.9:8104", "10.1.0.9:99999", "a:\u00b2", "ready", "\r\n"]
    )
)
_values = st.recursive(
    _scalars,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
)
NESTED = b"[" * 50_000


def _objects(*names: str) -> st.SearchStrategy[bytes]:
    """Return JSON objects with some of the given fields, and other bytes."""
    fields = st.dictionaries(st.sampled_from(names), _values)
    texts = fields.map(lambda value: json.dumps(value).encode())
    return texts | _values.map(lambda value: json.dumps(value).encode()) | st.binary()


_ENTRY_FIELDS = (
    "service",
    "address",
    "zone",
    "state",
    "concurrency",
    "cold_left_ms",
    "seq",
    "born",
)
_entries = _objects(*_ENTRY_FIELDS) | st.fixed_dictionaries(
    {
        "service": st.just("invoicing"),
        "address": st.just("10.1.0.9:8104") | _values,
        "zone": st.just("zone-a") | _values,
        "state": st.just("ready") | _values,
        "concurrency": st.just(2) | _values,
        "seq": st.just(1) | _values,
        "cold_left_ms": st.just(0) | _values,
        "born": st.just(1) | _values,
    }
).map(lambda value: json.dumps(value).encode())


@fuzz
@given(st.text(), _entries)
@example("servers/i-1", NESTED)
def test_entries(key: str, value: bytes):
    """Guards against an entry that raises, or that cannot be put into the directory."""
    entry = decode_endpoint(key, value)
    assert isinstance(entry, EndpointEntry | str)
    if isinstance(entry, EndpointEntry):
        assert entry.endpoint_id.encode("latin-1") and 0 < entry.port < 65_536
        apply_entry(Directory(), entry, 1_000.0)


@fuzz
@given(_objects("version", "routes", "services", "limits", "name", "host", "prefix", "gather"))
@example(NESTED)
def test_configurations(value: bytes):
    """Guards against a configuration that raises."""
    decode_configuration(value)


@fuzz
@given(
    _objects("items", "events", "key", "value", "revision", "store_revision", "lease", "is_gone")
)
@example(NESTED)
def test_replies_of_the_store(body: bytes):
    """Guards against a reply of the store that raises."""
    for decode in (decode_item, decode_listing, decode_events, decode_lease):
        decode(body)


@fuzz
@given(
    _objects(
        "revision", "store_age_ms", "calm_ms", "changes", "lost_zones", "gatherers", "notices"
    ),
    st.booleans(),
)
@example(NESTED, True)
def test_answers_of_relays(body: bytes, is_compressed: bool):
    """Guards against an answer of a relay that raises."""
    decode_answer(zlib.compress(body) if is_compressed else body)


@fuzz
@given(_objects("instance", "address", "instances", "gatherers"))
@example(NESTED)
def test_registrations_of_relays(value: bytes):
    """Guards against a registration of a relay that raises."""
    apply_relay_item(FeedState(), Item(RELAY_KEY_PREFIX + "zone-a", value, at(5)), 0.0)


@fuzz
@given(
    _objects("route", "version", "headers", "shards", "parts", "records", "may_have_run", "ended")
)
@example(NESTED)
def test_fragments(body: bytes):
    """Guards against a message between instances that raises."""
    decode_fragment_request(body)
    decode_fragment_answer(body)


@fuzz
@given(_objects("instance", "zone", "front_address", "drain_grace_s", "limits") | st.binary())
def test_settings(text: bytes):
    """Guards against a settings file that raises."""
    parse_settings(text.decode("utf-8", "replace"))


_header_names = st.sampled_from(
    [
        b"Request-Id",
        b"Host",
        b"Deadline-Ms",
        b"Connection",
        b"Keep-Alive",
        b"Server-Limit",
        b"Retry-After",
        b"Content-Length",
        b"Transfer-Encoding",
        b"Expect",
    ]
)
_header_values = st.binary(max_size=40) | st.sampled_from(
    [b"timeout=" + b"9" * 5_000, b"9" * 400, b"-1", b"1.5", b"chunked", b"100-continue", b"5"]
)
_headers = st.lists(st.tuples(_header_names, _header_values), max_size=8)


@fuzz
@given(_headers, st.binary(max_size=40), st.integers(0, 999))
@example([(b"Keep-Alive", b"timeout=" + b"9" * 5_000)], b"/", 200)
def test_headers(headers: list[tuple[bytes, bytes]], target: bytes, status: int):
    """Guards against headers that raise."""
    read_request(CallerRequest(b"GET", target, headers, b"", 0.0, False))
    read_reply(status, headers)
    keep_alive_ms(headers)


class _Transport(asyncio.Transport):
    """Transport that sends nothing."""

    def __init__(self) -> None:
        super().__init__()
        self.is_open = True

    def write(self, data: Any) -> None:
        """Drop the data."""

    def close(self) -> None:
        """Close the transport."""
        self.is_open = False

    abort = close

    def is_closing(self) -> bool:
        """Return whether it was closed."""
        return not self.is_open

    def can_write_eof(self) -> bool:
        """Return that the write end can be closed."""
        return True

    def write_eof(self) -> None:
        """Close the write end."""

    def pause_reading(self) -> None:
        """Ignore the pause."""

    def resume_reading(self) -> None:
        """Ignore the end of the pause."""

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Ignore the limits."""

    def get_write_buffer_size(self) -> int:
        """Return that nothing is buffered."""
        return 0


def _encode_message(first_line: bytes, headers: list[tuple[bytes, bytes]], body: bytes) -> bytes:
    lines = [first_line, *(name + b": " + value for name, value in headers)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


_first_lines = st.sampled_from(
    [
        b"HTTP/1.1 200 OK",
        b"HTTP/1.1 103 Hints",
        b"HTTP/1.0 503 x",
        b"GET /a HTTP/1.1",
        b"POST /a HTTP/1.0",
    ]
)
_streams = st.lists(
    st.binary(max_size=60)
    | st.builds(_encode_message, _first_lines, _headers, st.binary(max_size=30)),
    max_size=5,
)


@fuzz
@given(_streams)
def test_bytes_of_endpoints(chunks: list[bytes]):
    """Guards against bytes of an endpoint that raise, or that leave a request without an end."""

    async def play() -> None:
        loop = asyncio.get_running_loop()
        ends: list[object] = []
        connection = OutgoingConnection(loop, lambda _: None, lambda _: None, lambda *_: None)
        connection.connection_made(_Transport())
        connection.start(Exchange(lambda: b"", lambda _: True, ends.append, lambda: None), b"x")
        for chunk in chunks:
            connection.data_received(chunk)
        connection.eof_received()
        connection.connection_lost(None)
        assert len(ends) == 1

    asyncio.run(play())


@fuzz
@given(_streams)
def test_bytes_of_callers(chunks: list[bytes]):
    """Guards against bytes of a caller that raise."""

    async def play() -> None:
        def handle(request: CallerRequest, respond: Any) -> Any:
            read_request(request)
            respond(Answer(200, [], b""))
            return lambda: None

        listener = ListenerState(asyncio.get_running_loop(), handle, lambda *_: None)
        connection = CallerConnection(listener)
        connection.connection_made(_Transport())
        for chunk in chunks:
            connection.data_received(chunk)
            connection.check_timeouts(0.0)
        connection.connection_lost(None)
        assert not listener.connections

    asyncio.run(play())


load_tests = function_suite(globals())
