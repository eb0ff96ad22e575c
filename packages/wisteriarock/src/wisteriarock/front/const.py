"""Times of the life cycle of an instance."""

# Number of instances among which caps and budgets are divided until their number is known. Many
# that each take their share of a small number would break the published budget.
INSTANCES_DEFAULT = 64
# Connections to one endpoint that an instance may open until the number of instances is known.
CONNECTION_LIMIT_DEFAULT = 2
# Share of an endpoint's connection cap that all instances together use.
CONNECTION_CAP_SHARE = 0.9
# Time after a stop signal during which new connections still arrive: the balancer asks once a
# second and needs two misses.
LISTEN_AFTER_STOP_MS = 2_600.0
# Share of the grace period after which requests that still run are answered as failed.
DRAIN_GRACE_SHARE = 0.92
# Interval of the housekeeping of connections and legs.
HOUSEKEEPING_INTERVAL_MS = 100.0
# Interval at which log lines are written.
LOG_FLUSH_INTERVAL_MS = 200.0
# Time without an answer of the store after which an instance that reaches too few endpoints takes
# itself out of rotation.
ISOLATED_AFTER_MS = 2_500.0
# Interval of reads of the store while too few endpoints are reached.
STORE_CHECK_INTERVAL_MS = 500.0
# Longest wait for such a read. The store answers in 4 ms.
STORE_CHECK_TIMEOUT_MS = 300.0
