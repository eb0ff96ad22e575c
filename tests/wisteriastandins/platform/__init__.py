"""Tests of the stand-in: platform."""
