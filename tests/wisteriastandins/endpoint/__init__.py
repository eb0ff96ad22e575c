"""Tests of the stand-in: endpoint."""
