"""Tests of the bound on the bytes of incomplete messages."""

from wisteriarock.http.buffers import BufferBudget
from wisteriarock.http.const import COUNTED_MIN_BYTES

from tests.common import function_suite


class _Holder:
    def __init__(self) -> None:
        self.is_evicted = False

    def evict(self) -> None:
        self.is_evicted = True


def test_largest_and_oldest_message_is_given_up():
    """Guards against a process that holds more than its memory allows."""
    size = COUNTED_MIN_BYTES
    budget = BufferBudget(10 * size)
    first, second, third, small = _Holder(), _Holder(), _Holder(), _Holder()
    budget.hold(first, 3 * size)
    budget.hold(second, 5 * size)
    budget.hold(third, 2 * size)
    assert budget.total_bytes == 10 * size
    budget.hold(third, 5 * size)
    assert second.is_evicted and not first.is_evicted and not third.is_evicted
    assert budget.total_bytes == 8 * size and budget.evicted_total == 1
    budget.hold(small, COUNTED_MIN_BYTES - 1)
    assert budget.total_bytes == 8 * size
    budget.release(first)
    budget.release(first)
    budget.release(small)
    assert budget.total_bytes == 5 * size


def test_message_larger_than_the_bound_is_given_up():
    """Guards against an endless search for another message to give up."""
    budget = BufferBudget(COUNTED_MIN_BYTES)
    only = _Holder()
    budget.hold(only, COUNTED_MIN_BYTES + 1)
    assert only.is_evicted and budget.total_bytes == 0


load_tests = function_suite(globals())
