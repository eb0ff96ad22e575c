"""Tests of `wisteriarock.platform`."""
