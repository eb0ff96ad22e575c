"""Constants of request dispatch."""

# Time before the latency target at which a fan-out is answered with the parts received so far. It
# covers connection setup, the caller's request and the answer (3 ms each, with jitter) and merging.
# 14 ms on open connections lowered the score by 0.008 (cdq-search, mean of three days).
ANSWER_MARGIN_MS = 22.0
# The same for a caller whose round trip is known, if that is shorter: the round trips of a request
# on a new connection and another one for jitter, which grows with the distance, and the time for
# merging.
CALLER_ROUND_TRIPS = 3.0
ANSWER_SLACK_MS = 4.0
# Processor time of an answer, from the request to the write, on one full core. Slower instances
# answer early by the difference.
ANSWER_COST_MS = 1.2
# Weight of a new sample in the moving average of the delay with which early answers are due, and
# the longest delay that is taken into account.
TIMER_DELAY_WEIGHT = 0.2
TIMER_DELAY_MAX_MS = 60.0
# Minimum time that legs have before the early answer, in hedge delays.
EARLY_ANSWER_MIN_HEDGE_DELAYS = 1.3
# A request counts as a retry by the caller if its time left is at least this much shorter than the
# longest one seen on the route.
CALLER_RETRY_MIN_WAIT_MS = 20.0
# The longest time left that a customer's callers have on a route is that of the current period of
# this length and of the one before.
FULL_TIME_PERIOD_MS = 60_000.0
# Initial backoff before endpoints that shed a leg are tried again; doubled each time.
SHED_BACKOFF_MS = 40.0
# Maximum Retry-After, as a share of the time that the caller has left.
RETRY_AFTER_MAX_SHARE = 1 / 3
# Time until the platform's load balancer stops sending requests to an instance that is not ready:
# two failed checks at intervals of 1 s.
BALANCER_REMOVAL_MS = 2_000.0
# Minimum Retry-After.
RETRY_AFTER_MIN_MS = 50.0
# Time before the caller's deadline at which a request ends, so that the answer arrives in time.
DEADLINE_MARGIN_MS = 15.0
# Expected latency of a leg before the first reply, as a share of the latency target.
INITIAL_EXPECTED_SHARE_FAN_OUT = 0.14
INITIAL_EXPECTED_SHARE_PLAIN = 0.28
# Hedge delay before the first reply, as a share of the latency target.
INITIAL_HEDGE_SHARE_FAN_OUT = 0.35
INITIAL_HEDGE_SHARE_PLAIN = 0.7
# Quantile of leg latency that the hedge delay estimates.
HEDGE_QUANTILE = 0.92
# A fan-out of more legs than this is hedged only when at least half of its legs are back: while
# most are missing, the cause is common to them. A leg is then slow at this multiple of the time
# that half of the legs took, or at the hedge delay if that is shorter.
HEDGE_WAVE_LEGS = 3
HEDGE_RELATIVE_FACTOR = 2.0
# Relative step of the quantile estimate per sample.
HEDGE_QUANTILE_STEP = 0.04
# Weight of a new sample in the expected latency.
LATENCY_SAMPLE_WEIGHT = 0.02
# Samples are clipped to this multiple of the expected latency, so that stragglers do not raise it.
STRAGGLER_CLIP_FACTOR = 3.0
# Interval at which a query checks for legs to hedge.
HEDGE_CHECK_INTERVAL_MS = 15.0
# Minimum hedge delay: a round trip between zones.
HEDGE_DELAY_MIN_MS = 12.0
# Time that an abandoned leg has to finish, so that its connection can be reused. Endpoints must not
# work for more than 500 ms for a caller that has disconnected.
ABANDONED_LEG_GRACE_MS = 250.0
# Share of the published budget ratio that is used; the rest covers requests that drop out of the
# budget window.
BUDGET_RATIO_SHARE = 0.9
# Shares of the published fixed budget that all instances together hold as bursts and refill evenly
# over the published window. Their sum is below 1 to allow for instances that are not yet counted.
BUDGET_BURST_SHARE = 0.45
BUDGET_STEADY_SHARE = 0.35
# Time that a request is expected to take at most, in latency targets: it is refused if the process
# stops sooner. A request that cannot be repeated must not be cut off.
EXPECTED_TARGETS = 1.0
EXPECTED_TARGETS_NOT_IDEMPOTENT = 3.0
# Minimum and random spread of Retry-After when no endpoint is reachable.
RETRY_AFTER_MS = 300.0
RETRY_AFTER_SPREAD_MS = 300.0
# Maximum number of endpoints or services listed in the log line of a failed request.
LOGGED_NAMES_MAX = 6
# Time without any work after which this process counts as paused, and the time after it within
# which news of changes has arrived: a poll of a relay that is lost, and another one.
PAUSE_MIN_MS = 1_000.0
NEWS_AFTER_PAUSE_MS = 2_000.0
