"""Limits and codes of admission."""

import re

MAX_CALLER_BODY_BYTES = 64 * 1024
MAX_SHARDS = 1_000
MAX_DEADLINE_MS = 600_000
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9_-]{1,64}")
ALL_SHARDS = "*"

# Share of the most requests in flight up to which a class is admitted: in an overload background
# work is refused first and urgent work last.
MAX_IN_FLIGHT_SHARE = {"background": 0.6, "normal": 0.85, "urgent": 1.0}

# Delay of the event loop up to which a class is admitted. A process that lags by more answers late
# whatever it is asked, and each request that it still takes makes the others later.
MAX_LOOP_LAG_MS = {"background": 60.0, "normal": 150.0, "urgent": 400.0}
# What is left of an observed lag after each later observation.
LAG_DECAY_FACTOR = 0.8

# Time constant of the demand estimate; about two heartbeats, so that shares follow a moved load.
DEMAND_WINDOW_MS = 1_000.0
MIN_RETRY_AFTER_MS = 50
OVERLOAD_RETRY_AFTER_MS = 200
