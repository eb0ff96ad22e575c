"""Tests of the `wisteriarock` package."""
