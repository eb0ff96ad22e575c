"""Tests of the settings of an instance."""

import json
from pathlib import Path

from wisteriarock.front.settings import FrontSettings, SettingsError, parse_settings

from tests.common import function_suite

GOOD = {
    "instance": "front-1",
    "zone": "zone-a",
    "front_address": "10.0.0.1:8104",
    "ready_address": "10.0.0.1:8108",
    "peer_address": "10.0.0.1:7380",
    "metrics_address": "10.0.0.1:9464",
    "store_address": "10.0.0.9:8102",
    "drain_grace_ms": 6000,
    "extra_ratio": 0.2,
    "extra_fixed": 56,
    "extra_window_s": 10,
}


def test_valid_settings_with_comments():
    """Guards against rejecting a settings file with comment lines, as it is deployed."""
    text = "{\n  // a comment\n" + json.dumps(GOOD)[1:]
    settings = parse_settings(text)
    assert isinstance(settings, FrontSettings)
    assert settings.store == ("10.0.0.9", 8102) and settings.extra_fixed == 56.0


def test_invalid_fields_are_named():
    """Guards against starting with invalid settings, and against errors without the field name."""
    for name, value in (
        ("front_address", "10.0.0.1"),
        ("peer_address", None),
        ("store_address", "10.0.0.9:0"),
        ("metrics_address", 9464),
        ("drain_grace_ms", "6000"),
        ("extra_ratio", -1),
        ("extra_fixed", True),
        ("extra_window_s", 0),
        ("cpu_share", 0),
        ("cpu_speed", "fast"),
        ("zone", ""),
    ):
        settings = parse_settings(json.dumps({**GOOD, name: value}))
        assert isinstance(settings, SettingsError) and settings.path == name, name
    assert isinstance(parse_settings("{"), SettingsError)
    assert isinstance(parse_settings("[]"), SettingsError)


def test_deployment_template_is_valid():
    """Guards against a deployment template whose fields do not match the settings."""
    template = Path(__file__).parents[3] / "deploy" / "settings.json"
    values = {
        "{{node_name|json}}": '"front-1"',
        "{{zone|json}}": '"zone-a"',
        "{{listen.front|json}}": '"10.0.0.1:8104"',
        "{{listen.ready|json}}": '"10.0.0.1:8108"',
        "{{platform.address|json}}": '"10.0.0.9:8102"',
        "{{ip}}": "10.0.0.1",
        "{{internal_port_range.0}}": "7380",
        "{{bounds.grace_s}}": "6",
        "{{bounds.budget_ratio}}": "0.2",
        "{{bounds.budget_extra}}": "56",
        "{{bounds.budget_window_s}}": "10",
        "{{limits.cpu_share}}": "0.537",
        "{{limits.cores}}": "2",
    }
    text = template.read_text(encoding="utf-8")
    for placeholder, value in values.items():
        text = text.replace(placeholder, value)
    assert "{{" not in text
    assert isinstance(parse_settings(text), FrontSettings)


load_tests = function_suite(globals())
