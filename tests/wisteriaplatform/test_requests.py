"""Tests of the decoding of the platform's HTTP messages."""

from wisteriaplatform.requests import TIME_LEFT_MAX_MS, read_reply, read_request
from wisteriarock.balancing.models import LoadReport
from wisteriarock.http.models import CallerRequest

from tests.common import function_suite


def test_time_left_is_bounded():
    """Guards against a time left that is infinite, or longer than any request."""
    for value, expected_ms in (
        (b"1500", 1_500.0),
        (b"9" * 12, TIME_LEFT_MAX_MS),
        (b"9" * 400, TIME_LEFT_MAX_MS),
    ):
        headers = [(b"Host", b"x"), (b"Request-Id", b"r"), (b"Deadline-Ms", value)]
        head = read_request(CallerRequest(b"GET", b"/a", headers, b"", 0.0, False))
        assert head is not None and head.time_left_ms == expected_ms, value


def test_rate_limit_is_decoded():
    """Guards against ignoring the rate limit that an endpoint names."""
    for value, expected in ((b"16.3", 16.3), (b" 4 ", 4.0), (b"0", 0.0), (b".5", 0.5)):
        head = read_reply(200, [(b"Server-Limit", value)])
        assert head.rate_limit_per_s == expected, value


def test_malformed_rate_limit_is_ignored():
    """Guards against acting on a limit that is no decimal number."""
    for value in (b"", b".", b"-1", b"+3", b"nan", b"inf", b"1e9", b"1.2.3", b"0x1", b"9" * 40):
        assert read_reply(200, [(b"Server-Limit", value)]).rate_limit_per_s is None, value
    assert read_reply(200, [(b"Server-Stamp", b"p")]).rate_limit_per_s is None


def test_load_report_is_decoded():
    """Guards against ignoring the load that an endpoint reports."""
    for value, expected in (
        (b"3,0,8", LoadReport(3, 0, 8, 1.0)),
        (b" 3, 12 ,8,250 ", LoadReport(3, 12, 8, 2.5)),
        (b"0,0,0,0", LoadReport(0, 0, 0, 0.0)),
    ):
        for status in (200, 503):
            assert read_reply(status, [(b"Server-Load", value)]).load == expected, value


def test_malformed_load_report_is_ignored():
    """Guards against choosing endpoints by figures that are no load report."""
    for value in (
        b"",
        b"3,0",
        b"3,0,8,100,1",
        b"3,-1,8",
        b"3,0,8,-100",
        b"3,,8",
        b"3,0,8,1e2",
        b"3,0,8,1.5",
        b"3;0;8",
        b"9" * 400 + b",0,8",
        b"9" * 10 + b",0,8",
        b"\xb2,0,8",
    ):
        assert read_reply(200, [(b"Server-Load", value)]).load is None, value
    twice = [(b"Server-Load", b"3,0,8"), (b"Server-Load", b"3,0,8")]
    assert read_reply(200, twice).load is None
    assert read_reply(200, twice + twice[:1]).load is None
    assert read_reply(200, []).load is None


def test_leaving_is_decoded():
    """Guards against ignoring an endpoint that says it leaves, and against other values."""
    for values, expected in (
        ((b"1",), True),
        ((b" 1 ",), True),
        ((b"1", b"1"), True),
        ((b"0", b"1"), True),
        ((b"0",), False),
        ((b"",), False),
        ((b"true",), False),
        ((b"1" * 5_000,), False),
        ((), False),
    ):
        for status in (200, 503, 500):
            headers = [(b"Server-Leaving", value) for value in values]
            assert read_reply(status, headers).is_leaving == expected, values


def test_pause_is_decoded():
    """Guards against requests to an endpoint that wants a pause, and against wrong values."""
    for value, expected_s in (
        (b"2", 2.0),
        (b" 0.25 ", 0.25),
        (b"3600", 3_600.0),
        (b"9" * 400, float("inf")),
        (b"0", 0.0),
        (b"-3", 0.0),
        (b"1e3", 0.0),
        (b"nan", 0.0),
        (b"", 0.0),
        (b"Wed, 21 Oct 2026 07:28:00 GMT", 0.0),
    ):
        assert read_reply(503, [(b"Retry-After", value)]).pause_s == expected_s, value
        # Other replies say nothing about this instance.
        assert read_reply(200, [(b"Retry-After", value)]).pause_s == 0.0
    both = [(b"Retry-After", b"1"), (b"Retry-After", b"4")]
    assert read_reply(503, both).pause_s == 4.0
    assert read_reply(503, []).pause_s == 0.0


load_tests = function_suite(globals())
