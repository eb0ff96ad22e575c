"""Decode JSON bodies into typed dictionaries and reject unknown fields."""

import re
from collections.abc import Hashable
from functools import cache
from typing import Any, NotRequired, Required, TypeVar, cast, get_args, get_origin, is_typeddict
from typing import get_type_hints as type_hints

import msgspec
from returns.result import Failure, Result, Success

from .models import DecodeError

T = TypeVar("T")

_PATH_SUFFIX = re.compile(r" - at `(?P<path>[^`]+)`$")


@cache
def _field_types(expected_type: Any) -> dict[str, Any]:
    return type_hints(expected_type)


def _find_unknown_field(value: Any, expected_type: Any, path: str) -> str | None:
    """Return the path of the first field that `expected_type` does not declare, or None."""
    origin = get_origin(expected_type)
    if origin in (NotRequired, Required):
        return _find_unknown_field(value, get_args(expected_type)[0], path)
    if is_typeddict(expected_type) and isinstance(value, dict):
        field_types = _field_types(expected_type)
        for name, item in value.items():
            if name not in field_types:
                return f"{path}.{name}"
            if unknown_path := _find_unknown_field(item, field_types[name], f"{path}.{name}"):
                return unknown_path
        return None
    arguments = get_args(expected_type)
    if origin is list and isinstance(value, list):
        for index, item in enumerate(value):
            if unknown_path := _find_unknown_field(item, arguments[0], f"{path}[{index}]"):
                return unknown_path
        return None
    if origin is dict and isinstance(value, dict):
        for name, item in value.items():
            if unknown_path := _find_unknown_field(item, arguments[1], f"{path}.{name}"):
                return unknown_path
        return None
    for argument in arguments:
        if is_typeddict(argument) and isinstance(value, dict):
            return _find_unknown_field(value, argument, path)
    return None


@cache
def _contains_typed_dict(expected_type: Hashable) -> bool:
    """Return whether `expected_type` contains a typed dictionary; only these need the check."""
    if is_typeddict(expected_type):
        return True
    return any(_contains_typed_dict(argument) for argument in get_args(expected_type))


def convert(value: Any, expected_type: type[T]) -> Result[T, DecodeError]:
    """Validate a decoded JSON value against a type.

    Parameters
    ----------
    value : Any
        Output of a JSON decoder.
    expected_type : type
        A `TypedDict`, or a list or dict of them.

    Returns
    -------
    Result
        The value, or a `DecodeError` with code `invalid_field` or `unknown_field`.
    """
    try:
        checked = msgspec.convert(value, expected_type)
    except msgspec.ValidationError as error:
        message = str(error)
        match = _PATH_SUFFIX.search(message)
        path = match["path"] if match else "$"
        return Failure(DecodeError("invalid_field", _PATH_SUFFIX.sub("", message) + ".", path))
    except UnicodeEncodeError:
        # Half a surrogate pair, which JSON can spell and UTF-8 cannot.
        return Failure(DecodeError("invalid_field", "Text that cannot be encoded.", "$"))
    if _contains_typed_dict(cast(Hashable, expected_type)) and (
        unknown_path := _find_unknown_field(value, expected_type, "$")
    ):
        return Failure(DecodeError("unknown_field", f"Unknown field {unknown_path}.", unknown_path))
    return Success(checked)


def decode(body: bytes, expected_type: type[T], max_bytes: int) -> Result[T, DecodeError]:
    """Decode a JSON body and validate it against a type.

    Parameters
    ----------
    body : bytes
        The body as received.
    expected_type : type
        A `TypedDict`, or a list or dict of them.
    max_bytes : int
        Maximum size of the body in bytes.

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
    return convert(value, expected_type)
