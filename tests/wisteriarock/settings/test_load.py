"""Tests of reading the settings file."""

import tempfile
from pathlib import Path

from returns.result import Failure, Result, Success
from wisteriarock.settings.load import load_settings
from wisteriarock.settings.models import Settings, SettingsError

from tests.common import function_suite

GOOD = """{
  // comments are allowed
  instance: "e1", zone: "north", public_host: "127.0.0.1", public_port: 8080,
  internal_host: "127.0.0.1", internal_port: 8081, peers: [],
  peer_keys: [{key_id: "k1", secret: "0123456789abcdef"}],
  operator_token: "token", operator_keys: {}, platform_url: "http://127.0.0.1:9000/",
  tunables: {heartbeat_interval_ms: 250},
}"""


def _load(text: str) -> Result[Settings, SettingsError]:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_text(text, encoding="utf-8")
        return load_settings(path)


def test_defaults_fill_what_the_file_leaves_out() -> None:
    """Guards against a tunable that loses its default or its override."""
    settings = _load(GOOD).unwrap()
    assert settings.tunables.heartbeat_interval_ms == 250
    assert settings.tunables.suspect_after_ms == 2_000


def test_errors_name_the_field_and_what_is_allowed() -> None:
    """Guards against a wrong file that starts the process or fails without a path."""
    cases = {
        GOOD.replace("8080", "0"): "$.public_port",
        GOOD.replace("250", "1"): "$.tunables.heartbeat_interval_ms",
        GOOD.replace("zone:", "zoen:"): "$",
        GOOD.replace("peers: []", "peers: [{instance: 'a', zone: 'b', host: 'x', port: 1}]"): (
            "$.peers[0].host"
        ),
        GOOD.replace("zone:", "color: 1, zone:"): "$.color",
    }
    for text, path in cases.items():
        result = _load(text)
        assert isinstance(result, Failure), text
        assert result.failure().path == path, result


def test_syntax_error_carries_its_line() -> None:
    """Guards against a message that does not help to find the error."""
    result = _load(GOOD.replace("peers: []", "peers: [}"))
    assert not isinstance(result, Success)
    assert ":4" in result.failure().found


load_tests = function_suite(globals())
