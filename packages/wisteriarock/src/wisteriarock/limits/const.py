"""Constants of the rate limits that endpoints name."""

# Share of a named limit that all instances together use; the rest allows for instances that are not
# yet counted.
RATE_SHARE = 0.9
# Requests that all instances together may send at once: those of this time, and a fixed number.
BURST_S = 1.0
BURST_FIXED = 2.0
# Rate used for a lower limit: without any request, the end of a limit would not be noticed.
RATE_MIN_PER_S = 0.1
