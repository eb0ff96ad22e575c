"""Keys, limits and timing of bundles, and the allowed ranges of their values."""

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

# The platform stores values of up to 1 MB, and a content is stored as one value.
MAX_CONTENT_BYTES = 1_000_000
# Content and envelope together, as sent by peers and stored in the bundle file.
MAX_BODY_BYTES = MAX_CONTENT_BYTES + 10_000
MAX_REVISION = 2**53 - 1

WATCH_ROLE = "bundle-watch"
WATCHERS_PER_ZONE = 2
# A silent connection delays the detection of a new head by this time plus one call timeout. With
# the default timeout of 1 s, that is half of the 8 s within which a bundle must be in force.
WATCH_WAIT_MS = 3_000
RETRY_BACKOFF_MIN_MS = 100
# After an outage, this delay may add up with the platform client's own backoff of up to 2 s. The
# sum leaves time for the fetch and one heartbeat within the 8 s allowed for a rollout.
RETRY_BACKOFF_MAX_MS = 2_000
# Time for the platform and the peers to supply a bundle before the bundle file is used.
FILE_FALLBACK_DELAY_MS = 1_500
# Peers asked per attempt, separately for the local zone and for all other zones.
MAX_PEERS_PER_ROUND = 2
# When a new peer appears, peers without a heartbeat for this long are removed.
PEER_HEAD_EXPIRY_MS = 600_000
# Verification yields to the event loop after running for this time.
VERIFY_SLICE_MS = 1
# Digests of refused bundles, which are not fetched again; the oldest are removed first.
MAX_REFUSED_DIGESTS = 64

ATTR_REVISION = "revision"
ATTR_DIGEST = "digest"
ATTR_STATE = "state"


class ValueRange(NamedTuple):
    """Inclusive range of allowed values of a number."""

    low: float
    high: float


# Minimum costs are above zero, as the rate of requests without a cost could not be limited.
KIND_RANGES = {
    "cost_per_leg": ValueRange(0.001, 1_000_000),
    "deadline_max_ms": ValueRange(1, 600_000),
}
CALLER_RANGES = {
    "cost_per_s": ValueRange(0.001, 1_000_000_000),
    "cost_burst": ValueRange(0.001, 1_000_000_000),
}
ENDPOINT_RANGES = {
    "port": ValueRange(1, 65_535),
    "slots": ValueRange(1, 10_000),
    "connection_cap": ValueRange(1, 100_000),
    "connect_cost_ms": ValueRange(0, 60_000),
}
BUDGET_RANGES = {
    "extra_legs_per_100": ValueRange(0, 100),
    "extra_legs_burst": ValueRange(0, 1_000_000),
}
EARLY_MIN_COVERAGE_RANGE = ValueRange(0.001, 1)
