"""Limits, timeouts and intervals of an instance."""

# Number of instances assumed until the actual number is known. With a lower assumption, the shares
# of a large deployment would add up to more than the published budget.
INSTANCES_DEFAULT = 64
# Connection limit of one endpoint until the number of instances is known.
CONNECTION_LIMIT_DEFAULT = 2
# Share of the connection cap of an endpoint that all instances together may use.
CONNECTION_CAP_SHARE = 0.9
# Time after a stop signal during which new connections are still accepted: the load balancer checks
# readiness once a second and removes an instance after two failed checks.
LISTEN_AFTER_STOP_MS = 2_600.0
# Time for which a new connection waits for its first request while draining.
FIRST_REQUEST_WAIT_MS = 100.0
# Time to send the answers to requests that are still in progress when draining ends.
LAST_ANSWERS_MS = 50.0
# Share of the grace period after which draining ends, even if requests are still in progress.
DRAIN_GRACE_SHARE = 0.92
# Interval of the checks of endpoints, abandoned legs and the store.
HOUSEKEEPING_INTERVAL_MS = 100.0
# Interval at which buffered log lines are written.
LOG_FLUSH_INTERVAL_MS = 200.0
# Time without a reply from the store after which an instance that reaches too few shards counts as
# isolated and is not ready.
ISOLATED_AFTER_MS = 2_500.0
# Interval of the check reads from the store while too few shards are reachable.
STORE_CHECK_INTERVAL_MS = 500.0
# Timeout of a check read. The store normally answers in 4 ms.
STORE_CHECK_TIMEOUT_MS = 300.0
# Share of the memory limit that all connections may hold in incomplete messages, requests sent
# ahead and unread answers, and the share that requests under way may take with their legs.
BUFFER_MEMORY_SHARE = 0.2
REQUEST_MEMORY_SHARE = 0.2
# Under a low limit, each of these accounts has this share of what is left beside the process itself
# and a spare share of the limit, but not less than the minimum.
ACCOUNT_FREE_SHARE = 0.4
PROCESS_BYTES = 26_000_000
SPARE_MEMORY_SHARE = 0.1
ACCOUNT_MIN_BYTES = 1_000_000
# Memory of a leg with its reply, and of an open connection without a request.
LEG_COST_BYTES = 3 * 1024
CONNECTION_COST_BYTES = 6 * 1024
# Share of the memory limit that open connections may take.
CONNECTION_MEMORY_SHARE = 0.1
# Descriptors kept for files, and the shares of the others that the connections to each listener may
# use. The rest serves connections to endpoints and the store.
FILE_DESCRIPTORS = 200
CALLER_DESCRIPTOR_SHARE = 0.5
PEER_DESCRIPTOR_SHARE = 0.15
READINESS_DESCRIPTOR_SHARE = 0.04
METRICS_DESCRIPTOR_SHARE = 0.02
LISTENER_CONNECTIONS_MIN = 8
# Answers to operators in one iteration of the event loop; a dump takes milliseconds.
METRICS_TURNS_PER_ITERATION = 1
# Number of attempts to read a settings file that is incomplete, and the time between them.
SETTINGS_READ_ATTEMPTS = 20
SETTINGS_READ_INTERVAL_MS = 50.0
# Time after the first count of the instances until it is used for limits that must hold in sum: a
# new relay counts its followers for 4 s.
COUNT_SETTLE_MS = 4_000.0
