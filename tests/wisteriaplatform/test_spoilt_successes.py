"""Tests of replies with a status of success that are no success."""

from wisteriarock.http.models import Headers

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import deployment, request_bytes, send


async def _statuses(spoil: Headers, *, is_stamped: bool) -> dict[str, int]:
    """Return the status of each kind of request while all endpoints spoil their replies."""
    statuses = {}
    async with deployment() as running:
        for endpoint in running.endpoints.values():
            endpoint.extra_headers = spoil
            endpoint.is_stamped = is_stamped
        for path, method, body in (
            ("/book/x", "POST", b"one"),
            ("/lookup/x", "GET", b""),
            ("/blend/x", "GET", b""),
        ):
            raw = request_bytes(path, f"r{path[1]}", method, body)
            response = await send(running.port, raw)
            statuses[path] = response.status
    return statuses


async def test_encoded_body_is_not_forwarded_as_a_success():
    """Guards against a caller that takes encoded bytes for the endpoint's body."""
    statuses = await _statuses([(b"Content-Encoding", b"gzip")], is_stamped=True)
    assert statuses == {"/book/x": 502, "/lookup/x": 502, "/blend/x": 502}


async def test_reply_without_proof_is_not_forwarded_as_a_success():
    """Guards against a success that no endpoint vouches for."""
    statuses = await _statuses([], is_stamped=False)
    assert statuses == {"/book/x": 502, "/lookup/x": 502, "/blend/x": 502}


async def test_sound_replies_are_forwarded():
    """Guards against checks that refuse sound replies."""
    statuses = await _statuses([(b"X-Note", b"n")], is_stamped=True)
    assert statuses == {"/book/x": 200, "/lookup/x": 200, "/blend/x": 200}


load_tests = function_suite(globals())
