"""Faults and planned changes while a deployment is under load."""
