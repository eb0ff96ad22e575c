"""Weights and times of the choice of an endpoint."""

# Weight of a new sample in the moving averages of slowness and errors.
OBSERVATION_WEIGHT = 0.3
# Time after which an observation has lost two thirds of its weight, so that a slow or failing
# endpoint is tried again.
OBSERVATION_DECAY_MS = 3_000.0
# A leg that has taken this many times the expected latency marks its endpoint as stalled.
STALL_LATENCY_FACTOR = 2.0
# Endpoints pause for 200 to 250 ms; a stall is not worth acting on below a few round trips.
STALL_MIN_MS = 30.0
# Cost, in expected latencies, of choosing a stalled endpoint.
STALL_PENALTY_FACTOR = 6.0
# Cost, in expected latencies, of an endpoint at which every leg fails.
ERROR_PENALTY_FACTOR = 5.0
# Cost of an endpoint in another zone: the round trip (4.4 to 4.9 ms one way) and as much again, as
# bytes between zones are priced. 10 ms earned 0.005 less, 4 ms 0.004 less (cdq-search, three days).
CROSS_ZONE_PENALTY_MS = 18.0
# Slow start: work takes 1.6 times as long on an endpoint that has just started.
COLD_FACTOR = 1.6
# Share of the expected latency added at random, so that instances do not choose in step.
JITTER_SHARE = 0.2
# Silence after which an endpoint is unreachable; pauses last 250 ms at most.
UNREACHABLE_AFTER_MS = 700.0
# Failed connection attempts in a row after which an endpoint is unreachable.
UNREACHABLE_CONNECT_FAILURES = 2
# Pause between attempts to reach an unreachable endpoint.
PROBE_INTERVAL_MS = 400.0
# Silence of a whole zone after which its endpoints are unreachable. Pauses of 250 ms come to each
# endpoint at its own time, so several of them silent at once are a partition.
ZONE_SILENCE_MS = 300.0
# Endpoints of a zone that have to be silent together.
ZONE_SILENT_ENDPOINTS_MIN = 4
# Endpoints of an unreachable zone that are tried at a time.
ZONE_PROBES_MAX = 3
# Share of a zone's endpoints out of reach from which a cut-off instance reports the zone as lost.
LOST_ZONE_UNREACHABLE_SHARE = 0.5
