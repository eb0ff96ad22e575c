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
    source: Path | None = None,
    with_returns: bool = False,
    only_returns: bool = False,
) -> None:
    """Inject seeded faults into the real programs and check the guarantees of the system.

    Parameters
    ----------
    seed
        The first seed.
    seeds
        Number of consecutive seeds to run.
    length_s
        Seconds of traffic; the last 14 are free of faults.
    instances
        Number of instances, each a process.
    callers
        Number of callers, each with one connection at a time.
    folder
        Folder in which settings and logs are kept, one subfolder per seed.
    source
        Folder with a copy of the programs to run instead of the installed ones.
    with_returns, only_returns
        Let the store come back from older copies, beside the other faults or in their place.
    """
    failed = 0
    for number in range(seed, seed + seeds):
        seed_folder = folder / f"seed-{number}" if folder is not None else None
        options = SoakOptions(
            number,
            length_s,
            instances,
            callers,
            source,
            folder=seed_folder,
            with_returns=with_returns,
            only_returns=only_returns,
        )
        result = run_soak(options)
        print("\n".join(format_result(options, result)), flush=True)
        failed += bool(result.violations)
    print(f"{seeds - failed} seeds passed, {failed} failed")
    sys.exit(1 if failed else 0)
