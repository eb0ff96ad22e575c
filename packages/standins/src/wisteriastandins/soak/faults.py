"""Injects the faults of a plan from outside the programs."""

import asyncio
import contextlib
import random
import signal
import socket
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
from wisteriastandins.users.endpoint import StubEndpoint
from wisteriastandins.users.faulty import ReplyFault
from wisteriastandins.users.store import end_lease

from .const import (
    DRAIN_GRACE_MS,
    EARLY_SIGNAL_MAX_S,
    ENDPOINT_DRAIN_MS,
    NEW_SHARDS,
    SHARDS,
    ZONES,
)
from .customers import overuse_allotment, withdraw_key
from .hostile import play_hostile_callers
from .models import Disturbance, DrainingEndpoint, Fault, FaultKind, RateLimit
from .programs import Program
from .returns import return_store
from .world import REPLICAS, SoakDeployment, add_endpoint, configure, register, remove_endpoint
from .zones import evacuate, return_cold

ALL_INSTANCES = -1
SLOW_LINK_MS = 80.0
SLOW_STORE_MS = 150.0
# Lifetime of the entry of an endpoint that stopped without deregistering.
ENTRY_TTL_S = 2.0
# Time that new shards run before a configuration version refers to them.
RESHARD_WARM_UP_S = 1.0
# Rate limits that endpoints name, per second, and the time that they hold beyond that of the fault:
# they are checked only after a while.
RATE_LIMITS_PER_S = (0.5, 2.0, 5.0, 12.0)
RATE_LIMIT_HOLD_S = 6.0
# Time between refusing and serving of an endpoint that does both.
REFUSAL_TURN_S = 0.1
# Pauses that endpoints ask for.
PAUSES_S = (0.8, 2.0, 5.0, 3_600.0)
# Changes of the configuration while an instance is paused: more than 4 MB together.
LARGE_CHANGES = 30
LARGE_CHANGE_BYTES = 150_000
LARGE_CHANGES_S = 3.0
# Attempts to listen on a port that was just released, and the time between them.
PORT_ATTEMPTS = 20
PORT_RETRY_S = 0.05
# Number of signals sent to one young process.
EARLY_SIGNALS = 5
# Time for which a settings file is incomplete while it is rewritten.
SETTINGS_REWRITE_S = 0.02
# Entries of other writers, which name no endpoint.
ODD_ENTRIES = (
    b"[" * 4_000,
    b"\xff\xfe",
    b"",
    b"null",
    b'{"service":"ledger-a","address":"127.0.0.1:99999","zone":"zone-a","concurrency":2,'
    b'"state":"ready","cold_left_ms":0,"seq":1}',
    b'{"service":"mill \\ud83d","address":"127.0.0.1:9","zone":"zone-a","concurrency":2,'
    b'"state":"ready","cold_left_ms":0,"seq":1}',
    b'{"service":"ledger-a","address":"127.0.0.1:9","zone":"zone-a","concurrency":2,'
    b'"state":"ready","cold_left_ms":' + b"9" * 400 + b',"seq":1}',
    b'{"service":"shard-0","address":"mill \\ud83d:80","zone":7,"concurrency":2.5,"state":[]}',
)


def _target_program(deployment: SoakDeployment, fault: Fault) -> Program:
    return deployment.programs[fault.target % len(deployment.programs)]


def _target_endpoint(deployment: SoakDeployment, fault: Fault) -> StubEndpoint:
    names = sorted(deployment.endpoints)
    return deployment.endpoints[names[fault.target % len(names)]]


def _record_disturbance(
    deployment: SoakDeployment, instance: int, duration_s: float, *, is_planned: bool = False
) -> Disturbance:
    now_ms = deployment.now_ms()
    disturbance = Disturbance(instance, now_ms, now_ms + duration_s * 1000, is_planned)
    deployment.observations.disturbances.append(disturbance)
    return disturbance


async def _kill(deployment: SoakDeployment, fault: Fault) -> None:
    program = _target_program(deployment, fault)
    _record_disturbance(deployment, program.number, 2.0)
    program.send_signal(signal.SIGKILL)


async def _kill_all(deployment: SoakDeployment, fault: Fault) -> None:
    _record_disturbance(deployment, ALL_INSTANCES, 2.0)
    deployment.observations.kill_all_times_ms.append(deployment.now_ms())
    for program in deployment.programs:
        program.send_signal(signal.SIGKILL)


async def _pause(deployment: SoakDeployment, fault: Fault) -> None:
    program = _target_program(deployment, fault)
    process = program.process
    _record_disturbance(deployment, program.number, fault.duration_s)
    program.send_signal(signal.SIGSTOP)
    await asyncio.sleep(fault.duration_s)
    if program.process is process:
        program.send_signal(signal.SIGCONT)


async def _stop(deployment: SoakDeployment, fault: Fault) -> None:
    program = _target_program(deployment, fault)
    _record_disturbance(deployment, program.number, DRAIN_GRACE_MS / 1000, is_planned=True)
    process = program.process
    program.send_signal(signal.SIGTERM)
    await asyncio.sleep(DRAIN_GRACE_MS / 1000)
    if program.process is process:
        program.send_signal(signal.SIGKILL)


async def _hang_up(deployment: SoakDeployment, fault: Fault) -> None:
    _target_program(deployment, fault).send_signal(signal.SIGHUP)


async def _restart(deployment: SoakDeployment, program: Program) -> None:
    """Kill a program and wait until its next process has been started."""
    process = program.process
    _record_disturbance(deployment, program.number, 2.0)
    program.send_signal(signal.SIGKILL)
    while program.should_run and program.process is process:
        await asyncio.sleep(0.005)


def _early_signal_fault(
    signal_number: signal.Signals,
) -> Callable[[SoakDeployment, Fault], Awaitable[None]]:
    """Return a fault that restarts a program and sends its young process a series of signals."""

    async def run(deployment: SoakDeployment, fault: Fault) -> None:
        program = _target_program(deployment, fault)
        await _restart(deployment, program)
        process = program.process
        rng = random.Random(fault.target)
        while program.process is process and process and process.returncode is None:
            if program.handles_signals():
                break
            await asyncio.sleep(0.001)
        from_s = deployment.loop.time()
        for delay_s in sorted(rng.uniform(0.0, EARLY_SIGNAL_MAX_S) for _ in range(EARLY_SIGNALS)):
            await asyncio.sleep(max(0.0, from_s + delay_s - deployment.loop.time()))
            if program.process is process:
                program.send_signal(signal_number)

    return run


async def _rewrite_settings(deployment: SoakDeployment, fault: Fault) -> None:
    """Rewrite the settings file in place while the program starts, then announce it."""
    program = _target_program(deployment, fault)
    text = program.settings_path.read_text(encoding="utf-8")
    await _restart(deployment, program)
    end_s = deployment.loop.time() + min(fault.duration_s, 0.5)
    while deployment.loop.time() < end_s:
        program.settings_path.write_text(text[: len(text) // 2], encoding="utf-8")
        await asyncio.sleep(SETTINGS_REWRITE_S)
        program.settings_path.write_text(text, encoding="utf-8")
        await asyncio.sleep(SETTINGS_REWRITE_S)
    program.send_signal(signal.SIGHUP)


async def _take_port(deployment: SoakDeployment, fault: Fault) -> None:
    """Take a port of a program that is down, and give it back."""
    program = _target_program(deployment, fault)
    ports = (program.metrics_port, program.peer_port, program.ready_port, program.front_port)
    port = ports[fault.target // 7 % len(ports)]
    process = program.process
    _record_disturbance(deployment, program.number, fault.duration_s + 2.0)
    program.send_signal(signal.SIGKILL)
    await asyncio.sleep(0.1)
    with socket.socket() as taken, contextlib.suppress(OSError):
        taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if program.process is process:
            taken.bind((program.host, port))
            taken.listen()
        await asyncio.sleep(fault.duration_s)


async def _put_odd_entry(deployment: SoakDeployment, fault: Fault) -> None:
    key = f"servers/odd.{fault.target}.0"
    deployment.store.put(key, ODD_ENTRIES[fault.target % len(ODD_ENTRIES)])
    await asyncio.sleep(fault.duration_s)
    deployment.store.remove(key)


def _store_mode_fault(mode: str) -> Callable[[SoakDeployment, Fault], Awaitable[None]]:
    async def run(deployment: SoakDeployment, fault: Fault) -> None:
        _record_disturbance(deployment, ALL_INSTANCES, fault.duration_s)
        deployment.store.mode = mode
        await asyncio.sleep(fault.duration_s)
        deployment.store.mode = "ok"

    return run


async def _store_slow(deployment: SoakDeployment, fault: Fault) -> None:
    _record_disturbance(deployment, ALL_INSTANCES, fault.duration_s)
    deployment.store.delay_ms = SLOW_STORE_MS
    await asyncio.sleep(fault.duration_s)
    deployment.store.delay_ms = 0.0


async def _store_forgets(deployment: SoakDeployment, fault: Fault) -> None:
    _record_disturbance(deployment, ALL_INSTANCES, 0.0)
    deployment.store.discard_history()


async def _leases_expire(deployment: SoakDeployment, fault: Fault) -> None:
    _record_disturbance(deployment, ALL_INSTANCES, 0.0)
    for lease in list(deployment.store.state.leases):
        end_lease(deployment.store.state, lease)


def _programs_in_zone(deployment: SoakDeployment, zone: str) -> list[Program]:
    return [program for program in deployment.programs if program.zone == zone]


async def _store_link_silent(deployment: SoakDeployment, fault: Fault) -> None:
    zone = ZONES[fault.target % len(ZONES)]
    for program in _programs_in_zone(deployment, zone):
        _record_disturbance(deployment, program.number, 0.0)
    silence_connections(deployment.store_links[zone])


async def _store_link_cut(deployment: SoakDeployment, fault: Fault) -> None:
    zone = ZONES[fault.target % len(ZONES)]
    for program in _programs_in_zone(deployment, zone):
        _record_disturbance(deployment, program.number, fault.duration_s)
    link = deployment.store_links[zone]
    silence_connections(link)
    link.state.new_when_cut = NewWhenCut.UNANSWERED
    await asyncio.sleep(fault.duration_s)
    link.state.new_when_cut = None
    reset_connections(link)


def _endpoint_link_fault(
    change: Callable[[Link], None],
) -> Callable[[SoakDeployment, Fault], Awaitable[None]]:
    async def run(deployment: SoakDeployment, fault: Fault) -> None:
        _record_disturbance(deployment, ALL_INSTANCES, 0.0)
        change(deployment.links[_target_endpoint(deployment, fault).endpoint_id])

    return run


async def _link_slow(deployment: SoakDeployment, fault: Fault) -> None:
    _record_disturbance(deployment, ALL_INSTANCES, fault.duration_s)
    state = deployment.links[_target_endpoint(deployment, fault).endpoint_id].state
    state.delay_ms = SLOW_LINK_MS
    await asyncio.sleep(fault.duration_s)
    state.delay_ms = 0.0


def _endpoint_mode_fault(mode: str) -> Callable[[SoakDeployment, Fault], Awaitable[None]]:
    async def run(deployment: SoakDeployment, fault: Fault) -> None:
        endpoint = _target_endpoint(deployment, fault)
        endpoint.mode = mode
        await asyncio.sleep(fault.duration_s)
        endpoint.mode = "ok"

    return run


def _reply_fault(reply_fault: ReplyFault) -> Callable[[SoakDeployment, Fault], Awaitable[None]]:
    async def run(deployment: SoakDeployment, fault: Fault) -> None:
        reply_faults = _target_endpoint(deployment, fault).reply_faults
        reply_faults.current = reply_fault
        await asyncio.sleep(fault.duration_s)
        reply_faults.current = None

    return run


async def _encode_replies(deployment: SoakDeployment, fault: Fault) -> None:
    endpoint = _target_endpoint(deployment, fault)
    endpoint.extra_headers = [(b"Content-Encoding", b"gzip")]
    await asyncio.sleep(fault.duration_s)
    endpoint.extra_headers = []


async def _refuse_without_id(deployment: SoakDeployment, fault: Fault) -> None:
    """Refuse and serve by turns, without the id in refusals, and send a copy of each reply."""
    endpoint = _target_endpoint(deployment, fault)
    endpoint.is_refusal_named = False
    endpoint.reply_faults.current = ReplyFault.COPY
    end_s = deployment.loop.time() + fault.duration_s
    while deployment.loop.time() < end_s:
        endpoint.mode = "ok" if endpoint.mode == "shed" else "shed"
        await asyncio.sleep(REFUSAL_TURN_S)
    endpoint.mode = "ok"
    endpoint.reply_faults.current = None
    endpoint.is_refusal_named = True


async def _leave(deployment: SoakDeployment, fault: Fault) -> None:
    """Let an endpoint say in its replies that it leaves, before its entry does."""
    endpoint = _target_endpoint(deployment, fault)
    if _has_no_spare(deployment, endpoint.service):
        await add_endpoint(deployment, endpoint.service, fault.target % len(ZONES))
    endpoint.is_leaving = True
    await asyncio.sleep(fault.duration_s)
    await _drain_endpoint(deployment, endpoint)


async def _ask_for_pause(deployment: SoakDeployment, fault: Fault) -> None:
    """Let an endpoint refuse for a moment, and ask for a pause that is longer."""
    endpoint = _target_endpoint(deployment, fault)
    endpoint.mode, endpoint.pause_s = "shed", PAUSES_S[fault.target % len(PAUSES_S)]
    await asyncio.sleep(min(fault.duration_s, 1.0))
    endpoint.mode, endpoint.pause_s = "ok", None


async def _send_deadly_requests(deployment: SoakDeployment, fault: Fault) -> None:
    deployment.observations.deadly_until_ms = deployment.now_ms() + fault.duration_s * 1000
    await asyncio.sleep(fault.duration_s)


async def _pause_under_large_changes(deployment: SoakDeployment, fault: Fault) -> None:
    """Pause an instance while the configuration changes by more than one reply can hold."""
    program = _target_program(deployment, fault)
    process = program.process
    _record_disturbance(deployment, program.number, LARGE_CHANGES_S)
    program.send_signal(signal.SIGSTOP)
    for _ in range(LARGE_CHANGES):
        configure(deployment, padding_bytes=LARGE_CHANGE_BYTES)
        await asyncio.sleep(LARGE_CHANGES_S / LARGE_CHANGES)
    if program.process is process:
        program.send_signal(signal.SIGCONT)


async def _name_rate_limit(deployment: SoakDeployment, fault: Fault) -> None:
    endpoint = _target_endpoint(deployment, fault)
    if endpoint.rate_limit_per_s is not None:
        return
    per_s = RATE_LIMITS_PER_S[fault.target % len(RATE_LIMITS_PER_S)]
    from_ms = deployment.now_ms()
    endpoint.rate_limit_per_s = per_s
    await asyncio.sleep(fault.duration_s + RATE_LIMIT_HOLD_S)
    endpoint.rate_limit_per_s = None
    deployment.observations.rate_limits.append(
        RateLimit(endpoint.endpoint_id, per_s, from_ms, deployment.now_ms())
    )


async def _drain_endpoint(deployment: SoakDeployment, endpoint: StubEndpoint) -> None:
    """Drain an endpoint and stop it after the published drain time.

    Another fault may have removed it already.
    """
    if endpoint.endpoint_id not in deployment.endpoints:
        return
    register(deployment, endpoint, state="draining")
    deployment.observations.draining_endpoints.append(
        DrainingEndpoint(endpoint.endpoint_id, deployment.now_ms())
    )
    await asyncio.sleep(ENDPOINT_DRAIN_MS / 1000 + 1.0)
    await remove_endpoint(deployment, endpoint.endpoint_id)


def _has_no_spare(deployment: SoakDeployment, service: str) -> bool:
    """Return whether a service has no more endpoints than `REPLICAS`."""
    alive = sum(1 for each in deployment.endpoints.values() if each.service == service)
    return alive <= REPLICAS


async def _replace_endpoint(deployment: SoakDeployment, fault: Fault) -> None:
    endpoint = _target_endpoint(deployment, fault)
    if _has_no_spare(deployment, endpoint.service):
        await add_endpoint(deployment, endpoint.service, fault.target % len(ZONES))
    await _drain_endpoint(deployment, endpoint)


async def _move_link(link: Link, port: int) -> None:
    """Listen on another port, unless a connection of the machine holds it all the while."""
    own_port = link.config["listen_port"]
    close_link(link)
    for _ in range(PORT_ATTEMPTS):
        link.config["listen_port"] = port
        try:
            await open_link(link)
        except OSError:
            await asyncio.sleep(PORT_RETRY_S)
        else:
            return
    link.config["listen_port"] = own_port
    await open_link(link)


async def _reassign_address(deployment: SoakDeployment, fault: Fault) -> None:
    """Stop an endpoint abruptly and give its address to an endpoint of another service.

    The entry of the stopped endpoint stays until `ENTRY_TTL_S` has passed.
    """
    endpoint = _target_endpoint(deployment, fault)
    others = sorted({each.service for each in deployment.endpoints.values()} - {endpoint.service})
    service = others[fault.target % len(others)]
    if _has_no_spare(deployment, endpoint.service):
        await add_endpoint(deployment, endpoint.service, fault.target % len(ZONES))
    link = deployment.links.get(endpoint.endpoint_id)
    # Another fault may have removed it meanwhile.
    if link is None:
        return
    port = link.config["listen_port"]
    await remove_endpoint(deployment, endpoint.endpoint_id, keep_entry=True)
    successor = await add_endpoint(deployment, service, fault.target % len(ZONES))
    successor_link = deployment.links[successor.endpoint_id]
    if successor.endpoint_id not in deployment.endpoints:
        return
    await _move_link(successor_link, port)
    register(deployment, successor)
    await asyncio.sleep(ENTRY_TTL_S)
    deployment.store.remove(f"servers/{endpoint.endpoint_id}")


async def _configure(deployment: SoakDeployment, fault: Fault) -> None:
    configure(deployment)


async def _reshard(deployment: SoakDeployment, fault: Fault) -> None:
    """Start the other set of shards and publish a version that uses it."""
    old, new = (SHARDS, NEW_SHARDS) if deployment.shards == SHARDS else (NEW_SHARDS, SHARDS)
    for service in new:
        alive = [each for each in deployment.endpoints.values() if each.service == service]
        for number in range(REPLICAS - len(alive)):
            await add_endpoint(deployment, service, number)
    await asyncio.sleep(RESHARD_WARM_UP_S)
    # Another fault has resharded in the meantime.
    if deployment.shards != old:
        return
    configure(deployment, new)


_ACTIONS: dict[FaultKind, Callable[[SoakDeployment, Fault], Awaitable[None]]] = {
    FaultKind.KILL: _kill,
    FaultKind.KILL_ALL: _kill_all,
    FaultKind.PAUSE: _pause,
    FaultKind.STOP: _stop,
    FaultKind.HANG_UP: _hang_up,
    FaultKind.EARLY_HANG_UP: _early_signal_fault(signal.SIGHUP),
    FaultKind.EARLY_STOP: _early_signal_fault(signal.SIGTERM),
    FaultKind.SETTINGS_REWRITTEN: _rewrite_settings,
    FaultKind.PORT_TAKEN: _take_port,
    FaultKind.ODD_ENTRY: _put_odd_entry,
    FaultKind.STORE_BUSY: _store_mode_fault("busy"),
    FaultKind.STORE_SILENT: _store_mode_fault("silent"),
    FaultKind.STORE_LOST: _store_mode_fault("lost"),
    FaultKind.STORE_SLOW: _store_slow,
    FaultKind.STORE_FORGETS: _store_forgets,
    FaultKind.LEASES_EXPIRE: _leases_expire,
    FaultKind.STORE_LINK_SILENT: _store_link_silent,
    FaultKind.STORE_LINK_CUT: _store_link_cut,
    FaultKind.LINK_RESET: _endpoint_link_fault(reset_connections),
    FaultKind.LINK_SILENT: _endpoint_link_fault(silence_connections),
    FaultKind.LINK_ONE_WAY: _endpoint_link_fault(silence_one_way),
    FaultKind.LINK_SLOW: _link_slow,
    FaultKind.ENDPOINT_SHED: _endpoint_mode_fault("shed"),
    FaultKind.ENDPOINT_ERROR: _endpoint_mode_fault("error"),
    FaultKind.ENDPOINT_MUTE: _endpoint_mode_fault("silent"),
    FaultKind.ENDPOINT_CUT_OFF: _reply_fault(ReplyFault.CUT_OFF),
    FaultKind.ENDPOINT_COPY: _reply_fault(ReplyFault.COPY),
    FaultKind.ENDPOINT_ENDLESS: _reply_fault(ReplyFault.ENDLESS),
    FaultKind.ENDPOINT_LIMIT: _name_rate_limit,
    FaultKind.ENDPOINT_ENCODED: _encode_replies,
    FaultKind.ENDPOINT_UNNAMED: _refuse_without_id,
    FaultKind.ENDPOINT_LEAVING: _leave,
    FaultKind.ENDPOINT_PAUSE: _ask_for_pause,
    FaultKind.COLD_RETURN: return_cold,
    FaultKind.EVACUATE: evacuate,
    FaultKind.DEADLY_REQUESTS: _send_deadly_requests,
    FaultKind.LARGE_CHANGES: _pause_under_large_changes,
    FaultKind.HOSTILE_CALLERS: play_hostile_callers,
    FaultKind.HOT_CUSTOMER: overuse_allotment,
    FaultKind.KEY_WITHDRAWN: withdraw_key,
    FaultKind.ENDPOINT_DRAIN: _replace_endpoint,
    FaultKind.ENDPOINT_MOVE: _reassign_address,
    FaultKind.CONFIGURE: _configure,
    FaultKind.RESHARD: _reshard,
    FaultKind.STORE_RETURN: return_store,
}


async def inject_fault(deployment: SoakDeployment, fault: Fault, started_ms: float) -> None:
    """Wait until the scheduled time of a fault and inject it."""
    await asyncio.sleep(max(0.0, started_ms / 1000 + fault.at_s - deployment.loop.time()))
    await _ACTIONS[fault.kind](deployment, fault)
