"""Times and bounds of the feed."""

# Longest wait of a follower's call. It bounds how long a silent relay goes unnoticed.
POLL_WAIT_MS = 1_000.0
# A relay that has not answered this long after the wait has ended is lost.
POLL_SLACK_MS = 300.0
# Time without an answer of any relay after which a follower watches the store itself.
FEED_TIMEOUT_MS = 1_500.0
# Head start of the relay of the own zone: a standby relay reports changes this much later, and only
# that there are some, so that their content crosses between zones only where it is missed.
STANDBY_DELAY_MS = 300.0
# Time for which an encoded answer serves all followers that ask for the same changes.
ANSWER_REUSE_MS = 20.0
# Effort of the compression (1 to 9): the fastest makes a configuration about 4 times smaller.
COMPRESSION_LEVEL = 1
# A relay that has not heard the store for longer does not answer: its watch waits 3 s.
RELAY_STORE_AGE_MAX_MS = 3_600.0
# Lifetime of the relay's lease, and how often it is renewed.
LEASE_TTL_MS = 5_000
LEASE_RENEWAL_INTERVAL_MS = 1_500.0
# Longest random wait before an instance claims a zone without relay.
CLAIM_DELAY_MAX_MS = 1_000.0
# Pause of a follower that just started, in which relays are found.
RELAY_WAIT_MS = 1_500.0
# Pause after a failed call to a relay.
RELAY_RETRY_PAUSE_MS = 300.0
# Changes that a relay keeps for its followers, and their size: a configuration may take 100 KB.
HISTORY_MAX_CHANGES = 2_000
HISTORY_MAX_BYTES = 2 * 1024 * 1024
# Largest decoded answer: the history, of which JSON may take 6 characters for each byte.
ANSWER_MAX_BYTES = 16 * 1024 * 1024
# Time for which a relay passes on that an instance of its zone is cut off, and its longest call.
LOST_ZONES_TTL_MS = 1_500.0
REPORT_TIMEOUT_MS = 200.0
# A follower that has not called for this long has left.
FOLLOWER_TIMEOUT_MS = 4_000.0
# Time for which the number of instances of a zone without relay is remembered.
INSTANCE_COUNT_TTL_MS = 30_000.0
RELAY_KEY_PREFIX = "wisteriarock/relays/"
# Interval of a relay's reads of the store, at a tenth of the price of a call, and their time-out.
STORE_CHECK_INTERVAL_MS = 600.0
STORE_CHECK_TIMEOUT_MS = 400.0
