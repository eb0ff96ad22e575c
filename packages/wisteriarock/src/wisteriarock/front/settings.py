"""Settings of an instance, read from a JSON file."""

import resource
from pathlib import Path
from typing import Any, NamedTuple

from wisteriarock.codec.json_text import parse_json
from wisteriarock.http.address import Address, parse_address

MEMORY_DEFAULT_MB = 300.0
MEMORY_MIN_MB = 32.0
MEMORY_MAX_MB = 1_000_000.0
DESCRIPTORS_MIN = 256
DESCRIPTORS_MAX = 100_000_000


class FrontSettings(NamedTuple):
    """Validated settings.

    Attributes
    ----------
    drain_grace_ms : float
        Time from the stop signal until the process is killed; `drain_grace_s` in the file.
    extra_ratio, extra_fixed : float
        Published budget of repeated requests (hedges and retries) to a service: share of its
        requests, and fixed number in each window of `extra_window_s` seconds.
    metrics : tuple or None
        Address that serves metrics and the state dump.
    cpu_share, cpu_speed : float
        Share of a core that the instance may use, and the speed of that core relative to others.
    answer_by_round_trip : bool
        Whether a fan-out is answered by the round trip of its caller's connection.
    even_load : bool
        Whether endpoints are chosen by lasting speed and load also where they report none.
    quota_window_s, quota_overshoot, quota_slack : float
        Requests of a customer above its allotment that are tolerated in each window: a share of the
        allotment, and a fixed number.
    memory_mb : float
        Memory above which the platform ends the process; `memory_mb` of `limits` in the file.
    evacuation_ms : float
        Published time after which an evacuated availability zone gets no more requests.
    cold_overshoot, cold_slack : float
        Published bound on the requests of one second to a cold endpoint: factor on the rate that
        its service states, and number on top.
    max_descriptors : int
        Number of descriptors that the process may open; `max_fds` of `limits` in the file, or the
        limit of the process.
    """

    instance: str
    zone: str
    front: Address
    ready: Address
    peer: Address
    metrics: Address | None
    store: Address
    drain_grace_ms: float
    extra_ratio: float
    extra_fixed: float
    extra_window_s: float
    cpu_share: float = 1.0
    cpu_speed: float = 1.0
    memory_mb: float = MEMORY_DEFAULT_MB
    evacuation_ms: float = 0.0
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    even_load: bool = False
    answer_by_round_trip: bool = False
    quota_window_s: float = 5.0
    quota_overshoot: float = 0.0
    quota_slack: float = 0.0
    max_descriptors: int = DESCRIPTORS_MAX


class SettingsError(NamedTuple):
    """Error in the settings file: its location, the value found and the values allowed.

    `is_unreadable` is set if the file cannot be read or parsed, which is also so while it is being
    written.
    """

    path: str
    found: str
    allowed: str
    is_unreadable: bool = False


def _parse_number(value: Any, default: float) -> float | None:
    """Return a number, or text that holds one; empty text stands for the default.

    A template writes numbers as text, as a value that it has none for would leave no JSON.
    """
    if value == "":
        return default
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        return None
    try:
        return float(value)
    except (ValueError, OverflowError):
        return None


def _descriptor_limit() -> int:
    """Return the number of descriptors that the process may open."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    is_limited = limit != resource.RLIM_INFINITY
    return max(DESCRIPTORS_MIN, min(limit, DESCRIPTORS_MAX)) if is_limited else DESCRIPTORS_MAX


def parse_settings(text: str) -> FrontSettings | SettingsError:
    """Parse settings from a JSON document that may contain comment lines (`//`)."""
    lines = [line for line in text.splitlines() if not line.lstrip().startswith("//")]
    try:
        data = parse_json("\n".join(lines))
    except ValueError as error:
        allowed = "JSON, with comment lines that start with //"
        return SettingsError("(file)", str(error), allowed, is_unreadable=True)
    if not isinstance(data, dict):
        return SettingsError("(file)", type(data).__name__, "an object")
    addresses: dict[str, Address] = {}
    for name in ("front_address", "ready_address", "peer_address", "store_address"):
        address = parse_address(data.get(name))
        if address is None:
            return SettingsError(name, repr(data.get(name)), "HOST:PORT")
        addresses[name] = address
    numbers: dict[str, float] = {}
    for name, low, high, default in (
        ("drain_grace_s", 0.1, 600.0, 6.0),
        ("extra_ratio", 0.0, 10.0, 0.2),
        ("extra_fixed", 0.0, 100_000.0, 50.0),
        ("extra_window_s", 1.0, 3_600.0, 10.0),
        ("quota_window_s", 0.1, 3_600.0, 5.0),
        ("quota_overshoot", 0.0, 10.0, 0.0),
        ("quota_slack", 0.0, 100_000.0, 0.0),
        ("cpu_share", 0.001, 1_000.0, 1.0),
        ("cpu_speed", 0.001, 1_000.0, 1.0),
        ("evacuation_ms", 0.0, 600_000.0, 0.0),
        ("cold_overshoot", 0.0, 1_000.0, 1.0),
        ("cold_slack", 0.0, 100_000.0, 0.0),
    ):
        value = data.get(name, default)
        number = _parse_number(value, default)
        if number is None or not low <= number <= high:
            return SettingsError(name, repr(value), f"a number from {low} to {high}")
        numbers[name] = number
    limits: Any = data.get("limits")
    limits = limits if isinstance(limits, dict) else {}
    for name, low, high, default in (
        ("memory_mb", MEMORY_MIN_MB, MEMORY_MAX_MB, MEMORY_DEFAULT_MB),
        ("max_fds", DESCRIPTORS_MIN, DESCRIPTORS_MAX, float(_descriptor_limit())),
    ):
        number = _parse_number(limits.get(name) or "", default)
        if number is None or not low <= number <= high:
            allowed = f"a number from {low} to {high}"
            return SettingsError(f"limits.{name}", repr(limits.get(name)), allowed)
        numbers[name] = number
    for name in ("instance", "zone"):
        if not isinstance(data.get(name), str) or not data[name]:
            return SettingsError(name, repr(data.get(name)), "a non-empty string")
    switches: dict[str, bool] = {}
    for name in ("even_load", "answer_by_round_trip"):
        switch = data.get(name, False)
        if not isinstance(switch, bool):
            return SettingsError(name, repr(switch), "true or false")
        switches[name] = switch
    metrics = data.get("metrics_address")
    if metrics is not None and parse_address(metrics) is None:
        return SettingsError("metrics_address", repr(metrics), "HOST:PORT")
    return FrontSettings(
        data["instance"],
        data["zone"],
        addresses["front_address"],
        addresses["ready_address"],
        addresses["peer_address"],
        parse_address(metrics),
        addresses["store_address"],
        numbers["drain_grace_s"] * 1000,
        numbers["extra_ratio"],
        numbers["extra_fixed"],
        numbers["extra_window_s"],
        numbers["cpu_share"],
        numbers["cpu_speed"],
        numbers["memory_mb"],
        numbers["evacuation_ms"],
        numbers["cold_overshoot"],
        numbers["cold_slack"],
        switches["even_load"],
        switches["answer_by_round_trip"],
        numbers["quota_window_s"],
        numbers["quota_overshoot"],
        numbers["quota_slack"],
        int(numbers["max_fds"]),
    )


def load_settings(path: Path) -> FrontSettings | SettingsError:
    """Read the settings file."""
    try:
        return parse_settings(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return SettingsError(str(path), str(error), "a readable UTF-8 file", is_unreadable=True)
