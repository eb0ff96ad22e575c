"""Faults and planned changes to a deployment under load."""
