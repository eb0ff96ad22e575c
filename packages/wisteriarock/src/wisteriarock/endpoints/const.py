"""Constants of the endpoints package."""

ATTR_CONNECTIONS = "connections"
ATTR_QUEUE = "queue"

LEG_PATH = "/leg"
REPORT_PATH = "/report"

# No endpoint answers faster than this, so a leg with less time left is not sent.
MIN_LEG_MS = 1.0
# Share of the mean service time of a kind below which no leg of that kind is expected to be
# answered. If service times are log-normal with sigma 0.4, fewer than 1 in 1,000 are shorter.
MIN_SERVICE_TIME_SHARE = 0.25
# Age of the last sample beyond which the minimum service time no longer applies.
SERVICE_TIME_MAX_AGE_MS = 5_000.0
# Minimum interval between updates to the other instances if only the load changed.
LOAD_VIEW_INTERVAL_MS = 250.0
# Consecutive reports that fail on a new connection before an endpoint counts as gone.
GONE_AFTER_REPORT_FAILURES = 6
# Time for replies in flight to arrive after a probe, added to the probe's round trip.
PROBE_GRACE_MS = 20.0
# A reply that was sent before a report arrives at most this long after the report.
REPLY_JITTER_MS = 5.0
# Wait between probes while the endpoint may be working on every silent leg; it doubles each time.
PROBE_REPEAT_MIN_MS = 50.0
PROBE_REPEAT_MAX_MS = 1_000.0
# How long an endpoint's reports are distrusted after one with a wrong number of busy slots.
REPORT_DISTRUST_MS = 60_000.0
# A leg that was written this long before a report should be counted in it.
REPORT_START_LAG_MS = 200.0
# A leg that ended this long before a report should no longer be counted in it.
REPORT_END_LAG_MS = 1_000.0
# Without a trusted report, a leg counts as lost this long after its silence bound. Together with
# the probe, this stays below the limit of 1 s for replacing a silent connection.
UNTRUSTED_REPORT_WAIT_MS = 600.0
# Closing the connection of a non-idempotent leg early gains nothing, as the leg can't be resent,
# and loses its answer if the report lagged: with a lag of 1.5 s and stragglers, 5 of 130 such legs
# ended as lost.
NON_IDEMPOTENT_WAIT_MS = 3_000.0
# Consecutive failed probes after which the connections of silent legs are closed.
MAX_PROBE_FAILURES = 2
# If a report fails this long after its timeouts have passed, this process was delayed.
PROCESS_LAG_MS = 100.0
# Width of the random variation of a poll's interval, relative to the report interval; it spreads
# the polls of different endpoints.
POLL_JITTER_SHARE = 0.2
# Weight of a new sample in the moving averages of the service time.
SERVICE_TIME_EWMA_WEIGHT = 0.1
# Mean deviations added to the mean service time to get the silence bound.
SERVICE_TIME_DEVIATIONS = 4.0
# Reports lag: one that says ready does not revoke a `draining` reply younger than this.
DRAINING_REPLY_VALID_MS = 5_000.0
# Times that a leg is sent again after its connection went silent.
MAX_RESENDS = 2
# Interval of checks for due polls and time-dependent state changes.
TICK_MS = 100.0
