"""Build the bundle content, the settings and the stand-ins' configurations of a deployment."""

import hashlib
import math
import random
from collections.abc import Iterator
from typing import NamedTuple

from wisteriarock.bundle.models import BundleContent, CallerSpec, EndpointSpec, ServiceSpec
from wisteriarock.platform.models import ListedInstance
from wisteriarock.settings.models import PeerSetting, SettingsFile

from wisteriastandins.endpoint.models import EndpointConfig, EndpointsConfig
from wisteriastandins.platform.models import PlatformConfig
from wisteriastandins.relay.models import LinkConfig, RelayConfig

from .const import DEFAULT_QUEUE_LIMIT, DEFAULT_SNAPSHOT, LOOPBACK
from .models import (
    Customer,
    LoadPlan,
    PlanClass,
    PlanEndpoint,
    PlanEntry,
    PlanService,
    ServiceGroup,
    Topology,
)

_CREDENTIAL_BYTES = 24


class _Endpoint(NamedTuple):
    name: str
    service: str
    shard: str
    zone: str
    port: int
    group: ServiceGroup


class _Entry(NamedTuple):
    name: str
    zone: str
    public_port: int
    internal_port: int


def mean_service_ms(group: ServiceGroup) -> float:
    """Return the mean of the group's lognormal service time in milliseconds."""
    return group.service_median_ms * math.exp(group.service_sigma**2 / 2)


def list_shard_names(customer: Customer, groups: tuple[str, ...]) -> list[str]:
    """Return the shard names of the named service groups, in order."""
    return [
        f"{group.shard_prefix}-{number:02d}"
        for group in customer.groups
        if group.name in groups
        for number in range(1, group.services + 1)
    ]


def _place_endpoints(customer: Customer, ports: Iterator[int]) -> list[_Endpoint]:
    """Place the replicas of service n in the zones n, n+1, ..., so that adjacent ones differ."""
    zones = customer.zones
    return [
        _Endpoint(
            name=f"{group.name}-{number:02d}-{replica + 1}",
            service=f"{group.name}-{number:02d}",
            shard=f"{group.shard_prefix}-{number:02d}",
            zone=zones[(number + replica) % len(zones)],
            port=next(ports),
            group=group,
        )
        for group in customer.groups
        for number in range(1, group.services + 1)
        for replica in range(group.endpoints)
    ]


def _place_entries(customer: Customer, ports: Iterator[int]) -> list[_Entry]:
    return [
        _Entry(f"entry-{zone.removeprefix('zone-')}{number}", zone, next(ports), next(ports))
        for zone in customer.zones
        for number in range(1, customer.entries_per_zone + 1)
    ]


def _build_content(
    customer: Customer, endpoints: list[_Endpoint], credentials: dict[str, str]
) -> BundleContent:
    services: dict[str, ServiceSpec] = {}
    for endpoint in endpoints:
        service = services.setdefault(
            endpoint.service, ServiceSpec(endpoints={}, shards=[endpoint.shard])
        )
        service["endpoints"][endpoint.name] = EndpointSpec(
            zone=endpoint.zone,
            host=LOOPBACK,
            port=endpoint.port,
            slots=endpoint.group.slots,
            connection_cap=endpoint.group.connection_cap,
            connect_cost_ms=endpoint.group.connect_cost_ms,
        )
    # Each caller may use four times the capacity of all slots, so that cost limits do not throttle
    # a run that measures the entry instances.
    cost_per_s = 4 * sum(e.group.slots * 1000 / mean_service_ms(e.group) for e in endpoints)
    callers = {
        request_class.caller: CallerSpec(
            organisation=request_class.organisation,
            credential_sha256=hashlib.sha256(
                credentials[request_class.caller].encode()
            ).hexdigest(),
            kinds=[request_class.kind],
            shards=list_shard_names(customer, request_class.groups),
            cost_per_s=cost_per_s,
            cost_burst=cost_per_s,
        )
        for request_class in customer.classes
    }
    return BundleContent(
        format=1,
        organisations=list(customer.organisations),
        callers=callers,
        kinds={request_class.kind: request_class.spec for request_class in customer.classes},
        services=services,
        budgets={"extra_legs_per_100": 5.0, "extra_legs_burst": 50.0},
    )


def _build_relays(
    customer: Customer, entries: list[_Entry], ports: Iterator[int], seed: int
) -> dict[str, RelayConfig]:
    """Return a relay for each zone, with a link to every entry instance of the other zones."""
    return {
        zone: RelayConfig(
            control_host=LOOPBACK,
            control_port=next(ports),
            seed=seed + index,
            links=[
                LinkConfig(
                    name=f"{zone}/{entry.zone}/{entry.name}",
                    listen_host=LOOPBACK,
                    listen_port=next(ports),
                    target_host=LOOPBACK,
                    target_port=entry.internal_port,
                    delay_ms=customer.zone_delay_ms,
                    jitter_ms=customer.zone_jitter_ms,
                )
                for entry in entries
                if entry.zone != zone
            ],
        )
        for index, zone in enumerate(customer.zones)
    }


def _build_peers(own_entry: _Entry, entries: list[_Entry], relay: RelayConfig) -> list[PeerSetting]:
    relay_ports = {link["target_port"]: link["listen_port"] for link in relay["links"]}
    return [
        PeerSetting(
            instance=entry.name,
            zone=entry.zone,
            host=LOOPBACK,
            port=relay_ports.get(entry.internal_port, entry.internal_port),
        )
        for entry in entries
        if entry.name != own_entry.name
    ]


def _build_endpoint_configs(
    customer: Customer, endpoints: list[_Endpoint], ports: Iterator[int], seed: int
) -> dict[str, EndpointsConfig]:
    return {
        zone: EndpointsConfig(
            zone=zone,
            control_host=LOOPBACK,
            control_port=next(ports),
            seed=seed + index,
            endpoints=[
                EndpointConfig(
                    name=endpoint.name,
                    host=LOOPBACK,
                    port=endpoint.port,
                    slots=endpoint.group.slots,
                    connection_cap=endpoint.group.connection_cap,
                    connect_cost_ms=endpoint.group.connect_cost_ms,
                    service_median_ms=endpoint.group.service_median_ms,
                    service_sigma=endpoint.group.service_sigma,
                    queue_limit=DEFAULT_QUEUE_LIMIT,
                    lots_per_shard=customer.lots_per_shard,
                    cold_ms=0.0,
                    holdings={str(DEFAULT_SNAPSHOT): [(endpoint.shard, 0, 1)]},
                )
                for endpoint in endpoints
                if endpoint.zone == zone
            ],
        )
        for index, zone in enumerate(customer.zones)
    }


def _list_instances(entries: list[_Entry], endpoints: list[_Endpoint]) -> list[ListedInstance]:
    rows = [(e.name, "entry", e.zone, e.internal_port) for e in entries]
    rows += [(e.name, "endpoint", e.zone, e.port) for e in endpoints]
    return [
        ListedInstance(name=name, role=role, zone=zone, host=LOOPBACK, port=port, state="live")
        for name, role, zone, port in rows
    ]


def _build_plan(
    customer: Customer,
    entries: list[_Entry],
    endpoints: list[_Endpoint],
    configs: dict[str, EndpointsConfig],
    relays: dict[str, RelayConfig],
    credentials: dict[str, str],
    operator_token: str,
    platform_url: str,
) -> LoadPlan:
    services = {
        endpoint.service: PlanService(
            shard=endpoint.shard,
            slots=endpoint.group.slots * endpoint.group.endpoints,
            mean_service_ms=mean_service_ms(endpoint.group),
        )
        for endpoint in endpoints
    }
    return LoadPlan(
        customer=customer.name,
        client_delay_ms=customer.client_delay_ms,
        lots_per_shard=customer.lots_per_shard,
        entries=[
            PlanEntry(
                name=entry.name,
                zone=entry.zone,
                host=LOOPBACK,
                public_port=entry.public_port,
                internal_port=entry.internal_port,
            )
            for entry in entries
        ],
        classes=[
            PlanClass(
                kind=request_class.kind,
                credential=credentials[request_class.caller],
                weight=request_class.weight,
                deadline_ms=request_class.deadline_ms,
                repeatable=request_class.spec["idempotent"],
                shards=list_shard_names(customer, request_class.groups),
                fan_out=request_class.fan_out,
                lookup=request_class.lookup,
            )
            for request_class in customer.classes
        ],
        services=list(services.values()),
        endpoints=[
            PlanEndpoint(
                name=endpoint.name,
                zone=endpoint.zone,
                host=LOOPBACK,
                port=endpoint.port,
                slots=endpoint.group.slots,
                shards=[endpoint.shard],
            )
            for endpoint in endpoints
        ],
        endpoint_controls=[f"http://{LOOPBACK}:{c['control_port']}" for c in configs.values()],
        relay_controls=[f"http://{LOOPBACK}:{c['control_port']}" for c in relays.values()],
        platform_control=platform_url,
        operator_token=operator_token,
    )


def build_topology(
    customer: Customer,
    base_port: int,
    seed: int,
    operator_keys: dict[str, str],
    rng: random.Random,
) -> Topology:
    """Build everything that a run of a deployment needs.

    Parameters
    ----------
    customer : Customer
        The deployment.
    base_port : int
        First port; the listeners use consecutive ports.
    seed : int
        Seed of the stand-ins' random numbers.
    operator_keys : dict
        Operator to Ed25519 public key in base64.
    rng : random.Random
        Source of credentials and keys. Pass `random.SystemRandom()` outside tests.

    Returns
    -------
    Topology
        Bundle content, settings, configurations and load plan.
    """
    ports = iter(range(base_port, 65_536))
    platform_port = next(ports)
    entries = _place_entries(customer, ports)
    endpoints = _place_endpoints(customer, ports)
    relays = _build_relays(customer, entries, ports, seed + 100)
    configs = _build_endpoint_configs(customer, endpoints, ports, seed + 200)
    credentials = {c.caller: rng.randbytes(_CREDENTIAL_BYTES).hex() for c in customer.classes}
    platform_url = f"http://{LOOPBACK}:{platform_port}"
    operator_token = rng.randbytes(_CREDENTIAL_BYTES).hex()
    peer_secret = rng.randbytes(_CREDENTIAL_BYTES).hex()
    settings = {
        entry.name: SettingsFile(
            instance=entry.name,
            zone=entry.zone,
            public_host=LOOPBACK,
            public_port=entry.public_port,
            internal_host=LOOPBACK,
            internal_port=entry.internal_port,
            peers=_build_peers(entry, entries, relays[entry.zone]),
            peer_keys=[{"key_id": "key-1", "secret": peer_secret}],
            operator_token=operator_token,
            operator_keys=operator_keys,
            platform_url=platform_url,
        )
        for entry in entries
    }
    return Topology(
        customer=customer,
        content=_build_content(customer, endpoints, credentials),
        settings=settings,
        endpoints=configs,
        relays=relays,
        platform=PlatformConfig(
            host=LOOPBACK,
            port=platform_port,
            latency_ms=3.0,
            writes_per_s=300,
            reads_per_s=2000,
            list_lag_ms=1000.0,
            instances=_list_instances(entries, endpoints),
        ),
        plan=_build_plan(
            customer,
            entries,
            endpoints,
            configs,
            relays,
            credentials,
            operator_token,
            platform_url,
        ),
    )
