"""Timing constants and bounds of the feed."""

# Longest wait of a follower's poll. It limits the time until a silent relay is detected.
POLL_WAIT_MS = 1_000.0
# A relay that has not answered this long after the wait has ended is lost.
POLL_SLACK_MS = 300.0
# Time without an answer of any relay after which a follower watches the store itself.
FEED_TIMEOUT_MS = 1_500.0
# Delay of a standby relay after the relay of the local zone. It reports that there are changes
# without their content, so that content crosses zones only if the local relay missed it.
STANDBY_DELAY_MS = 300.0
# Time for which an encoded answer is reused for all followers that ask for the same changes.
ANSWER_REUSE_MS = 20.0
# Compression level (1 to 9): the fastest makes a configuration about 4 times smaller.
COMPRESSION_LEVEL = 1
# A relay whose last answer of the store is older refuses its followers; its watch waits 3 s.
RELAY_STORE_AGE_MAX_MS = 3_600.0
# Lifetime of the relay's lease, and the interval at which it is renewed.
LEASE_TTL_MS = 5_000
LEASE_RENEWAL_INTERVAL_MS = 1_500.0
# Timeout of a call to the store for the lease.
STORE_CALL_TIMEOUT_MS = 600.0
# Longest random delay before an instance claims the lease of a zone without a relay.
CLAIM_DELAY_MAX_MS = 1_000.0
# Time after the store's return from an older copy in which no instance claims a lease. The former
# relay notices within a renewal interval and a call that its lease is gone.
CLAIM_AFTER_RETURN_MS = 2_500.0
# Longest time that an instance waits for a relay after its first load.
RELAY_WAIT_MS = 1_500.0
# Backoff after a failed call to a relay.
RELAY_RETRY_BACKOFF_MS = 300.0
# Maximum number and total size of changes that a relay keeps for its followers. One configuration
# may take 100 KB.
HISTORY_MAX_CHANGES = 2_000
HISTORY_MAX_BYTES = 2 * 1024 * 1024
# Largest decompressed answer: the history, of which JSON may take 6 characters for each byte.
ANSWER_MAX_BYTES = 16 * 1024 * 1024
# Time for which a relay passes on a report of lost zones, and the timeout of such a report.
LOST_ZONES_TTL_MS = 1_500.0
REPORT_TIMEOUT_MS = 200.0
# A follower that has not called for this long is no longer counted.
FOLLOWER_TIMEOUT_MS = 4_000.0
# Time for which the number of instances in a zone without a relay stays valid.
INSTANCE_COUNT_TTL_MS = 30_000.0
RELAY_KEY_PREFIX = "wisteriarock/relays/"
# Interval and timeout of the reads by which a relay checks the store. Such a read costs a tenth of
# a call.
STORE_CHECK_INTERVAL_MS = 600.0
STORE_CHECK_TIMEOUT_MS = 400.0
