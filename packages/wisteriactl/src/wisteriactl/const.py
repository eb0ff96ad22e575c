"""Exit codes, names and limits of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of all commands; 1 is reserved for unhandled exceptions."""

    OK = 0
    INPUT = 2
    CONFLICT = 3
    NOT_YET_KNOWN = 4
    UNREACHABLE = 5
    REFUSED = 6


SETTINGS_ENV_VAR = "WISTERIACTL_SETTINGS"
DEFAULT_SETTINGS_FILE = "wisteriactl.json"
DEFAULT_TIMEOUT_S = 15.0

MAX_FILE_CHARS = 16_000_000
MAX_REPLY_BYTES = 16_000_000
REQUEST_TIMEOUT_MS = 2_000
# A roll back reads one envelope per revision on the way to its target. This limit is a twentieth of
# the read rate that the platform allows for all clients together.
MAX_PLATFORM_CALLS_PER_S = 100.0
# More than a day of bundle changes in a deployment of the target size.
MAX_HISTORY_REVISIONS = 50_000
PROGRESS_INTERVAL_REVISIONS = 500
# Limit on rounds of read, decide and write. A round is repeated when its compare-and-swap conflicts
# with another write, which the read of the next round returns.
MAX_ROUNDS = 50
POLL_INTERVAL_S = 0.5
# A member is silent, and `wait` ignores it, if no instance has received a heartbeat from it for
# this long.
SILENT_AFTER_MS = 10_000
MAX_DIFF_LINES = 200
