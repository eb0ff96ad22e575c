"""Tests that the OpenAPI description matches the routes of the listeners."""

import json
from pathlib import Path

from starlette.routing import Route
from wisteriarock.api.internal import InternalHandlers, create_internal_app
from wisteriarock.api.openapi import build_openapi
from wisteriarock.api.public import PublicHandlers, create_public_app
from wisteriarock.observability.metrics import create_metrics

from tests.common import function_suite

OPENAPI_FILE = Path(__file__).parents[3] / "docs" / "openapi.json"


def _unused(*_: object) -> object:
    raise AssertionError("not called")


def test_the_committed_file_matches_the_code() -> None:
    """Guards against an outdated description after a message changes."""
    assert json.loads(OPENAPI_FILE.read_text(encoding="utf-8")) == build_openapi()


def test_every_route_is_described() -> None:
    """Guards against a route that the OpenAPI description omits."""
    public = create_public_app(PublicHandlers(_unused, _unused, _unused, _unused))
    handlers = InternalHandlers("token", _unused, _unused, create_metrics().registry)
    internal = create_internal_app(handlers, [])
    served = {
        (route.path, method.lower())
        for app in (public, internal)
        for route in app.routes
        if isinstance(route, Route)
        for method in (route.methods or set()) - {"HEAD"}
    }
    described = {
        (path, method)
        for path, item in build_openapi()["paths"].items()
        for method in item
        if method != "servers"
    }
    assert served == described


load_tests = function_suite(globals())
