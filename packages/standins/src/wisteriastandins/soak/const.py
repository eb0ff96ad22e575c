"""Bounds that the soak checks, and the size of its deployment."""

# Published bounds of the deployments of today.
ENDPOINT_DRAIN_MS = 3_000.0
CONFIGURATION_APPLY_MS = 3_000.0
ROLLBACK_SLACK_MS = 250.0
STABILIZATION_MS = 4_000.0
DRAIN_GRACE_MS = 6_000.0
CLOSE_RACE_MS = 200.0
RECOVERY_MS = 12_000.0
EXTRA_RATIO = 0.2
EXTRA_FIXED = 56.0
EXTRA_WINDOW_S = 10.0
MAX_CONNECTIONS = 26
MAX_ATTEMPTS = 2
# Time that a caller waits, and by how much an answer may come later than that.
CALLER_TIMEOUT_MS = 1_500.0
CALLER_SLACK_MS = 1_000.0
# Share of requests that are served again after everything was killed.
MIN_RECOVERED_SHARE = 0.25
# Records of a fan-out's answer, and the share of shards that it needs.
TOP_K = 5
MIN_COVERAGE = 0.75
HOST = "shop.example"
ZONES = ("zone-a", "zone-b", "zone-c")
SHARDS = tuple(f"shard-{number}" for number in range(6))
# The shards after the index is cut anew.
NEW_SHARDS = tuple(f"part-{number}" for number in range(8))
LEDGERS = ("ledger-a", "ledger-b")
# The platform asks each instance once a second whether it is ready, and leaves it out after two
# misses.
READY_INTERVAL_S = 1.0
READY_FAILURE_LIMIT = 2
# Pauses of a caller between two requests.
CALLER_PAUSE_RANGE_S = (0.02, 0.12)
# Time without faults at the end of a run, in which everything has to work again.
FAULT_FREE_END_S = 14.0
# Longest wait for all programs to be ready before callers start.
STARTUP_TIMEOUT_S = 30.0
