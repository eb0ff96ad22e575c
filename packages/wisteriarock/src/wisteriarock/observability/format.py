"""Formatting of values in log lines."""

from typing import Any

_CHARACTERS_TO_QUOTE = frozenset(' "=\n\r\t')


def format_value(value: Any) -> str:
    """Format a value for a log line.

    Text is quoted if it is empty or has whitespace, quotes, `=`, or characters that cannot be
    printed, which are escaped: line breaks of any kind, and halves of surrogate pairs.
    """
    if isinstance(value, bytes):
        text = value.decode("latin-1")
    else:
        text = f"{value:.3f}" if isinstance(value, float) else str(value)
    if text and text.isprintable() and not _CHARACTERS_TO_QUOTE & set(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return '"' + "".join(_escape_unprintable(character) for character in escaped) + '"'


def _escape_unprintable(character: str) -> str:
    return character if character.isprintable() else f"\\u{ord(character):04x}"
