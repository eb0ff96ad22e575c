"""Subcommand `platform`."""

from pathlib import Path

from wisteriastandins.process import run_process

from .models import PlatformConfig
from .server import start_platform


def platform(*, config: Path) -> int:
    """Run the stand-in platform until SIGTERM.

    Parameters
    ----------
    config : Path
        JSON file with the address, rate limits, latency and list of instances.
    """
    return run_process("platform", config, PlatformConfig, start_platform)
