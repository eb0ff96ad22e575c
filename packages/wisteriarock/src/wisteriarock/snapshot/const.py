"""Reasons why a shard can't be served in a snapshot."""

REASON_NO_REPLICA = "no_replica"
REASON_PART_MISSING = "part_missing"
REASON_INCONSISTENT_PARTS = "inconsistent_parts"
