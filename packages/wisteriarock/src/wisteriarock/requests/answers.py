"""Build answers without rows, and choose the HTTP status of an answer."""

import hashlib
from typing import Any

import msgspec

from wisteriarock.admission.models import Rejection
from wisteriarock.query.models import Outcome, QueryAnswer, QueryBody


def empty_answer(
    request_id: str, outcome: Outcome, code: str, message: str, path: str, revision: int
) -> QueryAnswer:
    """Return an answer without a snapshot or rows."""
    return {
        "request_id": request_id,
        "outcome": outcome,
        "snapshot": None,
        "coverage": {"answered": [], "missing": []},
        "rows": [],
        "stats": {"legs": 0, "hedges": 0, "retries": 0, "cross_zone_legs": 0, "elapsed_ms": 0.0},
        "bundle_revision": revision,
        "error": {"code": code, "message": message, "path": path},
        "retry_after_ms": None,
    }


def rejected_answer(request_id: str, rejection: Rejection, revision: int) -> QueryAnswer:
    """Return the answer to a request that was rejected before execution."""
    answer = empty_answer(
        request_id, Outcome.NOT_RUN, rejection.code, rejection.message, rejection.path, revision
    )
    answer["retry_after_ms"] = rejection.retry_after_ms
    return answer


def unknown_answer(body: QueryBody, code: str, message: str, revision: int) -> QueryAnswer:
    """Return the answer to a request that may have run, with all its shards missing."""
    answer = empty_answer(body["request_id"], Outcome.UNKNOWN, code, message, "$", revision)
    answer["coverage"]["missing"] = [{"shard": s, "reason": "unknown"} for s in body["shards"]]
    return answer


def http_status(answer: QueryAnswer) -> int:
    """Return the HTTP status of a query answer."""
    return 503 if answer["outcome"] == Outcome.NOT_RUN else 200


def fingerprint(body: QueryBody) -> str:
    """Return a digest of the kind, shards and parameters of a request.

    The request id and the deadline are excluded because they may change when a caller resends.
    """
    content: list[Any] = [body["kind"], body["shards"], body.get("params", {})]
    return hashlib.sha256(msgspec.json.encode(content, order="sorted")).hexdigest()
