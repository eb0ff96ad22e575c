"""Tests of `wisteriarock.requests`."""
