"""Names and numbers of the traffic between instances."""

# In lower case, as a server hands them on; names of headers have no case.
HEADER_INSTANCE = "x-peer-instance"
HEADER_TIME = "x-peer-time-ms"
HEADER_NONCE = "x-peer-nonce"
HEADER_KEY_ID = "x-peer-key-id"
HEADER_DIGEST = "x-peer-digest"

PATH_HEARTBEAT = "/peer/v1/heartbeat"
PATH_LEGS = "/peer/v1/legs"
PATH_CANCEL = "/peer/v1/cancel"
PATH_QUERY = "/peer/v1/query"
PATH_TICKETS = "/peer/v1/tickets"
PATH_BUNDLE = "/peer/v1/bundle/{digest}"

MAX_BODY_BYTES = 1_000_000
CLOCK_DIFFERENCE_MS = 30_000
# Nonces are forgotten in groups of this age, so that forgetting costs little.
NONCE_GROUP_MS = 5_000
# About 78 bytes each. Requests beyond are refused, since a replay could not be told from them.
MAX_NONCES = 100_000
MAX_NONCE_LENGTH = 64

# Connections to one peer for one purpose: those kept idle, and the most that are in use.
MAX_IDLE_CONNECTIONS = 8
MAX_CONNECTIONS = 128
# Purposes have connections of their own, so that heartbeats never wait for legs or queries.
PURPOSE_CONTROL = "control"
PURPOSE_LEGS = "legs"
PURPOSE_QUERY = "query"
# Below the 5 s after which uvicorn closes an idle connection, so that no request meets the close.
MAX_IDLE_MS = 3_000.0
# While legs run, the holder writes an empty line at this interval, so that a silent connection
# can be told from a slow leg.
KEEPALIVE_MS = 150.0
# A reply waits this long for others, unless it is the last of its stream: each write costs the
# reader a wake-up, and a query that waits for all legs gains nothing from earlier replies.
FLUSH_DELAY_MS = 5.0
