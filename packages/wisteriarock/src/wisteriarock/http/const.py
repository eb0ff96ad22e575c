"""Limits of connections."""

# Longest wait for a new connection: two round trips between zones and the endpoint's own work.
CONNECT_TIMEOUT_MS = 400.0
# A reply above this size is not held in memory.
REPLY_MAX_BYTES = 4 * 1024 * 1024
# Share of the idle timeout announced by an endpoint during which a connection is still used.
IDLE_TIMEOUT_SHARE = 0.7
# Idle time after which a connection is not used when the endpoint announces no timeout.
IDLE_LIMIT_DEFAULT_MS = 3_000.0
# Requests that a caller may send ahead on one connection before reading from it pauses.
PIPELINED_REQUESTS_MAX = 4
# A caller that leaves this much of its answers unread is not read from until it catches up.
WRITE_HIGH_WATER_BYTES = 256 * 1024
# Interval at which connections are checked for their timeouts.
TIMEOUT_CHECK_INTERVAL_MS = 250.0
# Time for which what a refused caller still sends is read and dropped, so that it gets the answer.
LINGER_MS = 1_000.0
