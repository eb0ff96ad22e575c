"""Tests of the settings of an instance."""

import json
import tempfile
from pathlib import Path

from wisteriarock.front.settings import FrontSettings, SettingsError, load_settings, parse_settings

from tests.common import function_suite

GOOD = {
    "instance": "front-1",
    "zone": "zone-a",
    "front_address": "10.0.0.1:8104",
    "ready_address": "10.0.0.1:8108",
    "peer_address": "10.0.0.1:7380",
    "metrics_address": "10.0.0.1:9464",
    "store_address": "10.0.0.9:8102",
    "drain_grace_s": 6,
    "extra_ratio": 0.2,
    "extra_fixed": 56,
    "extra_window_s": 10,
}


def test_valid_settings_with_comments():
    """Guards against rejecting a settings file with comment lines, as it is deployed."""
    text = "{\n  // a comment\n" + json.dumps(GOOD)[1:]
    settings = parse_settings(text)
    assert isinstance(settings, FrontSettings)
    assert not settings.even_load
    even = parse_settings(json.dumps({**GOOD, "even_load": True}))
    assert isinstance(even, FrontSettings) and even.even_load
    assert settings.store == ("10.0.0.9", 8102) and settings.extra_fixed == 56.0


def test_invalid_fields_are_named():
    """Guards against starting with invalid settings, and against errors without the field name."""
    for name, value in (
        ("front_address", "10.0.0.1"),
        ("peer_address", None),
        ("store_address", "10.0.0.9:0"),
        ("metrics_address", 9464),
        ("even_load", "yes"),
        ("even_load", 1),
        ("answer_by_round_trip", "no"),
        ("drain_grace_s", "six"),
        ("drain_grace_s", "6000"),
        ("drain_grace_s", 10**400),
        ("drain_grace_s", float("nan")),
        ("drain_grace_s", "true"),
        ("extra_ratio", -1),
        ("extra_fixed", True),
        ("extra_window_s", 0),
        ("cpu_share", 0),
        ("cpu_speed", "fast"),
        ("zone", ""),
    ):
        settings = parse_settings(json.dumps({**GOOD, name: value}))
        assert isinstance(settings, SettingsError) and settings.path == name, name
    settings = parse_settings(json.dumps({**GOOD, "limits": {"memory_mb": "much"}}))
    assert isinstance(settings, SettingsError) and settings.path == "limits.memory_mb"
    assert isinstance(parse_settings("{"), SettingsError)
    assert isinstance(parse_settings("[]"), SettingsError)


def test_unreadable_files_are_told_from_wrong_values():
    """Guards against an exception at the start, and against a wait for a file that is complete."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        assert load_settings(path).is_unreadable  # type: ignore[union-attr]
        for content in (b"\xff\xfe", b"", b"[" * 100_000, json.dumps(GOOD).encode()[:50]):
            path.write_bytes(content)
            assert load_settings(path).is_unreadable  # type: ignore[union-attr]
        path.write_text(json.dumps({**GOOD, "zone": ""}), encoding="utf-8")
        assert not load_settings(path).is_unreadable  # type: ignore[union-attr]


def _fill_template(**changes: str) -> str:
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
        "{{bounds.evac_ms}}": "5000",
        "{{bounds.cold_overshoot}}": "1.5",
        "{{bounds.cold_slack}}": "5",
        "{{bounds.quota_window_s}}": "4",
        "{{bounds.quota_overshoot}}": "0.1",
        "{{bounds.quota_slack}}": "",
        "{{limits.cpu_share}}": "0.537",
        "{{limits.cores}}": "2",
        "{{limits|json}}": '{"memory_mb": 200, "max_fds": 4100}',
        **changes,
    }
    text = template.read_text(encoding="utf-8")
    for placeholder, value in values.items():
        text = text.replace(placeholder, value)
    assert "{{" not in text
    return text


def test_deployment_template_is_valid():
    """Guards against a deployment template whose fields do not match the settings."""
    settings = parse_settings(_fill_template())
    assert isinstance(settings, FrontSettings)
    assert settings.drain_grace_ms == 6_000 and settings.cpu_share == 0.537
    assert settings.memory_mb == 200 and settings.evacuation_ms == 5_000
    assert (settings.cold_overshoot, settings.cold_slack) == (1.5, 5.0)
    tolerance = (settings.quota_window_s, settings.quota_overshoot, settings.quota_slack)
    assert tolerance == (4.0, 0.1, 0.0)


def test_bounds_with_fractions_or_without_value_are_valid():
    """Guards against a process that does not start in a deployment with other bounds."""
    settings = parse_settings(_fill_template(**{"{{bounds.grace_s}}": "4.5"}))
    assert isinstance(settings, FrontSettings) and settings.drain_grace_ms == 4_500
    settings = parse_settings(
        _fill_template(
            **{
                "{{bounds.grace_s}}": "",
                "{{bounds.budget_ratio}}": "",
                "{{bounds.budget_extra}}": "",
                "{{bounds.budget_window_s}}": "",
                "{{bounds.evac_ms}}": "",
                "{{bounds.cold_overshoot}}": "",
                "{{bounds.cold_slack}}": "",
                "{{limits.cpu_share}}": "",
                "{{limits.cores}}": "",
                "{{limits|json}}": "null",
            }
        )
    )
    assert isinstance(settings, FrontSettings)
    assert (settings.drain_grace_ms, settings.cpu_share, settings.cpu_speed) == (6_000, 1.0, 1.0)
    assert (settings.evacuation_ms, settings.cold_overshoot, settings.cold_slack) == (0, 1, 0)


load_tests = function_suite(globals())
