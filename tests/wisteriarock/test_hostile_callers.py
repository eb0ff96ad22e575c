"""Tests of a process of wisteriarockd whose callers send without end, or stay open.

As in `tests.wisteriaplatform.test_hostile_callers`, each crowd sends a fixed number of bytes.
"""

import contextlib
import json
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

from tests.common import function_suite
from tests.wisteriaplatform.process_fixtures import (
    Crowd,
    Flood,
    InstanceProcess,
    Usage,
    answer_ordinary_request,
    free_ports,
    play_crowd,
    play_flood,
)

# An idle process takes 65 MB; a tenth of the limits is to spare.
MEMORY_LIMIT_MB = 128
DESCRIPTOR_LIMIT = 600
TUNABLES = {"max_buffered_mb": 16.0, "caller_timeout_ms": 4_000.0}
_RUN = (
    "import resource, sys; "
    f"resource.setrlimit(resource.RLIMIT_NOFILE, ({DESCRIPTOR_LIMIT}, {DESCRIPTOR_LIMIT})); "
    "from wisteriarock.__main__ import main; main()"
)
_LIVE = b"GET /livez HTTP/1.1\r\nHost: x\r\n\r\n"
_CHUNKED = b"POST /v1/query HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
_TRAILERS = (b"X-Trailer: " + b"a" * 1_000 + b"\r\n") * 64


def _make_settings(ports: dict[str, int]) -> dict[str, object]:
    return {
        "instance": "e1",
        "zone": "north",
        "public_host": "127.0.0.1",
        "public_port": ports["front"],
        "internal_host": "127.0.0.1",
        "internal_port": ports["internal"],
        "peers": [],
        "peer_keys": [{"key_id": "k1", "secret": "0123456789abcdef"}],
        "operator_token": "token",
        "operator_keys": {},
        "platform_url": "http://127.0.0.1:9",
        "tunables": TUNABLES,
    }


@contextlib.contextmanager
def _process(path: Path) -> "Iterator[subprocess.Popen[bytes]]":
    command = [sys.executable, "-c", _RUN, "--settings", str(path)]
    process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        yield process
    finally:
        process.kill()
        process.wait()


@contextlib.asynccontextmanager
async def _instance_process() -> AsyncIterator[InstanceProcess]:
    ports = free_ports(("front", "internal"))
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_text(json.dumps(_make_settings(ports)), encoding="utf-8")
        with _process(path) as process:
            running = InstanceProcess(process, ports, _LIVE, {})
            await answer_ordinary_request(running)
            yield running


def _assert_bounded(usage: Usage) -> None:
    assert usage.memory_bytes <= MEMORY_LIMIT_MB * 1_000_000 * 9 // 10, usage
    assert usage.descriptors <= DESCRIPTOR_LIMIT * 9 // 10, usage


async def _withstands(crowd: Crowd) -> None:
    async with _instance_process() as running:
        _assert_bounded(await play_crowd(running, crowd))


async def _withstands_flood(flood: Flood) -> None:
    async with _instance_process() as running:
        _assert_bounded(await play_flood(running, flood))


async def test_trailers_without_end() -> None:
    """Guards against a process that keeps all trailers of a request."""
    await _withstands(Crowd(16, _CHUNKED + b"1\r\nb\r\n0\r\n", _TRAILERS, 96))


async def test_trailers_without_end_at_the_internal_address() -> None:
    """Guards against a bound that only the public listener has."""
    crowd = Crowd(16, _CHUNKED + b"1\r\nb\r\n0\r\n", _TRAILERS, 96, "internal")
    await _withstands(crowd)


async def test_headers_without_end() -> None:
    """Guards against a process that keeps all headers of a request."""
    await _withstands(Crowd(16, b"GET / HTTP/1.1\r\n", _TRAILERS, 96))


async def test_requests_sent_ahead() -> None:
    """Guards against queued requests, and answers that nobody reads."""
    await _withstands(Crowd(8, b"", _LIVE * 500, 24))


async def test_requests_sent_ahead_without_a_route() -> None:
    """Guards against queued requests, and answers that nobody reads."""
    await _withstands(Crowd(8, b"", _LIVE.replace(b"livez", b"none") * 500, 24))


async def test_bodies_left_open() -> None:
    """Guards against many bodies that each are within their limit."""
    body = b"ea60\r\n" + b"b" * 60_000 + b"\r\n"
    await _withstands(Crowd(450, _CHUNKED + body))


async def test_bodies_of_peers_left_open() -> None:
    """Guards against large bodies of callers that are not authenticated yet."""
    head = b"POST /peer/v1/heartbeat HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n"
    await _withstands(Crowd(128, head, b"b" * 62_400, 16, "internal"))


async def test_more_connections_than_descriptors() -> None:
    """Guards against a process that can open no connection, as silent ones use its descriptors."""
    await _withstands(Crowd(900, b""))


async def test_flood_of_headers_above_the_limit() -> None:
    """Guards against rejected requests that stay in memory when their connections are closed."""
    head = b"GET / HTTP/1.1\r\n" + _TRAILERS * 2
    await _withstands_flood(Flood(50, 40, head, is_new_each=True))


async def test_flood_of_requests_without_a_route() -> None:
    """Guards against ordinary callers that wait while others are refused."""
    await _withstands_flood(Flood(50, 40, _LIVE.replace(b"livez", b"none") * 20))


load_tests = function_suite(globals())
