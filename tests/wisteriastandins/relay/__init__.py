"""Tests of the link relay."""
