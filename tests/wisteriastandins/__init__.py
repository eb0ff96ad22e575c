"""Tests of the `wisteriastandins` package."""
