"""Tests of loading the settings file."""

import tempfile
from pathlib import Path

from returns.result import Failure, Result, Success
from wisteriarock.settings.load import load_settings
from wisteriarock.settings.models import Settings, SettingsError

from tests.common import function_suite

SETTINGS = """{
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


def test_defaults_apply_to_missing_tunables() -> None:
    """Guards against a tunable that ignores its default or its value in the file."""
    settings = _load(SETTINGS).unwrap()
    assert settings.tunables.heartbeat_interval_ms == 250
    assert settings.tunables.suspect_after_ms == 2_000


def test_errors_name_the_field() -> None:
    """Guards against an invalid file that is accepted or refused without the path of the field."""
    cases = {
        SETTINGS.replace("8080", "0"): "$.public_port",
        SETTINGS.replace("250", "1"): "$.tunables.heartbeat_interval_ms",
        SETTINGS.replace("zone:", "zoen:"): "$",
        SETTINGS.replace("peers: []", "peers: [{instance: 'a', zone: 'b', host: 'x', port: 1}]"): (
            "$.peers[0].host"
        ),
        SETTINGS.replace("zone:", "color: 1, zone:"): "$.color",
    }
    for text, path in cases.items():
        result = _load(text)
        assert isinstance(result, Failure), text
        assert result.failure().path == path, result


def test_syntax_error_has_its_line_number() -> None:
    """Guards against a syntax error without its position."""
    result = _load(SETTINGS.replace("peers: []", "peers: [}"))
    assert not isinstance(result, Success)
    assert ":4" in result.failure().found


load_tests = function_suite(globals())
