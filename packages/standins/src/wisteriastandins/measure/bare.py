"""Bare fan-out with aiosonic: the same legs to the same endpoints, without the tier."""

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass, field
from itertools import count
from typing import Any, NamedTuple, TypedDict

import msgspec

from wisteriastandins.load.arrivals import generate_arrivals
from wisteriastandins.load.client import Connections, close_idle_connections, post_json
from wisteriastandins.load.models import Arrival, LoadOptions, SendError
from wisteriastandins.topology.const import DEFAULT_SNAPSHOT
from wisteriastandins.topology.models import LoadPlan, PlanEndpoint

_TIMEOUT_GRACE_S = 1.0


class LegAnswer(TypedDict):
    """Body of a 200 answer to a leg."""

    leg_id: str
    rows: list[dict[str, Any]]


class BareResult(NamedTuple):
    """Legs sent, legs without an answer of status 200, rows read, and processor time."""

    legs: int
    errors: int
    rows: int
    cpu_s: float


@dataclass
class _State:
    replicas: dict[str, list[PlanEndpoint]]
    slots: dict[str, asyncio.Semaphore]
    connections: Connections = field(default_factory=Connections)
    next_replica_index: Any = field(default_factory=lambda: defaultdict(count))
    legs: int = 0
    errors: int = 0
    rows: int = 0


_LEG_ANSWER_DECODER = msgspec.json.Decoder(LegAnswer)


def _create_state(plan: LoadPlan) -> _State:
    replicas: dict[str, list[PlanEndpoint]] = defaultdict(list)
    for endpoint in plan["endpoints"]:
        for shard in endpoint["shards"]:
            replicas[shard].append(endpoint)
    slots = {e["name"]: asyncio.Semaphore(e["slots"]) for e in plan["endpoints"]}
    return _State(dict(replicas), slots)


async def _send_leg(state: _State, arrival: Arrival, number: int, shard: str) -> None:
    """Send one leg to the next replica of its shard, within the slots of that replica."""
    replicas = state.replicas[shard]
    endpoint = replicas[next(state.next_replica_index[shard]) % len(replicas)]
    body = {
        "leg_id": f"{arrival.request_id}.{number}",
        "request_id": arrival.request_id,
        "kind": arrival.kind,
        "shard": shard,
        "part": 0,
        "parts": 1,
        "snapshot": DEFAULT_SNAPSHOT,
        "deadline_ms": arrival.deadline_ms,
        "idempotent": arrival.repeatable,
        "params": arrival.params,
    }
    url = f"http://{endpoint['host']}:{endpoint['port']}"
    timeout_s = arrival.deadline_ms / 1000 + _TIMEOUT_GRACE_S
    async with state.slots[endpoint["name"]]:
        state.legs += 1
        encoded = msgspec.json.encode(body)
        response = await post_json(state.connections, url, "/leg", "", encoded, timeout_s)
    if isinstance(response, SendError) or response[0] != 200:
        state.errors += 1
        return
    state.rows += len(_LEG_ANSWER_DECODER.decode(response[1])["rows"])


async def _send_legs(state: _State, arrival: Arrival) -> None:
    legs = [_send_leg(state, arrival, n, shard) for n, shard in enumerate(arrival.shards)]
    await asyncio.gather(*legs)


async def run_bare(plan: LoadPlan, options: LoadOptions, run_id: str) -> BareResult:
    """Send the legs of a load run directly to the endpoints.

    Parameters
    ----------
    plan : LoadPlan
        Endpoints and classes.
    options : LoadOptions
        Options of the load through the tier; the same seed gives the same requests.
    run_id : str
        Prefix of every request id; differs from that of other runs.

    Returns
    -------
    BareResult
        Counts over the whole run, and the processor time of this process in seconds.
    """
    state = _create_state(plan)
    start_s, cpu_start_s = time.monotonic(), time.process_time()
    try:
        async with asyncio.TaskGroup() as group:
            for arrival in generate_arrivals(plan, options, run_id):
                wait_s = start_s + arrival.scheduled_ms / 1000 - time.monotonic()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                group.create_task(_send_legs(state, arrival))
        cpu_s = time.process_time() - cpu_start_s
    finally:
        await close_idle_connections(state.connections)
    return BareResult(state.legs, state.errors, state.rows, cpu_s)
