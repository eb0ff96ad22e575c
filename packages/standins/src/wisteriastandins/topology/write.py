"""Write a run folder: keys, the signed bundle, settings and configurations."""

import random
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from wisteriarock.bundle.models import BundleContent
from wisteriarock.bundle.signing import (
    generate_key,
    private_key_from_pem,
    private_key_to_pem,
    public_key_to_text,
    sign_bundle,
)

from .build import build_topology
from .const import (
    FILE_BUNDLE,
    FILE_CONTENT,
    FILE_PLAN,
    FILE_PLATFORM,
    FOLDER_KEYS,
    FOLDER_LOGS,
    OPERATORS,
)
from .models import Customer, LoadPlan, Topology


class RunFolder(NamedTuple):
    """Paths of a run; dictionaries are keyed by process name."""

    folder: Path
    platform: Path
    endpoints: dict[str, Path]
    relays: dict[str, Path]
    settings: dict[str, Path]
    logs: Path
    plan: LoadPlan


def _write_json(path: Path, value: Any) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(value), indent=1) + b"\n")


def create_operator_keys(folder: Path) -> dict[str, str]:
    """Create a key for each operator and return the public keys in base64.

    The private keys are written as `<operator>.pem`, readable by the owner only.
    """
    folder.mkdir(parents=True, exist_ok=True)
    public_keys = {}
    for operator in OPERATORS:
        key = generate_key()
        path = folder / f"{operator}.pem"
        path.touch(mode=0o600)
        path.write_bytes(private_key_to_pem(key))
        public_keys[operator] = public_key_to_text(key)
    return public_keys


def write_signed_bundle(content: BundleContent, folder: Path) -> Path:
    """Sign `content` as revision 1 with the folder's operator keys and write `bundle.json`."""
    proposer, approver = OPERATORS

    def read_key(operator: str) -> Ed25519PrivateKey:
        pem = (folder / FOLDER_KEYS / f"{operator}.pem").read_bytes()
        return private_key_from_pem(pem).unwrap()

    bundle = sign_bundle(content, 1, "", proposer, read_key(proposer), approver, read_key(approver))
    path = folder / FILE_BUNDLE
    _write_json(path, bundle)
    return path


def _write_operator_settings(topology: Topology, folder: Path) -> None:
    """Write the bundle content, and the settings of `wisteriactl` for each operator."""
    _write_json(folder / FILE_CONTENT, topology.content)
    first_settings = next(iter(topology.settings.values()))
    instances = [
        {
            "instance": entry["instance"],
            "zone": entry["zone"],
            "host": entry["internal_host"],
            "port": entry["internal_port"],
        }
        for entry in topology.settings.values()
    ]
    for operator in OPERATORS:
        settings = {
            "platform_url": first_settings["platform_url"],
            "operator": operator,
            "key_path": str(folder / FOLDER_KEYS / f"{operator}.pem"),
            "operator_keys": first_settings["operator_keys"],
            "instances": instances,
            "operator_token": first_settings["operator_token"],
        }
        _write_json(folder / f"wisteriactl-{operator}.json", settings)


def write_topology(topology: Topology, folder: Path) -> RunFolder:
    """Write the files of a topology; the folder must already contain the operators' keys."""
    logs = folder / FOLDER_LOGS
    logs.mkdir(parents=True, exist_ok=True)
    bundle = write_signed_bundle(topology.content, folder)
    _write_operator_settings(topology, folder)
    platform = folder / FILE_PLATFORM
    _write_json(platform, topology.platform)
    endpoints, relays, settings = {}, {}, {}
    for zone, endpoints_config in topology.endpoints.items():
        endpoints[f"endpoints-{zone}"] = path = folder / f"endpoints-{zone}.json"
        _write_json(path, endpoints_config)
    for zone, relay_config in topology.relays.items():
        relays[f"relay-{zone}"] = path = folder / f"relay-{zone}.json"
        _write_json(path, relay_config)
    for name, settings_file in topology.settings.items():
        settings[name] = path = folder / f"{name}.json"
        _write_json(path, {**settings_file, "bundle_path": str(bundle)})
    _write_json(folder / FILE_PLAN, topology.plan)
    return RunFolder(folder, platform, endpoints, relays, settings, logs, topology.plan)


def create_run_folder(customer: Customer, folder: Path, base_port: int, seed: int) -> RunFolder:
    """Create the run folder of a deployment.

    Parameters
    ----------
    customer : Customer
        The deployment.
    folder : Path
        Folder for the files; created if it does not exist.
    base_port : int
        First port; the listeners use consecutive ports.
    seed : int
        Seed of the stand-ins' random numbers.

    Returns
    -------
    RunFolder
        Paths of the files, and the load plan.
    """
    folder = folder.resolve()
    operator_keys = create_operator_keys(folder / FOLDER_KEYS)
    topology = build_topology(customer, base_port, seed, operator_keys, random.SystemRandom())
    return write_topology(topology, folder)
