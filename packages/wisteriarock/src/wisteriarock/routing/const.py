"""Limits of the order of replicas."""

# Legs per slot, the new one included, above which a replica counts as overloaded. With 2 slots
# one leg may wait, for about half a service time; a detour over another zone costs as much.
OVERLOAD_PER_SLOT = 1.5
# An endpoint that shed load is used last for this long, and gets no hedge.
SHED_MEMORY_MS = 1_000.0
# Covers the time until the view of a draining endpoint reaches every instance (3 s).
DRAIN_MEMORY_MS = 5_000.0
# A holder that lost legs is avoided until membership has had time to choose another one (2 s).
HOLDER_MEMORY_MS = 2_000.0
# Reported load counts less with its age, and not at all beyond this one.
HINT_LIFETIME_MS = 2_000.0
# Observed latency older than this no longer orders replicas, so that a slow one is tried again.
LATENCY_LIFETIME_MS = 10_000.0
# Share of its slots that an endpoint gets at the beginning of its slow start.
SLOW_START_SHARE = 0.1
LATENCY_WEIGHT = 0.2
# Share of an endpoint's recent primary legs past the hedge delay. Above the first it gets no
# hedges: in an overload they would add to it. Above the second it is used late for a while.
NO_HEDGE_OVERDUE_SHARE = 0.25
SLOW_OVERDUE_SHARE = 0.5
OVERDUE_WEIGHT = 1 / 16
SLOW_MEMORY_MS = 2_000.0
