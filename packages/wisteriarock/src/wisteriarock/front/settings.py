"""Settings of an instance, read from a JSON file."""

import json
from pathlib import Path
from typing import Any, NamedTuple

Address = tuple[str, int]


class FrontSettings(NamedTuple):
    """Validated settings.

    Attributes
    ----------
    drain_grace_ms : float
        Time from the stop signal until the process is killed.
    extra_ratio, extra_fixed : float
        Published budget of repeated requests (hedges and retries) to a service: share of its
        requests, and fixed number in each window of `extra_window_s` seconds.
    metrics : tuple or None
        Address that serves metrics and the state dump.
    cpu_share, cpu_speed : float
        Share of a core that the instance may use, and the speed of that core relative to others.
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


class SettingsError(NamedTuple):
    """Error in the settings file: its location, the value found and the values allowed."""

    path: str
    found: str
    allowed: str


def _address(value: Any) -> Address | None:
    if not isinstance(value, str):
        return None
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        return None
    return host, int(port)


def parse_settings(text: str) -> FrontSettings | SettingsError:
    """Parse settings from a JSON document that may contain comment lines (`//`)."""
    lines = [line for line in text.splitlines() if not line.lstrip().startswith("//")]
    try:
        data = json.loads("\n".join(lines))
    except ValueError as error:
        return SettingsError("(file)", str(error), "JSON, with comment lines that start with //")
    if not isinstance(data, dict):
        return SettingsError("(file)", type(data).__name__, "an object")
    addresses: dict[str, Address] = {}
    for name in ("front_address", "ready_address", "peer_address", "store_address"):
        address = _address(data.get(name))
        if address is None:
            return SettingsError(name, repr(data.get(name)), "HOST:PORT")
        addresses[name] = address
    numbers: dict[str, float] = {}
    for name, low, high, default in (
        ("drain_grace_ms", 100.0, 600_000.0, 6_000.0),
        ("extra_ratio", 0.0, 10.0, 0.2),
        ("extra_fixed", 0.0, 100_000.0, 50.0),
        ("extra_window_s", 1.0, 3_600.0, 10.0),
        ("cpu_share", 0.001, 1_000.0, 1.0),
        ("cpu_speed", 0.001, 1_000.0, 1.0),
    ):
        value = data.get(name, default)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not low <= value <= high:
            return SettingsError(name, repr(value), f"a number from {low} to {high}")
        numbers[name] = float(value)
    for name in ("instance", "zone"):
        if not isinstance(data.get(name), str) or not data[name]:
            return SettingsError(name, repr(data.get(name)), "a non-empty string")
    metrics = data.get("metrics_address")
    if metrics is not None and _address(metrics) is None:
        return SettingsError("metrics_address", repr(metrics), "HOST:PORT")
    return FrontSettings(
        data["instance"],
        data["zone"],
        addresses["front_address"],
        addresses["ready_address"],
        addresses["peer_address"],
        _address(metrics),
        addresses["store_address"],
        numbers["drain_grace_ms"],
        numbers["extra_ratio"],
        numbers["extra_fixed"],
        numbers["extra_window_s"],
        numbers["cpu_share"],
        numbers["cpu_speed"],
    )


def load_settings(path: Path) -> FrontSettings | SettingsError:
    """Read the settings file."""
    try:
        return parse_settings(path.read_text(encoding="utf-8"))
    except OSError as error:
        return SettingsError(str(path), str(error.strerror), "a readable file")
