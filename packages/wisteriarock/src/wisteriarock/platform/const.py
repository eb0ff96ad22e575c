"""Names and limits of the platform client."""

# At the target size the list of instances has 72,000 entries of about 120 bytes. A value of 1 MB
# whose every byte is escaped in JSON has 6 MB.
MAX_REPLY_BYTES = 16_000_000
MAX_VALUE_BYTES = 1_000_000
# Reading a new bundle takes a watch and two reads at once, and the membership poll may coincide.
MIN_BURST_CALLS = 5.0
# Connections kept for reads: a long poll and the calls beside it.
MAX_IDLE_CONNECTIONS = 2
BACKOFF_FIRST_MS = 50
# Short enough that a bundle still arrives within its 8 s after the platform has come back.
BACKOFF_MAX_MS = 2_000

ATTR_OK = "ok"
ATTR_HELD_BACK = "held_back"
