"""Tests of the check of bundle contents."""

from typing import Any

from returns.result import Failure, Success
from wisteriarock.bundle.checks import check_content

from tests.bundle_samples import make_raw_content
from tests.common import function_suite


def _error_paths(raw: Any) -> set[str]:
    result = check_content(raw)
    assert isinstance(result, Failure), result
    assert all(error.found and error.allowed for error in result.failure())
    return {error.path for error in result.failure()}


def test_a_valid_content_passes() -> None:
    """Guards against rules that reject a valid content."""
    assert isinstance(check_content(make_raw_content()), Success)


def test_each_violation_is_reported_with_its_path() -> None:
    """Guards against an invalid content that is accepted, and an error with a wrong path."""
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
    for expected, field_path, value in cases:
        raw = make_raw_content()
        target: Any = raw
        *parents, last = field_path.removeprefix("$.").split(".")
        for name in parents:
            target = target[name]
        target[last] = value
        assert expected in _error_paths(raw), (field_path, value, check_content(raw))


def test_all_errors_are_reported_together() -> None:
    """Guards against a check that stops at the first error."""
    raw = make_raw_content()
    raw["callers"]["mill"]["organisation"] = "nobody"
    raw["kinds"]["book"]["hedge"] = True
    raw["services"]["copy"] = raw["services"]["sorting"]
    paths = _error_paths(raw)
    assert {"$.callers.mill.organisation", "$.kinds.book.hedge"} <= paths
    assert "$.services.copy.endpoints.sorting-0" in paths
    schema_raw = make_raw_content()
    del schema_raw["kinds"]["book"]["hedge"]
    schema_raw["callers"]["mill"]["colour"] = "red"
    schema_raw["services"]["sorting"]["endpoints"]["sorting-1"]["port"] = "9001"
    assert _error_paths(schema_raw) == {
        "$.kinds.book.hedge",
        "$.callers.mill.colour",
        "$.services.sorting.endpoints.sorting-1.port",
    }


def test_a_shared_credential_is_refused() -> None:
    """Guards against two callers that cannot be told apart by their credential."""
    raw = make_raw_content()
    raw["callers"]["other"] = dict(raw["callers"]["mill"])
    assert _error_paths(raw) == {"$.callers.other.credential_sha256"}


def test_values_of_other_types_do_not_raise() -> None:
    """Guards against an exception on input of an unexpected type."""
    for raw in (None, [], "text", 5, {"format": []}, {"callers": [1], "kinds": None}):
        assert _error_paths(raw)


load_tests = function_suite(globals())
