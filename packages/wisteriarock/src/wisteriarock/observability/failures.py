"""Containment of unexpected exceptions: each is logged and counted, and the process goes on."""

import asyncio
import traceback
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any

from .counters import Counters
from .event_log import EventLog

# Delay before a failed task is started again: doubled up to the maximum, and reset after it has run
# for `STABLE_MS` without a failure.
RESTART_DELAY_MIN_MS = 100.0
RESTART_DELAY_MAX_MS = 2_000.0
STABLE_MS = 10_000.0
# Maximum length of the text of an exception in the log.
ERROR_MAX_CHARACTERS = 300


class FailureReporter:
    """Logs and counts unexpected exceptions by the part of the process that raised them."""

    __slots__ = ("counters", "log")

    def __init__(self, log: EventLog, counters: Counters) -> None:
        self.log = log
        self.counters = counters

    def report(self, part: str, error: BaseException, **fields: Any) -> None:
        """Log and count an exception.

        Parameters
        ----------
        part : str
            The task or callback that failed.
        **fields : Any
            More fields of the log line, such as the key of a record.
        """
        self.counters.count("unexpected_errors", part)
        frames = traceback.extract_tb(error.__traceback__)
        location = f"{frames[-1].name}:{frames[-1].lineno}" if frames else "unknown"
        text = repr(error)[:ERROR_MAX_CHARACTERS]
        self.log.record("unexpected_error", part=part, error=text, location=location, **fields)

    @contextmanager
    def contain(self, part: str, **fields: Any) -> Iterator[None]:
        """Report an exception of the body instead of raising it."""
        try:
            yield
        except Exception as error:
            self.report(part, error, **fields)

    def handle_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Report an exception that the event loop caught; for `set_exception_handler`."""
        error = context.get("exception") or RuntimeError("no exception")
        self.report("event_loop", error, message=context.get("message", ""))


async def run_supervised(
    name: str, work: Callable[[], Coroutine[Any, Any, None]], failures: FailureReporter
) -> None:
    """Run a background task, and start it again if it fails."""
    loop = asyncio.get_running_loop()
    delay_ms = RESTART_DELAY_MIN_MS
    while True:
        started_ms = loop.time() * 1000
        try:
            await work()
        except Exception as error:
            failures.report(name, error)
        else:
            return
        if loop.time() * 1000 - started_ms >= STABLE_MS:
            delay_ms = RESTART_DELAY_MIN_MS
        await asyncio.sleep(delay_ms / 1000)
        delay_ms = min(2 * delay_ms, RESTART_DELAY_MAX_MS)
