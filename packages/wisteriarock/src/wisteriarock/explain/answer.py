"""Answers requests for explanations: limits their rate and the size of the answers."""

import json
from typing import Any

from wisteriarock.customers.models import LocalAllotments
from wisteriarock.dispatch.state import DispatchState, loop_time_ms
from wisteriarock.http.models import Answer, CallerRequest
from wisteriarock.limits.token_bucket import TokenBucket, time_until_available_ms, try_consume

from .const import ANSWER_MAX_BYTES, LISTED_ENDPOINTS_MAX, REQUESTS_BURST, REQUESTS_PER_S
from .dry_run import InstanceView
from .question import Problem, parse_target
from .request import explain_request

_JSON = (b"Content-Type", b"application/json")


def create_explain_limit(now_ms: float) -> TokenBucket:
    """Return the limit on the rate of explanations."""
    return TokenBucket(REQUESTS_PER_S, REQUESTS_BURST, REQUESTS_BURST, now_ms)


def answer_explain_request(
    state: DispatchState,
    view: InstanceView,
    local: LocalAllotments,
    limit: TokenBucket,
    request: CallerRequest,
) -> Answer:
    """Answer a request for an explanation."""
    if request.method != b"GET":
        return _answer_problem(Problem(405, "method_not_allowed", "Only GET is allowed."))
    question = parse_target(request.target)
    if isinstance(question, Problem):
        return _answer_problem(question)
    now_ms = loop_time_ms(state)
    if not try_consume(limit, 1.0, now_ms):
        message = f"Only {REQUESTS_PER_S:.0f} explanations a second are given."
        answer = _answer_problem(Problem(429, "too_many_requests", message))
        wait_s = time_until_available_ms(limit, 1.0, now_ms) / 1000
        answer.headers.append((b"Retry-After", b"%.3f" % wait_s))
        return answer
    explanation = explain_request(state, view, local, question)
    if isinstance(explanation, Problem):
        return _answer_problem(explanation)
    body = encode_explanation(explanation)
    if body is None:
        message = "The explanation is too large even without its lists."
        return _answer_problem(Problem(500, "too_large", message))
    return Answer(200, [_JSON], body)


def _answer_problem(problem: Problem) -> Answer:
    error = {"code": problem.code, "message": problem.message, "path": problem.field}
    return Answer(problem.status, [_JSON], json.dumps({"error": error}).encode())


def encode_explanation(
    explanation: dict[str, Any], max_bytes: int = ANSWER_MAX_BYTES
) -> bytes | None:
    """Encode an explanation, with its lists cut until it fits; None if it does not even then."""
    listed = max(LISTED_ENDPOINTS_MAX, len(explanation["services"]))
    is_cut = False
    while True:
        body = json.dumps({**explanation, "is_cut": is_cut}).encode()
        if len(body) <= max_bytes:
            return body
        if not listed:
            return None
        listed //= 2
        is_cut = True
        explanation = explanation | {
            "services": [_cut_lists(row, listed) for row in explanation["services"][:listed]]
        }


def _cut_lists(row: dict[str, Any], listed: int) -> dict[str, Any]:
    """Return the row of a service with shorter lists of endpoints."""
    return {
        name: value[:listed] if isinstance(value, list) else value for name, value in row.items()
    }
