"""Names and numbers of the endpoints concern."""

ATTR_CONNECTIONS = "connections"
ATTR_QUEUE = "queue"

PATH_LEG = "/leg"
PATH_REPORT = "/report"

# No endpoint answers in less than this, so a leg with less time left is not sent.
MIN_LEG_MS = 1.0
# Share of the usual time of a kind that no leg of it falls below, while the usual time is fresh.
# Service times spread: fewer than 1 in 1,000 lie below it if they are log-normal with sigma 0.4.
LEAST_SHARE = 0.25
USUAL_TIME_FRESH_MS = 5_000.0
# Changes of load alone are told to the other instances at most this often.
LOAD_VIEW_INTERVAL_MS = 250.0
# Reports in a row that fail on a new connection before an endpoint counts as gone.
GONE_AFTER_REPORTS = 6
# Time for replies in flight to arrive after a probe, added to the probe's round trip.
PROBE_GRACE_MS = 20.0
# A reply that left before a report arrives this long after the report at the latest.
REPLY_JITTER_MS = 5.0
# Pauses between probes while the endpoint may be working on every leg; they double.
PROBE_REPEAT_MS = 50.0
PROBE_REPEAT_MAX_MS = 1_000.0
# How long reports of an endpoint are not trusted after one that was wrong about its slots.
DISTRUST_MS = 60_000.0
# A leg that ran this long at a poll should be in the report; one that ended this long ago not.
REPORT_SETTLED_MS = 200.0
REPORT_IDLE_MS = 1_000.0
# Without a trusted report, a leg counts as lost after this time beyond its silence bound. With
# the probe it stays below the second in which a silent connection is to be replaced.
UNTRUSTED_WAIT_MS = 600.0
# A leg that may run only once gains nothing from an early end, and loses its answer if the report
# lagged: in a trial with a lag of 1.5 s and stragglers, 5 of 130 such legs ended as lost.
ONCE_WAIT_MS = 3_000.0
# Failed probes in a row after which the silent legs are given up.
PROBE_ATTEMPTS = 2
# A report that failed this much later than its limits allow was not late: this process was.
OWN_LAG_MS = 100.0
# Share of the report interval by which polls of different endpoints are spread.
POLL_JITTER = 0.2
# Weight of a new sample in the usual time of a leg, and the deviations added to the mean.
USUAL_TIME_WEIGHT = 0.1
USUAL_TIME_DEVIATIONS = 4.0
# Reports lag, so one that says ready does not revoke a `draining` reply that is newer than this.
DRAINING_REPLY_HOLDS_MS = 5_000.0
# A leg is sent again after a silent connection at most this often.
MAX_RESENDS = 2
# Resolution of report polls and of time-driven changes of state.
TICK_MS = 100.0
