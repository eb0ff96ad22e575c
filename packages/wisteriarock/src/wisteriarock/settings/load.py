"""Read and check a settings file."""

import ipaddress
from pathlib import Path
from typing import Any

import json5
from returns.result import Failure, Result, Success

from wisteriarock.codec.decode import convert

from .const import MAX_SETTINGS_BYTES, TUNABLES
from .models import Settings, SettingsError, SettingsFile, Tunables


def check_tunables(values: dict[str, float]) -> Result[Tunables, SettingsError]:
    """Check tunables against their ranges and add the defaults.

    Parameters
    ----------
    values : dict
        Values by field name, as in the file.

    Returns
    -------
    Result
        Every field of `Tunables`, or the first error.
    """
    for name, value in values.items():
        path = f"$.tunables.{name}"
        if name not in TUNABLES:
            return Failure(SettingsError(path, "an unknown field", ", ".join(sorted(TUNABLES))))
        low, high, _ = TUNABLES[name]
        if not low <= value <= high:
            return Failure(SettingsError(path, f"{value:g}", f"{low:g} to {high:g}"))
    return Success(Tunables(**{name: values.get(name, r.default) for name, r in TUNABLES.items()}))


def _check_host(path: str, host: str) -> SettingsError | None:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return SettingsError(path, repr(host), "an IP address")
    return None


def _check_fields(raw: SettingsFile) -> SettingsError | None:
    """Return the first error among addresses, names and keys, or None."""
    hosts = [("$.public_host", raw["public_host"]), ("$.internal_host", raw["internal_host"])]
    hosts += [(f"$.peers[{i}].host", peer["host"]) for i, peer in enumerate(raw["peers"])]
    for path, host in hosts:
        if error := _check_host(path, host):
            return error
    ports = [("$.public_port", raw["public_port"]), ("$.internal_port", raw["internal_port"])]
    ports += [(f"$.peers[{i}].port", peer["port"]) for i, peer in enumerate(raw["peers"])]
    for path, port in ports:
        if not 1 <= port <= 65535:
            return SettingsError(path, str(port), "1 to 65535")
    for name in ("instance", "zone", "operator_token"):
        if not raw[name]:
            return SettingsError(f"$.{name}", "an empty string", "a non-empty string")
    if not raw["peer_keys"]:
        return SettingsError("$.peer_keys", "an empty list", "at least one key")
    for index, key in enumerate(raw["peer_keys"]):
        if len(key["secret"]) < 16:
            return SettingsError(
                f"$.peer_keys[{index}].secret",
                "a string that is too short",
                "at least 16 characters",
            )
    if not raw["platform_url"].startswith("http"):
        return SettingsError("$.platform_url", repr(raw["platform_url"]), "an http or https URL")
    return None


def check_settings(raw: Any) -> Result[Settings, SettingsError]:
    """Check a decoded settings file.

    Parameters
    ----------
    raw : Any
        Decoded JSON value.

    Returns
    -------
    Result
        The settings, or the first error with the path of its field.
    """
    converted = convert(raw, SettingsFile)
    if not isinstance(converted, Success):
        error = converted.failure()
        return Failure(SettingsError(error.path, error.message, "see docs/operations/settings.md"))
    values = converted.unwrap()
    if field_error := _check_fields(values):
        return Failure(field_error)
    tunables = check_tunables(values.get("tunables", {}))
    if not isinstance(tunables, Success):
        return Failure(tunables.failure())
    return Success(
        Settings(
            instance=values["instance"],
            zone=values["zone"],
            public_host=values["public_host"],
            public_port=values["public_port"],
            internal_host=values["internal_host"],
            internal_port=values["internal_port"],
            peers=tuple(values["peers"]),
            peer_keys=tuple(values["peer_keys"]),
            operator_token=values["operator_token"],
            operator_keys=values["operator_keys"],
            platform_url=values["platform_url"].rstrip("/"),
            bundle_path=values.get("bundle_path"),
            public_tls=values.get("public_tls"),
            tunables=tunables.unwrap(),
        )
    )


def load_settings(path: Path) -> Result[Settings, SettingsError]:
    """Read and check a settings file, JSON with comments.

    Parameters
    ----------
    path : Path
        Path of the settings file.

    Returns
    -------
    Result
        The settings, or the first error; a syntax error includes its line number.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure(SettingsError(str(path), str(error), "a readable UTF-8 file"))
    if len(text) > MAX_SETTINGS_BYTES:
        return Failure(SettingsError(str(path), f"{len(text)} bytes", f"{MAX_SETTINGS_BYTES}"))
    try:
        raw = json5.loads(text)
    except (ValueError, RecursionError) as error:
        return Failure(SettingsError(str(path), str(error), "JSON with comments"))
    return check_settings(raw)
