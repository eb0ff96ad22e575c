"""Tests of the files that are generated for a deployment."""

import random

from wisteriarock.bundle.models import BundleContent
from wisteriarock.codec.decode import convert
from wisteriarock.settings.load import check_settings
from wisteriastandins.topology.build import build_topology
from wisteriastandins.topology.customers import CASCADE, CUSTOMERS, POPRAVKA
from wisteriastandins.topology.models import Customer, Topology

from tests.common import function_suite


def _build(customer: Customer) -> Topology:
    return build_topology(customer, 21_000, 1, {"operator-1": "key"}, random.Random(1))


def test_settings_and_content_are_accepted() -> None:
    """Guards against settings and bundles that an entry instance rejects at startup."""
    for customer in CUSTOMERS.values():
        topology = _build(customer)
        assert len(topology.settings) == 9
        for settings in topology.settings.values():
            check_settings(settings).unwrap()
        convert(topology.content, BundleContent).unwrap()


def test_every_listener_has_its_own_port() -> None:
    """Guards against two listeners on one port, within a deployment or across both."""
    for customer in CUSTOMERS.values():
        topology = _build(customer)
        ports = [topology.platform["port"]]
        for settings in topology.settings.values():
            ports += [settings["public_port"], settings["internal_port"]]
        for config in topology.endpoints.values():
            ports += [config["control_port"], *(e["port"] for e in config["endpoints"])]
        for relay in topology.relays.values():
            ports += [relay["control_port"], *(link["listen_port"] for link in relay["links"])]
        assert len(ports) == len(set(ports))
        assert max(ports) < 21_000 + 400


def test_replicas_of_a_service_are_in_different_zones() -> None:
    """Guards against a service that becomes unavailable when one zone fails."""
    for customer in CUSTOMERS.values():
        for name, service in _build(customer).content["services"].items():
            zones = {endpoint["zone"] for endpoint in service["endpoints"].values()}
            assert len(zones) == min(3, len(service["endpoints"])), name


def test_sizes_match_the_design_page() -> None:
    """Guards against a deployment whose size differs from that of the published figures."""
    for customer, small_services in ((CASCADE, [3, 3]), (POPRAVKA, [7, 3])):
        services = _build(customer).content["services"]
        sizes = [len(service["endpoints"]) for service in services.values()]
        assert sizes == [2] * 50 + small_services


def test_peers_of_other_zones_are_reached_through_the_relay() -> None:
    """Guards against traffic between zones that bypasses the delay of the relay."""
    topology = _build(CASCADE)
    internal_ports = {name: s["internal_port"] for name, s in topology.settings.items()}
    for settings in topology.settings.values():
        links = topology.relays[settings["zone"]]["links"]
        targets = {link["listen_port"]: link["target_port"] for link in links}
        assert len(settings["peers"]) == 8
        for peer in settings["peers"]:
            if peer["zone"] == settings["zone"]:
                assert peer["port"] == internal_ports[peer["instance"]]
            else:
                assert targets[peer["port"]] == internal_ports[peer["instance"]]


load_tests = function_suite(globals())
