"""Tests of the decoder of JSON bodies."""

from typing import NotRequired, TypedDict

from hypothesis import given, seed, settings
from hypothesis import strategies as st
from returns.result import Failure, Success
from wisteriarock.codec.decode import decode
from wisteriarock.query.models import QueryBody

from tests.common import function_suite


class Inner(TypedDict):
    """A nested body."""

    count: int


class Outer(TypedDict):
    """A body with nested ones."""

    items: list[Inner]
    by_name: dict[str, Inner]
    maybe: NotRequired[Inner | None]


def test_unknown_fields_are_found_at_any_depth() -> None:
    """Guards against accepting unknown fields, which msgspec ignores in typed dictionaries."""
    valid = b'{"items":[{"count":1}],"by_name":{"a":{"count":2}},"maybe":null}'
    assert isinstance(decode(valid, Outer, 1_000), Success)
    cases = {
        b'{"items":[],"by_name":{},"x":1}': "$.x",
        b'{"items":[{"count":1},{"count":1,"x":1}],"by_name":{}}': "$.items[1].x",
        b'{"items":[],"by_name":{"a":{"count":2,"x":1}}}': "$.by_name.a.x",
        b'{"items":[],"by_name":{},"maybe":{"count":2,"x":1}}': "$.maybe.x",
        b'{"items":[{"count":"1"}],"by_name":{}}': "$.items[0].count",
    }
    for body, path in cases.items():
        result = decode(body, Outer, 1_000)
        assert isinstance(result, Failure), body
        assert result.failure().path == path


@seed(20)
@settings(max_examples=300, deadline=None, database=None)
@given(st.binary(max_size=200) | st.text(max_size=100).map(str.encode))
def test_any_bytes_give_a_value_or_an_error(body: bytes) -> None:
    """Guards against a body that raises an exception instead of returning an error."""
    assert isinstance(decode(body, QueryBody, 150), Success | Failure)


def test_deeply_nested_bodies_are_refused() -> None:
    """Guards against a body that exhausts the stack."""
    assert isinstance(decode(b"[" * 100_000, QueryBody, 1_000_000), Failure)


load_tests = function_suite(globals())
