"""What an operator asks, as it is encoded in the target of a request."""

from typing import NamedTuple
from urllib.parse import quote, unquote_to_bytes

from wisteriarock.codec.json_text import is_printable

from .const import EXPLAIN_PATH, HOST_MAX_BYTES, NAME_MAX_BYTES, PATH_MAX_BYTES

_LIMITS_BYTES = {
    "host": HOST_MAX_BYTES,
    "path": PATH_MAX_BYTES,
    "customer": NAME_MAX_BYTES,
    "shard": NAME_MAX_BYTES,
}


class Question(NamedTuple):
    """The request that is to be explained.

    Attributes
    ----------
    host : str
        Host, with or without a port.
    path : str
        Path as a request line has it, still percent-encoded, one character for each byte.
    customer : str or None
        Name of the customer that would send the request; None for a request without a key.
    shard : str or None
        The shard, or service, whose endpoints are to be shown; None for all of a short list.
    """

    host: str
    path: str
    customer: str | None = None
    shard: str | None = None


class Problem(NamedTuple):
    """Why nothing is explained; `status` is the HTTP status, `field` the parameter at fault."""

    status: int
    code: str
    message: str
    field: str = ""


def encode_target(
    host: str, path: str, customer: str | None = None, shard: str | None = None
) -> str | Problem:
    """Return the target of the request to an instance, or what is wrong with the question."""
    fields = {"host": host, "path": path, "customer": customer, "shard": shard}
    parts = []
    for name, text in fields.items():
        if text is None:
            continue
        try:
            value = text.encode()
        except UnicodeEncodeError:
            return _not_text(name)
        problem = _check_value(name, value)
        if problem is not None:
            return problem
        parts.append(f"{name}={quote(value, safe='')}")
    return f"{EXPLAIN_PATH}?{'&'.join(parts)}"


def parse_target(target: bytes) -> Question | Problem:
    """Parse the target of a request for an explanation."""
    values: dict[str, bytes] = {}
    for part in target.partition(b"?")[2].split(b"&"):
        raw_name, _, value = part.partition(b"=")
        name = raw_name.decode("latin-1")
        if name not in _LIMITS_BYTES:
            message = "The parameters are host, path, customer and shard."
            return Problem(400, "unknown_parameter", message)
        if name in values:
            return Problem(400, "repeated_parameter", f"The {name} is given twice.", name)
        values[name] = unquote_to_bytes(value)
    for name in ("host", "path"):
        if name not in values:
            return Problem(400, "missing_parameter", f"The {name} is missing.", name)
    for name, value in values.items():
        problem = _check_value(name, value)
        if problem is not None:
            return problem
    names = {name: values[name].decode() for name in values if name != "path"}
    return Question(path=values["path"].decode("latin-1"), **names)


def _check_value(name: str, value: bytes) -> Problem | None:
    limit = _LIMITS_BYTES[name]
    if len(value) > limit:
        return Problem(400, "too_long", f"The {name} has more than {limit} bytes.", name)
    if name == "path":
        if not value.startswith(b"/"):
            return Problem(400, "path_not_absolute", "The path does not start with a slash.", name)
        is_text = all(byte > 0x20 and byte != 0x7F for byte in value)
    else:
        try:
            is_text = is_printable(value.decode())
        except UnicodeDecodeError:
            is_text = False
    return None if is_text else _not_text(name)


def _not_text(name: str) -> Problem:
    return Problem(400, "not_text", f"The {name} is empty or is not printable text.", name)
