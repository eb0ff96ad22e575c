"""Carries out the faults of a plan, from outside the programs."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from wisteriastandins.relay.link import (
    Link,
    close_link,
    open_link,
    reset_connections,
    silence_connections,
    silence_one_way,
)
from wisteriastandins.relay.models import NewWhenCut
from wisteriastandins.users.endpoint import UsersEndpoint
from wisteriastandins.users.store import end_lease

from .const import DRAIN_MS, GRACE_MS, NEW_SHARDS, SHARDS, ZONES
from .models import Fault, FaultKind, Leaving, Trouble
from .programs import Program
from .world import REPLICAS, World, add_endpoint, configure, register, remove_endpoint

# All instances.
EVERYONE = -1
SLOW_LINK_MS = 80.0
SLOW_STORE_MS = 150.0
# Time after which the entry of an endpoint that ended without notice expires.
ENTRY_LIFE_S = 2.0
# Time that a new set of shards runs before a version names it.
WARM_UP_S = 1.0


def _program(world: World, fault: Fault) -> Program:
    return world.programs[fault.target % len(world.programs)]


def _endpoint(world: World, fault: Fault) -> UsersEndpoint:
    names = sorted(world.endpoints)
    return world.endpoints[names[fault.target % len(names)]]


def _trouble(world: World, instance: int, for_s: float, *, is_planned: bool = False) -> Trouble:
    now_ms = world.now_ms()
    trouble = Trouble(instance, now_ms, now_ms + for_s * 1000, is_planned)
    world.seen.troubles.append(trouble)
    return trouble


async def _kill(world: World, fault: Fault) -> None:
    program = _program(world, fault)
    _trouble(world, program.number, 2.0)
    program.send(signal.SIGKILL)


async def _kill_all(world: World, fault: Fault) -> None:
    _trouble(world, EVERYONE, 2.0)
    world.seen.killed_all_ms.append(world.now_ms())
    for program in world.programs:
        program.send(signal.SIGKILL)


async def _pause(world: World, fault: Fault) -> None:
    program = _program(world, fault)
    process = program.process
    _trouble(world, program.number, fault.for_s)
    program.send(signal.SIGSTOP)
    await asyncio.sleep(fault.for_s)
    if program.process is process:
        program.send(signal.SIGCONT)


async def _stop(world: World, fault: Fault) -> None:
    program = _program(world, fault)
    _trouble(world, program.number, GRACE_MS / 1000, is_planned=True)
    process = program.process
    program.send(signal.SIGTERM)
    await asyncio.sleep(GRACE_MS / 1000)
    if program.process is process:
        program.send(signal.SIGKILL)


async def _hang_up(world: World, fault: Fault) -> None:
    _program(world, fault).send(signal.SIGHUP)


def _store_mode(mode: str) -> Callable[[World, Fault], Awaitable[None]]:
    async def run(world: World, fault: Fault) -> None:
        _trouble(world, EVERYONE, fault.for_s)
        world.store.mode = mode
        await asyncio.sleep(fault.for_s)
        world.store.mode = "ok"

    return run


async def _store_slow(world: World, fault: Fault) -> None:
    _trouble(world, EVERYONE, fault.for_s)
    world.store.delay_ms = SLOW_STORE_MS
    await asyncio.sleep(fault.for_s)
    world.store.delay_ms = 0.0


async def _store_forgets(world: World, fault: Fault) -> None:
    _trouble(world, EVERYONE, 0.0)
    world.store.forget_history()


async def _leases_expire(world: World, fault: Fault) -> None:
    _trouble(world, EVERYONE, 0.0)
    for lease in list(world.store.state.leases):
        end_lease(world.store.state, lease)


def _in_zone(world: World, zone: str) -> list[Program]:
    return [program for program in world.programs if program.zone == zone]


async def _store_link_silent(world: World, fault: Fault) -> None:
    zone = ZONES[fault.target % len(ZONES)]
    for program in _in_zone(world, zone):
        _trouble(world, program.number, 0.0)
    silence_connections(world.store_links[zone])


async def _store_link_cut(world: World, fault: Fault) -> None:
    zone = ZONES[fault.target % len(ZONES)]
    for program in _in_zone(world, zone):
        _trouble(world, program.number, fault.for_s)
    link = world.store_links[zone]
    silence_connections(link)
    link.state.new_when_cut = NewWhenCut.UNANSWERED
    await asyncio.sleep(fault.for_s)
    link.state.new_when_cut = None
    reset_connections(link)


def _endpoint_link(change: Callable[[Link], None]) -> Callable[[World, Fault], Awaitable[None]]:
    async def run(world: World, fault: Fault) -> None:
        _trouble(world, EVERYONE, 0.0)
        change(world.links[_endpoint(world, fault).endpoint_id])

    return run


async def _link_slow(world: World, fault: Fault) -> None:
    _trouble(world, EVERYONE, fault.for_s)
    state = world.links[_endpoint(world, fault).endpoint_id].state
    state.delay_ms = SLOW_LINK_MS
    await asyncio.sleep(fault.for_s)
    state.delay_ms = 0.0


def _endpoint_mode(mode: str) -> Callable[[World, Fault], Awaitable[None]]:
    async def run(world: World, fault: Fault) -> None:
        endpoint = _endpoint(world, fault)
        endpoint.mode = mode
        await asyncio.sleep(fault.for_s)
        endpoint.mode = "ok"

    return run


async def _drain(world: World, endpoint: UsersEndpoint) -> None:
    """Drain an endpoint and end it after the published time."""
    register(world, endpoint, state="draining")
    world.seen.leaving.append(Leaving(endpoint.endpoint_id, world.now_ms()))
    await asyncio.sleep(DRAIN_MS / 1000 + 1.0)
    await remove_endpoint(world, endpoint.endpoint_id)


def _is_needed(world: World, service: str) -> bool:
    """Tell whether the deployment lives on the service's last two endpoints."""
    alive = sum(1 for each in world.endpoints.values() if each.service == service)
    return alive <= REPLICAS


async def _replace(world: World, fault: Fault) -> None:
    endpoint = _endpoint(world, fault)
    if _is_needed(world, endpoint.service):
        await add_endpoint(world, endpoint.service, fault.target % len(ZONES))
    await _drain(world, endpoint)


async def _move(world: World, fault: Fault) -> None:
    """End an endpoint without notice; an endpoint of another service gets its address.

    The entry of the former one stays until it would have expired.
    """
    endpoint = _endpoint(world, fault)
    others = sorted({each.service for each in world.endpoints.values()} - {endpoint.service})
    service = others[fault.target % len(others)]
    if _is_needed(world, endpoint.service):
        await add_endpoint(world, endpoint.service, fault.target % len(ZONES))
    link = world.links[endpoint.endpoint_id]
    port = link.config["listen_port"]
    await remove_endpoint(world, endpoint.endpoint_id, keeps_entry=True)
    heir = await add_endpoint(world, service, fault.target % len(ZONES))
    taken = world.links[heir.endpoint_id]
    close_link(taken)
    taken.config["listen_port"] = port
    await open_link(taken)
    register(world, heir)
    await asyncio.sleep(ENTRY_LIFE_S)
    world.store.remove(f"servers/{endpoint.endpoint_id}")


async def _configure(world: World, fault: Fault) -> None:
    configure(world)


async def _reshard(world: World, fault: Fault) -> None:
    """Cut the index anew: start the new set, name it, and drain the old one."""
    old, new = (SHARDS, NEW_SHARDS) if world.shards == SHARDS else (NEW_SHARDS, SHARDS)
    for service in new:
        alive = [each for each in world.endpoints.values() if each.service == service]
        for number in range(REPLICAS - len(alive)):
            await add_endpoint(world, service, number)
    await asyncio.sleep(WARM_UP_S)
    if world.shards != old:
        return
    configure(world, new)


_ACTIONS: dict[FaultKind, Callable[[World, Fault], Awaitable[None]]] = {
    FaultKind.KILL: _kill,
    FaultKind.KILL_ALL: _kill_all,
    FaultKind.PAUSE: _pause,
    FaultKind.STOP: _stop,
    FaultKind.HANG_UP: _hang_up,
    FaultKind.STORE_BUSY: _store_mode("busy"),
    FaultKind.STORE_SILENT: _store_mode("silent"),
    FaultKind.STORE_LOST: _store_mode("lost"),
    FaultKind.STORE_SLOW: _store_slow,
    FaultKind.STORE_FORGETS: _store_forgets,
    FaultKind.LEASES_EXPIRE: _leases_expire,
    FaultKind.STORE_LINK_SILENT: _store_link_silent,
    FaultKind.STORE_LINK_CUT: _store_link_cut,
    FaultKind.LINK_RESET: _endpoint_link(reset_connections),
    FaultKind.LINK_SILENT: _endpoint_link(silence_connections),
    FaultKind.LINK_ONE_WAY: _endpoint_link(silence_one_way),
    FaultKind.LINK_SLOW: _link_slow,
    FaultKind.ENDPOINT_SHED: _endpoint_mode("shed"),
    FaultKind.ENDPOINT_ERROR: _endpoint_mode("error"),
    FaultKind.ENDPOINT_MUTE: _endpoint_mode("silent"),
    FaultKind.ENDPOINT_DRAIN: _replace,
    FaultKind.ENDPOINT_MOVE: _move,
    FaultKind.CONFIGURE: _configure,
    FaultKind.RESHARD: _reshard,
}


async def carry_out(world: World, fault: Fault, started_ms: float) -> None:
    """Wait for the time of a fault and carry it out."""
    await asyncio.sleep(max(0.0, started_ms / 1000 + fault.at_s - world.loop.time()))
    await _ACTIONS[fault.kind](world, fault)
