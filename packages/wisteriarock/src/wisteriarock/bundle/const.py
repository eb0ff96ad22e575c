"""Names, limits and ranges of a bundle."""

import re
from typing import NamedTuple

CONTENT_FORMAT = 1
SIGNATURE_LABEL = "wisteriarock-bundle-envelope-v1"

HEAD_KEY = "bundle/head"
CONTENT_KEY_PREFIX = "bundle/content/"
ENVELOPE_KEY_PREFIX = "bundle/envelope/"
PROPOSAL_KEY_PREFIX = "bundle/proposal/"

ALL_SHARDS = "*"
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")

# The platform stores values of up to 1 MB; a content must fit into one.
MAX_CONTENT_BYTES = 1_000_000
# Content and envelope together, as peers and the bundle file carry them.
MAX_BODY_BYTES = MAX_CONTENT_BYTES + 10_000
MAX_REVISION = 2**53 - 1

WATCH_ROLE = "bundle-watch"
WATCHERS_PER_ZONE = 2
# A connection that went silent delays a new head by this time and one call time-out. With the
# default time-out of 1 s that is half of the 8 s in which a bundle must be in force.
WATCH_WAIT_MS = 3_000
BACKOFF_FIRST_MS = 100
# After an outage this wait may pass twice, as the platform client holds back calls for up to 2 s
# as well. Both together leave time for the fetch and a heartbeat within the 8 s of a roll-out.
BACKOFF_MAX_MS = 2_000
# The platform and the peers get this long before the bundle file is used.
FILE_WAIT_MS = 1_500
# Peers of each kind (own zone, other zones) that are asked before the next attempt.
MAX_PEERS_PER_ROUND = 2
# A peer that has been silent for this long is forgotten when a new one is heard.
FORGET_PEER_MS = 600_000
# Time of verification after which other work on the loop may run.
SLICE_MS = 1
# Digests that failed verification and are not fetched again.
MAX_REFUSED = 64

ATTR_REVISION = "revision"
ATTR_DIGEST = "digest"
ATTR_STATE = "state"


class Limit(NamedTuple):
    """Allowed values of a number, both ends included."""

    low: float
    high: float


# A kind that costs nothing could not be limited, hence the lower ends above zero.
KIND_LIMITS = {
    "cost_per_leg": Limit(0.001, 1_000_000),
    "deadline_max_ms": Limit(1, 600_000),
}
CALLER_LIMITS = {
    "cost_per_s": Limit(0.001, 1_000_000_000),
    "cost_burst": Limit(0.001, 1_000_000_000),
}
ENDPOINT_LIMITS = {
    "port": Limit(1, 65_535),
    "slots": Limit(1, 10_000),
    "connection_cap": Limit(1, 100_000),
    "connect_cost_ms": Limit(0, 60_000),
}
BUDGET_LIMITS = {
    "extra_legs_per_100": Limit(0, 100),
    "extra_legs_burst": Limit(0, 1_000_000),
}
EARLY_COVERAGE = Limit(0.001, 1)
