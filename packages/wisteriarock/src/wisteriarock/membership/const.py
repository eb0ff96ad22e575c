"""Constants of membership."""

# A silent member that is missing from the platform's list is removed after this time.
SILENT_MEMBER_TTL_MS = 60_000.0
# Longest wait for a live former holder that does not release an endpoint, as a multiple of
# `handover_ms`. A single holder is an optimisation, so two instances that disagree about it must
# not leave the endpoint unused for long.
MAX_HANDOVER_FACTOR = 2.0
# Stopped runs of instances whose ticket successor is recorded; tickets expire after minutes.
MAX_TICKET_SUCCESSORS = 1_000
CLOCK_CHECK_INTERVAL_MS = 100.0
HEARTBEAT_PATH = "/peer/v1/heartbeat"
MAX_HEARTBEAT_BYTES = 1_000_000
# Random variation of the heartbeat interval, as a share of the interval.
HEARTBEAT_JITTER_SHARE = 0.2
# A peer is sent no heartbeat within this share of the interval after its last heartbeat.
RECENT_HEARTBEAT_SHARE = 0.7
OTHER_ZONE_INTERVAL_FACTOR = 2
# An older copy of the platform's list is not evidence that a zone has no entry instance.
INSTANCE_LIST_MAX_AGE_MS = 10_000.0
# Changes are announced immediately, but no more often than this.
MIN_ANNOUNCE_INTERVAL_MS = 50.0
EVENT_CLOCK_GAP = "clock_gap"
EVENT_ASSIGNMENT = "endpoints_assigned"
EVENT_MEMBER = "member_changed"
EVENT_PLATFORM_LIST = "platform_list"
