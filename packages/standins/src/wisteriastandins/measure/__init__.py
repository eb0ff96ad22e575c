"""Measurements of the tier against the stand-ins, and the tables in docs/measurements."""
