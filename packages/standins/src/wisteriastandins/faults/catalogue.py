"""The faults and planned changes of a fault run."""

import signal
from typing import Any

from wisteriastandins.launcher import restart_process, send_signal, start_process
from wisteriastandins.topology.const import DEFAULT_SNAPSHOT

from .control import change_endpoints, change_links, change_platform
from .models import Act, Fault, Target

# One replica of the first service of each group.
_ONE_REPLICA = "*-01-1"
_NEXT_SNAPSHOT = DEFAULT_SNAPSHOT + 1


async def _nothing(target: Target) -> str | None:
    """Do nothing, for a fault that ends by itself."""
    return None


def _endpoints(match: str, change: dict[str, Any]) -> Act:
    async def act(target: Target) -> str | None:
        return await change_endpoints(target.plan, match, change)

    return act


def _links(match: str, action: dict[str, Any]) -> Act:
    async def act(target: Target) -> str | None:
        return await change_links(target.plan, match, action)

    return act


def _zone(action: dict[str, Any]) -> Act:
    """Act on all links from and to the first zone."""

    async def act(target: Target) -> str | None:
        zone = target.plan["entries"][0]["zone"]
        outwards = await change_links(target.plan, f"{zone}/*", action)
        return outwards or await change_links(target.plan, f"*/{zone}/*", action)

    return act


def _platform(change: dict[str, Any]) -> Act:
    async def act(target: Target) -> str | None:
        return await change_platform(target.plan, change)

    return act


def _first_entry(target: Target) -> str:
    return target.plan["entries"][0]["name"]


def _signal(number: signal.Signals) -> Act:
    async def act(target: Target) -> str | None:
        send_signal(target.running, _first_entry(target), number)
        return None

    return act


async def _start_killed(target: Target) -> str | None:
    name = _first_entry(target)
    target.running.processes[name].wait()
    start_process(target.running, target.running.commands[name])
    return None


async def _restart_one_of_each_zone(target: Target) -> str | None:
    """Restart an instance of each zone gracefully, one after the other."""
    seen: set[str] = set()
    for entry in target.plan["entries"]:
        if entry["zone"] not in seen:
            seen.add(entry["zone"])
            code = await restart_process(target.running, entry["name"])
            target.running.exit_codes[f"{entry['name']} before its restart"] = code
    return None


async def _repartition(target: Target) -> str | None:
    """Publish a snapshot in which every shard has two partitions, on each of its endpoints."""
    shards = {e["name"].rpartition("-")[0]: e["shards"] for e in target.plan["endpoints"]}
    for service, held in shards.items():
        partitions = [(shard, part, 2) for shard in held for part in (0, 1)]
        added = {"add_snapshots": {str(_NEXT_SNAPSHOT): partitions}}
        if error := await change_endpoints(target.plan, f"{service}-*", added):
            return error
    return None


_COPY = {"copy_snapshot": {"source": DEFAULT_SNAPSHOT, "target": _NEXT_SNAPSHOT}}
_DROP = _endpoints("*", {"drop_snapshots": [DEFAULT_SNAPSHOT]})
_STRAGGLE = {"straggler_share": 0.02, "straggler_factor": 20.0}

FAULTS = {
    fault.name: fault
    for fault in (
        Fault("none", True, _nothing, _nothing),
        Fault("snapshot", True, _endpoints("*", _COPY), _DROP),
        Fault("repartition", True, _repartition, _DROP),
        Fault(
            "drain",
            True,
            _endpoints(_ONE_REPLICA, {"drain": True}),
            _endpoints(_ONE_REPLICA, {"drain": False}),
        ),
        Fault("restart", True, _restart_one_of_each_zone, _nothing),
        Fault(
            "stragglers",
            False,
            _endpoints("*", _STRAGGLE),
            _endpoints("*", {"straggler_share": 0.0}),
        ),
        Fault("silence", False, _endpoints("*", {"silence": True}), _nothing),
        Fault(
            "gone",
            False,
            _endpoints(_ONE_REPLICA, {"down": True}),
            _endpoints(_ONE_REPLICA, {"down": False}),
        ),
        Fault("kill", False, _signal(signal.SIGKILL), _start_killed),
        Fault("pause", False, _signal(signal.SIGSTOP), _signal(signal.SIGCONT)),
        Fault("zone_cut", False, _zone({"action": "cut"}), _zone({"action": "heal"})),
        Fault("zone_silent", False, _zone({"action": "silence"}), _nothing),
        Fault(
            "loss",
            False,
            _links("*", {"action": "delay", "delay_ms": 8, "jitter_ms": 8, "loss_share": 0.01}),
            _links("*", {"action": "delay", "delay_ms": 5, "jitter_ms": 1, "loss_share": 0}),
        ),
        Fault("platform", False, _platform({"outage": "error"}), _platform({"outage": "none"})),
    )
}
