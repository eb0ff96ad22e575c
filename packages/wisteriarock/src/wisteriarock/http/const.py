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
# Bytes of further requests above which reading from a connection is paused while one is under way.
AHEAD_MAX_BYTES = 16 * 1024
# Maximum size of one read.
READ_MAX_BYTES = 64 * 1024
# Bytes of the method, version and separators of a head, which the limit of headers does not count.
HEAD_OVERHEAD_MAX_BYTES = 1_024
# Time to read a complete answer, if the caller reads any of it within the idle timeout.
UNREAD_ANSWER_MAX_MS = 60_000.0
# Replies and requests of fewer bytes are not counted one by one, as almost all are smaller.
COUNTED_MIN_BYTES = 16 * 1024
# Memory of a header beside its bytes: two objects, their pair and its place in the list.
HEADER_COST_BYTES = 160
# Memory of a piece of a body beside its bytes: an object and its place in the list.
PIECE_COST_BYTES = 64
# Memory of a caller's request under way beside its bytes, and the copies that are made of these: as
# received, as sent to an endpoint, and in a buffer of the connection.
REQUEST_COST_BYTES = 4 * 1024
REQUEST_COPIES = 3
# Part of the connections that is closed at once when there are too many.
CLOSED_SHARE = 1 / 16
# Turns in one iteration of the event loop of connections that were refused, that send ahead or that
# send bodies in small chunks; the bytes of such a body that are parsed in a turn, and the number of
# lines in received bytes above which chunks count as small.
TURNS_PER_ITERATION = 4
TURN_MAX_BYTES = 2 * 1024
SMALL_CHUNK_LINES = 256
# Interval at which connections are checked for timeouts.
TIMEOUT_CHECK_INTERVAL_MS = 250.0
# Lingering close: time to read and drop further data after a request was rejected, so that the
# caller gets the answer instead of a connection reset.
LINGER_MS = 1_000.0
# Bytes of the smallest chunk, which holds one byte of a body.
SMALLEST_CHUNK_BYTES = 6
