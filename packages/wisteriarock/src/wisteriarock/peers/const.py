"""Constants of the traffic between instances."""

# Lower case, as ASGI servers pass header names, which are case-insensitive.
HEADER_INSTANCE = "x-peer-instance"
HEADER_TIME = "x-peer-time-ms"
HEADER_NONCE = "x-peer-nonce"
HEADER_KEY_ID = "x-peer-key-id"
HEADER_DIGEST = "x-peer-digest"

HEARTBEAT_PATH = "/peer/v1/heartbeat"
LEGS_PATH = "/peer/v1/legs"
CANCEL_PATH = "/peer/v1/cancel"
QUERY_PATH = "/peer/v1/query"
HANDOVER_PATH = "/peer/v1/tickets"
BUNDLE_PATH = "/peer/v1/bundle/{digest}"

MAX_BODY_BYTES = 1_000_000
MAX_CLOCK_DIFFERENCE_MS = 30_000
# Nonces are dropped in groups that span this time, which makes expiry cheap.
NONCE_GROUP_MS = 5_000
# A nonce takes about 78 bytes. Above this count, requests are refused, as replays could no longer
# be detected.
MAX_NONCES = 100_000
MAX_NONCE_LENGTH = 64

# Limits per peer and purpose: idle connections, and connections in use.
MAX_IDLE_CONNECTIONS = 8
MAX_CONNECTIONS = 128
# Each purpose has separate connections, so that heartbeats never wait for legs or queries.
PURPOSE_CONTROL = "control"
PURPOSE_LEGS = "legs"
PURPOSE_QUERY = "query"
# Shorter than the 5 s after which uvicorn closes an idle connection, so that no request is sent on
# a connection that is being closed.
MAX_IDLE_MS = 3_000.0
# While legs run, the holder writes an empty line at this interval, so that the reader can
# distinguish a slow leg from a silent connection.
KEEPALIVE_INTERVAL_MS = 150.0
# Replies are buffered for this time, except for the last of a stream: each write wakes up the
# reader, and a query that waits for all of its legs does not benefit from earlier replies.
FLUSH_DELAY_MS = 5.0
