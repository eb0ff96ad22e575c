"""Check the content of a bundle and report all of its errors together."""

import ipaddress
from collections.abc import Generator, Iterable, Iterator, Mapping
from typing import Any, TypeVar, get_args, get_origin, is_typeddict
from typing import get_type_hints as type_hints

import msgspec
from returns.result import Failure, Result, Success

from wisteriarock.codec.decode import convert

from .const import (
    ALL_SHARDS,
    BUDGET_RANGES,
    CALLER_RANGES,
    CONTENT_FORMAT,
    DIGEST_PATTERN,
    EARLY_MIN_COVERAGE_RANGE,
    ENDPOINT_RANGES,
    KIND_RANGES,
    MAX_CONTENT_BYTES,
    NAME_PATTERN,
    ValueRange,
)
from .models import BundleContent, CallerSpec, ContentError, CoverageRule, KindSpec, ServiceSpec
from .signing import canonical_bytes

T = TypeVar("T")

_NAME_RULE = "1 to 64 letters, digits, '.', '_' or '-', the first a letter or digit"
_MAX_VALUE_CHARS = 80


def run_to_completion(steps: Generator[None, None, T]) -> T:
    """Run a generator to its end without pausing and return its result."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            result: T = done.value
            return result


def _truncated_repr(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= _MAX_VALUE_CHARS else text[: _MAX_VALUE_CHARS - 3] + "..."


def _schema_errors(value: Any, expected_type: Any, path: str) -> Iterator[ContentError]:
    """Yield an error for each field that is missing, unknown or of the wrong type.

    msgspec stops at the first error, so this function walks the containers itself and uses
    msgspec only for the values in them.
    """
    if is_typeddict(expected_type):
        if not isinstance(value, dict):
            yield ContentError(path, _truncated_repr(value), "an object")
            return
        hints = type_hints(expected_type)
        for name in sorted(expected_type.__required_keys__ - value.keys()):
            yield ContentError(f"{path}.{name}", "nothing", "a value")
        for name, item in value.items():
            if name in hints:
                yield from _schema_errors(item, hints[name], f"{path}.{name}")
            else:
                yield ContentError(f"{path}.{name}", "an unknown field", ", ".join(sorted(hints)))
        return
    origin = get_origin(expected_type)
    if origin is dict and isinstance(value, dict):
        for name, item in value.items():
            yield from _schema_errors(item, get_args(expected_type)[1], f"{path}.{name}")
        return
    if origin is list and isinstance(value, list):
        for index, item in enumerate(value):
            yield from _schema_errors(item, get_args(expected_type)[0], f"{path}[{index}]")
        return
    try:
        msgspec.convert(value, expected_type)
    except (msgspec.ValidationError, UnicodeEncodeError) as error:
        # Not printed: the field may hold the credential itself instead of its digest.
        is_secret = path.endswith(".credential_sha256")
        yield ContentError(
            path, "a value of another type" if is_secret else _truncated_repr(value), str(error)
        )


def _range_errors(
    spec: Mapping[str, Any], ranges: Mapping[str, ValueRange], path: str
) -> Iterator[ContentError]:
    for name, (low, high) in ranges.items():
        # Written so that it also rejects NaN, which a JSON5 file can contain.
        if not low <= spec[name] <= high:
            yield ContentError(f"{path}.{name}", f"{spec[name]:g}", f"{low:g} to {high:g}")


def _name_errors(names: Iterable[str], path: str) -> Iterator[ContentError]:
    for name in names:
        if not NAME_PATTERN.fullmatch(name):
            yield ContentError(f"{path}.{name}", _truncated_repr(name), _NAME_RULE)


def _name_list_errors(
    names: list[str], known_names: Iterable[str], path: str, allowed: str
) -> Iterator[ContentError]:
    """Yield an error for each name in a list that is repeated or unknown."""
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield ContentError(f"{path}[{index}]", f"{name!r} twice", "each name once")
        elif name not in known_names:
            yield ContentError(f"{path}[{index}]", _truncated_repr(name), allowed)
        seen.add(name)


def _kind_errors(kind: KindSpec, path: str) -> Iterator[ContentError]:
    yield from _range_errors(kind, KIND_RANGES, path)
    if not kind["idempotent"] and kind["hedge"]:
        yield ContentError(f"{path}.hedge", "true", "false, since the kind is not idempotent")
    is_early = kind["coverage"] is CoverageRule.EARLY
    ranges = {
        "early_after_ms": ValueRange(1, kind["deadline_max_ms"]),
        "early_min_coverage": EARLY_MIN_COVERAGE_RANGE,
    }
    for name, value_range in ranges.items():
        if is_early and name not in kind:
            yield ContentError(f"{path}.{name}", "nothing", "a value, since coverage is early")
        elif is_early:
            yield from _range_errors(kind, {name: value_range}, path)
        elif name in kind:
            yield ContentError(f"{path}.{name}", "a value", "nothing, since coverage is wait_all")


def _caller_errors(
    caller: CallerSpec, content: BundleContent, shards: set[str], path: str
) -> Iterator[ContentError]:
    yield from _range_errors(caller, CALLER_RANGES, path)
    if caller["organisation"] not in content["organisations"]:
        allowed = "one of the organisations"
        yield ContentError(f"{path}.organisation", _truncated_repr(caller["organisation"]), allowed)
    if not DIGEST_PATTERN.fullmatch(caller["credential_sha256"]):
        yield ContentError(
            f"{path}.credential_sha256", "a value of another form", "64 hexadecimal digits"
        )
    yield from _name_list_errors(caller["kinds"], content["kinds"], f"{path}.kinds", "a known kind")
    if caller["shards"] != [ALL_SHARDS]:
        allowed = f"a shard that a service holds, or '{ALL_SHARDS}' alone"
        yield from _name_list_errors(caller["shards"], shards, f"{path}.shards", allowed)


def _service_errors(
    service: ServiceSpec,
    paths_by_address: dict[tuple[str, int], str],
    paths_by_name: dict[str, str],
    path: str,
) -> Iterator[ContentError | None]:
    """Yield the errors of a service, and None before each endpoint.

    `paths_by_address` and `paths_by_name` hold the endpoints of all services so far, to detect
    duplicates.
    """
    if not service["endpoints"]:
        yield ContentError(f"{path}.endpoints", "an empty object", "at least one endpoint")
    if not service["shards"]:
        yield ContentError(f"{path}.shards", "an empty list", "at least one shard")
    yield from _name_list_errors(service["shards"], service["shards"], f"{path}.shards", "")
    for index, shard in enumerate(service["shards"]):
        if not NAME_PATTERN.fullmatch(shard):
            yield ContentError(f"{path}.shards[{index}]", _truncated_repr(shard), _NAME_RULE)
    yield from _name_errors(service["endpoints"], f"{path}.endpoints")
    for name, endpoint in service["endpoints"].items():
        yield None
        endpoint_path = f"{path}.endpoints.{name}"
        yield from _range_errors(endpoint, ENDPOINT_RANGES, endpoint_path)
        if endpoint["connection_cap"] < endpoint["slots"]:
            found = str(endpoint["connection_cap"])
            yield ContentError(
                f"{endpoint_path}.connection_cap", found, "at least the number of slots"
            )
        if not NAME_PATTERN.fullmatch(endpoint["zone"]):
            yield ContentError(
                f"{endpoint_path}.zone", _truncated_repr(endpoint["zone"]), _NAME_RULE
            )
        if name in paths_by_name:
            yield ContentError(endpoint_path, f"the name of {paths_by_name[name]}", "a unique name")
        paths_by_name.setdefault(name, endpoint_path)
        try:
            host = str(ipaddress.ip_address(endpoint["host"]))
        except ValueError:
            yield ContentError(
                f"{endpoint_path}.host", _truncated_repr(endpoint["host"]), "an IP address"
            )
            continue
        address = (host, endpoint["port"])
        if address in paths_by_address:
            yield ContentError(
                endpoint_path, f"the address of {paths_by_address[address]}", "a unique address"
            )
        paths_by_address.setdefault(address, endpoint_path)


def _rule_errors(content: BundleContent) -> Iterator[ContentError | None]:
    """Yield the violated rules of a content, and None at points where the check may pause."""
    if content["format"] != CONTENT_FORMAT:
        yield ContentError("$.format", str(content["format"]), str(CONTENT_FORMAT))
    organisations = content["organisations"]
    yield from _name_list_errors(organisations, organisations, "$.organisations", "")
    yield from _name_errors(organisations, "$.organisations")
    yield from _range_errors(content["budgets"], BUDGET_RANGES, "$.budgets")
    paths_by_address: dict[tuple[str, int], str] = {}
    paths_by_name: dict[str, str] = {}
    yield from _name_errors(content["services"], "$.services")
    for name, service in content["services"].items():
        yield from _service_errors(service, paths_by_address, paths_by_name, f"$.services.{name}")
    yield from _name_errors(content["kinds"], "$.kinds")
    for name, kind in content["kinds"].items():
        yield from _kind_errors(kind, f"$.kinds.{name}")
    shards = {shard for service in content["services"].values() for shard in service["shards"]}
    callers_by_credential: dict[str, str] = {}
    yield from _name_errors(content["callers"], "$.callers")
    for name, caller in content["callers"].items():
        yield None
        yield from _caller_errors(caller, content, shards, f"$.callers.{name}")
        owner = callers_by_credential.setdefault(caller["credential_sha256"], name)
        if owner != name:
            path = f"$.callers.{name}.credential_sha256"
            yield ContentError(path, f"the credential of {owner}", "a unique credential")


def _convert_content(raw: Any) -> BundleContent | tuple[ContentError, ...]:
    """Convert a content to its declared types, or return the fields that cannot be converted."""
    try:
        content = msgspec.convert(raw, BundleContent)
        # Conversion drops unknown fields, so a canonical content without any is unchanged by it.
        # Comparing the two is much faster than searching for unknown fields, and every signed
        # bundle is canonical.
        if canonical_bytes(content) == canonical_bytes(raw):
            return content
    except (msgspec.ValidationError, TypeError, ValueError):
        pass
    converted = convert(raw, BundleContent)
    if isinstance(converted, Success):
        checked: BundleContent = converted.unwrap()
        return checked
    decode_error = converted.failure()
    schema_errors = tuple(_schema_errors(raw, BundleContent, "$"))
    return schema_errors or (
        ContentError(decode_error.path, decode_error.message, "the documented bundle format"),
    )


def check_content_in_steps(
    raw: Any,
) -> Generator[None, None, Result[BundleContent, tuple[ContentError, ...]]]:
    """Check a content like `check_content`, as a generator that pauses between steps.

    A content near the size limit takes about 0.1 s, which must not block queries on the same
    event loop. The first and the last step take longest, as they process the whole content.

    Yields
    ------
    None
        After each step.

    Returns
    -------
    Result
        Same as `check_content`.
    """
    content = _convert_content(raw)
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
    # Encoded only after the rules have passed: strings that are not valid Unicode cannot be
    # encoded, and the rules reject them.
    size_bytes = len(canonical_bytes(content))
    if size_bytes > MAX_CONTENT_BYTES:
        return Failure((ContentError("$", f"{size_bytes} bytes", f"{MAX_CONTENT_BYTES} bytes"),))
    return Success(content)


def check_content(raw: Any) -> Result[BundleContent, tuple[ContentError, ...]]:
    """Check the decoded content of a bundle.

    Parameters
    ----------
    raw : Any
        Output of a JSON decoder.

    Returns
    -------
    Result
        The content with its declared types, or all errors. The rules are checked only if every
        field has its declared type.
    """
    return run_to_completion(check_content_in_steps(raw))
