"""Tests of the content check."""

from typing import Any

from returns.result import Failure, Success
from wisteriarock.bundle.checks import check_content

from tests.bundle_samples import make_raw_content
from tests.common import function_suite


def _paths(raw: Any) -> set[str]:
    result = check_content(raw)
    assert isinstance(result, Failure), result
    assert all(error.found and error.allowed for error in result.failure())
    return {error.path for error in result.failure()}


def test_a_valid_content_passes() -> None:
    """Guards against rules that refuse ordinary contents."""
    assert isinstance(check_content(make_raw_content()), Success)


def test_each_rule_is_reported_with_its_path() -> None:
    """Guards against a wrong content that is accepted, and against an error without its place."""
    caller, find, book = "$.callers.mill", "$.kinds.find", "$.kinds.book"
    first, second = (f"$.services.sorting.endpoints.sorting-{n}" for n in (0, 1))
    cases: list[tuple[str, str, Any]] = [
        (f"{caller}.organisation", f"{caller}.organisation", "nobody"),
        (f"{caller}.organisation", f"{caller}.organisation", "\ud800"),
        ("$.organisations.\ud800", "$.organisations", ["cascade", "\ud800"]),
        (f"{caller}.kinds[1]", f"{caller}.kinds", ["find", "unknown"]),
        (f"{caller}.kinds[1]", f"{caller}.kinds", ["find", "find"]),
        (f"{caller}.shards[0]", f"{caller}.shards", ["mill-99"]),
        (f"{caller}.shards[0]", f"{caller}.shards", ["*", "mill-01"]),
        (f"{caller}.credential_sha256", f"{caller}.credential_sha256", "secret"),
        (f"{caller}.cost_per_s", f"{caller}.cost_per_s", 0),
        (f"{caller}.cost_per_s", f"{caller}.cost_per_s", float("nan")),
        (f"{find}.early_after_ms", f"{find}.early_after_ms", 1001),
        (f"{find}.early_min_coverage", f"{find}.early_min_coverage", 1.5),
        (f"{find}.early_after_ms", f"{find}.coverage", "wait_all"),
        (f"{book}.early_after_ms", f"{book}.coverage", "early"),
        (f"{book}.hedge", f"{book}.hedge", True),
        (second, f"{second}.port", 9000),
        (f"{first}.host", f"{first}.host", "example.org"),
        (f"{first}.slots", f"{first}.slots", 0),
        (f"{first}.connection_cap", f"{first}.connection_cap", 1),
        (f"{first}.port", f"{first}.port", True),
        ("$.services.sorting.shards[1]", "$.services.sorting.shards", ["mill-01", "mill-01"]),
        ("$.services.sorting.endpoints", "$.services.sorting.endpoints", {}),
        ("$.format", "$.format", 2),
        ("$.budgets.extra_legs_per_100", "$.budgets.extra_legs_per_100", -1),
    ]
    for expected, place, value in cases:
        raw = make_raw_content()
        target: Any = raw
        *parents, last = place.removeprefix("$.").split(".")
        for name in parents:
            target = target[name]
        target[last] = value
        assert expected in _paths(raw), (place, value, check_content(raw))


def test_all_errors_come_at_once() -> None:
    """Guards against an operator who learns of one error for each attempt."""
    raw = make_raw_content()
    raw["callers"]["mill"]["organisation"] = "nobody"
    raw["kinds"]["book"]["hedge"] = True
    raw["services"]["copy"] = raw["services"]["sorting"]
    paths = _paths(raw)
    assert {"$.callers.mill.organisation", "$.kinds.book.hedge"} <= paths
    assert "$.services.copy.endpoints.sorting-0" in paths
    shapes = make_raw_content()
    del shapes["kinds"]["book"]["hedge"]
    shapes["callers"]["mill"]["colour"] = "red"
    shapes["services"]["sorting"]["endpoints"]["sorting-1"]["port"] = "9001"
    assert _paths(shapes) == {
        "$.kinds.book.hedge",
        "$.callers.mill.colour",
        "$.services.sorting.endpoints.sorting-1.port",
    }


def test_a_shared_credential_is_refused() -> None:
    """Guards against a request whose caller is ambiguous."""
    raw = make_raw_content()
    raw["callers"]["other"] = dict(raw["callers"]["mill"])
    assert _paths(raw) == {"$.callers.other.credential_sha256"}


def test_values_of_other_types_do_not_raise() -> None:
    """Guards against an exception on input that is not an object at all."""
    for raw in (None, [], "text", 5, {"format": []}, {"callers": [1], "kinds": None}):
        assert _paths(raw)


load_tests = function_suite(globals())
