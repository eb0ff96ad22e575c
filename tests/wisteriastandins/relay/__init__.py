"""Tests of the stand-in: relay."""
