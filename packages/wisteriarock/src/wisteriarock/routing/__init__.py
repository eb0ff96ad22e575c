"""Selection among the replicas of a partition."""
