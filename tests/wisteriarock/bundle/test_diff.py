"""Tests of the comparison of two contents."""

from wisteriarock.bundle.checks import check_content
from wisteriarock.bundle.diff import diff_contents
from wisteriarock.bundle.models import BundleContent

from tests.bundle_samples import make_checked_content, make_raw_content
from tests.common import function_suite


def _changed_content(path: str, value: object) -> BundleContent:
    raw = make_raw_content()
    *parents, last = path.split(".")
    target = raw
    for name in parents:
        target = target[name]
    if value is None:
        del target[last]
    else:
        target[last] = value
    return check_content(raw).unwrap()


def test_lines_name_each_changed_field_and_no_credential() -> None:
    """Guards against a change hidden from the approver, and a printed credential digest."""
    old = make_checked_content()
    assert diff_contents(old, old) == ((), ())
    lines = diff_contents(old, make_checked_content(11)).lines
    assert lines == ("~ callers.mill.cost_per_s: 10.0 -> 11.0",)
    replaced = diff_contents(old, _changed_content("callers.mill.credential_sha256", "b" * 64))
    assert replaced.lines == ("~ callers.mill.credential_sha256: replaced",)
    added = diff_contents(None, old).lines
    assert all("aaaa" not in line for line in added)
    assert "+ callers.mill.shards: ['mill-01']" in added


def test_warns_of_callers_and_shards_that_lose_access() -> None:
    """Guards against an approval that cuts off a caller or a shard without a warning."""
    old = make_checked_content()
    one_endpoint = {
        "sorting-0": make_raw_content()["services"]["sorting"]["endpoints"]["sorting-0"]
    }
    raw = make_raw_content()
    raw["callers"]["mill"]["shards"] = ["*"]
    all_shards = check_content(raw).unwrap()
    cases = [
        (old, _changed_content("callers.mill", None), "caller mill is cut off"),
        (old, _changed_content("callers.mill.kinds", ["find"]), "may no longer request book"),
        (
            old,
            _changed_content("callers.mill.shards", ["mill-02"]),
            "no longer reaches 1 shards: mill-01",
        ),
        (old, _changed_content("callers.mill.credential_sha256", "b" * 64), "the new credential"),
        (
            all_shards,
            _changed_content("services.sorting.shards", ["mill-01"]),
            "shard mill-02 is cut off",
        ),
        (
            old,
            _changed_content("services.sorting.endpoints", one_endpoint),
            "no endpoint left in zone east",
        ),
        (
            old,
            _changed_content("services.sorting.endpoints", one_endpoint),
            "mill-01 has one endpoint",
        ),
        (old, _changed_content("kinds.find.cost_per_leg", 21), "can never request find"),
    ]
    for before, after, text in cases:
        warnings = diff_contents(before, after).warnings
        assert any(text in warning for warning in warnings), (text, warnings)


load_tests = function_suite(globals())
