"""Tests of the data that stand-in endpoints hold."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from wisteriastandins.data import params_error, partition_rows

from tests.common import function_suite


@given(st.integers(1, 9), st.integers(0, 40), st.none() | st.integers(0, 50))
def test_parts_make_up_the_shard(parts: int, lots: int, limit: int | None) -> None:
    """Guards against a union that depends on the number of parts: answers could not be checked."""
    params = {} if limit is None else {"limit": limit}
    whole = partition_rows("mill-07", 0, 1, 3, lots, params)
    divided: list[dict[str, Any]] = []
    for part in range(parts):
        divided += partition_rows("mill-07", part, parts, 3, lots, params)
    assert sorted(divided, key=str) == sorted(whole, key=str)
    assert len(whole) == (lots if limit is None else min(lots, limit))


def test_lot_selects_one_row() -> None:
    """Guards against an invoice lookup that returns other lots than the requested one."""
    row = {"lot": "mill-07-0003", "shard": "mill-07", "snapshot": 2}
    assert partition_rows("mill-07", 1, 2, 2, 20, {"lot": "mill-07-0003"}) == [row]
    assert partition_rows("mill-07", 0, 2, 2, 20, {"lot": "mill-07-0003"}) == []


def test_invalid_parameters_are_reported() -> None:
    """Guards against a type error while a leg runs."""
    for params in ({"lot": 3}, {"limit": -1}, {"limit": True}):
        assert params_error(params)
    assert params_error({"lot": "x", "limit": 0}) is None


load_tests = function_suite(globals())
