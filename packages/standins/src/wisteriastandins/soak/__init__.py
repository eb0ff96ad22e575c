"""Randomized fault test of the real programs, with faults injected from outside.

The programs run as separate processes on loopback against stand-ins for the platform's store and
for endpoints. Each seed yields one plan of faults. What callers and endpoints observed is checked
against the guarantees of the system.
"""
