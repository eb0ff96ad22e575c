"""Formatting of values in log lines."""

from typing import Any

_CHARACTERS_TO_QUOTE = frozenset(' "=\n\r\t')


def format_value(value: Any) -> str:
    """Format a value for a log line; quote it if empty or if it has whitespace, quotes or `=`."""
    if isinstance(value, bytes):
        text = value.decode("latin-1")
    else:
        text = f"{value:.3f}" if isinstance(value, float) else str(value)
    if not text or _CHARACTERS_TO_QUOTE & set(text):
        escaped = text.replace("\\", "\\\\").replace('"', '\\"')
        return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t") + '"'
    return text
