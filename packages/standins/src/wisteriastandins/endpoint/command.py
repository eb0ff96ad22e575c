"""Subcommand `endpoints`."""

from pathlib import Path

from wisteriastandins.process import duplicate_error, run_process

from .control import start_endpoints
from .models import EndpointsConfig


def endpoints(*, config: Path) -> int:
    """Run the stand-in endpoints of a zone until SIGTERM.

    Parameters
    ----------
    config : Path
        JSON file with the endpoints and their sizes, latencies and holdings.
    """

    def check(content: EndpointsConfig) -> str | None:
        return duplicate_error([entry["name"] for entry in content["endpoints"]])

    return run_process("endpoints", config, EndpointsConfig, start_endpoints, check)
