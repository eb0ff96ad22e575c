"""Compare two contents for the operator who is about to sign the newer one."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from .const import ALL_SHARDS
from .models import BundleContent, CallerSpec, EndpointSpec

_EMPTY_CONTENT: BundleContent = {
    "format": 0,
    "organisations": [],
    "callers": {},
    "kinds": {},
    "services": {},
    "budgets": {"extra_legs_per_100": 0.0, "extra_legs_burst": 0.0},
}


class ContentDiff(NamedTuple):
    """Changed fields, one per line, and warnings about lost access and capacity."""

    lines: tuple[str, ...]
    warnings: tuple[str, ...]


def _shorten(names: str) -> str:
    return names if len(names) <= 60 else names[:57] + "..."


def _diff_lines(old: Any, new: Any, path: str) -> Iterator[str]:
    if isinstance(old, dict) and isinstance(new, dict):
        for name in sorted(old.keys() | new.keys()):
            child_path = f"{path}.{name}" if path else name
            if name not in new:
                yield (
                    f"- {child_path}"
                    if isinstance(old[name], dict)
                    else f"- {child_path}: {old[name]}"
                )
            elif name in old:
                yield from _diff_lines(old[name], new[name], child_path)
            elif isinstance(new[name], dict) and new[name]:
                # List each field of an added object, as the approver signs all of them.
                yield from _diff_lines({}, new[name], child_path)
            elif name == "credential_sha256":
                yield f"+ {child_path}: set"
            else:
                yield f"+ {child_path}: {new[name]}"
        return
    if old == new:
        return
    if path.endswith(".credential_sha256"):
        yield f"~ {path}: replaced"
    elif isinstance(old, list) and isinstance(new, list):
        yield from (f"- {path}: {item}" for item in old if item not in new)
        yield from (f"+ {path}: {item}" for item in new if item not in old)
        if sorted(old) == sorted(new):
            yield f"~ {path}: another order"
    else:
        yield f"~ {path}: {old} -> {new}"


def _endpoints_by_shard(content: BundleContent) -> dict[str, set[str]]:
    """Return the endpoints that may hold each shard, by shard."""
    endpoints_by_shard: dict[str, set[str]] = {}
    for service in content["services"].values():
        for shard in service["shards"]:
            endpoints_by_shard.setdefault(shard, set()).update(service["endpoints"])
    return endpoints_by_shard


def _granted_shards(caller: CallerSpec, endpoints_by_shard: Mapping[str, object]) -> set[str]:
    return set(endpoints_by_shard) if caller["shards"] == [ALL_SHARDS] else set(caller["shards"])


def _caller_warnings(old: BundleContent, new: BundleContent) -> Iterator[str]:
    old_endpoints, new_endpoints = _endpoints_by_shard(old), _endpoints_by_shard(new)
    for name, before in old["callers"].items():
        after = new["callers"].get(name)
        if after is None:
            yield f"caller {name} is cut off: it is removed"
            continue
        if before["credential_sha256"] != after["credential_sha256"]:
            yield f"caller {name} is cut off until it uses the new credential"
        if lost := sorted(set(before["kinds"]) - set(after["kinds"])):
            yield f"caller {name} may no longer request {', '.join(lost)}"
        if lost := sorted(
            _granted_shards(before, old_endpoints) - _granted_shards(after, new_endpoints)
        ):
            yield f"caller {name} no longer reaches {len(lost)} shards: {_shorten(', '.join(lost))}"
        if before["shards"] != [ALL_SHARDS] and not after["shards"]:
            yield f"caller {name} is cut off: it reaches no shard"


def _burst_warnings(new: BundleContent) -> Iterator[str]:
    """Warn of callers whose burst is below the cost of one leg of a kind they may request."""
    for name, caller in new["callers"].items():
        for kind in caller["kinds"]:
            if new["kinds"][kind]["cost_per_leg"] > caller["cost_burst"]:
                yield f"caller {name} can never request {kind}: a leg costs more than its burst"


def _zones(endpoints: Mapping[str, EndpointSpec]) -> set[str]:
    return {endpoint["zone"] for endpoint in endpoints.values()}


def _shard_warnings(old: BundleContent, new: BundleContent) -> Iterator[str]:
    old_endpoints, new_endpoints = _endpoints_by_shard(old), _endpoints_by_shard(new)
    for shard in sorted(old_endpoints):
        endpoints = new_endpoints.get(shard, set())
        if not endpoints:
            yield f"shard {shard} is cut off: no service holds it"
        elif len(endpoints) == 1 and len(old_endpoints[shard]) > 1:
            yield f"shard {shard} has one endpoint left"
    for name, before in old["services"].items():
        after = new["services"].get(name)
        if after is None:
            continue
        if lost := sorted(_zones(before["endpoints"]) - _zones(after["endpoints"])):
            yield f"service {name} has no endpoint left in zone {', '.join(lost)}"
        unchanged_endpoints = [
            endpoint
            for endpoint, spec in before["endpoints"].items()
            if endpoint in after["endpoints"]
            and (spec["host"], spec["port"])
            == (after["endpoints"][endpoint]["host"], after["endpoints"][endpoint]["port"])
        ]
        if not unchanged_endpoints:
            yield f"service {name} changes the address of every endpoint at once"


def diff_contents(old: BundleContent | None, new: BundleContent) -> ContentDiff:
    """Compare two checked contents.

    Parameters
    ----------
    old : BundleContent or None
        The content in force; None before the first bundle.
    new : BundleContent
        The content that would replace it.

    Returns
    -------
    ContentDiff
        Changed fields, and warnings such as callers or shards that would lose access.
    """
    before = old or _EMPTY_CONTENT
    warnings = [
        *_caller_warnings(before, new),
        *_shard_warnings(before, new),
        *_burst_warnings(new),
    ]
    return ContentDiff(tuple(_diff_lines(before, new, "")), tuple(warnings))
