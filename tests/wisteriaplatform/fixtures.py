"""Deployment on loopback: store, endpoints and instances in the test process."""

import asyncio
import contextlib
import os
import random
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

from wisteriaplatform.requests import WIRE_FORMAT
from wisteriaplatform.store import STORE_FORMAT
from wisteriarock.front.app import start
from wisteriarock.front.instance import Instance
from wisteriarock.front.listeners import ListenerName, Listeners
from wisteriarock.front.settings import FrontSettings
from wisteriarock.observability.event_log import EventLog
from wisteriastandins.users.endpoint import StubEndpoint
from wisteriastandins.users.response import Response, read_response
from wisteriastandins.users.slow_link import SlowLink
from wisteriastandins.users.store_server import StoreServer

HOST = "shop.example"


class Deployment(NamedTuple):
    """Components of a running deployment.

    `log` is the file descriptor from which the log of the instance is read.
    """

    store: StoreServer
    endpoints: dict[str, StubEndpoint]
    instance: Instance
    listeners: Listeners
    port: int
    ready_port: int
    peer_port: int
    metrics_port: int
    log: int


def records(*letters: str) -> bytes:
    """Return one record of 16 bytes for each letter."""
    return b"".join(letter.encode() * 16 for letter in letters)


def operator_configuration(version: int, **changes: object) -> dict[str, object]:
    """Return a configuration in the operator's format: a fan-out and two plain routes."""
    common = {"host": HOST, "timeout_ms": 2_000, "latency_target_ms": 400, "priority": 1}
    shards = ["shard-0", "shard-1", "shard-2", "shard-3"]
    services = [*shards, "invoicing"]
    return {
        "version": version,
        "routes": [
            {
                **common,
                "name": "blend",
                "prefix": "/blend/",
                "kind": "idempotent",
                "gather": shards,
                "max_attempts": 2,
                "top_k": 3,
                "lower_bound": 0.75,
            },
            {
                **common,
                "name": "lookup",
                "prefix": "/lookup/",
                "kind": "idempotent",
                "service": "invoicing",
                "max_attempts": 2,
            },
            {
                **common,
                "name": "book",
                "prefix": "/book/",
                "kind": "non_idempotent",
                "service": "invoicing",
                "max_attempts": 1,
            },
        ],
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 26, "protocol": "h1"}
            for name in services
        ],
        "limits": {
            "header_bytes": 4_096,
            "body_bytes": 10_000,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        **changes,
    }


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds; the test runner times out a test that hangs."""
    while not condition():
        await asyncio.sleep(0.005)


async def send(port: int, raw: bytes) -> Response:
    """Send bytes on a new connection and return the response."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(raw)
        return await read_response(reader)
    finally:
        writer.close()


def request_bytes(
    path: str, request_id: str = "r-1", method: str = "GET", body: bytes = b"", more: str = ""
) -> bytes:
    """Return a caller's request."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
        f"Deadline-Ms: 2000\r\n{more}"
    )
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def _create_instance(name: str, store_port: int, log: EventLog, zone: str = "zone-a") -> Instance:
    any_port = ("127.0.0.1", 0)
    settings = FrontSettings(
        name,
        zone,
        any_port,
        any_port,
        any_port,
        any_port,
        ("127.0.0.1", store_port),
        6_000.0,
        0.2,
        100.0,
        10.0,
    )
    loop = asyncio.get_running_loop()
    return Instance(loop, settings, WIRE_FORMAT, STORE_FORMAT, log, random.Random(1))


def _port_of(listeners: Listeners, name: ListenerName) -> int:
    port: int = listeners.servers[name].sockets[0].getsockname()[1]
    return port


def _stop(instance: Instance, listeners: Listeners) -> None:
    for task in instance.tasks:
        task.cancel()
    listeners.close_all()
    for pool in instance.pools.values():
        pool.close()


@contextlib.asynccontextmanager
async def another_instance(
    running: "Deployment",
    name: str,
    store_port: int | None = None,
    zone: str = "zone-a",
    **addresses: tuple[str, int],
) -> AsyncIterator[Instance]:
    """Start another instance of a deployment; `addresses` replaces fields of its settings."""
    port = store_port or running.store.port
    instance = _create_instance(name, port, running.instance.log, zone)
    instance.settings = instance.settings._replace(**addresses)  # type: ignore[arg-type]
    listeners = await start(instance)
    if "peer" not in addresses:
        instance.feed.address = ("127.0.0.1", _port_of(listeners, ListenerName.PEERS))
    try:
        yield instance
    finally:
        _stop(instance, listeners)


@contextlib.asynccontextmanager
async def deployment(
    replicas: int = 2, store_bits_per_s: float | None = None
) -> AsyncIterator[Deployment]:
    """Start a deployment and wait until it is ready.

    With `store_bits_per_s`, the store's replies reach the instance over a link of that rate.
    """
    loop = asyncio.get_running_loop()
    store = StoreServer(loop)
    await store.start()
    endpoints: dict[str, StubEndpoint] = {}
    for index, service in enumerate(["shard-0", "shard-1", "shard-2", "shard-3", "invoicing"]):
        for number in range(replicas):
            body = records(chr(ord("A") + index), chr(ord("a") + index))
            endpoint = StubEndpoint(loop, f"{service}.{number}", service, body)
            await endpoint.start()
            endpoints[endpoint.endpoint_id] = endpoint
            store.put(f"servers/{endpoint.endpoint_id}", endpoint.make_entry())
    store.put("op/config", operator_configuration(3))
    reading, writing = os.pipe()
    link = SlowLink(store.port, store_bits_per_s or 0.0)
    if store_bits_per_s is not None:
        await link.start()
    store_port = link.port or store.port
    instance = _create_instance("front-1", store_port, EventLog(writing, loop.time))
    listeners = await start(instance)
    ports = [_port_of(listeners, name) for name in ListenerName]
    instance.feed.address = ("127.0.0.1", ports[2])
    await wait_until(lambda: instance.discovery.is_loaded)
    try:
        yield Deployment(store, endpoints, instance, listeners, *ports, reading)
    finally:
        _stop(instance, listeners)
        for endpoint in endpoints.values():
            await endpoint.stop()
        await link.stop()
        await store.stop()
        os.close(reading)
        os.close(writing)
