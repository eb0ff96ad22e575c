"""Constants of explanations."""

EXPLAIN_PATH = "/explain"
# An explanation takes about as long as one or two fan-outs.
REQUESTS_PER_S = 3.0
REQUESTS_BURST = 5.0
# Limits on what is asked. A host name has 253 characters at most.
HOST_MAX_BYTES = 253
PATH_MAX_BYTES = 4_096
NAME_MAX_BYTES = 1_024
# Endpoints of a route above which only one of its shards is examined at a time, and comparisons of
# endpoints that are made to order those of a service.
EXAMINED_ENDPOINTS_MAX = 2_000
COMPARISONS_MAX = 16_000
# Services up to which each one is shown with its endpoints; above, there is a line for each.
DETAILED_SERVICES_MAX = 4
# Endpoints of a service that are listed.
LISTED_ENDPOINTS_MAX = 32
# Size of an answer; lists are cut until it fits.
ANSWER_MAX_BYTES = 256 * 1024
