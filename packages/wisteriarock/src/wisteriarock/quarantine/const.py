"""Bounds of the quarantine."""

# Endpoints that may end under one request; after that it is sent to no other endpoint.
ENDS_MAX = 3
# Endpoints that may end under a request that none has survived; after that its legs under way are
# dropped as well.
ENDS_WITHOUT_SURVIVOR_MAX = 2
# Time for which fan-outs of a route begin with a canary, and for which a request is refused, since
# the last endpoint that ended.
ROUTE_TTL_MS = 10_000.0
REQUEST_TTL_MS = 30_000.0
# Maximum number of requests that are remembered; the oldest ones are forgotten.
REQUESTS_MAX = 512
# Time after its quarantine for which a request is still tried on one endpoint first.
PROBATION_MS = 300_000.0
# Time for which a relay passes a notice on, and the maximum number of notices in an answer.
NOTICE_TTL_MS = 3_000.0
NOTICES_MAX = 64
