"""Admission of requests by the bundle."""
