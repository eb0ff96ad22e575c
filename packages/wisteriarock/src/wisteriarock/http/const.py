"""Limits and timeouts of connections."""

# Timeout of a connection attempt: two round trips between zones and the accept by the endpoint.
CONNECT_TIMEOUT_MS = 400.0
# Maximum size of the body of a reply, and of a part of a fan-out, of which many arrive at the same
# time; larger ones are not buffered and fail the exchange.
REPLY_MAX_BYTES = 4 * 1024 * 1024
PART_MAX_BYTES = 256 * 1024
# Maximum size of headers, interim responses, chunk sizes and trailers, in addition to the size of
# the body.
REPLY_OVERHEAD_MAX_BYTES = 64 * 1024
# Reason of an exchange that failed as its reply was larger than allowed.
REASON_TOO_LARGE = "reply too large"
# Share of the idle timeout announced by an endpoint during which an idle connection is reused.
IDLE_TIMEOUT_SHARE = 0.7
# Idle time after which a connection is not reused if the endpoint announces no idle timeout.
IDLE_LIMIT_DEFAULT_MS = 3_000.0
# Number of queued pipelined requests above which reading from the connection is paused.
PIPELINED_REQUESTS_MAX = 4
# High-water mark of the write buffer of a connection from a caller.
WRITE_HIGH_WATER_BYTES = 256 * 1024
# Interval at which connections are checked for timeouts.
TIMEOUT_CHECK_INTERVAL_MS = 250.0
# Lingering close: time to read and drop further data after a request was rejected, so that the
# caller gets the answer instead of a connection reset.
LINGER_MS = 1_000.0
