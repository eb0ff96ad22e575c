"""Subcommand `relay`."""

from pathlib import Path

from wisteriastandins.process import duplicate_error, run_process

from .control import start_relay
from .models import RelayConfig


def relay(*, config: Path) -> int:
    """Run the link relay until SIGTERM.

    Parameters
    ----------
    config : Path
        JSON file with the links and their addresses, delays and jitter.
    """

    def check(content: RelayConfig) -> str | None:
        return duplicate_error([entry["name"] for entry in content["links"]])

    return run_process("relay", config, RelayConfig, start_relay, check)
