"""Constants of endpoint selection."""

# Weight of a new sample in the moving averages of latency ratio and error rate.
OBSERVATION_WEIGHT = 0.3
# Time constant with which observations decay (to 1/e), so that an endpoint that was slow or failing
# is tried again.
OBSERVATION_DECAY_MS = 3_000.0
# Multiple of the expected latency after which an unanswered leg marks its endpoint as stalled.
STALL_LATENCY_FACTOR = 2.0
# Shortest stall that is acted on: a few round trips. Endpoints pause for 200 to 250 ms.
STALL_MIN_MS = 30.0
# Penalty for a stalled endpoint, in expected latencies.
STALL_PENALTY_FACTOR = 6.0
# Penalty for an endpoint on which every leg fails, in expected latencies.
ERROR_PENALTY_FACTOR = 5.0
# Penalty for an endpoint in another zone: the round trip (4.4 to 4.9 ms one way), doubled because
# traffic between zones is billed. The score was 0.005 lower with 10 ms and 0.004 lower with 4 ms
# (cdq-search, three days).
CROSS_ZONE_PENALTY_MS = 18.0
# Penalty for an endpoint to which no connection is idle: opening one takes a round trip and up to
# 6 ms at the endpoint.
CONNECT_PENALTY_MS = 8.0
# Slow start: a leg takes 1.6 times as long on an endpoint that has just started.
COLD_FACTOR = 1.6
# Random share of the expected latency added to each estimate, so that instances do not all select
# the same endpoint.
JITTER_SHARE = 0.2
# Time without a reply after which an endpoint is unreachable; pauses last at most 250 ms.
UNREACHABLE_AFTER_MS = 700.0
# Consecutive failed connection attempts after which an endpoint is unreachable.
UNREACHABLE_CONNECT_FAILURES = 2
# Interval between attempts to reach an unreachable endpoint.
PROBE_INTERVAL_MS = 400.0
# Time without any reply from a zone after which its endpoints are unreachable. Endpoints pause
# for 250 ms independently of each other, so several silent at the same time indicate a partition.
ZONE_SILENCE_MS = 300.0
# Minimum number of silent endpoints for a zone to count as lost.
ZONE_SILENT_ENDPOINTS_MIN = 4
# Maximum number of endpoints of a lost zone that are probed at a time.
ZONE_PROBES_MAX = 3
# Minimum share of unreachable endpoints in a zone that an isolated instance reports as lost.
LOST_ZONE_UNREACHABLE_SHARE = 0.5
# Random share of the expected latency if the estimate knows the load or the speed of endpoints: the
# news of each instance is of another age, which spreads the choices as well.
EVEN_JITTER_SHARE = 0.1
# The same as `STALL_LATENCY_FACTOR` and `STALL_MIN_MS` if the estimate knows the load or the speed,
# for an endpoint that has replied to nothing since: a slow phase of some hundreds of milliseconds
# is avoided for its rest.
EVEN_STALL_LATENCY_FACTOR = 1.3
EVEN_STALL_MIN_MS = 15.0
# Endpoints of a service that are compared for a leg, drawn at random from a larger service, so that
# many instances do not agree on the best one. It also bounds the time that a choice takes.
EVEN_CANDIDATES_MAX = 8
# Requests that an endpoint reports end within about the expected latency, and those that wait for a
# slot later by this factor for each one per slot.
QUEUE_DECAY_FACTOR = 4.0
# Weight of a new report in the usual load, and the share of it that an old report stands for: the
# endpoint with the oldest report would otherwise seem to be the idlest. The usual load decays as
# well, so that an endpoint is tried again.
LOAD_WEIGHT = 0.1
USUAL_LOAD_SHARE = 0.5
USUAL_LOAD_DECAY_MS = 10_000.0
# Part of the usual load that is the one of the whole service; the rest is the endpoint's own, which
# would draw the legs of all instances by what it has said long ago.
SERVICE_LOAD_PART = 0.75
# Time constant with which the usual load of a service forgets, where reports are few.
SERVICE_LOAD_MEMORY_MS = 3_000.0
# Time constant with which a reported pace decays (to 1/e) towards the usual pace.
PACE_DECAY_MS = 250.0
# Multiple of the usual pace above which the reported one decays with `OBSERVATION_DECAY_MS`.
PACE_FAULT_RATIO = 3.0
# Range in which reported figures are taken for true.
PACE_MIN = 0.7
PACE_MAX = 20.0
REPORTED_LOAD_MAX_PER_SLOT = 8.0
# Age after which a report counts as too old; the estimate has forgotten it long before.
REPORT_MAX_AGE_MS = 2_000.0
# Part of the average ratio of observed to explained latency that is left to chance, and the clip of
# a sample. Work differs by half from request to request.
CHANCE_RATIO = 1.0
UNEXPLAINED_MAX = 5.0
# Weight of a new sample in the lasting speed, the clip of a sample and the range of the speed.
SPEED_WEIGHT = 0.05
FIRST_PACE_WEIGHT = 0.5
SPEED_SAMPLE_MAX = 3.0
SPEED_MIN = 0.5
SPEED_MAX = 2.0
# Multiple of the latency that speed and report lead to expect, beyond a pause, from which a reply
# contradicts them: work differs by half from request to request, so that chance does it rarely.
CONTRADICTION_RATIO = 3.0
# Longest pause of an endpoint, which says nothing about the legs after it.
PAUSE_MAX_MS = 250.0
# Time constant with which the observations of a contradicted endpoint decay (to 1/e).
CONTRADICTED_DECAY_MS = 5_000.0
