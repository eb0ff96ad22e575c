"""Constants of the order of service under overload."""

# Share of the tightest latency target that the processing of the legs under way may take.
PROCESSOR_TARGET_SHARE = 0.5
# Requests that may be under way for each slot of the endpoints of a service: one that runs, and one
# that keeps the slot busy while a reply is on its way.
PLACES_PER_SLOT = 2.0
# Time for which a service counts as short of room after the last sign of it.
SHORTAGE_MS = 3_000.0
# Waiting requests of one customer, and of all customers of a room.
WAITING_PER_CUSTOMER_MAX = 16
WAITING_MAX = 256
# Customers that a room remembers; the ones that were served longest ago are forgotten first.
CUSTOMERS_MAX = 1_024
# Time constant of the counts of requests asked and served.
COUNT_DECAY_MS = 10_000.0
# A customer that is served less often than this share of what all are goes before all ranks. The
# guarantee is a quarter.
STARVED_SHARE = 0.5
# Requests that a customer must have asked before it can count as starved.
STARVED_ASKED_MIN = 4.0
# Weight of a new sample in the pace of a room.
PACE_WEIGHT = 0.1
# Share of the budget for extra legs below which it is short.
EXTRA_RESERVE_SHARE = 0.25
# Time constant of the counts of legs. A customer with more than this multiple of the legs that the
# others have for their weight gets no extra legs while their budget is short.
LEGS_DECAY_MS = 3_000.0
FLOOD_FACTOR = 2.0
# Minimum Retry-After of a refused request.
RETRY_AFTER_MIN_MS = 100.0
