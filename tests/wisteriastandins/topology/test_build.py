"""Tests of the topology."""

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
    """Guards against files that an entry instance refuses at its start."""
    for customer in CUSTOMERS.values():
        topology = _build(customer)
        assert len(topology.settings) == 9
        for settings in topology.settings.values():
            check_settings(settings).unwrap()
        convert(topology.content, BundleContent).unwrap()


def test_every_listener_has_a_port_of_its_own() -> None:
    """Guards against two listeners on one port, also of the two deployments together."""
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
    """Guards against a service that is lost with one zone."""
    for customer in CUSTOMERS.values():
        for name, service in _build(customer).content["services"].items():
            zones = {endpoint["zone"] for endpoint in service["endpoints"].values()}
            assert len(zones) == min(3, len(service["endpoints"])), name


def test_sizes_are_those_of_the_design_page() -> None:
    """Guards against a deployment of another size than the figures are given for."""
    for customer, small in ((CASCADE, [3, 3]), (POPRAVKA, [7, 3])):
        services = _build(customer).content["services"]
        sizes = [len(service["endpoints"]) for service in services.values()]
        assert sizes == [2] * 50 + small


def test_peers_of_other_zones_are_reached_through_the_relay() -> None:
    """Guards against traffic between zones without the delay of the link."""
    topology = _build(CASCADE)
    internal = {name: s["internal_port"] for name, s in topology.settings.items()}
    for settings in topology.settings.values():
        links = topology.relays[settings["zone"]]["links"]
        targets = {link["listen_port"]: link["target_port"] for link in links}
        assert len(settings["peers"]) == 8
        for peer in settings["peers"]:
            if peer["zone"] == settings["zone"]:
                assert peer["port"] == internal[peer["instance"]]
            else:
                assert targets[peer["port"]] == internal[peer["instance"]]


load_tests = function_suite(globals())
