"""Tests of the endpoint stand-in."""
