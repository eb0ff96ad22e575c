"""Tests of the decoding of customers and keys."""

import json

from wisteriaplatform.customers import decode_customers
from wisteriaplatform.requests import encode_leg_template, read_request, replace_key
from wisteriaplatform.store import decode_configuration
from wisteriarock.catalog.models import Configuration
from wisteriarock.customers.keys import digest_key
from wisteriarock.http.front import CallerRequest

from tests.common import function_suite

_GOOD = {"name": "school", "api_keys": ["k-1"], "priority": 1, "rate_per_s": 7.5, "burst": 4}


def _request(*headers: tuple[bytes, bytes]) -> CallerRequest:
    common = [(b"Host", b"shop.example"), (b"Request-Id", b"r-1")]
    return CallerRequest(b"GET", b"/a/", common + list(headers), b"", 0.0, False)


def _digest_of(*values: bytes) -> bytes | None:
    head = read_request(_request(*((b"authorization", value) for value in values)))
    assert head is not None
    return head.key_digest


def test_key_of_a_request():
    """Guards against refusing a proper key, and against a guess among several or odd ones."""
    expected = digest_key(b"k-1")
    for value in (b"Token k-1", b"token k-1", b" TOKEN   k-1 "):
        assert _digest_of(value) == expected, value
    assert _digest_of(b"Token k-1", b"Token k-1") == expected
    for values in (
        (),
        (b"",),
        (b"Token",),
        (b"Token ",),
        (b"k-1",),
        (b"Bearer k-1",),
        (b"Token\tk-1",),
        (b"Token k-1", b"Token k-2"),
        (b"Token k-1", b"Basic x"),
    ):
        assert _digest_of(*values) is None, values


def test_odd_customers_are_left_out_alone():
    """Guards against an entry that makes the instance miss a version, or opens its routes."""
    odd = [
        None,
        7,
        "school",
        {},
        {**_GOOD, "name": None},
        {**_GOOD, "name": ""},
        {**_GOOD, "name": "a\r\nX: 1"},
        {**_GOOD, "name": "\u043a\u0430\u0444\u0435"},
        {**_GOOD, "name": " school"},
        {**_GOOD, "api_keys": "k-1"},
        {**_GOOD, "api_keys": None},
        {**_GOOD, "priority": "1"},
        {**_GOOD, "priority": True},
        {**_GOOD, "priority": -1},
        {**_GOOD, "rate_per_s": -1},
        {**_GOOD, "rate_per_s": "7"},
        {**_GOOD, "rate_per_s": float("inf")},
        {**_GOOD, "rate_per_s": float("nan")},
        {**_GOOD, "rate_per_s": 10**400},
        {**_GOOD, "burst": -1},
        {**_GOOD, "burst": []},
    ]
    for row in odd:
        value = {"version": 3, "routes": [], "tenants": [row]}
        configuration = decode_configuration(json.dumps(value).encode())
        assert isinstance(configuration, Configuration), row
        assert configuration.customers == () and configuration.needs_key, row
        assert len(configuration.odd_customers) == 1
    customers, reasons = decode_customers([*odd, _GOOD, {**_GOOD, "api_keys": ["k-2"]}])
    assert [(each.name, each.rate_per_s, each.burst) for each in customers] == [("school", 7.5, 4)]
    assert len(reasons) == len(odd) + 1
    assert customers[0].key_digests == {digest_key(b"k-1")}


def test_odd_keys_are_left_out_alone_and_not_logged():
    """Guards against a customer without access because of one key, and against keys in the log."""
    large = "secret" * 20_000
    keys = ["k-1", "secret\n", "", " secret", 7, None, ["secret"], "\u043a\u0430", large]
    customers, reasons = decode_customers([{**_GOOD, "api_keys": keys}])
    assert customers[0].key_digests == {digest_key(b"k-1"), digest_key(large.encode())}
    assert len(reasons) == 1 and "secret" not in reasons[0]


def test_configuration_without_customers_needs_no_key():
    """Guards against a deployment without customers that refuses its callers."""
    for tenants in ({}, {"tenants": None}):
        value = {"version": 3, "routes": [], **tenants}
        configuration = decode_configuration(json.dumps(value).encode())
        assert isinstance(configuration, Configuration) and not configuration.needs_key


def test_configuration_with_customers_needs_a_key_whatever_they_are():
    """Guards against routes open to callers without a key once the last customer has left."""
    for tenants in ([], {}, "", "x", 0, False):
        value = {"version": 3, "routes": [], "tenants": tenants}
        configuration = decode_configuration(json.dumps(value).encode())
        assert isinstance(configuration, Configuration)
        assert configuration.customers == () and configuration.needs_key, tenants


def test_key_and_names_of_the_caller_are_not_passed_on():
    """Guards against a key at an endpoint, and a customer's name that the caller chose."""
    request = _request(
        (b"Tenant", b"forged-1"),
        (b"AUTHORIZATION", b"Token secret"),
        (b"tENANT", b"forged-2"),
        (b"authorization", b"Token secret"),
        (b"Connection", b"keep-alive, Tenant, X-Hop"),
        (b"X-Hop", b"dropped"),
        (b"X-Note", b"kept"),
        (b"tenant", b"forged in a trailer"),
    )
    for name, expected in (("school", [b"Tenant: school"]), (None, [])):
        lines = encode_leg_template(replace_key(request, name)).split(b"\r\n")
        assert [line for line in lines if line.lower().startswith(b"tenant")] == expected
        text = b"\n".join(lines)
        assert b"secret" not in text and b"forged" not in text and b"dropped" not in text
        assert b"X-Note: kept" in lines and b"Request-Id: r-1" in lines


load_tests = function_suite(globals())
