"""Tests of the decoding of the platform's HTTP messages."""

from wisteriaplatform.requests import read_reply

from tests.common import function_suite


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


load_tests = function_suite(globals())
