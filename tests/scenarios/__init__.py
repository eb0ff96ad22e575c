"""Scripted scenarios of the query tier."""
