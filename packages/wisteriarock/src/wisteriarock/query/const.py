"""Reason codes, error codes and tuning constants of query execution."""

# Reasons for a missing shard, in addition to those in `snapshot.const` and the leg outcomes.
REASON_DEADLINE = "deadline"
REASON_EARLY = "answered_early"

# Error codes of an answer.
ERROR_NO_SNAPSHOT = "no_usable_snapshot"
ERROR_OVERLOADED = "overloaded"
ERROR_UNAVAILABLE = "endpoints_unavailable"
ERROR_UNKNOWN = "outcome_unknown"
ERROR_DEADLINE = "deadline_passed"
RETRY_AFTER_MS = 500

# Reasons for dropping a reply.
DROP_LATE = "late"
DROP_DUPLICATE = "duplicate"
DROP_MISMATCHED = "mismatched"

ROLE_PRIMARY = "primary"
ROLE_HEDGE = "hedge"
ROLE_RETRY = "retry"

# Bounds of the exponential backoff of a subquery without a usable replica.
RETRY_BACKOFF_MIN_MS = 20.0
RETRY_BACKOFF_MAX_MS = 1_000.0
# A second hedge covers a hedge that is itself a straggler: with 5 stragglers in 100 legs, this
# happens in one of eight queries of 50 legs.
MAX_HEDGES_PER_SUBQUERY = 2
MAX_RESTARTS = 2
# Attempts that are due within this time are handled by the same timer.
TIMER_SLACK_MS = 1.0
RESTART_MIN_TIME_LEFT_SHARE = 0.5

HEDGE_MIN_SAMPLES = 20
# Buckets of the latency histogram grow by 5 %, from 0.1 ms to about 10 minutes.
BUCKET_GROWTH = 1.05
BUCKET_COUNT = 320
BUCKET_MIN_MS = 0.1
# All counts are halved when their sum reaches this weight, so that the histogram adapts to a
# change within about as many legs.
HISTOGRAM_MAX_WEIGHT = 1_000.0
QUANTILE_INTERVAL_SAMPLES = 32
# Number of standard errors by which the quantile estimate is lowered.
QUANTILE_STANDARD_ERRORS = 2.0
# Share of the burst that a hedge must leave unused when its leg becomes overdue. The share falls
# linearly to 0 at RESERVE_RELEASE_DELAYS, a leg's age in hedge delays, so that a short budget goes
# to the legs that have waited longest.
BUDGET_RESERVE_SHARE = 0.5
RESERVE_RELEASE_DELAYS = 5.0
# Share of the hedge delay after which a hedge without budget or replica is tried again.
HEDGE_RECHECK_SHARE = 0.25
