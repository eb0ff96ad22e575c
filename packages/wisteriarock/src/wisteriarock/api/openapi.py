"""OpenAPI description of the caller and operator interfaces, built from the message types."""

from typing import Any, TypedDict

import msgspec

from wisteriarock.query.models import ErrorBody, QueryAnswer, QueryBody
from wisteriarock.requests.models import TicketAnswer, TicketBody

from .const import (
    DUMP_PATH,
    LIVE_PATH,
    METRICS_PATH,
    OPENAPI_PATH,
    QUERY_PATH,
    READY_PATH,
    STATUS_PATH,
    TICKETS_PATH,
)

_REF_TEMPLATE = "#/components/schemas/{name}"
_ANSWERED_DESCRIPTION = "Complete, partial or unknown; `coverage` says what is missing."
_QUERY_STATUSES = {
    "200": _ANSWERED_DESCRIPTION,
    "400": "Bad input; not run.",
    "401": "Unknown caller; not run.",
    "403": "The caller may not ask this kind or reach this shard; not run.",
    "413": "The body is too long; not run.",
    "429": "Too costly or overloaded; not run, `retry_after_ms` is set.",
    "503": "Not ready, draining or no usable snapshot; not run, `retry_after_ms` is set.",
}
_TICKET_STATUSES = {
    "400": "Bad input.",
    "401": "Unknown caller.",
    "429": "The instance keeps too many tickets.",
    "503": "Not ready or draining.",
}


class ErrorAnswer(TypedDict):
    """Body of an error answer to a request other than a query."""

    error: ErrorBody
    retry_after_ms: int | None


def _json_content(schema: dict[str, Any]) -> dict[str, Any]:
    return {"application/json": {"schema": schema}}


def _operation(
    summary: str,
    responses: dict[str, Any],
    security: str | None = None,
    body: dict[str, Any] | None = None,
) -> dict[str, Any]:
    operation: dict[str, Any] = {"summary": summary, "responses": responses}
    if security:
        operation["security"] = [{security: []}]
    if body:
        operation["requestBody"] = {"required": True, "content": _json_content(body)}
    return operation


def _plain_response(description: str) -> dict[str, Any]:
    return {"description": description}


def build_openapi() -> dict[str, Any]:
    """Return the OpenAPI 3.1 document of both listeners."""
    types = (QueryBody, QueryAnswer, TicketBody, TicketAnswer, ErrorAnswer)
    schemas, components = msgspec.json.schema_components(types, ref_template=_REF_TEMPLATE)
    query_body, query_answer, ticket_body, ticket_answer, error_answer = schemas
    query_responses = {
        status: {"description": text, "content": _json_content(query_answer)}
        for status, text in _QUERY_STATUSES.items()
    }
    ticket_responses = {
        "200": {"description": "Tickets.", "content": _json_content(ticket_answer)},
        **{
            status: {"description": text, "content": _json_content(error_answer)}
            for status, text in _TICKET_STATUSES.items()
        },
    }
    readiness_responses = {
        "200": _plain_response("May take requests."),
        "503": _plain_response("Must not get requests."),
    }
    operator_responses = {
        "200": _plain_response("JSON."),
        "401": _plain_response("The operator token is not known."),
    }
    public_servers = [{"url": "/", "description": "Public listener"}]
    internal_servers = [{"url": "/", "description": "Internal listener"}]
    query_operation = _operation("Ask a query", query_responses, "caller", query_body)
    tickets_operation = _operation(
        "Get tickets for requests that are not repeatable", ticket_responses, "caller", ticket_body
    )
    liveness_operation = _operation("Liveness", {"200": _plain_response("The process runs.")})
    return {
        "openapi": "3.1.0",
        "info": {"title": "wisteriarock", "version": "1"},
        "paths": {
            QUERY_PATH: {"servers": public_servers, "post": query_operation},
            TICKETS_PATH: {"servers": public_servers, "post": tickets_operation},
            LIVE_PATH: {"servers": public_servers, "get": liveness_operation},
            READY_PATH: {
                "servers": public_servers,
                "get": _operation("Readiness", readiness_responses),
            },
            OPENAPI_PATH: {
                "servers": public_servers,
                "get": _operation("This document", {"200": _plain_response("OpenAPI document.")}),
            },
            DUMP_PATH: {
                "servers": internal_servers,
                "get": _operation("State dump", operator_responses, "operator"),
            },
            STATUS_PATH: {
                "servers": internal_servers,
                "get": _operation(
                    "Bundle revision of each instance", operator_responses, "operator"
                ),
            },
            METRICS_PATH: {
                "servers": internal_servers,
                "get": _operation(
                    "Prometheus metrics", {"200": _plain_response("Metrics as text.")}
                ),
            },
        },
        "components": {
            "schemas": components,
            "securitySchemes": {
                "caller": {"type": "http", "scheme": "bearer"},
                "operator": {"type": "http", "scheme": "bearer"},
            },
        },
    }
