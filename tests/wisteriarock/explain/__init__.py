"""Tests of explanations."""
