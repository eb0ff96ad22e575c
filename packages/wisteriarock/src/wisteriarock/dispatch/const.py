"""Times and weights of dispatch."""

# Time before the latency target at which a fan-out is answered with the parts that are there: the
# way of the caller's connection, of its request and of the answer (3 ms each), with jitter, and the
# time to merge. 14 ms on open connections cost 0.008 of worth (cdq-search, mean of three days).
ANSWER_MARGIN_MS = 22.0
# Least time that the early answer leaves to the legs, in hedge delays.
EARLY_ANSWER_MIN_HEDGE_DELAYS = 1.3
# Difference from the longest time seen on a route above which a request is a caller's repeat.
CALLER_RETRY_MIN_WAIT_MS = 20.0
# First pause before a leg that every endpoint shed is sent again; doubled each time.
SHED_BACKOFF_MS = 40.0
# Share of its time left up to which a caller waits as told.
RETRY_AFTER_MAX_SHARE = 1 / 3
# Time that the platform's balancer takes to leave out an instance that is not ready: two misses at
# intervals of 1 s.
BALANCER_REMOVAL_MS = 2_000.0
# Least time after which a refused caller is told to come back.
RETRY_AFTER_MIN_MS = 50.0
# Time before the caller's deadline at which a request is given up, so that the answer arrives.
DEADLINE_MARGIN_MS = 15.0
# Share of the latency target expected of a leg before any reply was seen.
INITIAL_EXPECTED_SHARE_FAN_OUT = 0.14
INITIAL_EXPECTED_SHARE_PLAIN = 0.28
# Hedge delay before any reply was seen, as a share of the latency target.
INITIAL_HEDGE_SHARE_FAN_OUT = 0.35
INITIAL_HEDGE_SHARE_PLAIN = 0.7
# Share of legs that take less than the hedge delay.
HEDGE_QUANTILE = 0.92
# Relative step of the quantile estimate for each sample.
HEDGE_QUANTILE_STEP = 0.04
# Weight of a new sample in the expected latency.
LATENCY_SAMPLE_WEIGHT = 0.02
# Samples above this many times the expectation are stragglers and do not raise it.
STRAGGLER_CLIP_FACTOR = 3.0
# Interval at which a query looks again for legs to hedge.
HEDGE_CHECK_INTERVAL_MS = 15.0
# Least hedge delay: a round trip between zones.
HEDGE_DELAY_MIN_MS = 12.0
# Time for which a leg that is not needed any more may finish, so that its connection can be kept.
# Endpoints must not work for a caller that left for more than 500 ms.
ABANDONED_LEG_GRACE_MS = 250.0
# Share of the published budget ratio that is used, for requests that fall out of the window.
BUDGET_RATIO_SHARE = 0.9
# Shares of the published fixed budget that all instances together hold as bursts, and gain evenly
# over the published window. Their sum stays below 1, for instances that are not counted yet.
BUDGET_BURST_SHARE = 0.45
BUDGET_STEADY_SHARE = 0.35
# Time after which a caller should come back when no endpoint can be reached, and its spread.
RETRY_AFTER_MS = 300.0
RETRY_AFTER_SPREAD_MS = 300.0
# Endpoints or services that a log line on a failed request names at most.
LOGGED_NAMES_MAX = 6
