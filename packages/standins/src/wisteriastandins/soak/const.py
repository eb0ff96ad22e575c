"""Limits that the soak checks, and the size of its deployment."""

# Limits published for the current deployments.
ENDPOINT_DRAIN_MS = 3_000.0
CONFIGURATION_APPLY_MS = 3_000.0
ROLLBACK_SLACK_MS = 250.0
# Time after a disturbance before time limits apply again.
STABILIZATION_MS = 4_000.0
DRAIN_GRACE_MS = 6_000.0
# A request that fails within this time may have been sent on a connection being closed.
CLOSE_RACE_MS = 200.0
RECOVERY_MS = 12_000.0
EXTRA_RATIO = 0.2
EXTRA_FIXED = 56.0
EXTRA_WINDOW_S = 10.0
MAX_CONNECTIONS = 26
# Rate limit that an endpoint names: requests allowed in the time window, and the time after which
# an instance that was told has to keep to it.
RATE_LIMIT_WINDOW_MS = 4_000.0
RATE_LIMIT_FACTOR = 1.5
RATE_LIMIT_FIXED = 5.0
RATE_LIMIT_REACTION_MS = 500.0
# Time after which an instance that was told of a pause has to keep to it, and the requests that may
# still arrive within the pause.
PAUSE_REACTION_MS = 500.0
PAUSE_ARRIVALS_MAX = 2
# Endpoints that may end under one request before it may not be sent on, and the time that a request
# may already be on its way.
DEADLY_ENDS_MAX = 3
DEADLY_REACTION_MS = 100.0
MAX_ATTEMPTS = 2
# Time after which an evacuated zone gets no more requests.
EVACUATION_MS = 5_000.0
# Time for which endpoints are cold, the requests that a cold endpoint takes in a second, and the
# bound in each second: a factor on that rate and a number on top.
WARMUP_MS = 3_000.0
COLD_RATE_PER_S = 4.0
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5.0
# Time that a caller waits, and the tolerance for a late answer.
CALLER_TIMEOUT_MS = 1_500.0
CALLER_SLACK_MS = 1_000.0
# Minimum share of requests that must succeed once `RECOVERY_MS` has passed.
MIN_RECOVERED_SHARE = 0.25
# Number of records in the answer to a fan-out, and the share of shards that it requires.
TOP_K = 5
MIN_COVERAGE = 0.75
HOST = "shop.example"
# Customers with their keys, and the allotment of one: requests per second, burst, and the bound in
# each window. One caller in `ALLOTTED_CALLERS` is of that customer.
CUSTOMERS = {"school": ("school-1", "school-2"), "choir": ("choir-1", "choir-2")}
ALLOTTED_CUSTOMER = "choir"
ALLOTTED_CALLERS = 4
ALLOTMENT_PER_S = 30.0
ALLOTMENT_BURST = 20.0
QUOTA_WINDOW_S = 5.0
QUOTA_OVERSHOOT = 0.1
QUOTA_SLACK = 20.0
# Limits of each process; a tenth is to spare.
MEMORY_LIMIT_MB = 96
DESCRIPTOR_LIMIT = 1_024
MEMORY_SHARE = 0.9
ZONES = ("zone-a", "zone-b", "zone-c")
SHARDS = tuple(f"shard-{number}" for number in range(6))
# Set of shards after resharding.
NEW_SHARDS = tuple(f"part-{number}" for number in range(8))
LEDGERS = ("ledger-a", "ledger-b")
# The platform probes the readiness of each instance once a second and takes it out of rotation
# after two consecutive failures.
READY_INTERVAL_S = 1.0
READY_FAILURE_LIMIT = 2
# Longest time after the first line of a program at which an early signal reaches it.
EARLY_SIGNAL_MAX_S = 0.4
# Range of pauses of a caller between two requests.
CALLER_PAUSE_RANGE_S = (0.02, 0.12)
# Fault-free time at the end of a run, in which service must recover.
FAULT_FREE_END_S = 14.0
# Maximum wait for all programs to be ready before callers start.
STARTUP_TIMEOUT_S = 30.0
