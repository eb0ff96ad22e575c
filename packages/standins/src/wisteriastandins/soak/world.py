"""The deployment of a soak: the platform's store, endpoints behind links, and the programs."""

import asyncio
import random
import socket
from pathlib import Path

from wisteriarock.http.front import CallerRequest

from wisteriastandins.relay.link import Link, close_link, open_link, reset_connections
from wisteriastandins.relay.models import LinkConfig, LinkState
from wisteriastandins.users.endpoint import UsersEndpoint
from wisteriastandins.users.store_server import StoreServer

from .checks import records_of
from .const import (
    CALLER_WAIT_MS,
    HOST,
    LEDGERS,
    MAX_ATTEMPTS,
    MAX_CONNECTIONS,
    MIN_COVERAGE,
    NEW_SHARDS,
    SHARDS,
    TOP_COUNT,
    ZONES,
)
from .models import Arrival, Life, Observations, Trouble, Version
from .programs import RESTART_PAUSE_S, Program

REPLICAS = 2
WORK_MS = 8.0
_PORTS_EACH = 4
_LIMITS = {
    "header_bytes": 16_384,
    "body_bytes": 65_536,
    "header_timeout_ms": 2_000,
    "idle_timeout_ms": 15_000,
}


class World:
    """The running parts.

    Attributes
    ----------
    links : dict
        The link in front of each endpoint, by endpoint id.
    store_links : dict
        The link in front of the store, by zone.
    """

    def __init__(self, seed: int, instances: int, folder: Path, source: Path | None) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(f"{seed} world")
        self.seen = Observations()
        self.store = StoreServer(self.loop)
        self.endpoints: dict[str, UsersEndpoint] = {}
        self.links: dict[str, Link] = {}
        self.store_links: dict[str, Link] = {}
        self.version = 0
        self.shards = SHARDS
        self.born = 1_000
        ports = _free_ports(instances * _PORTS_EACH)
        self.programs = [
            Program(number, folder, ports[number * _PORTS_EACH :][:_PORTS_EACH], source)
            for number in range(instances)
        ]
        self.tasks: set[asyncio.Task[None]] = set()

    def now_ms(self) -> float:
        """Return the time of the run in ms."""
        return self.loop.time() * 1000


def _free_ports(count: int) -> list[int]:
    """Return free ports; all are held until the last one is known."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


async def _link(world: World, name: str, port: int) -> Link:
    config = LinkConfig(
        name=name,
        listen_host="127.0.0.1",
        listen_port=0,
        target_host="127.0.0.1",
        target_port=port,
        delay_ms=0.0,
        jitter_ms=0.0,
    )
    link = Link(config, LinkState(0.0, 0.0, random.Random(name)))
    await open_link(link)
    return link


def register(world: World, endpoint: UsersEndpoint, **changes: object) -> None:
    """Write the entry of an endpoint into the store."""
    number = int(endpoint.endpoint_id.rpartition(".")[2])
    address = f"127.0.0.1:{world.links[endpoint.endpoint_id].config['listen_port']}"
    zone = ZONES[number % len(ZONES)]
    entry = endpoint.entry(address=address, zone=zone, born=world.born, **changes)
    world.store.put(f"servers/{endpoint.endpoint_id}", entry)


async def add_endpoint(world: World, service: str, number: int) -> UsersEndpoint:
    """Start an endpoint behind a link and register it."""
    world.born += 1
    endpoint_id = f"{service}.{world.born}.{number}"
    endpoint = UsersEndpoint(world.loop, endpoint_id, service, b"")
    endpoint.body_of = lambda request_id: records_of(service, request_id.decode())
    endpoint.work_ms = WORK_MS
    endpoint.on_arrival = lambda request, proof: _note_arrival(world, endpoint, request, proof)
    await endpoint.start()
    world.endpoints[endpoint_id] = endpoint
    world.links[endpoint_id] = await _link(world, endpoint_id, endpoint.port)
    register(world, endpoint)
    return endpoint


def _note_arrival(
    world: World, endpoint: UsersEndpoint, request: CallerRequest, proof: bytes
) -> None:
    request_id = dict(request.headers).get(b"Request-Id", b"").decode()
    arrival = Arrival(
        world.now_ms(),
        request_id,
        endpoint.service,
        endpoint.endpoint_id,
        request.target.decode(),
        request.body,
        proof.decode(),
    )
    world.seen.arrivals.append(arrival)


async def remove_endpoint(world: World, endpoint_id: str, *, keeps_entry: bool = False) -> None:
    """End an endpoint and its link; its entry goes with it, or stays behind."""
    endpoint = world.endpoints.pop(endpoint_id, None)
    if endpoint is None:
        return
    if not keeps_entry:
        world.store.remove(f"servers/{endpoint_id}")
    link = world.links.pop(endpoint_id)
    close_link(link)
    reset_connections(link)
    await endpoint.stop()


def _routes(world: World, ledger: str) -> list[dict[str, object]]:
    """Return the routes of a version: a fan-out, plain ones, and a probe for each version."""
    common = {"host": HOST, "timeout_ms": CALLER_WAIT_MS, "latency_target_ms": 300, "priority": 1}
    plain = {**common, "kind": "idempotent", "max_attempts": MAX_ATTEMPTS, "service": ledger}
    search = {
        **common,
        "name": "search",
        "prefix": "/search/",
        "kind": "idempotent",
        "gather": list(world.shards),
        "max_attempts": MAX_ATTEMPTS,
        "top_k": TOP_COUNT,
        "lower_bound": MIN_COVERAGE,
    }
    lookup = {**plain, "name": "lookup", "prefix": "/lookup/"}
    book = {
        **plain,
        "name": "book",
        "prefix": "/book/",
        "kind": "non_idempotent",
        "max_attempts": 1,
    }
    known = [version.version for version in world.seen.versions]
    probes = [
        {**plain, "name": f"probe-{version}", "prefix": f"/probe-{version}/"}
        for version in [*known, world.version]
    ]
    return [search, lookup, book, *probes]


def configure(world: World, shards: tuple[str, ...] | None = None) -> None:
    """Write the next version: each adds a route, and may move the plain ones to another ledger."""
    world.version += 1 + world.rng.randrange(3)
    world.shards = shards or world.shards
    ledger = LEDGERS[world.rng.randrange(len(LEDGERS))]
    value = {
        "version": world.version,
        "routes": _routes(world, ledger),
        "services": [
            {"name": name, "health_path": "/health", "max_conns": MAX_CONNECTIONS}
            for name in (*SHARDS, *NEW_SHARDS, *LEDGERS)
        ],
        "limits": _LIMITS,
    }
    # The time is taken before the write: no program can know the version any earlier.
    confirmed_ms = world.now_ms()
    world.store.put("op/config", value)
    world.seen.versions.append(Version(world.version, confirmed_ms, world.shards, ledger))


async def _supervise(world: World, program: Program) -> None:
    """Restart a program whenever it ends, as the platform does, and note its lives."""
    while True:
        started_ms = world.now_ms()
        await program.start()
        await program.ended()
        world.seen.lives.append(Life(program.number, started_ms, world.now_ms()))
        if not program.is_wanted:
            return
        trouble = Trouble(program.number, world.now_ms(), world.now_ms() + 1_000, False)
        world.seen.troubles.append(trouble)
        await asyncio.sleep(RESTART_PAUSE_S)


def _measure_connections(world: World) -> None:
    most = world.seen.most_connections
    for endpoint_id, link in world.links.items():
        open_count = sum(1 for relayed in link.connections if relayed.client is not None)
        most[endpoint_id] = max(most.get(endpoint_id, 0), open_count)


async def _measure(world: World) -> None:
    while True:
        _measure_connections(world)
        await asyncio.sleep(0.1)


def spawn(world: World, task: asyncio.Task[None]) -> None:
    """Keep a task until it ends."""
    world.tasks.add(task)
    task.add_done_callback(world.tasks.discard)


async def start_world(world: World) -> None:
    """Start the store, the endpoints and the programs."""
    await world.store.start()
    for zone in ZONES:
        world.store_links[zone] = await _link(world, f"store {zone}", world.store.port)
    for service in (*SHARDS, *LEDGERS):
        for number in range(REPLICAS):
            await add_endpoint(world, service, number)
    configure(world)
    for program in world.programs:
        program.write_settings(world.store_links[program.zone].config["listen_port"])
        spawn(world, world.loop.create_task(_supervise(world, program)))
    spawn(world, world.loop.create_task(_measure(world)))


async def stop_world(world: World) -> None:
    """End everything that was started, by its id."""
    for program in world.programs:
        await program.end()
    for task in list(world.tasks):
        task.cancel()
    await asyncio.gather(*world.tasks, return_exceptions=True)
    for endpoint_id in list(world.endpoints):
        await remove_endpoint(world, endpoint_id)
    for link in world.store_links.values():
        close_link(link)
        reset_connections(link)
    await world.store.stop()
