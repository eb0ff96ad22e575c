"""Constants of the rate limits of endpoints."""

# Share of a named limit that all instances together use; the rest allows for instances that are not
# yet counted.
RATE_SHARE = 0.9
# Requests that all instances together may send at once: those of this time, and a fixed number.
BURST_S = 1.0
BURST_FIXED = 2.0
# Rate used for a lower limit: without any request, the end of a limit would not be noticed.
RATE_MIN_PER_S = 0.1
# Share of the bound of a cold endpoint that is divided into whole requests. The rest allows for a
# third more instances than are known, or for one zone in which two instances query the endpoint.
WHOLE_SHARE = 0.75
# Standard deviations by which the mean of shares that are rounded at random is below the bound: a
# second above it is rarer than 1 in 10,000.
CHANCE_DEVIATIONS = 6.0
# Part of that mean that accrues within the second; the rest is held as a burst.
CHANCE_RATE_SHARE = 0.55
# Longest wait for a connection after which a leg is still sent to a cold endpoint.
COLD_LEG_WAIT_MAX_MS = 250.0
# Time after which an endpoint that has become warm has no limit, and the increase of its limit over
# that time, in stated rates.
WARM_RAMP_MS = 1_000.0
WARM_RAMP_FACTOR = 9.0
