"""Membership: heartbeats, live members and the assignment of endpoints to holders."""
