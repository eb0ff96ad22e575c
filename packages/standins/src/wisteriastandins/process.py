"""Run a stand-in process: read its configuration, start it and stop it on a signal."""

import asyncio
import signal
import sys
import traceback
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

from returns.result import Result, Success
from wisteriarock.codec.decode import decode
from wisteriarock.observability.logs import log_event, start_logging

T = TypeVar("T")


class RunningStandIn(NamedTuple):
    """Port of the control listener of a running stand-in, and the function that stops it."""

    port: int
    stop: Callable[[], Awaitable[None]]


# The configuration of some thousand endpoints or links takes about 1 MB.
MAX_CONFIG_BYTES = 64_000_000


def now_ms() -> float:
    """Return the monotonic time of the running loop in milliseconds."""
    return asyncio.get_running_loop().time() * 1000


def duplicate_error(names: list[str]) -> str | None:
    """Return an error message for the first name that occurs more than once, or None."""
    repeated = [name for name, count in Counter(names).items() if count > 1]
    return f"the name {repeated[0]} occurs twice" if repeated else None


def read_config(path: Path, kind: type[T]) -> Result[T, str]:
    """Return the validated content of a JSON file, or an error message of one line."""
    try:
        body = path.read_bytes()
    except OSError as error:
        return Result.from_failure(str(error))
    decoded = decode(body, kind, MAX_CONFIG_BYTES)
    return decoded.alt(lambda error: f"{path}: {error.message} (at {error.path})")


async def _run_until_signal(name: str, start: Callable[[], Awaitable[RunningStandIn]]) -> int:
    stop_requested = asyncio.Event()
    unexpected_errors: list[BaseException] = []
    loop = asyncio.get_running_loop()

    def on_exception(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Stop the process on an unhandled exception; socket errors are only logged."""
        error = context.get("exception")
        if error is None or isinstance(error, OSError):
            log_event("loop_error", message=context["message"], error=error)
            return
        trace = "".join(traceback.format_exception(error))
        log_event("invariant_broken", message=context["message"], trace=trace)
        unexpected_errors.append(error)
        stop_requested.set()

    loop.set_exception_handler(on_exception)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    stand_in = await start()
    log_event("ready", process=name, port=stand_in.port)
    await stop_requested.wait()
    await stand_in.stop()
    log_event("stopped", process=name)
    return 3 if unexpected_errors else 0


def run_process(
    name: str,
    path: Path,
    kind: type[T],
    start: Callable[[T], Awaitable[RunningStandIn]],
    check: Callable[[T], str | None] = lambda _: None,
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
    check : callable
        Returns an error message for a configuration with valid types but invalid values, or None.

    Returns
    -------
    int
        Exit status: 0, 1 if a port cannot be opened, 2 if the configuration is invalid, or 3 after
        an unhandled exception.
    """
    start_logging()
    config = read_config(path, kind)
    if not isinstance(config, Success):
        print(config.failure(), file=sys.stderr)
        return 2
    value = config.unwrap()
    if problem := check(value):
        print(f"{path}: {problem}", file=sys.stderr)
        return 2
    try:
        return asyncio.run(_run_until_signal(name, lambda: start(value)))
    except OSError as error:
        print(f"{name}: {error}", file=sys.stderr)
        return 1
