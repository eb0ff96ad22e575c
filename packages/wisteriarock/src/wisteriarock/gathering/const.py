"""Constants of the choice of gatherers and of fragments."""

# Connections to each endpoint below which an instance does not query the endpoints itself.
DIRECT_CONNECTIONS_MIN = 2.0
# Processor time of a leg, and the longest time that one instance may spend on the legs of a query:
# an absolute one, and a share of the shortest latency target of the fan-outs.
LEG_COST_MS = 0.16
DIRECT_COST_MAX_MS = 15.0
DIRECT_COST_TARGET_SHARE = 0.15
# Minimum number of gatherers of a zone, so that the loss of one is noticed by few queries.
GATHERERS_MIN = 2
# Processing capacity of the gatherers of a zone: a minimum in cores, and a share of the zone's.
GATHERER_CORES_MIN = 1.0
GATHERER_CORES_SHARE = 0.25
# Share of the fixed budget for extra legs that instances other than gatherers may hold. They hold
# one token each, or none if there are more of them than that share covers.
OTHERS_BUDGET_SHARE = 0.45
# Share of the fixed budget that they gain evenly over the window.
OTHERS_STEADY_SHARE = 0.05
# Share of the rate limit of an endpoint for instances other than the gatherers of its shard, which
# query it only when these fail.
OTHERS_LIMIT_SHARE = 0.1
# Share of the fixed budget in use; the rest allows for instances that are not yet counted.
BUDGET_USED_SHARE = 0.8
# Parts of a gatherer's share that are held as a burst and refilled evenly over the window.
GATHERER_BURST_SHARE = 0.55
# Time within which a gatherer must accept a fragment; after that the legs are sent from here.
ACCEPT_TIMEOUT_MS = 40.0
# Time for which a gatherer that failed gets no further fragments.
SUSPENSION_MS = 1_000.0
# Time before the early answer of a query at which its fragments are due.
RETURN_MARGIN_MS = 6.0
# Time after the early answer of a query at which a missing fragment counts as overdue.
OVERDUE_MS = 20.0
# Time that an abandoned fragment has to finish, so that its connection can be reused.
ABANDONED_GRACE_MS = 100.0
# Connections from one instance to one gatherer, and the idle time after which one is not reused. A
# listener closes connections that have been idle for 15 s.
CONNECTIONS_MAX = 32
IDLE_LIMIT_MS = 10_000.0
# Largest request body that is passed to a gatherer.
REQUEST_BODY_MAX_BYTES = 64 * 1024
FRAGMENT_PATH = "/fragment"
