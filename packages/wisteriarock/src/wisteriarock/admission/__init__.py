"""Admission of requests according to the bundle in force."""
