"""Exit codes, log events and intervals of the process."""

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
EXIT_BROKEN_INVARIANT = 70
EVENT_START = "start"
EVENT_PHASE = "phase_changed"
EVENT_STOP = "stop"
EVENT_UNHANDLED = "unhandled_error"
EVENT_BROKEN_INVARIANT = "broken_invariant"
EVENT_CALLERS_LIMITED = "callers_limited"
# The load balancer may still send requests for this time after the instance stopped being ready.
DRAIN_ACCEPT_MS = 2_000.0
READINESS_INTERVAL_MS = 50.0
HOUSEKEEPING_INTERVAL_MS = 250.0
LOOP_LAG_INTERVAL_MS = 25.0
# Thresholds of the garbage collector for each generation. With the default of 700 allocations, a
# busy process spent an eighth of its time in collections.
GC_THRESHOLDS = (20_000, 20, 20)
