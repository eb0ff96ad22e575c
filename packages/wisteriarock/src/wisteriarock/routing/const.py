"""Thresholds and time constants of replica selection."""

# Legs per slot, including the new one, above which a replica counts as overloaded. With 2 slots,
# one leg may wait for about half a service time, which costs as much as a leg to another zone.
OVERLOAD_PER_SLOT = 1.5
# An endpoint that shed load is ranked low and gets no hedges for this long.
SHED_PENALTY_MS = 1_000.0
# An endpoint that refused a leg while draining gets no legs for this long. This covers the time
# until its view reaches every instance (3 s).
DRAIN_EXCLUSION_MS = 5_000.0
# Endpoints of a holder that lost legs are ranked low until membership has had time to assign
# another holder (2 s).
LOST_HOLDER_PENALTY_MS = 2_000.0
# The weight of reported load falls linearly with its age, to 0 at this age.
REPORTED_LOAD_LIFETIME_MS = 2_000.0
# Observed latency older than this is ignored, so that a slow replica is tried again.
LATENCY_LIFETIME_MS = 10_000.0
# Minimum share of its slots with which an endpoint is rated during its slow start.
SLOW_START_SHARE = 0.1
LATENCY_EWMA_WEIGHT = 0.2
# Thresholds for the share of an endpoint's recent primary legs that exceeded the hedge delay. Above
# the first, it gets no hedges, since they would add to an overload. Above the second, it is ranked
# lower for SLOW_PENALTY_MS.
NO_HEDGE_OVERDUE_SHARE = 0.25
SLOW_OVERDUE_SHARE = 0.5
OVERDUE_EWMA_WEIGHT = 1 / 16
SLOW_PENALTY_MS = 2_000.0
