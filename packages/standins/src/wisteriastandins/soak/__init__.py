"""A randomized fault soak over the real programs, with faults from outside them.

The programs run as separate processes on loopback against the stand-ins of the platform's store
and of endpoints. One seed gives one plan of faults; what callers and endpoints saw is checked
against the promises of the system.
"""
