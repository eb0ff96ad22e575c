"""Members, heartbeats and the assignment of endpoints to holders."""
