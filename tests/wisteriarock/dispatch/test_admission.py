"""Tests of what the admission of a customer's request is told."""

from wisteriarock.catalog.decide import adopt
from wisteriarock.catalog.models import Customer

from tests.common import function_suite
from tests.wisteriarock.dispatch.emulator import Emulator
from tests.wisteriarock.samples import make_configuration, make_fan_out_route

_SCHOOL = Customer("school", frozenset({b"key"}), None, 1.0, 1.0)


def test_caller_that_comes_back_is_told_from_a_first_attempt():
    """Guards against a hot customer whose room goes to requests that are late already."""
    route = make_fan_out_route()
    emulator = Emulator(route)
    configuration = make_configuration(2, route)._replace(customers=(_SCHOOL,), needs_key=True)
    adopt(emulator.state.catalog, configuration, 0.0)
    wire_format = emulator.state.wire_format
    times_left_ms = [1_500.0, 1_500.0, 1_100.0]

    def read_with_key(request: object) -> object:
        head = wire_format.read_request(request)  # type: ignore[arg-type]
        return head._replace(key_digest=b"key", time_left_ms=times_left_ms.pop(0))

    emulator.state.wire_format = wire_format._replace(
        read_request=read_with_key  # type: ignore[arg-type]
    )
    asked: list[bool] = []
    emulator.state.admit_customer = lambda customer, is_back: asked.append(is_back)
    emulator.send_requests(3, 50.0)
    assert asked == [False, False, True]
    assert all(answer.status == 200 for _, answer in emulator.answers.values())


load_tests = function_suite(globals())
