"""Handling of signals until the event loop handles them.

Imported before everything else, as an interpreter that has not set a handler is ended by SIGHUP.
"""

import signal
import sys
from types import FrameType


class EarlySignals:
    """Handlers for signals that arrive while the process is starting.

    Attributes
    ----------
    is_reload_requested : bool
        Whether SIGHUP has arrived, so that the settings have to be read again.
    """

    def __init__(self) -> None:
        self.is_reload_requested = False

    def install(self) -> None:
        """Install the handlers; those of the event loop replace them later."""
        signal.signal(signal.SIGHUP, self._request_reload)
        signal.signal(signal.SIGTERM, _exit)
        signal.signal(signal.SIGINT, _exit)

    def _request_reload(self, number: int, frame: FrameType | None) -> None:
        self.is_reload_requested = True


def _exit(number: int, frame: FrameType | None) -> None:
    """End the process, which serves nothing yet."""
    sys.exit(0)
