"""Choice between the replicas of a shard."""
