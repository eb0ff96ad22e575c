"""Subcommand `endpoints`."""

from pathlib import Path

from wisteriastandins.process import run_process

from .control import start_endpoints
from .models import EndpointsConfig


def endpoints(*, config: Path) -> int:
    """Run the stand-in endpoints of a zone until SIGTERM.

    Parameters
    ----------
    config : Path
        JSON file with the endpoints, their sizes, latencies and holdings.
    """
    return run_process("endpoints", config, EndpointsConfig, start_endpoints)
