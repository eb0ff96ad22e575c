"""Tests of the limits on what callers may make an instance use."""

import os

from wisteriarock.front.caller_limits import LimitReporter, connections_max
from wisteriarock.front.settings import FrontSettings, SettingsError, parse_settings
from wisteriarock.http.listener import CallerLimit
from wisteriarock.observability.counters import Counters
from wisteriarock.observability.event_log import EventLog

from tests.common import function_suite

ADDRESS = ("127.0.0.1", 1)


def _settings(memory_mb: float, max_descriptors: int) -> FrontSettings:
    return FrontSettings(
        "front-1",
        "zone-a",
        *[ADDRESS] * 5,
        6_000.0,
        0.2,
        50.0,
        10.0,
        memory_mb=memory_mb,
        max_descriptors=max_descriptors,
    )


def test_connections_are_bounded_by_descriptors_and_memory():
    """Guards against more connections than the process has descriptors or memory for."""
    assert connections_max(_settings(300.0, 4_100), 0.5) == 1_950
    assert connections_max(_settings(32.0, 4_100), 0.5) == 520
    assert connections_max(_settings(300.0, 210), 0.5) == 8


def test_descriptor_limit_is_read_from_the_settings():
    """Guards against a limit of the platform that the process does not know of."""
    names = ("front", "ready", "peer", "store")
    text = ", ".join(f'"{name}_address": "127.0.0.1:1"' for name in names)
    start = f'{{"instance": "a", "zone": "b", {text}'
    settings = parse_settings(f'{start}, "limits": {{"max_fds": 4100}}}}')
    assert isinstance(settings, FrontSettings) and settings.max_descriptors == 4_100
    settings = parse_settings(f"{start}}}")
    assert isinstance(settings, FrontSettings) and settings.max_descriptors >= 256
    error = parse_settings(f'{start}, "limits": {{"max_fds": "many"}}}}')
    assert isinstance(error, SettingsError) and error.path == "limits.max_fds"


def test_each_limit_is_logged_once_per_interval():
    """Guards against a flood of refusals that floods the log as well."""
    now_ms = 5_000.0
    reading, writing = os.pipe()
    try:
        log, counters = EventLog(writing, lambda: now_ms / 1000), Counters()
        reporter = LimitReporter(lambda: now_ms, log, counters)
        for _ in range(500):
            reporter.report(CallerLimit.MEMORY)
        reporter.report(CallerLimit.CONNECTIONS)
        now_ms += 1_000.0
        reporter.report(CallerLimit.MEMORY)
        log.flush()
        lines = os.read(reading, 10_000).decode().splitlines()
        ends = [line.partition("event=")[2] for line in lines]
        assert ends == [
            "callers_limited limit=memory count=1",
            "callers_limited limit=connections count=1",
            "callers_limited limit=memory count=500",
        ]
        assert counters.total("callers_limited") == 502
    finally:
        os.close(reading)
        os.close(writing)


load_tests = function_suite(globals())
