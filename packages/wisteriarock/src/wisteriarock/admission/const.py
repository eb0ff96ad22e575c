"""Limits of admission."""

import re

MAX_CALLER_BODY_BYTES = 64 * 1024
MAX_SHARDS = 1_000
MAX_DEADLINE_MS = 600_000
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9_-]{1,64}")
ALL_SHARDS = "*"

# Fraction of `max_queries` in flight up to which each priority is admitted: in an overload,
# background requests are rejected first and urgent requests last.
MAX_IN_FLIGHT_SHARE = {"background": 0.6, "normal": 0.85, "urgent": 1.0}

# Event loop lag up to which each priority is admitted. Above it all answers are late, and every
# additional request delays the others further.
MAX_LOOP_LAG_MS = {"background": 60.0, "normal": 150.0, "urgent": 400.0}
# Factor applied to the remembered lag at each later observation.
LAG_DECAY_FACTOR = 0.8

# Time constant of the demand estimate: about two heartbeats, so that the shares of the limit
# follow load that moves between instances.
DEMAND_WINDOW_MS = 1_000.0
MIN_RETRY_AFTER_MS = 50
OVERLOAD_RETRY_AFTER_MS = 200
NOT_READY_RETRY_AFTER_MS = 500
