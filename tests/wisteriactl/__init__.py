"""Tests of the `wisteriactl` package."""
