"""Parse JSON from outside the process, and check its text; uses only the standard library."""

import json
from typing import Any


def parse_json(text: bytes | str) -> Any:
    """Parse a JSON document.

    Raises
    ------
    ValueError
        If the text is not valid JSON, or is nested too deeply to be parsed.
    """
    try:
        return json.loads(text)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def is_printable(value: Any) -> bool:
    """Return whether a value is non-empty text that can be logged and sent in a header.

    Half a surrogate pair, which JSON can express, cannot be encoded; a line break would start
    another line or header.
    """
    return isinstance(value, str) and bool(value) and value.isprintable()
