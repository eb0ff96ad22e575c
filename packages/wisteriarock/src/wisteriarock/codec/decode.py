"""Decode JSON bodies into typed dictionaries and refuse what the type does not name."""

import re
from collections.abc import Hashable
from functools import cache
from typing import Any, NotRequired, Required, TypeVar, cast, get_args, get_origin, is_typeddict
from typing import get_type_hints as type_hints

import msgspec
from returns.result import Failure, Result, Success

from .models import DecodeError

T = TypeVar("T")

_PATH = re.compile(r" - at `(?P<path>[^`]+)`$")


@cache
def _fields(kind: Any) -> dict[str, Any]:
    return type_hints(kind)


def _unknown_field(value: Any, kind: Any, path: str) -> str | None:
    """Return the path of the first field that `kind` does not name, or None."""
    origin = get_origin(kind)
    if origin in (NotRequired, Required):
        return _unknown_field(value, get_args(kind)[0], path)
    if is_typeddict(kind) and isinstance(value, dict):
        fields = _fields(kind)
        for name, item in value.items():
            if name not in fields:
                return f"{path}.{name}"
            if found := _unknown_field(item, fields[name], f"{path}.{name}"):
                return found
        return None
    arguments = get_args(kind)
    if origin is list and isinstance(value, list):
        for index, item in enumerate(value):
            if found := _unknown_field(item, arguments[0], f"{path}[{index}]"):
                return found
        return None
    if origin is dict and isinstance(value, dict):
        for name, item in value.items():
            if found := _unknown_field(item, arguments[1], f"{path}.{name}"):
                return found
        return None
    for argument in arguments:
        if is_typeddict(argument) and isinstance(value, dict):
            return _unknown_field(value, argument, path)
    return None


@cache
def _may_hold_unknown(kind: Hashable) -> bool:
    """Tell whether `kind` has a typed dictionary anywhere, so that the check is worth its time."""
    if is_typeddict(kind):
        return True
    return any(_may_hold_unknown(argument) for argument in get_args(kind))


def convert(value: Any, kind: type[T]) -> Result[T, DecodeError]:
    """Check a decoded JSON value against a type.

    Parameters
    ----------
    value : Any
        What a JSON decoder returned.
    kind : type
        A `TypedDict`, or a list or dict of them.

    Returns
    -------
    Result
        The value, or a `DecodeError` with code `invalid_field` or `unknown_field`.
    """
    try:
        checked = msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        text = str(error)
        match = _PATH.search(text)
        path = match["path"] if match else "$"
        return Failure(DecodeError("invalid_field", _PATH.sub("", text) + ".", path))
    if _may_hold_unknown(cast(Hashable, kind)) and (unknown := _unknown_field(value, kind, "$")):
        return Failure(DecodeError("unknown_field", f"Unknown field {unknown}.", unknown))
    return Success(checked)


def decode(body: bytes, kind: type[T], max_bytes: int) -> Result[T, DecodeError]:
    """Decode a JSON body and check it against a type.

    Parameters
    ----------
    body : bytes
        The JSON text.
    kind : type
        A `TypedDict`, or a list or dict of them.
    max_bytes : int
        Longest accepted body in bytes.

    Returns
    -------
    Result
        The value, or a `DecodeError`.
    """
    if len(body) > max_bytes:
        return Failure(DecodeError("too_long", f"The body is over {max_bytes} bytes.", "$"))
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Failure(DecodeError("invalid_json", f"The body is not JSON: {error}.", "$"))
    return convert(value, kind)
