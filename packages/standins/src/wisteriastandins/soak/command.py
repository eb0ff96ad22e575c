"""The command `soak`."""

import sys
from pathlib import Path

from .run import SoakOptions, format_result, run_soak


def soak(
    *,
    seed: int = 1,
    seeds: int = 1,
    length_s: float = 40.0,
    instances: int = 6,
    callers: int = 12,
    folder: Path | None = None,
) -> None:
    """Play seeded plans of faults against the real programs and check what was promised.

    Parameters
    ----------
    seed
        The first seed.
    seeds
        How many seeds to play, one after the other.
    length_s
        Seconds of traffic; the last 14 are calm.
    instances
        Processes of the system.
    callers
        Callers, each with one connection at a time.
    folder
        Where settings and logs are kept, in a folder for each seed.
    """
    failed = 0
    for number in range(seed, seed + seeds):
        seed_folder = folder / f"seed-{number}" if folder is not None else None
        options = SoakOptions(number, length_s, instances, callers, folder=seed_folder)
        result = run_soak(options)
        print("\n".join(format_result(options, result)), flush=True)
        failed += bool(result.violations)
    print(f"{seeds - failed} seeds passed, {failed} failed")
    sys.exit(1 if failed else 0)
