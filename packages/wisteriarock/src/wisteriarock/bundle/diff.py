"""Differences between two contents, for a person who is about to sign the newer one."""

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from .const import ALL_SHARDS
from .models import BundleContent, CallerSpec, EndpointSpec

_NOTHING: BundleContent = {
    "format": 0,
    "organisations": [],
    "callers": {},
    "kinds": {},
    "services": {},
    "budgets": {"extra_legs_per_100": 0.0, "extra_legs_burst": 0.0},
}


class ContentDiff(NamedTuple):
    """Changed fields, one a line, and warnings of what the change would cut off."""

    lines: tuple[str, ...]
    warnings: tuple[str, ...]


def _short(names: str) -> str:
    return names if len(names) <= 60 else names[:57] + "..."


def _changes(old: Any, new: Any, path: str) -> Iterator[str]:
    if isinstance(old, dict) and isinstance(new, dict):
        for name in sorted(old.keys() | new.keys()):
            here = f"{path}.{name}" if path else name
            if name not in new:
                yield f"- {here}" if isinstance(old[name], dict) else f"- {here}: {old[name]}"
            elif name in old:
                yield from _changes(old[name], new[name], here)
            elif isinstance(new[name], dict) and new[name]:
                # Each field of an added object: the approver signs all of them.
                yield from _changes({}, new[name], here)
            elif name == "credential_sha256":
                yield f"+ {here}: set"
            else:
                yield f"+ {here}: {new[name]}"
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


def _held_shards(content: BundleContent) -> dict[str, set[str]]:
    """Return the endpoints that may hold each shard."""
    held: dict[str, set[str]] = {}
    for service in content["services"].values():
        for shard in service["shards"]:
            held.setdefault(shard, set()).update(service["endpoints"])
    return held


def _granted(caller: CallerSpec, held: Mapping[str, object]) -> set[str]:
    return set(held) if caller["shards"] == [ALL_SHARDS] else set(caller["shards"])


def _caller_warnings(old: BundleContent, new: BundleContent) -> Iterator[str]:
    old_held, new_held = _held_shards(old), _held_shards(new)
    for name, before in old["callers"].items():
        after = new["callers"].get(name)
        if after is None:
            yield f"caller {name} is cut off: it is removed"
            continue
        if before["credential_sha256"] != after["credential_sha256"]:
            yield f"caller {name} is cut off until it uses the new credential"
        if lost := sorted(set(before["kinds"]) - set(after["kinds"])):
            yield f"caller {name} may no longer request {', '.join(lost)}"
        if lost := sorted(_granted(before, old_held) - _granted(after, new_held)):
            yield f"caller {name} no longer reaches {len(lost)} shards: {_short(', '.join(lost))}"
        if before["shards"] != [ALL_SHARDS] and not after["shards"]:
            yield f"caller {name} is cut off: it reaches no shard"


def _burst_warnings(new: BundleContent) -> Iterator[str]:
    """Yield callers whose burst can never pay for one leg of a kind that they may request."""
    for name, caller in new["callers"].items():
        for kind in caller["kinds"]:
            if new["kinds"][kind]["cost_per_leg"] > caller["cost_burst"]:
                yield f"caller {name} can never request {kind}: a leg costs more than its burst"


def _zones(endpoints: Mapping[str, EndpointSpec]) -> set[str]:
    return {endpoint["zone"] for endpoint in endpoints.values()}


def _shard_warnings(old: BundleContent, new: BundleContent) -> Iterator[str]:
    old_held, new_held = _held_shards(old), _held_shards(new)
    for shard in sorted(old_held):
        endpoints = new_held.get(shard, set())
        if not endpoints:
            yield f"shard {shard} is cut off: no service holds it"
        elif len(endpoints) == 1 and len(old_held[shard]) > 1:
            yield f"shard {shard} has one endpoint left"
    for name, before in old["services"].items():
        after = new["services"].get(name)
        if after is None:
            continue
        if lost := sorted(_zones(before["endpoints"]) - _zones(after["endpoints"])):
            yield f"service {name} has no endpoint left in zone {', '.join(lost)}"
        kept = [
            endpoint
            for endpoint, spec in before["endpoints"].items()
            if endpoint in after["endpoints"]
            and (spec["host"], spec["port"])
            == (after["endpoints"][endpoint]["host"], after["endpoints"][endpoint]["port"])
        ]
        if not kept:
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
        Changed fields, and warnings of callers and shards that the change would cut off.
    """
    before = old or _NOTHING
    warnings = [
        *_caller_warnings(before, new),
        *_shard_warnings(before, new),
        *_burst_warnings(new),
    ]
    return ContentDiff(tuple(_changes(before, new, "")), tuple(warnings))
