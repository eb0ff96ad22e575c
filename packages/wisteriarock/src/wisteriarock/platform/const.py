"""Limits, backoff and metric labels of the platform client."""

# At the target size, the instance list has 72,000 entries of about 120 bytes. A value of 1 MB takes
# 6 MB if JSON escapes each of its bytes.
MAX_REPLY_BYTES = 16_000_000
MAX_VALUE_BYTES = 1_000_000
# Fetching a new bundle takes a watch and two reads at once; the membership poll may coincide.
MIN_CALL_BURST = 5.0
# Idle connections kept for reads: one for the long poll, one for other calls.
MAX_IDLE_CONNECTIONS = 2
RETRY_BACKOFF_MIN_MS = 50
# Short enough that a new bundle arrives within its time limit of 8 s after an outage of the
# platform.
RETRY_BACKOFF_MAX_MS = 2_000

RESULT_OK = "ok"
RESULT_HELD_BACK = "held_back"
