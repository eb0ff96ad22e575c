"""Tests of the limits on what callers may make an instance use."""

from wisteriarock.front.caller_limits import connections_max, create_budget
from wisteriarock.front.settings import FrontSettings, SettingsError, parse_settings

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


def test_accounts_leave_room_for_the_process_itself():
    """Guards against accounts that, with the process at rest, exceed a low memory limit."""
    budget = create_budget(_settings(40.0, 4_100), lambda: 0.0)
    assert budget.max_bytes == budget.max_reserved_bytes == 4_000_000
    budget = create_budget(_settings(200.0, 4_100), lambda: 0.0)
    assert budget.max_bytes == budget.max_reserved_bytes == 40_000_000


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


load_tests = function_suite(globals())
