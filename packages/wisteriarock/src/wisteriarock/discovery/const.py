"""Timing constants of discovery."""

# Entries whose leases lapsed during an outage of the store reappear within about 2 s of its return.
# The published bound for noticing that an endpoint is gone is 3 s.
LAPSE_GRACE_MS = 2_000.0
# The store removes an entry after three missed heartbeats of 1.2 s, so a removal this soon after an
# outage may be a lapse.
LAPSE_WINDOW_MS = 4_000.0
# Longest wait of a watch call. A connection that went silent must be noticed within the published
# stability window of 4 s.
WATCH_WAIT_MS = 3_000
# Pause after a batch of changes, so that the next watch call returns several at once. The bounds
# for changes of the configuration and of endpoints are 3 s.
COALESCE_MS = 250.0
# A watch that is unanswered this long after its wait has ended is on a dead connection.
WATCH_SLACK_MS = 500.0
# A read of the store takes 4 ms, and 50 times as long when the store is slow.
READ_TIMEOUT_MS = 600.0
# Backoff after a failed call to the store: doubled up to the maximum, with jitter.
RETRY_BACKOFF_MIN_MS = 50.0
RETRY_BACKOFF_MAX_MS = 400.0
# Number of instances up to which that maximum applies; beyond, it grows in proportion, for all but
# relays, as the store counts refused calls as well.
RETRY_BACKOFF_INSTANCES = 25
RETRY_BACKOFF_LIMIT_MS = 2_500.0
# Wait of the first watch after a full load, which returns at once with what has changed since.
CATCH_UP_WAIT_MS = 1
# Longest random time that an instance which is no relay waits for one to read the store after its
# return from an older copy, so that the instances do not all read it at once.
RETURN_SPREAD_MS = 1_000.0
# Time after such a return for which an evacuation that the copy does not show is still obeyed. What
# operators and endpoints wrote is written again by then.
RETURN_SETTLE_MS = 2_000.0
# Time for which it is remembered that an endpoint has left or an evacuation has ended, as a copy of
# the store may show them again.
DEPARTED_TTL_MS = 60_000.0
DEPARTED_MAX = 2_000
# Interval at which an instance that follows relays checks that it still receives changes from them.
FEED_CHECK_INTERVAL_MS = 100.0
# Share of the time allowed for an evacuation over which the services of the zone move. The news of
# it may take up to half of that time if a relay is lost meanwhile.
EVACUATION_SPREAD_SHARE = 0.2
# Share of that time for which a service stays whose endpoints in other zones are all cold.
EVACUATION_WAIT_SHARE = 0.4
