"""Tests of the decoding of values from the platform's store."""

import json

from wisteriaplatform.store import (
    decode_configuration,
    decode_endpoint,
    decode_events,
    decode_item,
    decode_lease,
    decode_listing,
)
from wisteriarock.catalog.models import Service
from wisteriarock.discovery.models import EndpointEntry

from tests.common import function_suite

NESTED_TEXTS = (b"[" * 4_000, b"[" * 1_000_000, b'{"service":' * 100_000)
HUGE_NUMBERS = ("9" * 400, "-" + "9" * 400, "9" * 5_000, "1e400", "-1e400", "NaN", "Infinity")


def _encode_entry(**changes: object) -> bytes:
    entry = {
        "service": "invoicing",
        "address": "10.1.0.9:8104",
        "zone": "pnw-a",
        "version": "v1",
        "concurrency": 2,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
        "born": 1_700_000_000_000,
    }
    return json.dumps({**entry, **changes}).encode()


def test_deeply_nested_values_are_malformed():
    """Guards against an exception that ends the process at one entry of another writer."""
    for text in NESTED_TEXTS:
        assert isinstance(decode_endpoint("servers/i-1", text), str)
        assert isinstance(decode_configuration(text), str)
        for decode in (decode_item, decode_listing, decode_events, decode_lease):
            assert decode(text) is None


def test_numbers_out_of_range_are_malformed():
    """Guards against numbers that cannot be converted or calculated with."""
    for field in ("concurrency", "seq", "cold_left_ms", "born"):
        for number in HUGE_NUMBERS:
            text = _encode_entry(**{field: "NUMBER"}).replace(b'"NUMBER"', number.encode())
            assert isinstance(decode_endpoint("servers/i-1", text), str), (field, number)
    for number in HUGE_NUMBERS:
        text = b'{"version": %s, "routes": [], "services": []}' % number.encode()
        decode_configuration(text)


def test_addresses_that_cannot_be_connected_to_are_malformed():
    """Guards against a connect call that raises, and against name lookups."""
    for address in (
        "10.1.0.9:0",
        "10.1.0.9:65536",
        "10.1.0.9:" + "9" * 5_000,
        "10.1.0.9:\u00b2",
        "10.1.0.9:\u0661\u0662",
        "10.1.0.9:-1",
        "10.1.0.9: 80",
        "10.1.0.9",
        "10.1.0.256:80",
        "10.1:80",
        "mill.example:80",
        "mill \ud83d:80",
        "10.1.0.9\x00:80",
        ":80",
        "",
        8104,
        None,
        ["10.1.0.9", 80],
    ):
        assert isinstance(decode_endpoint("servers/i-1", _encode_entry(address=address)), str)


def test_names_that_cannot_be_encoded_are_malformed():
    """Guards against names that raise in the log or in a request header."""
    for name in ("mill \ud83d", "mill\r\nfloor", "", "\x00", None, 7, {}):
        assert isinstance(decode_endpoint("servers/i-1", _encode_entry(service=name)), str)
        assert isinstance(decode_endpoint("servers/i-1", _encode_entry(zone=name)), str)
    for key in (
        "servers/",
        "servers/i\r\nX: 1",
        "servers/i-\ud83d",
        "servers/\u043a\u0430\u0444\u0435",
    ):
        assert isinstance(decode_endpoint(key, _encode_entry()), str)


def test_valid_entries_are_decoded():
    """Guards against checks that refuse proper entries."""
    entry = decode_endpoint("servers/i-1", _encode_entry(service="\u043a\u0430\u0444\u0435"))
    assert entry == EndpointEntry(
        "i-1",
        "\u043a\u0430\u0444\u0435",
        "10.1.0.9",
        8104,
        "pnw-a",
        2,
        False,
        0.0,
        1_700_000_000_000,
    )


def _decode_service(**fields: object) -> Service | str:
    service = {"name": "invoicing", "health_path": "/health", "max_conns": 26, **fields}
    data = json.dumps({"version": 1, "routes": [], "services": [service]})
    configuration = decode_configuration(data.encode())
    return configuration if isinstance(configuration, str) else configuration.services[0]


def test_rates_of_cold_endpoints_are_decoded():
    """Guards against a limit that is not read, and a malformed one that stops an instance."""
    service = _decode_service(warmup_s=2.5, cold_per_s=7)
    assert service == Service("invoicing", "/health", 26, 2_500.0, 7.0)
    assert _decode_service() == Service("invoicing", "/health", 26, 0.0, 0.0)
    assert _decode_service(warmup_s=None, cold_per_s=0.0) == _decode_service()
    for value in (-1, "7", True, [], {}, 10**400, float("nan"), float("inf")):
        assert isinstance(_decode_service(cold_per_s=value), str), value
        assert isinstance(_decode_service(warmup_s=value), str), value


load_tests = function_suite(globals())
