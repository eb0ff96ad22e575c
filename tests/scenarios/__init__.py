"""Scripted fault scenarios for the query tier."""
