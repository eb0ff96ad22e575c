"""Tests of the Prometheus text format."""

from wisteriarock.observability.counters import Counters
from wisteriarock.observability.exposition import render

from tests.common import function_suite


def test_latencies_fall_into_the_bucket_that_ends_above_them():
    """Guards against latency targets that the buckets misstate by one bucket."""
    counters = Counters()
    for value_ms in (150.0, 199.9, 200.0, 200.1, 7_000.0):
        counters.observe("answer", "blend", value_ms)
    text = render(counters, {}).decode()
    for bound, count in (("0.15", 1), ("0.2", 3), ("0.25", 4), ("6.0", 4), ("+Inf", 5)):
        line = f'wisteriarock_answer_seconds_bucket{{le="{bound}",route="blend"}} {count}.0'
        assert line in text, line


load_tests = function_suite(globals())
