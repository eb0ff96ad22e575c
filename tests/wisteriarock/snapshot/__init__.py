"""Tests of `wisteriarock.snapshot`."""
