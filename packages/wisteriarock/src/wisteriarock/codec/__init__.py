"""Decode and validate JSON bodies."""
