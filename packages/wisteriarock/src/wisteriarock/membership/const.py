"""Constants of membership."""

# A silent member that the platform does not list is forgotten after this time.
FORGET_AFTER_MS = 60_000.0
# Bound on the wait for a former holder that stays silent about an endpoint: holding is an
# optimisation, so two instances that disagree must not leave an endpoint unused for long.
MAX_HANDOVER_FACTOR = 2.0
# Stopped runs of instances whose tickets another one keeps; tickets end after minutes.
MAX_TICKET_SUCCESSORS = 1_000
CLOCK_WATCH_INTERVAL_MS = 100.0
HEARTBEAT_PATH = "/peer/v1/heartbeat"
MAX_HEARTBEAT_BYTES = 1_000_000
# Each instance spreads its heartbeats by this share of the interval.
HEARTBEAT_JITTER = 0.2
# A peer that was heard within this share of the interval is not sent a heartbeat.
HEARD_LATELY = 0.7
OTHER_ZONE_FACTOR = 2
# An older copy of the platform's list does not prove that a zone has no entry instance.
LIST_MAX_AGE_MS = 10_000.0
# A change is announced at once, but not more often than this.
MIN_ANNOUNCE_INTERVAL_MS = 50.0
EVENT_CLOCK_GAP = "clock_gap"
EVENT_ASSIGNMENT = "endpoints_assigned"
EVENT_MEMBER = "member_changed"
EVENT_PLATFORM_LIST = "platform_list"
