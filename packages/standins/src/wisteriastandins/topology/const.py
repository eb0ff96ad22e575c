"""Names, defaults and file names of a run folder."""

LOOPBACK = "127.0.0.1"

# The ports of both customers are below the usual ephemeral range, so that outgoing connections do
# not occupy them.
DEFAULT_BASE_PORT = 21_000
PORTS_PER_CUSTOMER = 400

DEFAULT_SERVICE_MEDIAN_MS = 20.0
DEFAULT_SERVICE_SIGMA = 0.35
DEFAULT_QUEUE_LIMIT = 8
DEFAULT_SNAPSHOT = 1

FILE_BUNDLE = "bundle.json"
FILE_CONTENT = "content.json"
FILE_PLATFORM = "platform.json"
FILE_PLAN = "load.json"
FOLDER_KEYS = "keys"
FOLDER_LOGS = "logs"

OPERATORS = ("operator-1", "operator-2")
