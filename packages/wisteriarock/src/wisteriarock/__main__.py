"""Command line of `wisteriarockd`."""

import asyncio
import sys
from pathlib import Path

import cyclopts
from returns.result import Success

from wisteriarock.app import run_instance
from wisteriarock.observability.logs import start_logging
from wisteriarock.settings.load import load_settings

from .const import EXIT_BAD_SETTINGS, EXIT_OK

app = cyclopts.App(name="wisteriarockd", help="Entry instance of the wisteriarock query tier.")


@app.default
def run(settings: Path, *, check: bool = False) -> int:
    """Run an entry instance.

    Parameters
    ----------
    settings
        Path of the settings file, JSON with comments.
    check
        Check the settings and exit.
    """
    loaded = load_settings(settings)
    if not isinstance(loaded, Success):
        error = loaded.failure()
        print(f"{settings}: {error.path}: found {error.found}; allowed: {error.allowed}")
        return EXIT_BAD_SETTINGS
    checked = loaded.unwrap()
    if check:
        print(f"{settings}: correct")
        return EXIT_OK
    start_logging(instance=checked.instance, zone=checked.zone)
    return asyncio.run(run_instance(checked))


def main() -> None:
    """Run the command line and exit."""
    result = app()
    sys.exit(result if isinstance(result, int) else EXIT_OK)


if __name__ == "__main__":
    main()
