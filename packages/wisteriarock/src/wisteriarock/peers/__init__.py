"""Signed requests between entry instances."""
