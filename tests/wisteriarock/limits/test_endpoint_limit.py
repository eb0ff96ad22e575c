"""Tests of the rate limit that an endpoint names."""

from wisteriarock.limits.endpoint_limit import EndpointLimit, update_limit

from tests.common import function_suite


def test_limit_is_named_and_changed():
    """Guards against a limit that keeps its first value."""
    limit = update_limit(None, 16.5, 900.0, 1_000.0, is_success=True)
    assert limit is not None and limit.per_s == 16.5
    limit = update_limit(limit, 4.0, 1_900.0, 2_000.0, is_success=False)
    assert limit is not None and (limit.per_s, limit.first_named_at_ms) == (4.0, 1_000.0)


def test_limit_ends_with_a_later_success_that_names_none():
    """Guards against a limit that outlasts the endpoint's need."""
    limit = EndpointLimit(16.5, 1_000.0)
    assert update_limit(limit, None, 1_100.0, 1_200.0, is_success=True) is None


def test_limit_survives_a_failure_and_a_reply_to_an_earlier_leg():
    """Guards against ending a limit by a reply that does not show that the need is over."""
    limit = EndpointLimit(16.5, 1_000.0)
    assert update_limit(limit, None, 1_100.0, 1_200.0, is_success=False) is limit
    assert update_limit(limit, None, 950.0, 1_200.0, is_success=True) is limit


load_tests = function_suite(globals())
