"""Tests of what the admission of a customer's request is told."""

import math

from wisteriarock.catalog.decide import adopt
from wisteriarock.catalog.models import Customer
from wisteriarock.dispatch.const import FULL_TIME_PERIOD_MS
from wisteriarock.dispatch.decide import forget_full_times, is_later_attempt
from wisteriarock.dispatch.models import FullTime

from tests.common import function_suite
from tests.wisteriarock.dispatch.emulator import Emulator
from tests.wisteriarock.samples import make_configuration, make_fan_out_route

_SCHOOL = Customer("school", frozenset({b"key"}), None, 1.0, 1.0)
_OTHER = Customer("other", frozenset({b"key2"}), None, 1.0, 1.0)


def _admission_of(requests: list[tuple[Customer, float]]) -> list[bool]:
    """Return for requests of customers with a time left which look like later attempts."""
    route = make_fan_out_route()
    emulator = Emulator(route)
    configuration = make_configuration(2, route)._replace(
        customers=(_SCHOOL, _OTHER), needs_key=True
    )
    adopt(emulator.state.catalog, configuration, 0.0)
    wire_format = emulator.state.wire_format
    left = list(requests)

    def read_with_key(request: object) -> object:
        head = wire_format.read_request(request)  # type: ignore[arg-type]
        customer, time_left_ms = left.pop(0)
        return head._replace(key_digest=min(customer.key_digests), time_left_ms=time_left_ms)

    emulator.state.wire_format = wire_format._replace(
        read_request=read_with_key  # type: ignore[arg-type]
    )
    asked: list[bool] = []
    emulator.state.admit_customer = lambda customer, is_back: asked.append(is_back)
    emulator.send_requests(len(requests), 50.0)
    assert all(answer.status == 200 for _, answer in emulator.answers.values())
    return asked


def test_caller_that_comes_back_is_told_from_a_first_attempt():
    """Guards against a hot customer whose room goes to requests that are late already."""
    requests = [(_SCHOOL, 1_500.0), (_SCHOOL, 1_500.0), (_SCHOOL, 1_100.0)]
    assert _admission_of(requests) == [False, False, True]


def test_huge_time_left_of_one_customer_beside_a_calm_one():
    """Guards against one odd request after which all others look like later attempts."""
    for huge_ms in (1e12, math.inf):
        requests = [(_OTHER, huge_ms), (_SCHOOL, 1_500.0), (_SCHOOL, 1_500.0), (_OTHER, 1_500.0)]
        assert _admission_of(requests) == [False] * 4
    assert _admission_of([(_OTHER, 1_500.0), (_SCHOOL, 600.0)]) == [False, False]


def test_longer_time_left_is_forgotten():
    """Guards against callers with a shorter time that count as later attempts for ever."""
    route = make_fan_out_route()
    full_times: dict[tuple[str, str], FullTime] = {}
    period_ms = FULL_TIME_PERIOD_MS
    is_later = [
        is_later_attempt(full_times, _SCHOOL, route, left_ms, at_ms)
        for at_ms, left_ms in (
            (0.0, 1_200.0),
            (0.5 * period_ms, 600.0),
            (1.5 * period_ms, 600.0),
            (2.5 * period_ms, 600.0),
            (9.0 * period_ms, 500.0),
        )
    ]
    assert is_later == [False, True, True, False, False]


def test_full_times_are_bounded_by_the_configuration():
    """Guards against state for customers without a limit, and for what was removed."""
    route = make_fan_out_route()
    full_times: dict[tuple[str, str], FullTime] = {}
    assert not is_later_attempt(full_times, _SCHOOL._replace(rate_per_s=0.0), route, 900.0, 0.0)
    assert not is_later_attempt(full_times, _SCHOOL, route, None, 0.0)
    assert not full_times
    for customer in (_SCHOOL, _OTHER):
        is_later_attempt(full_times, customer, route, 900.0, 0.0)
    forget_full_times(full_times, {"school": _SCHOOL}, {route.name})
    assert list(full_times) == [("school", route.name)]
    forget_full_times(full_times, {"school": _SCHOOL}, set())
    assert not full_times


load_tests = function_suite(globals())
