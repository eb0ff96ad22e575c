"""Tests of failures whose status tells the caller that its request has not run."""

from tests.common import function_suite
from tests.wisteriaplatform.fixtures import deployment, request_bytes, send

# Statuses by which callers take a request for one that has not run; an endpoint that answers 421
# has not run it either.
NOT_RUN_STATUSES = (408, 429, 503)


async def _answers(error_status: int) -> dict[str, tuple[int, str | None]]:
    """Return status and proof of the answers while endpoints run requests and fail them."""
    answers = {}
    async with deployment() as running:
        for endpoint in running.endpoints.values():
            endpoint.mode, endpoint.error_status = "error", error_status
        for path, method, body in (("/book/x", "POST", b"one"), ("/lookup/x", "GET", b"")):
            request_id = f"r{path[1]}"
            response = await send(running.port, request_bytes(path, request_id, method, body))
            ran = [each for stub in running.endpoints.values() for each in stub.requests]
            assert any((b"Request-Id", request_id.encode()) in each.headers for each in ran)
            answers[path] = (response.status, response.headers.get("server-stamp"))
    return answers


async def test_failed_run_is_not_answered_as_not_run():
    """Guards against a second booking by a caller that is told the first one has not run, review/9.

    A failure without `Not-Executed` was forwarded whatever its status.
    """
    for status in NOT_RUN_STATUSES:
        answers = await _answers(status)
        assert set(answers.values()) == {(502, None)}, (status, answers)


async def test_other_failures_are_forwarded():
    """Guards against failures of endpoints that are hidden from callers."""
    for status in (500, 504, 409):
        answers = await _answers(status)
        assert {status for status, _ in answers.values()} == {status}
        assert all(proof is not None for _, proof in answers.values())


load_tests = function_suite(globals())
