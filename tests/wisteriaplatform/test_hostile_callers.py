"""Tests of a real process whose callers send more than the limits allow, or stay open.

Each crowd sends a fixed number of bytes, and the bounds follow from the settings of the process, so
that no result depends on the speed of the machine.
"""

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import HOST, send
from tests.wisteriaplatform.process_fixtures import (
    CALLER_LIMITS,
    DESCRIPTOR_BOUND,
    MEMORY_BOUND_BYTES,
    Crowd,
    Flood,
    Usage,
    instance_process,
    play_crowd,
    play_flood,
    play_slow_callers,
)

_HEAD = (
    f"POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r-1\r\nDeadline-Ms: 2000\r\n"
).encode()
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_BEFORE_TRAILERS = _CHUNKED + b"1\r\nb\r\n0\r\n"
_BLOCK_BYTES = 65_536
# One short of the limit of a body, which so never ends.
_BODY_BYTES = CALLER_LIMITS["body_bytes"] - 1

# Four of them stay below the limit of a body where no configuration sets it.
_LARGE_CHUNK = b"fa00\r\n" + b"b" * 64_000 + b"\r\n"


def _get(path: str, version: str = "1.1") -> bytes:
    return (
        f"GET {path} HTTP/{version}\r\nHost: {HOST}\r\nRequest-Id: r-1\r\nDeadline-Ms: 2000\r\n\r\n"
    ).encode()


def _chunked_body(chunk_bytes: int) -> bytes:
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"b" * chunk_bytes)
    return chunk * (_BODY_BYTES // chunk_bytes)


def _assert_bounded(usage: Usage) -> None:
    assert usage.memory_bytes <= MEMORY_BOUND_BYTES, usage
    assert usage.descriptors <= DESCRIPTOR_BOUND, usage


async def _withstands(crowd: Crowd, **limits: int) -> None:
    async with instance_process(**limits) as running:
        _assert_bounded(await play_crowd(running, crowd))


async def _withstands_flood(flood: Flood, *, needs_key: bool = False) -> None:
    async with instance_process(needs_key=needs_key) as running:
        _assert_bounded(await play_flood(running, flood))


async def test_trailers_without_end():
    """Guards against a process that keeps all trailers of a request."""
    block = (b"X-Trailer: " + b"a" * 1_000 + b"\r\n") * 64
    await _withstands(Crowd(16, _BEFORE_TRAILERS, block, 96))


async def test_one_trailer_without_end():
    """Guards against a parser that keeps a trailer whose value never ends."""
    await _withstands(Crowd(16, _BEFORE_TRAILERS + b"X-Trailer: ", b"a" * _BLOCK_BYTES, 64))


async def test_trailers_of_one_byte():
    """Guards against trailers whose objects cost many times their bytes."""
    await _withstands(Crowd(8, _BEFORE_TRAILERS, b"a:b\r\n" * 8_000, 24))


async def test_trailers_without_end_at_the_ready_address():
    """Guards against a bound that only the listener of callers has."""
    block = (b"X-Trailer: " + b"a" * 1_000 + b"\r\n") * 64
    await _withstands(Crowd(16, _BEFORE_TRAILERS, block, 96, "ready"))


async def test_trailers_without_end_at_the_metrics_address():
    """Guards against a bound that only the listener of callers has."""
    block = (b"X-Trailer: " + b"a" * 1_000 + b"\r\n") * 64
    await _withstands(Crowd(16, _BEFORE_TRAILERS, block, 96, "metrics"))


async def test_trailers_without_end_at_the_peer_address():
    """Guards against a bound that only the listener of callers has."""
    block = (b"X-Trailer: " + b"a" * 1_000 + b"\r\n") * 64
    await _withstands(Crowd(16, _BEFORE_TRAILERS, block, 96, "peer"))


async def test_heads_of_many_small_headers_left_open():
    """Guards against heads whose objects cost many times their bytes."""
    await _withstands(Crowd(400, b"GET / HTTP/1.1\r\n" + b"aa:bb\r\n" * 440))


async def test_bodies_in_large_chunks_left_open():
    """Guards against many bodies that each are too small to be counted."""
    await _withstands(Crowd(450, _CHUNKED + _chunked_body(4_000)))


async def test_bodies_in_chunks_of_one_byte_left_open():
    """Guards against pieces of a body that cost many times their bytes."""
    await _withstands(Crowd(200, _CHUNKED + _chunked_body(1)))


async def test_bodies_in_chunks_of_two_bytes_left_open():
    """Guards against pieces of a body that cost many times their bytes."""
    await _withstands(Crowd(100, _CHUNKED + _chunked_body(2)))


async def test_large_bodies_in_small_chunks_left_open():
    """Guards against bodies at the default limit whose pieces cost many times their bytes."""
    crowd = Crowd(16, _CHUNKED, b"2\r\nbb\r\n" * 1_000, 130)
    await _withstands(crowd, body_bytes=262_144)


async def test_bodies_left_open_at_the_ready_address():
    """Guards against a bound that only the listener of callers has."""
    await _withstands(Crowd(300, _CHUNKED, _LARGE_CHUNK, 4, "ready"))


async def test_bodies_left_open_at_the_metrics_address():
    """Guards against a bound that only the listener of callers has."""
    await _withstands(Crowd(300, _CHUNKED, _LARGE_CHUNK, 4, "metrics"))


async def test_bodies_left_open_at_the_peer_address():
    """Guards against a bound that only the listener of callers has."""
    await _withstands(Crowd(300, _CHUNKED, _LARGE_CHUNK, 4, "peer"))


async def test_requests_sent_ahead_without_a_route():
    """Guards against queued requests, and answers that nobody reads."""
    await _withstands(Crowd(8, b"", _get("/none") * 500, 24))


async def test_requests_sent_ahead_at_a_route():
    """Guards against queued requests, and answers that nobody reads."""
    await _withstands(Crowd(8, b"", _get("/lookup/x") * 500, 24))


async def test_requests_sent_ahead_over_a_fan_out():
    """Guards against queued requests whose parts are fetched while no answer is read."""
    await _withstands(Crowd(8, b"", _get("/blend/x") * 500, 24))


async def test_requests_sent_ahead_at_the_ready_address():
    """Guards against queued requests, and answers that nobody reads."""
    await _withstands(Crowd(8, b"", _get("/api/ready") * 500, 24, "ready"))


async def test_requests_sent_ahead_at_the_metrics_address():
    """Guards against queued requests, and answers that nobody reads."""
    await _withstands(Crowd(8, b"", _get("/none") * 500, 24, "metrics"))


async def test_large_answers_unread_at_the_metrics_address():
    """Guards against large answers that nobody reads."""
    await _withstands(Crowd(8, b"", _get("/dump") * 250, 24, "metrics"))


async def test_requests_sent_ahead_at_the_peer_address():
    """Guards against queued requests, and answers that nobody reads."""
    await _withstands(Crowd(8, b"", _get("/none") * 500, 24, "peer"))


async def test_requests_of_http_10_sent_ahead():
    """Guards against requests that are kept although the first answer closes the connection."""
    await _withstands(Crowd(16, b"", _get("/none", "1.0") * 500, 24))


async def test_smallest_requests_sent_ahead():
    """Guards against one read that expands into thousands of queued requests."""
    await _withstands(Crowd(16, b"", b"GET / HTTP/1.1\r\n\r\n" * 1_000, 16))


async def test_heads_that_wait_for_permission():
    """Guards against callers that ask whether to send a body, and never send it."""
    head = _HEAD + b"Expect: 100-continue\r\nContent-Length: %d\r\n" % _BODY_BYTES
    padding = b"".join(b"x%d: y\r\n" % number for number in range(250))
    await _withstands(Crowd(450, head + padding + b"\r\n"))


async def test_requests_whose_callers_have_half_closed():
    """Guards against requests that are kept for callers that send no more."""
    await _withstands(Crowd(400, _get("/lookup/x") * 200, is_half_closed=True))


async def test_body_bytes_sent_on_after_a_refusal():
    """Guards against a refused request whose bytes are still kept."""
    head = _HEAD + b"Content-Length: 99999999\r\n\r\n"
    await _withstands(Crowd(16, head, b"b" * _BLOCK_BYTES, 64))


async def test_chunk_extensions_without_end():
    """Guards against bytes of a body that are not part of its length."""
    await _withstands(Crowd(16, _CHUNKED + b"1\r\nb\r\n1;", b"a" * _BLOCK_BYTES, 64))


async def test_large_answers_that_nobody_reads():
    """Guards against answers that are kept for callers that do not read them."""
    async with instance_process() as running:
        for endpoint in running.endpoints.values():
            endpoint.reply_body = b"r" * 400_000
        _assert_bounded(await play_crowd(running, Crowd(120, _get("/lookup/x"))))


async def test_more_connections_than_descriptors():
    """Guards against a process that can open no connection, as silent ones use its descriptors."""
    async with instance_process() as running:
        _assert_bounded(await play_crowd(running, Crowd(900, b"")))


async def test_more_connections_than_descriptors_at_every_address():
    """Guards against descriptors that run short through another address than that of callers."""
    async with instance_process() as running:
        for listener in ("ready", "peer", "metrics"):
            usage = await play_crowd(running, Crowd(700, b"G", listener=listener))
            _assert_bounded(usage)


async def test_more_requests_under_way_than_memory():
    """Guards against fan-outs under way whose legs take more than the memory of the process."""
    async with instance_process(silent_shards=64) as running:
        _assert_bounded(await play_crowd(running, Crowd(450, _get("/wide/x"))))


async def test_flood_of_requests_without_a_route():
    """Guards against ordinary callers that wait while others are refused."""
    await _withstands_flood(Flood(100, 60, _get("/none")))


async def test_flood_of_requests_with_an_unknown_key():
    """Guards against ordinary callers that wait while others are refused."""
    key = b"Authorization: Token unknown\r\n\r\n"
    flood = Flood(100, 60, _get("/closed/x")[:-2] + key)
    await _withstands_flood(flood, needs_key=True)


async def test_flood_of_requests_sent_ahead_whose_answers_are_read():
    """Guards against ordinary callers that wait while others are refused."""
    await _withstands_flood(Flood(50, 60, _get("/none") * 20))


async def test_flood_of_requests_sent_ahead_on_few_connections():
    """Guards against ordinary callers that wait while others are refused."""
    await _withstands_flood(Flood(3, 100, _get("/none") * 200))


async def test_flood_of_new_connections():
    """Guards against connections without end that each are refused once."""
    await _withstands_flood(Flood(100, 40, _get("/none"), is_new_each=True))


async def test_flood_of_heads_above_the_limit():
    """Guards against rejected requests that stay in memory when their connections are closed."""
    head = b"GET / HTTP/1.1\r\n" + b"aa:bb\r\n" * 3_000
    await _withstands_flood(Flood(100, 40, head, is_new_each=True))


async def test_flood_of_refused_bodies():
    """Guards against refused bodies that are read without end, or stay in memory."""
    head = _HEAD + b"Content-Length: 99999999\r\n\r\n"
    body = b"b" * _BLOCK_BYTES
    await _withstands_flood(Flood(50, 20, head + body, is_new_each=True, after=body))


async def test_flood_of_bodies_in_small_chunks():
    """Guards against ordinary callers that wait while bodies in small chunks are parsed."""
    body = _chunked_body(1) + b"0\r\n\r\n"
    await _withstands_flood(Flood(100, 3, _CHUNKED.replace(b"/book/1", b"/none") + body))


async def test_flood_of_dumps_at_the_metrics_address():
    """Guards against ordinary callers that wait for dumps."""
    await _withstands_flood(Flood(20, 20, _get("/dump"), listener="metrics"))


async def test_slow_heads_bodies_and_trailers():
    """Guards against requests that arrive piece by piece and never end."""
    requests = {
        b"GET /lookup/x HTTP/1.1\r\nx: ": b"y",
        _HEAD + b"Content-Length: 16000\r\n\r\n": b"b",
        _CHUNKED: b"1\r\nb\r\n",
        _BEFORE_TRAILERS: b"a:b\r\n",
    }
    async with instance_process() as running:
        _assert_bounded(await play_slow_callers(running, requests))


async def test_single_request_at_the_limits_is_served():
    """Guards against bounds that refuse a caller within the limits of the configuration."""
    padding = b"x: %b\r\n"
    head = _HEAD + b"Transfer-Encoding: chunked\r\n"
    head += padding % (b"y" * (CALLER_LIMITS["header_bytes"] - len(head) - 9)) + b"\r\n"
    trailers = b"t1: u\r\n" * (CALLER_LIMITS["header_bytes"] // 8)
    body = b"1\r\nb\r\n" * CALLER_LIMITS["body_bytes"]
    async with instance_process() as running:
        response = await send(running.ports["front"], head + body + b"0\r\n" + trailers + b"\r\n")
        assert response.status == 200, response
        requests = [request for each in running.endpoints.values() for request in each.requests]
        assert requests[-1].body == b"b" * CALLER_LIMITS["body_bytes"]


load_tests = function_suite(globals())
