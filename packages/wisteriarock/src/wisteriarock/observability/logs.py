"""Structured logs: one line of key=value pairs for each event."""

import sys
from collections.abc import Callable
from typing import Any, TextIO

import eliot
from eliot import add_destinations

from .format import format_value

FIELD_EVENT = "event"
_ELIOT_FIELDS = frozenset({"task_uuid", "task_level", "timestamp", "message_type", "action_type"})


def format_line(message: dict[str, Any]) -> str:
    """Format an eliot message as one line of key=value pairs."""
    event = message.get("message_type") or message.get("action_type") or "event"
    parts = [f"time_s={message.get('timestamp', 0.0):.3f}", f"{FIELD_EVENT}={format_value(event)}"]
    for name, value in message.items():
        if name not in _ELIOT_FIELDS:
            parts.append(f"{name}={format_value(value)}")
    return " ".join(parts)


def start_logging(stream: TextIO = sys.stderr, **constant_fields: str) -> None:
    """Write each event to `stream` as a line that includes the constant fields.

    Parameters
    ----------
    stream : TextIO
        Destination of the lines.
    **constant_fields : str
        Fields added to every line, such as the name of the instance.
    """

    def write(message: dict[str, Any]) -> None:
        stream.write(format_line({**message, **constant_fields}) + "\n")
        stream.flush()

    add_destinations(write)


LogEvent = Callable[..., None]


def log_event(event: str, **fields: Any) -> None:
    """Log an event. Field names have their unit as a suffix; fields must not contain secrets."""
    eliot.log_message(message_type=event, **fields)
