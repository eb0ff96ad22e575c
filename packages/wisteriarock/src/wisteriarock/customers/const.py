"""Constants of keys and allotments."""

# Size in bytes of the digest of a key.
KEY_DIGEST_BYTES = 16
# Age of the news of the store above which an unknown key may be one that has just been added.
KEY_NEWS_AGE_MAX_MS = 5_000.0
# Largest number of log lines on odd customers for each configuration.
LOGGED_ODD_CUSTOMERS_MAX = 10
