"""Write a run folder: keys, the signed bundle, settings and configurations."""

import base64
import random
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from wisteriarock.bundle.models import BundleContent
from wisteriarock.bundle.signing import signed_bundle

from .build import build_topology
from .const import FILE_BUNDLE, FILE_PLAN, FILE_PLATFORM, FOLDER_KEYS, FOLDER_LOGS, OPERATORS
from .models import Customer, LoadPlan, Topology


class RunFolder(NamedTuple):
    """Paths of a run; the dictionaries are by process name."""

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

    The raw private keys are written in base64 as `<operator>.key`, readable by the owner only.
    """
    folder.mkdir(parents=True, exist_ok=True)
    public_keys = {}
    for operator in OPERATORS:
        key = Ed25519PrivateKey.generate()
        path = folder / f"{operator}.key"
        path.touch(mode=0o600)
        path.write_bytes(base64.b64encode(key.private_bytes_raw()) + b"\n")
        public_keys[operator] = base64.b64encode(key.public_key().public_bytes_raw()).decode()
    return public_keys


def write_signed_bundle(content: BundleContent, folder: Path) -> Path:
    """Sign `content` as revision 1 with the folder's operator keys and write `bundle.json`."""
    proposer, approver = OPERATORS

    def key_of(operator: str) -> Ed25519PrivateKey:
        raw = base64.b64decode((folder / FOLDER_KEYS / f"{operator}.key").read_bytes())
        return Ed25519PrivateKey.from_private_bytes(raw)

    bundle = signed_bundle(content, 1, "", proposer, key_of(proposer), approver, key_of(approver))
    path = folder / FILE_BUNDLE
    _write_json(path, bundle)
    return path


def write_topology(topology: Topology, folder: Path) -> RunFolder:
    """Write the files of a topology; the operators' keys are in the folder already."""
    logs = folder / FOLDER_LOGS
    logs.mkdir(parents=True, exist_ok=True)
    bundle = write_signed_bundle(topology.content, folder)
    platform = folder / FILE_PLATFORM
    _write_json(platform, topology.platform)
    endpoints, relays, settings = {}, {}, {}
    for zone, endpoints_config in topology.endpoints.items():
        endpoints[f"endpoints-{zone}"] = path = folder / f"endpoints-{zone}.json"
        _write_json(path, endpoints_config)
    for zone, relay_config in topology.relays.items():
        relays[f"relay-{zone}"] = path = folder / f"relay-{zone}.json"
        _write_json(path, relay_config)
    for name, file in topology.settings.items():
        settings[name] = path = folder / f"{name}.json"
        _write_json(path, {**file, "bundle_path": str(bundle)})
    _write_json(folder / FILE_PLAN, topology.plan)
    return RunFolder(folder, platform, endpoints, relays, settings, logs, topology.plan)


def create_run(customer: Customer, folder: Path, base_port: int, seed: int) -> RunFolder:
    """Create the run folder of a deployment.

    Parameters
    ----------
    customer : Customer
        The deployment.
    folder : Path
        Where files are written; created when absent.
    base_port : int
        First of the ports.
    seed : int
        Seed of the stand-ins' random numbers.

    Returns
    -------
    RunFolder
        The paths, and the plan of the load tool.
    """
    folder = folder.resolve()
    operator_keys = create_operator_keys(folder / FOLDER_KEYS)
    topology = build_topology(customer, base_port, seed, operator_keys, random.SystemRandom())
    return write_topology(topology, folder)
