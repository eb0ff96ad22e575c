"""The faults and planned changes of a fault run."""

import signal
from typing import Any

from wisteriastandins.launcher import restart_process, send_signal, start_process
from wisteriastandins.topology.const import DEFAULT_SNAPSHOT

from .control import change_endpoints, change_links, change_platform
from .models import Fault, FaultAction, Target

# Matches one replica of the first service of each group.
_ONE_REPLICA = "*-01-1"
_NEXT_SNAPSHOT = DEFAULT_SNAPSHOT + 1


async def _do_nothing(target: Target) -> str | None:
    """Do nothing, for faults that need no action at this point."""
    return None


def _endpoint_action(match: str, change: dict[str, Any]) -> FaultAction:
    async def apply_action(target: Target) -> str | None:
        return await change_endpoints(target.plan, match, change)

    return apply_action


def _link_action(match: str, action: dict[str, Any]) -> FaultAction:
    async def apply_action(target: Target) -> str | None:
        return await change_links(target.plan, match, action)

    return apply_action


def _first_zone_action(action: dict[str, Any]) -> FaultAction:
    """Apply an action to all links from and to the first zone."""

    async def apply_action(target: Target) -> str | None:
        zone = target.plan["entries"][0]["zone"]
        error = await change_links(target.plan, f"{zone}/*", action)
        return error or await change_links(target.plan, f"*/{zone}/*", action)

    return apply_action


def _platform_action(change: dict[str, Any]) -> FaultAction:
    async def apply_action(target: Target) -> str | None:
        return await change_platform(target.plan, change)

    return apply_action


def _first_entry_name(target: Target) -> str:
    return target.plan["entries"][0]["name"]


def _signal_action(number: signal.Signals) -> FaultAction:
    async def apply_action(target: Target) -> str | None:
        send_signal(target.running, _first_entry_name(target), number)
        return None

    return apply_action


async def _restart_killed_entry(target: Target) -> str | None:
    name = _first_entry_name(target)
    target.running.processes[name].wait()
    start_process(target.running, target.running.commands[name])
    return None


async def _restart_one_instance_per_zone(target: Target) -> str | None:
    """Gracefully restart one instance per zone, one after the other."""
    restarted_zones: set[str] = set()
    for entry in target.plan["entries"]:
        if entry["zone"] not in restarted_zones:
            restarted_zones.add(entry["zone"])
            code = await restart_process(target.running, entry["name"])
            target.running.exit_codes[f"{entry['name']} before its restart"] = code
    return None


async def _repartition(target: Target) -> str | None:
    """Add a snapshot in which every shard has two partitions, on all endpoints of its service."""
    shards_by_service = {
        endpoint["name"].rpartition("-")[0]: endpoint["shards"]
        for endpoint in target.plan["endpoints"]
    }
    for service, shards in shards_by_service.items():
        partitions = [(shard, part, 2) for shard in shards for part in (0, 1)]
        change = {"add_snapshots": {str(_NEXT_SNAPSHOT): partitions}}
        if error := await change_endpoints(target.plan, f"{service}-*", change):
            return error
    return None


_COPY_SNAPSHOT = {"copy_snapshot": {"source": DEFAULT_SNAPSHOT, "target": _NEXT_SNAPSHOT}}
_DROP_SNAPSHOT = _endpoint_action("*", {"drop_snapshots": [DEFAULT_SNAPSHOT]})
_STRAGGLERS = {"straggler_share": 0.02, "straggler_factor": 20.0}

FAULTS = {
    fault.name: fault
    for fault in (
        Fault("none", True, _do_nothing, _do_nothing),
        Fault("snapshot", True, _endpoint_action("*", _COPY_SNAPSHOT), _DROP_SNAPSHOT),
        Fault("repartition", True, _repartition, _DROP_SNAPSHOT),
        Fault(
            "drain",
            True,
            _endpoint_action(_ONE_REPLICA, {"drain": True}),
            _endpoint_action(_ONE_REPLICA, {"drain": False}),
        ),
        Fault("restart", True, _restart_one_instance_per_zone, _do_nothing),
        Fault(
            "stragglers",
            False,
            _endpoint_action("*", _STRAGGLERS),
            _endpoint_action("*", {"straggler_share": 0.0}),
        ),
        Fault("silence", False, _endpoint_action("*", {"silence": True}), _do_nothing),
        Fault(
            "gone",
            False,
            _endpoint_action(_ONE_REPLICA, {"down": True}),
            _endpoint_action(_ONE_REPLICA, {"down": False}),
        ),
        Fault("kill", False, _signal_action(signal.SIGKILL), _restart_killed_entry),
        Fault("pause", False, _signal_action(signal.SIGSTOP), _signal_action(signal.SIGCONT)),
        Fault(
            "zone_cut",
            False,
            _first_zone_action({"action": "cut"}),
            _first_zone_action({"action": "heal"}),
        ),
        Fault("zone_silent", False, _first_zone_action({"action": "silence"}), _do_nothing),
        Fault(
            "loss",
            False,
            _link_action(
                "*", {"action": "delay", "delay_ms": 8, "jitter_ms": 8, "loss_share": 0.01}
            ),
            _link_action("*", {"action": "delay", "delay_ms": 5, "jitter_ms": 1, "loss_share": 0}),
        ),
        Fault(
            "platform",
            False,
            _platform_action({"outage": "error"}),
            _platform_action({"outage": "none"}),
        ),
    )
}
