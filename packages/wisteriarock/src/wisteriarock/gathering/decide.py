"""Choice of gatherers, division of shards among them, and their shares of the budget."""

import json
import math
import zlib
from collections.abc import Collection, Sequence
from typing import NamedTuple

from wisteriarock.catalog.models import Catalog
from wisteriarock.codec.json_text import is_printable, parse_json
from wisteriarock.http.address import parse_ip_address

from .const import (
    BUDGET_USED_SHARE,
    DIRECT_CONNECTIONS_MIN,
    DIRECT_COST_MAX_MS,
    DIRECT_COST_TARGET_SHARE,
    GATHERER_BURST_SHARE,
    GATHERER_CORES_MIN,
    GATHERER_CORES_SHARE,
    GATHERERS_MIN,
    LEG_COST_MS,
    OTHERS_BUDGET_SHARE,
    OTHERS_LIMIT_SHARE,
    OTHERS_STEADY_SHARE,
)
from .models import FanOutShape, FragmentAnswer, FragmentRequest, Gatherer, GathererDirectory

_HASH_RANGE = 2**32
_HASH_MULTIPLIER = 0x45D9F3B


class BudgetShare(NamedTuple):
    """Tokens that one instance holds and gains per window for each service."""

    burst: float
    steady: float


def find_fan_out_shape(catalog: Catalog) -> FanOutShape:
    """Return the size of the largest fan-out of the configuration and the shortest target."""
    routes = catalog.configuration.routes if catalog.configuration else ()
    shards = max((route.shards for route in routes), key=len, default=())
    caps = [catalog.services[name].max_connections for name in shards if name in catalog.services]
    targets_ms = [route.latency_target_ms for route in routes if route.shards]
    return FanOutShape(len(shards), min(caps, default=0), min(targets_ms, default=math.inf))


def needs_gatherers(shape: FanOutShape, instances: int, capacity_cores: float) -> bool:
    """Return whether an instance is too small to query all endpoints itself.

    Parameters
    ----------
    instances : int
        Number of instances that share the connections of an endpoint.
    capacity_cores : float
        Processing capacity of the instance.
    """
    if not shape.legs:
        return False
    cost_ms = shape.legs * LEG_COST_MS / max(capacity_cores, 1e-3)
    has_few_connections = shape.max_connections < DIRECT_CONNECTIONS_MIN * instances
    cost_max_ms = min(DIRECT_COST_MAX_MS, DIRECT_COST_TARGET_SHARE * shape.latency_target_ms)
    return has_few_connections or cost_ms > cost_max_ms


def choose_gatherers(
    candidates: Collection[Gatherer], shape: FanOutShape, instances: int
) -> tuple[Gatherer, ...]:
    """Choose the gatherers of a zone, the most capable instances first.

    Returns
    -------
    tuple of Gatherer
        Empty if every instance queries the endpoints itself.
    """
    usable = [each for each in candidates if each.capacity_cores > 0]
    if not usable:
        return ()
    if not needs_gatherers(shape, instances, min(each.capacity_cores for each in usable)):
        return ()
    total_cores = sum(each.capacity_cores for each in usable)
    needed_cores = max(GATHERER_CORES_MIN, GATHERER_CORES_SHARE * total_cores)
    ranked = sorted(usable, key=lambda each: (-each.capacity_cores, _hash(each.name, "")))
    chosen: list[Gatherer] = []
    for gatherer in ranked:
        cores = sum(each.capacity_cores for each in chosen)
        if len(chosen) >= GATHERERS_MIN and cores >= needed_cores:
            break
        chosen.append(gatherer)
    return tuple(chosen)


def _hash(name: str, key: str) -> int:
    """Return a hash of 32 bits; checksums of similar names alone are not independent."""
    value = zlib.crc32(f"{key}\0{name}".encode())
    for _ in range(2):
        value = ((value >> 16) ^ value) * _HASH_MULTIPLIER % _HASH_RANGE
    return (value >> 16) ^ value


def _score(gatherer: Gatherer, shard: str) -> float:
    """Return the score of weighted rendezvous hashing; the highest one wins."""
    position = (_hash(gatherer.name, shard) + 0.5) / _HASH_RANGE
    return -gatherer.capacity_cores / math.log(position)


def usable_gatherers(directory: GathererDirectory, now_ms: float) -> list[Gatherer]:
    """Return the gatherers that are not suspended."""
    suspended_until_ms = directory.suspended_until_ms
    return [
        each
        for each in directory.gatherers
        if suspended_until_ms.get(each.name, -math.inf) <= now_ms
    ]


def assign_shards(
    directory: GathererDirectory, shards: tuple[str, ...], gatherers: Sequence[Gatherer]
) -> dict[str, list[str]]:
    """Divide shards among gatherers in proportion to their capacity; return them by gatherer.

    A shard keeps its gatherer while that one is usable, so that its connections stay in use.
    """
    key = (shards, tuple(each.name for each in gatherers))
    assigned = directory.assignments.get(key)
    if assigned is None:
        assigned = {}
        for shard in shards:
            best = max(gatherers, key=lambda each: _score(each, shard))
            assigned.setdefault(best.name, []).append(shard)
        directory.assignments[key] = assigned
    return assigned


def is_assigned(directory: GathererDirectory, shard: str, name: str, now_ms: float) -> bool:
    """Return whether the named instance usually queries a shard.

    Without gatherers in the zone, every instance does; while all of them are suspended, none.
    """
    if not directory.gatherers:
        return True
    gatherers = usable_gatherers(directory, now_ms)
    return bool(gatherers) and max(gatherers, key=lambda each: _score(each, shard)).name == name


def count_limit_sharers(instances: int, assigned: int, *, is_assigned: bool) -> float:
    """Return the number of instances whose shares of an endpoint's rate limit equal this one's.

    Parameters
    ----------
    assigned : int
        Number of instances, in all zones, that usually query the endpoint.
    """
    others = instances - assigned
    if others <= 0:
        return float(max(1, instances))
    if is_assigned:
        return assigned / (1.0 - OTHERS_LIMIT_SHARE)
    return others / OTHERS_LIMIT_SHARE


def replace_gatherers(directory: GathererDirectory, gatherers: tuple[Gatherer, ...]) -> bool:
    """Replace the gatherers; return whether they have changed."""
    if gatherers == directory.gatherers:
        return False
    directory.gatherers = gatherers
    directory.assignments.clear()
    names = {each.name for each in gatherers}
    for name in [name for name in directory.suspended_until_ms if name not in names]:
        del directory.suspended_until_ms[name]
    return True


def needed_parts_of_fragment(shards: int, total_shards: int, total_needed: int) -> int:
    """Return the minimum number of parts of a fragment's early answer.

    Missing parts are allowed in proportion, and one more, as failures are not spread evenly.
    """
    allowed = total_shards - total_needed
    return max(0, shards - min(allowed, allowed * shards // total_shards + 1))


def share_budget(
    extra: float, instances: int, gatherers: int, *, is_gatherer: bool
) -> BudgetShare | None:
    """Return this instance's share of the fixed budget of the shards' services.

    Parameters
    ----------
    extra : float
        Extra legs that all instances together may send to a service in each window.
    gatherers : int
        Number of instances that query endpoints in all zones.

    Returns
    -------
    BudgetShare or None
        None if every instance queries the endpoints itself and all have equal shares.
    """
    others = instances - gatherers
    if others <= 0:
        return None
    others_burst = 1.0 if others <= OTHERS_BUDGET_SHARE * extra else 0.0
    others_steady = OTHERS_STEADY_SHARE * extra
    if not is_gatherer:
        return BudgetShare(others_burst, others_steady / others if others_burst else 0.0)
    share = (BUDGET_USED_SHARE * extra - others * others_burst - others_steady) / max(1, gatherers)
    return BudgetShare(max(1.0, share * GATHERER_BURST_SHARE), share * (1.0 - GATHERER_BURST_SHARE))


def encode_gatherers(gatherers: Collection[Gatherer]) -> list[list[str | float]]:
    """Encode gatherers for a message between instances."""
    return [[each.name, f"{each.host}:{each.port}", each.capacity_cores] for each in gatherers]


def parse_gatherer(name: object, address: object, capacity_cores: object) -> Gatherer:
    """Parse a gatherer from the fields of a message between instances.

    Raises
    ------
    ValueError, TypeError
        If a field is malformed.
    """
    parsed_address = parse_ip_address(address)
    if parsed_address is None:
        raise ValueError("address is not IP:PORT")
    if not isinstance(name, str) or not is_printable(name):
        raise ValueError("name is not printable text")
    if not isinstance(capacity_cores, str | float | int):
        raise TypeError("capacity is not a number")
    cores = float(capacity_cores)
    if not 0 <= cores < math.inf:
        raise ValueError("capacity is out of range")
    return Gatherer(name, *parsed_address, cores)


def decode_gatherers(rows: object) -> tuple[Gatherer, ...]:
    """Decode gatherers.

    Raises
    ------
    ValueError, TypeError
        If the rows are malformed.
    """
    if not isinstance(rows, list):
        raise TypeError("gatherers are not a list")
    gatherers = []
    for name, address, capacity_cores in rows:
        gatherers.append(parse_gatherer(name, address, capacity_cores))
    return tuple(gatherers)


def encode_fragment_request(request: FragmentRequest) -> bytes:
    """Encode a fragment request as JSON."""
    return json.dumps(request, separators=(",", ":")).encode()


def decode_fragment_request(body: bytes) -> FragmentRequest | None:
    """Decode a fragment request; return None if it is malformed."""
    try:
        data = parse_json(body)
        request: FragmentRequest = {
            "route": str(data["route"]),
            "version": int(data["version"]),
            "request_id": str(data["request_id"]),
            "method": str(data["method"]),
            "target": str(data["target"]),
            "headers": [(str(name), str(value)) for name, value in data["headers"]],
            "body": str(data["body"]),
            "shards": [str(shard) for shard in data["shards"]],
            "top_count": int(data["top_count"]),
            "max_attempts": int(data["max_attempts"]),
            "latency_target_ms": float(data["latency_target_ms"]),
            "needed": int(data["needed"]),
            "answer_in_ms": float(data["answer_in_ms"]),
            "expires_in_ms": float(data["expires_in_ms"]),
        }
        if "customer" in data:
            request["customer"] = str(data["customer"])
            request["priority"] = int(data["priority"])
        if "route_priority" in data:
            request["route_priority"] = int(data["route_priority"])
            request["is_caller_back"] = data["is_caller_back"] is True
        if data.get("is_plain") is True:
            request["is_plain"] = True
            request["is_idempotent"] = data["is_idempotent"] is True
            request["was_sent"] = data["was_sent"] is True
            request["short_for_ms"] = float(data["short_for_ms"])
        return request
    except (ValueError, KeyError, TypeError, OverflowError):
        return None


def encode_fragment_answer(answer: FragmentAnswer) -> bytes:
    """Encode a fragment answer as JSON."""
    return json.dumps(answer, separators=(",", ":")).encode()


def decode_fragment_answer(body: bytes) -> FragmentAnswer | None:
    """Decode a fragment answer; return None if it is malformed."""
    try:
        data = parse_json(body)
        bytes.fromhex(data["records"])
        answer: FragmentAnswer = {
            "parts": [(str(shard), str(proof)) for shard, proof in data["parts"]],
            "records": str(data["records"]),
            "may_have_run": [str(shard) for shard in data["may_have_run"]],
            "withheld": [str(shard) for shard in data.get("withheld", ())],
            "ended": [str(endpoint) for endpoint in data.get("ended", ())],
        }
        if "reply" in data:
            status, fields, body_text = data["reply"]
            headers = [(str(name), str(value)) for name, value in fields]
            for text in (*(text for header in headers for text in header), body_text):
                text.encode("latin-1")
            answer["reply"] = (int(status), headers, str(body_text))
        if "short" in data:
            answer["short"] = [(str(service), float(for_ms)) for service, for_ms in data["short"]]
        if "retry_after_ms" in data:
            answer["retry_after_ms"] = float(data["retry_after_ms"])
        return answer
    except (ValueError, KeyError, TypeError, OverflowError):
        return None
