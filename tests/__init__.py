"""Tests, laid out like the source tree."""
