"""Measurements of the tier against the stand-ins, written to docs/measurements."""
