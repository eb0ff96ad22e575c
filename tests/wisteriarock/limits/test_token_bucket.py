"""Tests of the token bucket."""

from wisteriarock.limits.token_bucket import (
    add_tokens,
    create_bucket,
    time_until_available_ms,
    try_consume,
)

from tests.common import function_suite


def test_rate_and_burst_are_enforced() -> None:
    """Guards against a bucket that grants more tokens than its rate and burst allow."""
    bucket = create_bucket(rate_per_s=10, burst=5, now_ms=0)
    taken = sum(try_consume(bucket, 1, now_ms) for now_ms in range(0, 10_000, 7))
    assert 103 <= taken <= 105


def test_a_clock_that_steps_back_adds_no_tokens() -> None:
    """Guards against refilling twice for the same period."""
    bucket = create_bucket(rate_per_s=1000, burst=1, now_ms=1000)
    assert try_consume(bucket, 1, 1000)
    assert not try_consume(bucket, 1, 0)
    assert not try_consume(bucket, 1, 1000)


def test_wait_is_infinite_beyond_the_burst() -> None:
    """Guards against a finite retry delay for a request that can never be admitted."""
    bucket = create_bucket(rate_per_s=10, burst=5, now_ms=0)
    assert time_until_available_ms(bucket, 6, 0) == float("inf")
    try_consume(bucket, 5, 0)
    assert time_until_available_ms(bucket, 1, 0) == 100
    add_tokens(bucket, 100)
    assert time_until_available_ms(bucket, 5, 0) == 0


load_tests = function_suite(globals())
