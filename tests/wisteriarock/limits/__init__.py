"""Tests of `wisteriarock.limits`."""
