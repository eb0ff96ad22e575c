"""Load the settings, key and content files of the command line."""

import json
import stat
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import json5
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Failure, Result, Success
from wisteriarock.bundle.checks import check_content
from wisteriarock.bundle.const import NAME_PATTERN
from wisteriarock.bundle.models import BundleContent
from wisteriarock.bundle.signing import (
    private_key_from_pem,
    public_key_from_text,
    public_key_to_text,
)
from wisteriarock.codec.decode import convert

from .const import MAX_FILE_CHARS, ExitCode
from .models import CtlSettingsFile, Outcome


def _input_error(message: str, **data: Any) -> Failure[Outcome]:
    return Failure(Outcome(ExitCode.INPUT, message, data))


def _refuse_constant(name: str) -> float:
    raise ValueError(f"{name} is not allowed")


def _build_object(pairs: Iterable[tuple[str, Any]]) -> dict[str, Any]:
    """Build an object; raise on a duplicate name, of which JSON decoders keep only the last."""
    result: dict[str, Any] = {}
    for name, value in pairs:
        if name in result:
            raise ValueError(f"the name {name!r} occurs twice in an object")
        result[name] = value
    return result


def read_json_file(path: Path) -> Result[Any, Outcome]:
    """Read JSON with optional comments and without duplicate names.

    Parameters
    ----------
    path : Path
        File to read.

    Returns
    -------
    Result
        The decoded value, or an outcome that names the file.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return _input_error(f"{path}: not a readable UTF-8 file: {error}")
    if len(text) > MAX_FILE_CHARS:
        return _input_error(f"{path}: over {MAX_FILE_CHARS} characters")
    try:
        # The json5 parser is slow on large files, and most are plain JSON.
        return Success(
            json.loads(text, object_pairs_hook=_build_object, parse_constant=_refuse_constant)
        )
    except json.JSONDecodeError:
        pass
    except (ValueError, RecursionError) as error:
        return _input_error(f"{path}: {error}")
    try:
        return Success(json5.loads(text, object_pairs_hook=_build_object))
    except (ValueError, RecursionError) as error:
        return _input_error(f"{path}: not JSON with comments: {error}")


def load_ctl_settings(path: Path) -> Result[CtlSettingsFile, Outcome]:
    """Read and check the settings of an operator.

    Parameters
    ----------
    path : Path
        Settings file, JSON with comments.

    Returns
    -------
    Result
        The settings, or an outcome that names the invalid field.
    """
    raw = read_json_file(path)
    if not isinstance(raw, Success):
        return Failure(raw.failure())
    converted = convert(raw.unwrap(), CtlSettingsFile)
    if not isinstance(converted, Success):
        error = converted.failure()
        return _input_error(f"{path}: {error.path}: {error.message}")
    settings = converted.unwrap()
    if not settings["platform_url"].startswith(("http://", "https://")):
        return _input_error(f"{path}: $.platform_url: allowed: an http or https URL")
    settings["platform_url"] = settings["platform_url"].rstrip("/")
    for name, key in settings["operator_keys"].items():
        if not NAME_PATTERN.fullmatch(name):
            return _input_error(
                f"{path}: $.operator_keys.{name}: allowed: letters, digits, '.', '_', '-'"
            )
        if not isinstance(public_key_from_text(key), Success):
            return _input_error(
                f"{path}: $.operator_keys.{name}: allowed: an Ed25519 key in base64"
            )
    for field in ("operator", "approver"):
        name = str(settings.get(field, settings["operator"]))
        if name not in settings["operator_keys"]:
            known = ", ".join(sorted(settings["operator_keys"]))
            return _input_error(f"{path}: $.{field}: found {name!r}, allowed: one of {known}")
    return Success(settings)


def load_key(settings: CtlSettingsFile, folder: Path) -> Result[Ed25519PrivateKey, Outcome]:
    """Read the operator's private key.

    Parameters
    ----------
    settings : CtlSettingsFile
        Settings with the key path and the operator.
    folder : Path
        Folder of the settings file; a relative key path is resolved against it.

    Returns
    -------
    Result
        The key, or an outcome that contains no part of it.
    """
    path = folder / settings["key_path"]
    try:
        if stat.S_IMODE(path.stat().st_mode) & 0o077:
            return _input_error(f"{path}: other users can access the key; set its mode to 600")
        pem = path.read_bytes()
    except OSError as error:
        return _input_error(f"{path}: not readable: {error.strerror}")
    key = private_key_from_pem(pem)
    if not isinstance(key, Success):
        return _input_error(f"{path}: not an Ed25519 private key in PEM")
    operator = settings["operator"]
    if public_key_to_text(key.unwrap()) != settings["operator_keys"][operator]:
        return _input_error(f"{path}: not the key listed in $.operator_keys for {operator}")
    return Success(key.unwrap())


def load_content(path: Path) -> Result[BundleContent, Outcome]:
    """Read and check a content file.

    Parameters
    ----------
    path : Path
        Content file, JSON with comments.

    Returns
    -------
    Result
        The content, or an outcome that lists every error.
    """
    raw = read_json_file(path)
    if not isinstance(raw, Success):
        return Failure(raw.failure())
    checked = check_content(raw.unwrap())
    if isinstance(checked, Success):
        return Success(checked.unwrap())
    errors = [error._asdict() for error in checked.failure()]
    return _input_error(f"{path}: {len(errors)} errors", errors=errors)
