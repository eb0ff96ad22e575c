"""The deployment under test: the platform's store, endpoints behind links, and the programs."""

import asyncio
import random
import socket
from pathlib import Path

from wisteriarock.http.front import CallerRequest

from wisteriastandins.relay.link import Link, close_link, open_link, reset_connections
from wisteriastandins.relay.models import LinkConfig, LinkState
from wisteriastandins.users.endpoint import StubEndpoint
from wisteriastandins.users.store_server import StoreServer

from .callers import DEADLY_PATH
from .checks import make_records
from .const import (
    ALLOTMENT_BURST,
    ALLOTMENT_PER_S,
    ALLOTTED_CUSTOMER,
    CALLER_TIMEOUT_MS,
    COLD_RATE_PER_S,
    CUSTOMERS,
    HOST,
    LEDGERS,
    MAX_ATTEMPTS,
    MAX_CONNECTIONS,
    MIN_COVERAGE,
    NEW_SHARDS,
    SHARDS,
    TOP_K,
    WARMUP_MS,
    ZONES,
)
from .models import (
    Arrival,
    ConfigurationVersion,
    DeadlyEnd,
    Disturbance,
    LeavingNotice,
    LimitNotice,
    Observations,
    PauseNotice,
    ProcessLifetime,
)
from .programs import RESTART_DELAY_S, Program, program_host

REPLICAS = 2
# Service times of the endpoints of a service by turns.
SERVICE_TIMES_MS = (4.0, 12.0)
# Time until another endpoint takes the place of one that has ended.
ENDPOINT_RESTART_S = 1.0
_PORTS_PER_INSTANCE = 4
_LIMITS = {
    "header_bytes": 16_384,
    "body_bytes": 65_536,
    "header_timeout_ms": 2_000,
    "idle_timeout_ms": 15_000,
}


class SoakDeployment:
    """The running deployment and the observations of the run.

    Attributes
    ----------
    links : dict
        The link in front of each endpoint, by endpoint id.
    store_links : dict
        The link in front of the store, by zone.
    last_born : int
        Value of `born` in the entry registered last; increases with each new endpoint.
    withdrawn_keys : set
        Keys that the newest version does not hold.
    """

    def __init__(self, seed: int, instances: int, folder: Path, source: Path | None) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(f"{seed} world")
        self.observations = Observations()
        self.store = StoreServer(self.loop)
        self.endpoints: dict[str, StubEndpoint] = {}
        self.links: dict[str, Link] = {}
        self.store_links: dict[str, Link] = {}
        self.version = 0
        self.shards = SHARDS
        self.last_born = 1_000
        self.withdrawn_keys: set[str] = set()
        ports = _free_ports(instances * _PORTS_PER_INSTANCE)
        self.programs = [
            Program(
                number, folder, ports[number * _PORTS_PER_INSTANCE :][:_PORTS_PER_INSTANCE], source
            )
            for number in range(instances)
        ]
        self.tasks: set[asyncio.Task[None]] = set()

    def now_ms(self) -> float:
        """Return the monotonic time of the event loop in ms."""
        return self.loop.time() * 1000


def _free_ports(count: int) -> list[int]:
    """Return distinct free ports; all stay bound until the last one is chosen."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind((program_host(), 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


async def _create_link(deployment: SoakDeployment, name: str, port: int) -> Link:
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


def register(deployment: SoakDeployment, endpoint: StubEndpoint, **changes: object) -> None:
    """Write the entry of an endpoint into the store."""
    number = int(endpoint.endpoint_id.rpartition(".")[2])
    address = f"127.0.0.1:{deployment.links[endpoint.endpoint_id].config['listen_port']}"
    zone = ZONES[number % len(ZONES)]
    entry = endpoint.make_entry(address=address, zone=zone, born=deployment.last_born, **changes)
    deployment.store.put(f"servers/{endpoint.endpoint_id}", entry)


async def add_endpoint(deployment: SoakDeployment, service: str, number: int) -> StubEndpoint:
    """Start an endpoint behind a link and register it."""
    deployment.last_born += 1
    endpoint_id = f"{service}.{deployment.last_born}.{number}"
    endpoint = StubEndpoint(deployment.loop, endpoint_id, service, b"")
    endpoint.make_body = lambda request_id: make_records(service, request_id.decode())
    endpoint.service_ms = SERVICE_TIMES_MS[number % len(SERVICE_TIMES_MS)]
    endpoint.on_arrival = lambda request, stamp: _record_arrival(
        deployment, endpoint, request, stamp
    )
    endpoint.on_limit_named = lambda request_id: deployment.observations.limit_notices.append(
        LimitNotice(endpoint_id, request_id.decode(), deployment.now_ms())
    )
    endpoint.on_leaving_named = lambda request_id: deployment.observations.leaving_notices.append(
        LeavingNotice(endpoint_id, request_id.decode(), deployment.now_ms())
    )
    endpoint.on_pause_named = lambda request_id: deployment.observations.pause_notices.append(
        PauseNotice(
            endpoint_id,
            request_id.decode(),
            deployment.now_ms(),
            (endpoint.pause_s or 0.0) * 1000,
        )
    )
    endpoint.is_deadly = lambda request: request.target.decode() == DEADLY_PATH
    endpoint.on_deadly_end = lambda request_id: _replace_ended(deployment, endpoint, request_id)
    await endpoint.start()
    deployment.links[endpoint_id] = await _create_link(deployment, endpoint_id, endpoint.port)
    # Only now, as other faults take each endpoint for one that has a link.
    deployment.endpoints[endpoint_id] = endpoint
    register(deployment, endpoint)
    return endpoint


def _replace_ended(deployment: SoakDeployment, endpoint: StubEndpoint, request_id: bytes) -> None:
    """Record the end of an endpoint under a request, and start another one in its place."""
    deployment.observations.deadly_ends.append(DeadlyEnd(request_id.decode(), deployment.now_ms()))

    async def replace() -> None:
        await asyncio.sleep(ENDPOINT_RESTART_S)
        if endpoint.endpoint_id in deployment.endpoints:
            await remove_endpoint(deployment, endpoint.endpoint_id)
            number = int(endpoint.endpoint_id.rpartition(".")[2])
            await add_endpoint(deployment, endpoint.service, number)

    track_task(deployment, deployment.loop.create_task(replace()))


def _record_arrival(
    deployment: SoakDeployment, endpoint: StubEndpoint, request: CallerRequest, stamp: bytes
) -> None:
    request_id = dict(request.headers).get(b"Request-Id", b"").decode()
    names = [name.lower() for name, _ in request.headers]
    customers = [value for name, value in request.headers if name.lower() == b"tenant"]
    arrival = Arrival(
        deployment.now_ms(),
        request_id,
        endpoint.service,
        endpoint.endpoint_id,
        request.target.decode(),
        request.body,
        stamp.decode(),
        b",".join(customers).decode(),
        b"authorization" in names,
    )
    deployment.observations.arrivals.append(arrival)


async def remove_endpoint(
    deployment: SoakDeployment, endpoint_id: str, *, keep_entry: bool = False
) -> None:
    """Stop an endpoint and its link, and remove its entry unless `keep_entry` is set."""
    endpoint = deployment.endpoints.pop(endpoint_id, None)
    if endpoint is None:
        return
    if not keep_entry:
        deployment.store.remove(f"servers/{endpoint_id}")
    link = deployment.links.pop(endpoint_id)
    close_link(link)
    reset_connections(link)
    await endpoint.stop()


def _routes(deployment: SoakDeployment, ledger: str) -> list[dict[str, object]]:
    """Return the routes of a version: a fan-out, two plain routes and a probe for each version."""
    common = {
        "host": HOST,
        "timeout_ms": CALLER_TIMEOUT_MS,
        "latency_target_ms": 300,
        "priority": 1,
    }
    plain = {**common, "kind": "idempotent", "max_attempts": MAX_ATTEMPTS, "service": ledger}
    search = {
        **common,
        "name": "search",
        "prefix": "/search/",
        "kind": "idempotent",
        "gather": list(deployment.shards),
        "max_attempts": MAX_ATTEMPTS,
        "top_k": TOP_K,
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
    known = [version.version for version in deployment.observations.versions]
    probes = [
        {**plain, "name": f"probe-{version}", "prefix": f"/probe-{version}/", "public": True}
        for version in [*known, deployment.version]
    ]
    return [search, lookup, book, *probes]


def _make_customer(deployment: SoakDeployment, name: str) -> dict[str, object]:
    keys = [key for key in CUSTOMERS[name] if key not in deployment.withdrawn_keys]
    customer = {"name": name, "api_keys": keys, "priority": 1}
    if name != ALLOTTED_CUSTOMER:
        return customer
    return {**customer, "rate_per_s": ALLOTMENT_PER_S, "burst": ALLOTMENT_BURST}


def configure(
    deployment: SoakDeployment, shards: tuple[str, ...] | None = None, padding_bytes: int = 0
) -> None:
    """Publish the next version, which adds a probe and may move plain routes to another ledger."""
    deployment.version += 1 + deployment.rng.randrange(3)
    deployment.shards = shards or deployment.shards
    ledger = LEDGERS[deployment.rng.randrange(len(LEDGERS))]
    value = {
        "version": deployment.version,
        "routes": _routes(deployment, ledger),
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": MAX_CONNECTIONS,
                "warmup_s": WARMUP_MS / 1000,
                "cold_per_s": COLD_RATE_PER_S,
            }
            for name in (*SHARDS, *NEW_SHARDS, *LEDGERS)
        ],
        "limits": _LIMITS,
        "tenants": [_make_customer(deployment, name) for name in CUSTOMERS],
        "padding": "x" * padding_bytes,
    }
    # Read the time before the write, as no program can see the version any earlier.
    confirmed_ms = deployment.now_ms()
    deployment.store.put("op/config", value)
    deployment.observations.versions.append(
        ConfigurationVersion(deployment.version, confirmed_ms, deployment.shards, ledger)
    )


async def _supervise(deployment: SoakDeployment, program: Program) -> None:
    """Restart a program whenever it exits, as the platform does, and record its processes."""
    while True:
        started_ms = deployment.now_ms()
        await program.start()
        status = await program.wait()
        deployment.observations.lifetimes.append(
            ProcessLifetime(
                program.number,
                started_ms,
                deployment.now_ms(),
                status,
                frozenset(program.sent_signals),
            )
        )
        if not program.should_run:
            return
        disturbance = Disturbance(
            program.number, deployment.now_ms(), deployment.now_ms() + 1_000, False
        )
        deployment.observations.disturbances.append(disturbance)
        await asyncio.sleep(RESTART_DELAY_S)


def _sample_memory(deployment: SoakDeployment) -> None:
    peak = deployment.observations.peak_memory_bytes
    for program in deployment.programs:
        peak[program.number] = max(peak.get(program.number, 0), program.peak_memory_bytes())


def _sample_connections(deployment: SoakDeployment) -> None:
    peak = deployment.observations.peak_connections
    for endpoint_id, link in deployment.links.items():
        open_count = sum(1 for relayed in link.connections if relayed.client is not None)
        peak[endpoint_id] = max(peak.get(endpoint_id, 0), open_count)


async def _poll_connections(deployment: SoakDeployment) -> None:
    while True:
        _sample_connections(deployment)
        _sample_memory(deployment)
        await asyncio.sleep(0.1)


def track_task(deployment: SoakDeployment, task: asyncio.Task[None]) -> None:
    """Hold a reference to a task until it is done."""
    deployment.tasks.add(task)
    task.add_done_callback(deployment.tasks.discard)


async def start_deployment(deployment: SoakDeployment) -> None:
    """Start the store, the endpoints and the programs."""
    await deployment.store.start()
    for zone in ZONES:
        deployment.store_links[zone] = await _create_link(
            deployment, f"store {zone}", deployment.store.port
        )
    for service in (*SHARDS, *LEDGERS):
        for number in range(REPLICAS):
            await add_endpoint(deployment, service, number)
    configure(deployment)
    for program in deployment.programs:
        program.write_settings(deployment.store_links[program.zone].config["listen_port"])
        track_task(deployment, deployment.loop.create_task(_supervise(deployment, program)))
    track_task(deployment, deployment.loop.create_task(_poll_connections(deployment)))


async def stop_deployment(deployment: SoakDeployment) -> None:
    """Stop the programs, tasks, endpoints, links and the store."""
    for program in deployment.programs:
        await program.kill()
    for task in list(deployment.tasks):
        task.cancel()
    await asyncio.gather(*deployment.tasks, return_exceptions=True)
    for endpoint_id in list(deployment.endpoints):
        await remove_endpoint(deployment, endpoint_id)
    for link in deployment.store_links.values():
        close_link(link)
        reset_connections(link)
    await deployment.store.stop()
