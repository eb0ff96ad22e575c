"""A real process of an instance on loopback, and crowds of callers that break the limits."""

import asyncio
import contextlib
import json
import os
import socket
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any, NamedTuple

from wisteriastandins.users.endpoint import StubEndpoint
from wisteriastandins.users.store_server import StoreServer

from tests.wisteriaplatform.fixtures import (
    operator_configuration,
    records,
    request_bytes,
    send,
    wait_until,
)

# Limits in the settings of the process; the bounds of the tests follow from them.
MEMORY_LIMIT_MB = 40
DESCRIPTOR_LIMIT = 600
CALLER_LIMITS = {
    "header_bytes": 4_096,
    "body_bytes": 16_000,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 4_000,
}
# A tenth of each limit is to spare.
MEMORY_BOUND_BYTES = MEMORY_LIMIT_MB * 1_000_000 * 9 // 10
DESCRIPTOR_BOUND = DESCRIPTOR_LIMIT * 9 // 10
# Small window, so that answers that are not read stay with the process.
RECEIVE_BUFFER_BYTES = 4_096
_CUSTOMER = {"name": "school", "api_keys": ["secret-1"], "priority": 0}
_LISTENERS = ("front", "ready", "peer", "metrics")
_RUN = (
    "import resource, sys; "
    f"resource.setrlimit(resource.RLIMIT_NOFILE, ({DESCRIPTOR_LIMIT}, {DESCRIPTOR_LIMIT})); "
    "import wisteriaplatform.__main__ as program; sys.exit(program.main())"
)


class Crowd(NamedTuple):
    """Connections that each send a fixed number of bytes, and then stay open.

    Attributes
    ----------
    start, block : bytes
        What each connection sends first, and then `blocks` times.
    is_half_closed : bool
        Whether each connection closes its sending side at the end.
    """

    connections: int
    start: bytes
    block: bytes = b""
    blocks: int = 0
    listener: str = "front"
    is_half_closed: bool = False


class Flood(NamedTuple):
    """Callers that send one request after the other and read the start of each answer.

    Attributes
    ----------
    requests : int
        Number of requests of each caller.
    is_new_each : bool
        Whether each request has a connection of its own.
    after : bytes
        What a caller sends on once it has got an answer.
    """

    callers: int
    requests: int
    data: bytes
    is_new_each: bool = False
    after: bytes = b""
    listener: str = "front"


class InstanceProcess(NamedTuple):
    """A process of an instance with the ports of its listeners, and its endpoints.

    Attributes
    ----------
    ordinary_request : bytes
        A request within the limits, which is answered with success.
    """

    process: "subprocess.Popen[bytes]"
    ports: dict[str, int]
    ordinary_request: bytes
    endpoints: dict[str, StubEndpoint]


class Usage(NamedTuple):
    """Highest memory and number of descriptors of a process."""

    memory_bytes: int
    descriptors: int


def free_ports(names: tuple[str, ...]) -> dict[str, int]:
    with contextlib.ExitStack() as stack:
        sockets = {name: stack.enter_context(socket.socket()) for name in names}
        for each in sockets.values():
            each.bind(("127.0.0.1", 0))
        return {name: each.getsockname()[1] for name, each in sockets.items()}


def _make_settings(ports: dict[str, int], store_port: int) -> dict[str, object]:
    return {
        "instance": "front-1",
        "zone": "zone-a",
        **{f"{name}_address": f"127.0.0.1:{port}" for name, port in ports.items()},
        "store_address": f"127.0.0.1:{store_port}",
        "limits": {"memory_mb": MEMORY_LIMIT_MB, "max_fds": DESCRIPTOR_LIMIT},
    }


def _start_process(settings_path: Path) -> "subprocess.Popen[bytes]":
    environment = {**os.environ, "WISTERIAROCK_CONFIG": str(settings_path)}
    command = [sys.executable, "-c", _RUN]
    return subprocess.Popen(command, stdout=subprocess.DEVNULL, env=environment)


def _make_configuration(silent: list[str], limits: dict[str, int]) -> dict[str, Any]:
    """Return a configuration with low limits, and a fan-out over endpoints that never reply."""
    configuration: dict[str, Any] = operator_configuration(3)
    configuration["limits"] = {**CALLER_LIMITS, **limits}
    if silent:
        route = {**configuration["routes"][0], "name": "wide", "prefix": "/wide/", "gather": silent}
        configuration["routes"].append(route)
        service = configuration["services"][0]
        configuration["services"] += [{**service, "name": name} for name in silent]
    return configuration


def _add_closed_route(configuration: dict[str, Any]) -> None:
    """Add a route that needs the key of a customer."""
    for route in configuration["routes"]:
        route["public"] = True
    closed = {"name": "closed", "prefix": "/closed/", "public": False}
    configuration["routes"].append({**configuration["routes"][1], **closed})
    configuration["tenants"] = [_CUSTOMER]


@contextlib.asynccontextmanager
async def instance_process(
    silent_shards: int = 0, *, needs_key: bool = False, **limits: int
) -> AsyncIterator[InstanceProcess]:
    """Start a process with its store and endpoints; wait until it has answered a request.

    With `silent_shards`, another fan-out has that many shards, whose endpoints never reply. With
    `needs_key`, another route is closed to callers without a key.
    """
    loop = asyncio.get_running_loop()
    store = StoreServer(loop)
    await store.start()
    endpoints: dict[str, StubEndpoint] = {}
    silent = [f"wide-{number}" for number in range(silent_shards)]
    for service in ["shard-0", "shard-1", "shard-2", "shard-3", "invoicing", *silent]:
        for number in range(1 if service in silent else 2):
            endpoint = StubEndpoint(loop, f"{service}.{number}", service, records("A", "a"))
            endpoint.mode = "silent" if service in silent else "ok"
            await endpoint.start()
            endpoints[endpoint.endpoint_id] = endpoint
            store.put(f"servers/{endpoint.endpoint_id}", endpoint.make_entry())
    configuration = _make_configuration(silent, limits)
    if needs_key:
        _add_closed_route(configuration)
    store.put("op/config", configuration)
    ports = free_ports(_LISTENERS)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_text(json.dumps(_make_settings(ports, store.port)), encoding="utf-8")
        process = _start_process(path)
        try:
            running = InstanceProcess(process, ports, request_bytes("/lookup/x"), endpoints)
            await answer_ordinary_request(running)
            yield running
        finally:
            process.kill()
            process.wait()
            for endpoint in endpoints.values():
                await endpoint.stop()
            await store.stop()


async def answer_ordinary_request(running: InstanceProcess) -> None:
    """Send a caller's request until it is answered with success."""
    while True:
        assert running.process.poll() is None, "the process has ended"
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            response = await send(running.ports["front"], running.ordinary_request)
            if response.status == 200:
                return
        await asyncio.sleep(0.05)


def peak_memory_bytes(running: InstanceProcess) -> int:
    """Return the highest memory of the process since its start."""
    return _measure(running.process.pid, Usage(0, 0)).memory_bytes


def _measure(process_id: int, highest: Usage) -> Usage:
    status = Path(f"/proc/{process_id}/status").read_text(encoding="utf-8")
    line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    descriptors = len(os.listdir(f"/proc/{process_id}/fd"))
    return Usage(int(line.split()[1]) * 1_024, max(highest.descriptors, descriptors))


def _unread(port: int) -> int:
    """Return the bytes, and the connections, that wait at a port of loopback to be read."""
    total = 0
    for line in Path("/proc/net/tcp").read_text(encoding="utf-8").splitlines()[1:]:
        fields = line.split()
        if int(fields[1].partition(":")[2], 16) == port:
            total += int(fields[4].partition(":")[2], 16)
    return total


async def _send_all(port: int, crowd: Crowd, caller: socket.socket) -> None:
    """Send what the crowd sends on a connection, until the process closes it; read nothing."""
    loop = asyncio.get_running_loop()
    caller.setblocking(False)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    with contextlib.suppress(OSError):
        await loop.sock_connect(caller, ("127.0.0.1", port))
        await loop.sock_sendall(caller, crowd.start)
        for _ in range(crowd.blocks):
            await loop.sock_sendall(caller, crowd.block)
        if crowd.is_half_closed:
            caller.shutdown(socket.SHUT_WR)


async def play_crowd(running: InstanceProcess, crowd: Crowd) -> Usage:
    """Send all that a crowd sends, then an ordinary request; return the highest usage."""
    process_id, port = running.process.pid, running.ports[crowd.listener]
    highest = Usage(0, 0)

    async def sample() -> None:
        nonlocal highest
        while True:
            highest = _measure(process_id, highest)
            await asyncio.sleep(0.01)

    with contextlib.ExitStack() as stack:
        callers = [stack.enter_context(socket.socket()) for _ in range(crowd.connections)]
        sampling = asyncio.create_task(sample())
        await asyncio.gather(*(_send_all(port, crowd, caller) for caller in callers))
        await wait_until(lambda: not _unread(port))
        await answer_ordinary_request(running)
        sampling.cancel()
        await asyncio.wait({sampling})
        assert running.process.poll() is None, "the process has ended"
        return _measure(process_id, highest)


async def _send_each(port: int, flood: Flood) -> None:
    """Send the requests of one caller of a flood; connect again when the process has closed."""
    streams = None
    for _ in range(flood.requests):
        with contextlib.suppress(OSError):
            streams = streams or await asyncio.open_connection("127.0.0.1", port)
            streams[1].write(flood.data)
            is_open = bool(await streams[0].read(65_536))
            for _ in range(4 if flood.after else 0):
                streams[1].write(flood.after)
                await streams[1].drain()
            if is_open and not flood.is_new_each:
                continue
        if streams is not None:
            streams[1].transport.abort()
            streams = None
    if streams is not None:
        streams[1].transport.abort()


async def play_flood(running: InstanceProcess, flood: Flood) -> Usage:
    """Play a flood beside ordinary requests, and one after it; return the highest usage."""
    port = running.ports[flood.listener]
    flooding = asyncio.gather(*(_send_each(port, flood) for _ in range(flood.callers)))
    highest, during = Usage(0, 0), 0
    while not flooding.done():
        await answer_ordinary_request(running)
        during += not flooding.done()
        highest = _measure(running.process.pid, highest)
    await flooding
    assert during, "no ordinary request was answered during the flood"
    await answer_ordinary_request(running)
    return _measure(running.process.pid, highest)


async def _send_slowly(port: int, start: bytes, piece: bytes) -> None:
    """Send a request in small pieces until the process ends the connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    with contextlib.suppress(OSError):
        writer.write(start)
        answer = asyncio.create_task(reader.read())
        while not answer.done():
            writer.write(piece)
            await asyncio.wait({answer}, timeout=0.1)
        await answer
    writer.transport.abort()


async def play_slow_callers(running: InstanceProcess, requests: dict[bytes, bytes]) -> Usage:
    """Let callers send pieces of requests until the process has ended all of their connections.

    `requests` holds the first bytes and what follows them again and again.
    """
    port, sampled = running.ports["front"], Usage(0, 0)
    callers = [
        asyncio.create_task(_send_slowly(port, start, piece))
        for start, piece in requests.items()
        for _ in range(50)
    ]
    while not all(caller.done() for caller in callers):
        await answer_ordinary_request(running)
        sampled = _measure(running.process.pid, sampled)
        await asyncio.sleep(0.05)
    await asyncio.gather(*callers)
    await answer_ordinary_request(running)
    return _measure(running.process.pid, sampled)
