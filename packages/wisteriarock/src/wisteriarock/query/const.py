"""Names and limits of the query concern."""

# Why a shard is missing, beside the reasons of `snapshot.const` and the outcomes of legs.
REASON_DEADLINE = "deadline"
REASON_EARLY = "answered_early"

# Codes of `error` in an answer.
ERROR_NO_SNAPSHOT = "no_usable_snapshot"
ERROR_OVERLOADED = "overloaded"
ERROR_UNAVAILABLE = "endpoints_unavailable"
ERROR_UNKNOWN = "outcome_unknown"
ERROR_DEADLINE = "deadline_passed"
RETRY_AFTER_MS = 500

# Why a reply was dropped.
DROP_LATE = "late"
DROP_DUPLICATE = "duplicate"
DROP_MISMATCHED = "mismatched"

ROLE_PRIMARY = "primary"
ROLE_HEDGE = "hedge"
ROLE_RETRY = "retry"

# First and longest pause before the next attempt on a partition without a usable replica.
RETRY_PAUSE_MS = 20.0
RETRY_PAUSE_MAX_MS = 1_000.0
# A second hedge covers a hedge that straggles itself: with 5 stragglers in 100 legs, that
# happens to one query in eight of 50 legs.
MAX_HEDGES = 2
MAX_RESTARTS = 2
# Timers that are due within this time are handled together.
TIMER_SLACK_MS = 1.0
RESTART_MIN_TIME_LEFT = 0.5

HEDGE_MIN_SAMPLES = 20
# Buckets grow by 5 %, from 0.1 ms to about 10 minutes.
BUCKET_GROWTH = 1.05
BUCKET_COUNT = 320
BUCKET_LOW_MS = 0.1
# The histogram is halved at this weight, so that it follows a change within about as many legs.
HISTOGRAM_MAX_WEIGHT = 1_000.0
QUANTILE_EVERY = 32
# Standard errors by which the quantile is estimated low.
QUANTILE_ERRORS = 2.0
# Share of the burst that the first hedges leave untouched, and the age, in hedge delays, at which
# a leg may use all of it. When the budget is short, the legs that have waited longest get it.
BUDGET_RESERVE = 0.5
RESERVE_AGE = 5.0
# A hedge that had no budget or no replica is looked at again after this part of the delay.
HEDGE_AGAIN = 0.25
