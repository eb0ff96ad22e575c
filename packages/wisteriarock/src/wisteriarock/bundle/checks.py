"""Check a bundle's content and report every error at once."""

import ipaddress
from collections.abc import Generator, Iterable, Iterator, Mapping
from typing import Any, TypeVar, get_args, get_origin, is_typeddict
from typing import get_type_hints as type_hints

import msgspec
from returns.result import Failure, Result, Success

from wisteriarock.codec.decode import convert

from .const import (
    ALL_SHARDS,
    BUDGET_LIMITS,
    CALLER_LIMITS,
    CONTENT_FORMAT,
    DIGEST_PATTERN,
    EARLY_COVERAGE,
    ENDPOINT_LIMITS,
    KIND_LIMITS,
    MAX_CONTENT_BYTES,
    NAME_PATTERN,
    Limit,
)
from .models import BundleContent, CallerSpec, ContentError, CoverageRule, KindSpec, ServiceSpec
from .signing import canonical_bytes

T = TypeVar("T")

_NAME_RULE = "1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit"
_MAX_SHOWN = 80


def run_steps(steps: Generator[None, None, T]) -> T:
    """Run steps one after the other without a pause and return their result."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            result: T = done.value
            return result


def _shown(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= _MAX_SHOWN else text[: _MAX_SHOWN - 3] + "..."


def _shape_errors(value: Any, kind: Any, path: str) -> Iterator[ContentError]:
    """Yield every field that is missing, unknown or of a wrong type.

    msgspec stops at the first error, so containers are walked here and it checks their fields.
    """
    if is_typeddict(kind):
        if not isinstance(value, dict):
            yield ContentError(path, _shown(value), "an object")
            return
        hints = type_hints(kind)
        for name in sorted(kind.__required_keys__ - value.keys()):
            yield ContentError(f"{path}.{name}", "nothing", "a value")
        for name, item in value.items():
            if name in hints:
                yield from _shape_errors(item, hints[name], f"{path}.{name}")
            else:
                yield ContentError(f"{path}.{name}", "an unknown field", ", ".join(sorted(hints)))
        return
    origin = get_origin(kind)
    if origin is dict and isinstance(value, dict):
        for name, item in value.items():
            yield from _shape_errors(item, get_args(kind)[1], f"{path}.{name}")
        return
    if origin is list and isinstance(value, list):
        for index, item in enumerate(value):
            yield from _shape_errors(item, get_args(kind)[0], f"{path}[{index}]")
        return
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        # A credential may have been put here by mistake.
        secret = path.endswith(".credential_sha256")
        yield ContentError(path, "another type" if secret else _shown(value), str(error))


def _range_errors(
    spec: Mapping[str, Any], limits: Mapping[str, Limit], path: str
) -> Iterator[ContentError]:
    for name, (low, high) in limits.items():
        # Also refuses NaN, which a settings-like JSON5 file can hold.
        if not low <= spec[name] <= high:
            yield ContentError(f"{path}.{name}", f"{spec[name]:g}", f"{low:g} to {high:g}")


def _name_errors(names: Iterable[str], path: str) -> Iterator[ContentError]:
    for name in names:
        if not NAME_PATTERN.fullmatch(name):
            yield ContentError(f"{path}.{name}", _shown(name), _NAME_RULE)


def _list_errors(
    names: list[str], known: Iterable[str], path: str, what: str
) -> Iterator[ContentError]:
    """Yield names of a list that are doubled or not among the known ones."""
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield ContentError(f"{path}[{index}]", f"{name!r} twice", "each name once")
        elif name not in known:
            yield ContentError(f"{path}[{index}]", _shown(name), what)
        seen.add(name)


def _kind_errors(kind: KindSpec, path: str) -> Iterator[ContentError]:
    yield from _range_errors(kind, KIND_LIMITS, path)
    if not kind["idempotent"] and kind["hedge"]:
        yield ContentError(f"{path}.hedge", "true", "false, since the kind is not idempotent")
    early = kind["coverage"] is CoverageRule.EARLY
    limits = {
        "early_after_ms": Limit(1, kind["deadline_max_ms"]),
        "early_min_coverage": EARLY_COVERAGE,
    }
    for name, limit in limits.items():
        if early and name not in kind:
            yield ContentError(f"{path}.{name}", "nothing", "a value, since coverage is early")
        elif early:
            yield from _range_errors(kind, {name: limit}, path)
        elif name in kind:
            yield ContentError(f"{path}.{name}", "a value", "nothing, since coverage is wait_all")


def _caller_errors(
    caller: CallerSpec, content: BundleContent, shards: set[str], path: str
) -> Iterator[ContentError]:
    yield from _range_errors(caller, CALLER_LIMITS, path)
    if caller["organisation"] not in content["organisations"]:
        allowed = "one of the organisations"
        yield ContentError(f"{path}.organisation", _shown(caller["organisation"]), allowed)
    if not DIGEST_PATTERN.fullmatch(caller["credential_sha256"]):
        yield ContentError(f"{path}.credential_sha256", "another text", "64 hexadecimal digits")
    yield from _list_errors(caller["kinds"], content["kinds"], f"{path}.kinds", "a known kind")
    if caller["shards"] != [ALL_SHARDS]:
        allowed = f"a shard that a service holds, or '{ALL_SHARDS}' alone"
        yield from _list_errors(caller["shards"], shards, f"{path}.shards", allowed)


def _service_errors(
    service: ServiceSpec, addresses: dict[tuple[str, int], str], names: dict[str, str], path: str
) -> Iterator[ContentError | None]:
    """Yield errors of a service; `addresses` and `names` collect what other services use."""
    if not service["endpoints"]:
        yield ContentError(f"{path}.endpoints", "an empty object", "at least one endpoint")
    if not service["shards"]:
        yield ContentError(f"{path}.shards", "an empty list", "at least one shard")
    yield from _list_errors(service["shards"], service["shards"], f"{path}.shards", "")
    for index, shard in enumerate(service["shards"]):
        if not NAME_PATTERN.fullmatch(shard):
            yield ContentError(f"{path}.shards[{index}]", _shown(shard), _NAME_RULE)
    yield from _name_errors(service["endpoints"], f"{path}.endpoints")
    for name, endpoint in service["endpoints"].items():
        yield None
        here = f"{path}.endpoints.{name}"
        yield from _range_errors(endpoint, ENDPOINT_LIMITS, here)
        if endpoint["connection_cap"] < endpoint["slots"]:
            found = str(endpoint["connection_cap"])
            yield ContentError(f"{here}.connection_cap", found, "at least the number of slots")
        if not NAME_PATTERN.fullmatch(endpoint["zone"]):
            yield ContentError(f"{here}.zone", _shown(endpoint["zone"]), _NAME_RULE)
        if name in names:
            yield ContentError(here, f"the name of {names[name]}", "a name of its own")
        names.setdefault(name, here)
        try:
            host = str(ipaddress.ip_address(endpoint["host"]))
        except ValueError:
            yield ContentError(f"{here}.host", _shown(endpoint["host"]), "an IP number")
            continue
        address = (host, endpoint["port"])
        if address in addresses:
            yield ContentError(here, f"the address of {addresses[address]}", "its own address")
        addresses.setdefault(address, here)


def _rule_errors(content: BundleContent) -> Iterator[ContentError | None]:
    """Yield errors, and None between parts of the work."""
    if content["format"] != CONTENT_FORMAT:
        yield ContentError("$.format", str(content["format"]), str(CONTENT_FORMAT))
    organisations = content["organisations"]
    yield from _list_errors(organisations, organisations, "$.organisations", "")
    yield from _name_errors(organisations, "$.organisations")
    yield from _range_errors(content["budgets"], BUDGET_LIMITS, "$.budgets")
    addresses: dict[tuple[str, int], str] = {}
    names: dict[str, str] = {}
    yield from _name_errors(content["services"], "$.services")
    for name, service in content["services"].items():
        yield from _service_errors(service, addresses, names, f"$.services.{name}")
    yield from _name_errors(content["kinds"], "$.kinds")
    for name, kind in content["kinds"].items():
        yield from _kind_errors(kind, f"$.kinds.{name}")
    shards = {shard for service in content["services"].values() for shard in service["shards"]}
    credentials: dict[str, str] = {}
    yield from _name_errors(content["callers"], "$.callers")
    for name, caller in content["callers"].items():
        yield None
        yield from _caller_errors(caller, content, shards, f"$.callers.{name}")
        other = credentials.setdefault(caller["credential_sha256"], name)
        if other != name:
            path = f"$.callers.{name}.credential_sha256"
            yield ContentError(path, f"the credential of {other}", "a credential of its own")


def _converted(raw: Any) -> BundleContent | tuple[ContentError, ...]:
    """Return the content with its declared types, or the fields that do not have them."""
    try:
        content = msgspec.convert(raw, BundleContent)
        # A canonical content comes back unchanged if no field is unknown. That is much quicker to
        # find out than to look for such a field, and holds for every bundle that was signed.
        if canonical_bytes(content) == canonical_bytes(raw):
            return content
    except (msgspec.ValidationError, TypeError, ValueError):
        pass
    converted = convert(raw, BundleContent)
    if isinstance(converted, Success):
        checked: BundleContent = converted.unwrap()
        return checked
    refused = converted.failure()
    shape = tuple(_shape_errors(raw, BundleContent, "$"))
    return shape or (ContentError(refused.path, refused.message, "see the format"),)


def check_steps(raw: Any) -> Generator[None, None, Result[BundleContent, tuple[ContentError, ...]]]:
    """Check like `check_content`, in steps.

    A content near the size limit takes about 0.1 s, which must not hold up queries on the same
    loop. The first and the last step, which handle the content as a whole, are the long ones.

    Yields
    ------
    None
        Between the steps.

    Returns
    -------
    Result
        As `check_content`.
    """
    content = _converted(raw)
    if isinstance(content, tuple):
        return Failure(content)
    errors = []
    for error in _rule_errors(content):
        if error is None:
            yield
        else:
            errors.append(error)
    if errors:
        return Failure(tuple(errors))
    yield
    # Only now: a text that is not valid Unicode cannot be encoded, and the rules refuse it.
    size_bytes = len(canonical_bytes(content))
    if size_bytes > MAX_CONTENT_BYTES:
        return Failure((ContentError("$", f"{size_bytes} bytes", f"{MAX_CONTENT_BYTES} bytes"),))
    return Success(content)


def check_content(raw: Any) -> Result[BundleContent, tuple[ContentError, ...]]:
    """Check a decoded content.

    Parameters
    ----------
    raw : Any
        What a JSON decoder returned.

    Returns
    -------
    Result
        The content with its declared types, or all errors. Types come first: the rules between
        fields are checked when every field has its type.
    """
    return run_steps(check_steps(raw))
