"""Start of a stand-in process: its configuration file, its loop and its end by a signal."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple, TypeVar

from returns.result import Result, Success
from wisteriarock.codec.decode import decode
from wisteriarock.observability.logs import log_event, start_logging

T = TypeVar("T")


class Started(NamedTuple):
    """A running stand-in: the port of its control listener, and the function that ends it."""

    port: int
    stop: Callable[[], Awaitable[None]]


# A file for some thousand endpoints or links takes about 1 MB.
MAX_CONFIG_BYTES = 64_000_000


def read_config(path: Path, kind: type[T]) -> Result[T, str]:
    """Return the checked content of a JSON file, or one line that says what is wrong with it."""
    try:
        body = path.read_bytes()
    except OSError as error:
        return Result.from_failure(str(error))
    decoded = decode(body, kind, MAX_CONFIG_BYTES)
    return decoded.alt(lambda error: f"{path}: {error.message} (at {error.path})")


async def _run(name: str, start: Callable[[], Awaitable[Started]]) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    started = await start()
    log_event("ready", process=name, port=started.port)
    await stopped.wait()
    await started.stop()
    log_event("stopped", process=name)


def run_process(
    name: str, path: Path, kind: type[T], start: Callable[[T], Awaitable[Started]]
) -> int:
    """Run a stand-in until SIGTERM or SIGINT.

    Parameters
    ----------
    name : str
        Name of the process in the log.
    path : Path
        Configuration file.
    kind : type
        `TypedDict` of the configuration.
    start : callable
        Opens the listeners.

    Returns
    -------
    int
        Exit status: 0, 1 if a port cannot be opened, or 2 if the configuration is refused.
    """
    start_logging()
    config = read_config(path, kind)
    if not isinstance(config, Success):
        print(config.failure(), file=sys.stderr)
        return 2
    value = config.unwrap()
    try:
        asyncio.run(_run(name, lambda: start(value)))
    except OSError as error:
        print(f"{name}: {error}", file=sys.stderr)
        return 1
    return 0
