"""Exit codes, names and limits of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of every command; 1 is left to faults of the program itself."""

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
# A roll back reads one envelope for each revision it passes. This is a twentieth of the reads that
# the platform allows to all its clients together.
MAX_PLATFORM_CALLS_PER_S = 100.0
# A day of bundle changes at the target size, with room to spare.
MAX_HISTORY_REVISIONS = 50_000
PROGRESS_INTERVAL_REVISIONS = 500
# A step is repeated when a compare-and-swap lost against a write that the next read must show.
MAX_ROUNDS = 50
POLL_INTERVAL_S = 0.5
# A member that no instance has heard for this long is reported as silent and not waited for.
SILENT_AFTER_MS = 10_000
MAX_DIFF_LINES = 200
