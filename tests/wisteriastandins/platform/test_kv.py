"""Tests of compare-and-swap and leases of the key-value service."""

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success
from wisteriastandins.platform.kv import (
    create_lease,
    delete,
    end_lease,
    expire_leases,
    get_revision,
    next_expiry_ms,
    put,
    renew_lease,
)
from wisteriastandins.platform.models import Store, WriteError

from tests.common import function_suite

CALLS = st.lists(st.tuples(st.sampled_from(["put", "delete"]), st.integers(0, 4)), max_size=30)


@given(CALLS)
def test_revisions_only_grow(calls: list[tuple[str, int]]) -> None:
    """Guards against a compare-and-swap that succeeds on a key that was deleted and recreated."""
    store, revisions = Store(), [0]
    for name, expected in calls:
        before, puts = get_revision(store, "k"), name == "put"
        write = put(store, "k", "v", expected, None) if puts else delete(store, "k", expected)
        assert isinstance(write, Success) == (expected == before and (puts or before > 0))
        if isinstance(write, Success):
            revisions.append(write.unwrap())
    assert revisions == list(range(len(revisions)))


def test_one_of_two_writers_wins() -> None:
    """Guards against two concurrent writers that both succeed in replacing the head."""
    store = Store()
    assert put(store, "head", "a", 0, None) == Success(1)
    assert put(store, "head", "b", 0, None) == Failure(WriteError.CONFLICT)
    assert put(store, "head", "b", 1, None) == Success(2)
    assert delete(store, "head", 1) == Failure(WriteError.CONFLICT)
    assert delete(store, "other", 0) == Failure(WriteError.NOT_FOUND)


def test_ending_a_lease_deletes_its_keys() -> None:
    """Guards against keys that outlive their lease, and against renewing an ended lease."""
    store = Store()
    lease_id = create_lease(store, 100, 0)
    put(store, "a", "1", 0, lease_id)
    put(store, "b", "1", 0, lease_id)
    put(store, "b", "2", 1, None)
    assert renew_lease(store, lease_id, 50) and next_expiry_ms(store) == 150
    expire_leases(store, 149)
    assert get_revision(store, "a") == 1
    expire_leases(store, 150)
    assert sorted(store.values) == ["b"]
    assert not renew_lease(store, lease_id, 150) and not end_lease(store, lease_id)
    assert put(store, "a", "1", 0, lease_id) == Failure(WriteError.NO_LEASE)
    assert store.changed_keys[-1] == "a"


load_tests = function_suite(globals())
